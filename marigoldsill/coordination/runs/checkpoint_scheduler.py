"""Schedules checkpoints of an agent's runs, periodic and before evictions."""

import dataclasses
import enum
import time

from marigoldsill.coordination.runs import run_events
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_EVICTION_TIME_LIMIT_S = 5.0
_CHECKPOINT_ATTEMPTS_LIMIT = 2


class EvictionAction(enum.Enum):
    """The next action for a run that is being evicted."""

    CHECKPOINT = enum.auto()
    WAIT = enum.auto()  # until control has recorded the checkpoint
    STOP = enum.auto()


@dataclasses.dataclass(slots=True)
class EvictionProgress:
    """Progress of the eviction of a run.

    Attributes:
        begun_s: When it began, on the monotonic clock.
        attempts_count: How often a checkpoint was attempted.
        is_checkpointed: Whether the last attempt succeeded.
    """

    begun_s: float
    attempts_count: int = 0
    is_checkpointed: bool = False

    def record_checkpoint(self, succeeded: bool) -> None:
        """Records the result of an attempt to checkpoint the run."""
        self.attempts_count += 1
        self.is_checkpointed = succeeded

    def next_action(self, *, is_recorded: bool) -> EvictionAction:
        """Returns the next action; the time limit bounds every wait.

        Args:
            is_recorded: Whether control has recorded all events of the run.
        """
        is_out_of_time = (
            time.monotonic() - self.begun_s > _EVICTION_TIME_LIMIT_S
        )
        has_attempts_left = self.attempts_count < _CHECKPOINT_ATTEMPTS_LIMIT
        if (
            not self.is_checkpointed
            and has_attempts_left
            and not is_out_of_time
        ):
            return EvictionAction.CHECKPOINT
        if not is_recorded and not is_out_of_time:
            return EvictionAction.WAIT
        return EvictionAction.STOP


class CheckpointScheduler:
    """Tracks when runs are due for a checkpoint, and evictions in progress."""

    def __init__(self, *, interval_s: float):
        self._interval_s = interval_s
        self._due_s: dict[run_events.RunId, float] = {}
        self._evictions: dict[run_events.RunId, EvictionProgress] = {}

    def is_due(self, run: run_events.RunId) -> bool:
        """Whether to checkpoint a running run now; True once per interval."""
        now_s = time.monotonic()
        due_s = self._due_s.setdefault(run, now_s + self._interval_s)
        if now_s < due_s:
            return False
        self._due_s[run] = now_s + self._interval_s
        return True

    def get_or_begin_eviction(self, run: run_events.RunId) -> EvictionProgress:
        """Returns the progress of a run's eviction, which the first call begins."""
        eviction = EvictionProgress(begun_s=time.monotonic())
        return self._evictions.setdefault(run, eviction)

    def retain_runs(self, runs: set[run_events.RunId]) -> None:
        """Drops the records of all runs except `runs`."""
        for table in (self._due_s, self._evictions):
            for run in [r for r in table if r not in runs]:
                del table[run]


def log_missing_checkpoint(
    order: ttypes.Order, eviction: EvictionProgress, action: EvictionAction
) -> None:
    """Logs a run that is to be stopped although its checkpoint failed."""
    if action is EvictionAction.STOP and not eviction.is_checkpointed:
        logs.event(
            "evicted_without_checkpoint",
            level="WARNING",
            task=order.task,
            epoch=order.epoch,
            kept_ms=order.worked_ms,
        )
