"""Spreads wide steps over racks, and ties between workers over data centres.

Answers the loss of a rack, or a rack that is slow, while most tasks of a step run there,
and ties that all go to the data centre whose workers come first. It only chooses among
workers that suit a task about equally well.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# A step with fewer tasks is not wide: it has too few to lose only a part of them.
_WIDE_TASKS_COUNT = 4

# Pool and rack, or pool and data centre.
_PlaceKey = tuple[str, str]


class SpreadWorker(Protocol):
    """What is needed of a worker.

    Attributes:
        worker: The worker as last reported.
        idle_millicores: Processor time that tasks are expected to leave unused.
        runs_by_step: Number of runs on it, by step.
    """

    worker: ttypes.PoolWorker
    idle_millicores: float
    runs_by_step: Mapping[task_names.StepKey, int]


@dataclasses.dataclass(slots=True)
class _Load:
    """Processor time of the workers of a rack or data centre."""

    capacity_millicores: float = 0.0
    idle_millicores: float = 0.0

    @property
    def used_share(self) -> float:
        return 1 - self.idle_millicores / max(1.0, self.capacity_millicores)


class RackSpread:
    """Chooses among equally suited workers; counts anew in each round."""

    def __init__(self, workers: Callable[[], Iterable[SpreadWorker]]):
        """Initializes it.

        Args:
            workers: Returns all workers on which tasks may start.
        """
        self._workers = workers
        self._racks: dict[_PlaceKey, _Load] = {}
        self._data_centres: dict[_PlaceKey, _Load] = {}
        self._runs: dict[
            task_names.StepKey, collections.Counter[_PlaceKey]
        ] = {}

    def choose(
        self,
        step_key: task_names.StepKey,
        step: ttypes.Step,
        options: Sequence[SpreadWorker],
    ) -> int:
        """Returns the position of the worker to use.

        Args:
            step_key: The step of the task.
            step: The requirements of the task.
            options: At least one worker, the best suited first.
        """
        if len(options) == 1:
            return 0
        if not self._racks:
            self._count_loads()
        runs: Mapping[_PlaceKey, int] = {}
        if step.tasks_count >= _WIDE_TASKS_COUNT:
            runs = self._runs_of(step_key)

        def cost(position: int) -> tuple[float, float, int]:
            worker = options[position].worker
            rack_key = worker.pool, worker.rack
            rack = self._racks[rack_key]
            runs_ratio = runs.get(rack_key, 0) / max(
                1, rack.capacity_millicores
            )
            data_centre = self._data_centres[worker.pool, worker.data_centre]
            return runs_ratio, data_centre.used_share, position

        return min(range(len(options)), key=cost)

    def record_start(
        self,
        step_key: task_names.StepKey,
        step: ttypes.Step,
        worker: ttypes.PoolWorker,
    ) -> None:
        """Counts a run that is granted in this round."""
        if step_key in self._runs:
            self._runs[step_key][worker.pool, worker.rack] += 1
        data_centre = self._data_centres.get((worker.pool, worker.data_centre))
        if data_centre is not None:
            data_centre.idle_millicores -= step.resources.cpu_millicores

    def end_round(self) -> None:
        """Drops the counts of the round."""
        self._racks.clear()
        self._data_centres.clear()
        self._runs.clear()

    def _count_loads(self) -> None:
        for option in self._workers():
            worker = option.worker
            for loads, place in (
                (self._racks, worker.rack),
                (self._data_centres, worker.data_centre),
            ):
                load = loads.setdefault((worker.pool, place), _Load())
                load.capacity_millicores += worker.capacity.cpu_millicores
                load.idle_millicores += option.idle_millicores

    def _runs_of(
        self, step_key: task_names.StepKey
    ) -> collections.Counter[_PlaceKey]:
        """Returns the number of runs of a step by rack."""
        runs = self._runs.get(step_key)
        if runs is None:
            runs = collections.Counter()
            for option in self._workers():
                count = option.runs_by_step.get(step_key, 0)
                if count:
                    runs[option.worker.pool, option.worker.rack] += count
            self._runs[step_key] = runs
        return runs


def may_be_spread(step: ttypes.Step) -> bool:
    """Returns whether almost equally suited workers may be exchanged for a step.

    Latency-critical tasks are packed, and others may be bound to a rack.
    """
    return not (step.tail_target_ms or step.preferred_rack or step.gang)
