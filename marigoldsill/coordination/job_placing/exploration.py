"""Limits how widely a best-effort image runs before its interference is known.

How much an image adds to the utilization of other tasks on a worker is known only
once it has run beside them. A job's tasks start together, so without a limit they
would all cause the unknown interference at the same time, on as many workers.
"""

from collections.abc import Iterator

from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.protocol.generated import ttypes

# How long the trial of a pair on one worker blocks others, unless the interference is
# known earlier. A start and the first samples that show its effect take about a second.
_TRIAL_S = 2.0

Pair = tuple[str, str]


class Exploration:
    """Trials of pairs of images on one worker each; used by one thread."""

    def __init__(self, interference: interference_model.InterferenceModel):
        self._interference = interference
        self._started_s: dict[Pair, float] = {}

    def allows(
        self,
        free: free_capacity.FreeCapacity,
        step: ttypes.Step,
        *,
        now_s: float,
    ) -> bool:
        """Returns whether a task of a step may start beside a worker's tasks now."""
        return all(
            now_s - self._started_s[pair] >= _TRIAL_S
            for pair in self._unknown_pairs(free, step)
            if pair in self._started_s
        )

    def record_start(
        self,
        free: free_capacity.FreeCapacity,
        step: ttypes.Step,
        *,
        now_s: float,
    ) -> None:
        """Records the start of a task of a step beside a worker's tasks."""
        for pair in self._unknown_pairs(free, step):
            # Reinserted at the end, as trials are dropped in order of their start.
            self._started_s.pop(pair, None)
            self._started_s[pair] = now_s
        self._drop_expired(now_s)

    def _unknown_pairs(
        self, free: free_capacity.FreeCapacity, step: ttypes.Step
    ) -> Iterator[Pair]:
        if not step.best_effort:
            return
        for task in free.latency_critical:
            if not self._interference.is_known(task.image, step.image):
                yield task.image, step.image

    def _drop_expired(self, now_s: float) -> None:
        """Drops trials that are over."""
        while self._started_s:
            pair, started_s = next(iter(self._started_s.items()))
            if now_s - started_s < _TRIAL_S:
                return
            del self._started_s[pair]
