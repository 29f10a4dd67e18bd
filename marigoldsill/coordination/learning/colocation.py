"""Runs that share a worker, now and at the time of a measurement."""

import collections
import dataclasses

from marigoldsill.coordination.learning import estimates as estimates_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

# Share of its usual interference that a throttled batch run causes.
THROTTLED_SHARE = 0.3
_CHANGES_LIMIT = 128
_RETENTION_S = 300.0
_MEASUREMENT_WINDOW_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Neighbour:
    """A batch run on a worker.

    Attributes:
        task: The run's task.
        family: The family of the task's owner, for which interference is learnt.
        share: The share of its usual interference to expect, 1 unless the run is
            throttled.
        cpu_millicores: The reserved CPU.
        granted_unix_ms: When the run was granted.
    """

    task: str
    family: str
    share: float = 1.0
    cpu_millicores: int = 0
    granted_unix_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRun:
    """A service's instance on a worker."""

    task: str
    service: str


@dataclasses.dataclass(slots=True)
class ColocatedRuns:
    """The runs on one worker that may interfere with each other.

    Attributes:
        services: The service instances.
        batch: The batch runs.
        started: The batch runs that have started.
    """

    services: list[ServiceRun]
    batch: list[Neighbour]
    started: frozenset[Neighbour]


def runs_on_worker(tables: tables_module.Tables, worker: str) -> ColocatedRuns:
    """Returns the runs on a worker, from the replicated state."""
    services: list[ServiceRun] = []
    batch: list[Neighbour] = []
    started: list[Neighbour] = []
    for name in tables.tasks_by_worker.get(worker, ()):
        task = tables.tasks[name]
        match task.kind:
            case ttypes.Kind.SERVICE:
                services.append(ServiceRun(name, task.owner))
            case ttypes.Kind.BATCH_JOB:
                neighbour = Neighbour(
                    name,
                    estimates_module.family_of(task.owner),
                    THROTTLED_SHARE if task.throttled else 1.0,
                    task.reserved.cpu_millicores,
                    task.started_unix_ms,
                )
                batch.append(neighbour)
                if task.state != ttypes.TaskState.ASSIGNED:
                    started.append(neighbour)
    return ColocatedRuns(services, batch, frozenset(started))


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    """An arrival of a batch run on a worker, or its departure."""

    at_s: float
    neighbour: Neighbour
    is_arrival: bool


@dataclasses.dataclass(slots=True)
class _WorkerHistory:
    """The batch runs on one worker and the latest changes of them.

    Attributes:
        current: The batch runs on the worker now.
        changes: The latest changes, the oldest first.
        since_s: The time before which nothing is known.
    """

    current: frozenset[Neighbour]
    changes: collections.deque[_Change]
    since_s: float


class ColocationHistory:
    """A bounded record of which batch runs were on which worker when."""

    def __init__(self):
        self._by_worker: dict[str, _WorkerHistory] = {}

    def record(
        self, worker: str, started: frozenset[Neighbour], *, now_s: float
    ) -> None:
        """Records the batch runs on a worker, if they have changed.

        Args:
            worker: The worker's name.
            started: The batch runs that have started on it.
            now_s: The current time.
        """
        history = self._by_worker.get(worker)
        if history is None:
            self._by_worker[worker] = _WorkerHistory(
                started, collections.deque(), since_s=now_s
            )
            return
        if history.current == started:
            return
        history.changes.extend(
            _Change(now_s, n, True) for n in started - history.current
        )
        history.changes.extend(
            _Change(now_s, n, False) for n in history.current - started
        )
        history.current = started
        while history.changes and (
            len(history.changes) > _CHANGES_LIMIT
            or history.changes[0].at_s < now_s - _RETENTION_S
        ):
            history.since_s = history.changes.popleft().at_s

    def neighbours_at(
        self, worker: str, measured_s: float
    ) -> frozenset[Neighbour] | None:
        """Returns the batch runs on a worker at the time of a measurement.

        Returns:
            The batch runs, or None if they are no longer known or if one of them
            arrived or departed within the window that the measurement covers.
        """
        history = self._by_worker.get(worker)
        if (
            history is None
            or measured_s - _MEASUREMENT_WINDOW_S < history.since_s
        ):
            return None
        neighbours = set(history.current)
        for change in reversed(history.changes):
            if change.at_s <= measured_s - _MEASUREMENT_WINDOW_S:
                break
            if change.at_s <= measured_s:
                return None
            if change.is_arrival:
                neighbours.discard(change.neighbour)
            else:
                neighbours.add(change.neighbour)
        return frozenset(neighbours)
