"""Limits how widely a best-effort image runs before its interference is known.

What an image adds to the utilization of the tasks beside it is known only once it has
run there. A job's tasks start together, so without a limit all of them would find out
at the same moment, on as many workers.
"""

from collections.abc import Iterator

from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.protocol.generated import ttypes

# For so long a pair is tried on one worker only, unless it is known earlier. A start
# and the first samples that show its effect take about a second.
_TRIED_S = 2.0

Pair = tuple[str, str]


class Exploration:
    """Pairs of images that are being tried; used by one thread."""

    def __init__(self, interference: interference_model.InterferenceModel):
        self._interference = interference
        self._tried_s: dict[Pair, float] = {}

    def allows(
        self,
        free: free_capacity.FreeCapacity,
        step: ttypes.Step,
        *,
        now_s: float,
    ) -> bool:
        """Whether a task of a step may start beside a worker's tasks now."""
        return all(
            now_s - self._tried_s[pair] >= _TRIED_S
            for pair in self._unknown_pairs(free, step)
            if pair in self._tried_s
        )

    def record_start(
        self,
        free: free_capacity.FreeCapacity,
        step: ttypes.Step,
        *,
        now_s: float,
    ) -> None:
        """Takes note that a task of a step starts beside a worker's tasks."""
        for pair in self._unknown_pairs(free, step):
            # Put last, as what was tried longest ago is dropped first.
            self._tried_s.pop(pair, None)
            self._tried_s[pair] = now_s
        self._forget(now_s)

    def _unknown_pairs(
        self, free: free_capacity.FreeCapacity, step: ttypes.Step
    ) -> Iterator[Pair]:
        if not step.best_effort:
            return
        for task in free.latency_critical:
            if not self._interference.is_known(task.image, step.image):
                yield task.image, step.image

    def _forget(self, now_s: float) -> None:
        """Drops what was tried long ago."""
        while self._tried_s:
            pair, tried_s = next(iter(self._tried_s.items()))
            if now_s - tried_s < _TRIED_S:
                return
            del self._tried_s[pair]
