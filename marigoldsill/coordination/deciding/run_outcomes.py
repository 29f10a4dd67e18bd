"""Run outcomes, derived from changes of the tasks' records."""

from collections.abc import Iterable
import dataclasses
import enum

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


class OutcomeKind(enum.Enum):
    """How a run ended."""

    FAILED = "failed"
    REFUSED = "refused"
    COMPLETED = "completed"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, frozen=True)
class RunOutcome:
    """The outcome of one run.

    Attributes:
        kind: How the run ended.
        task: The task's record after the run.
        worker: The worker that had the run.
        started_unix_ms: When the run was granted.
        worked_ms: The work that the task's checkpoint held when the run was granted.
    """

    kind: OutcomeKind
    task: ttypes.Task
    worker: str
    started_unix_ms: int
    worked_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class _Run:
    """A run as it was last observed."""

    epoch: int
    state: ttypes.TaskState
    failures_count: int
    worker: str
    started_unix_ms: int
    worked_ms: int


class RunOutcomeTracker:
    """Tracks the runs that may be alive and finds those that ended."""

    def __init__(self):
        self._runs: dict[str, _Run] = {}

    def find_ended(
        self, tables: tables_module.Tables, names: Iterable[str]
    ) -> list[RunOutcome]:
        """Returns the outcomes of runs that ended, among tasks that changed."""
        outcomes = [
            self._update_task(tables.tasks.get(name), name) for name in names
        ]
        return [outcome for outcome in outcomes if outcome is not None]

    def record_grant(
        self, task: ttypes.Task, grant: ttypes.Assignment, *, now_unix_ms: int
    ) -> None:
        """Records a grant, as the run may start and end before the next update."""
        self._runs[task.name] = _Run(
            epoch=grant.epoch,
            state=ttypes.TaskState.ASSIGNED,
            failures_count=task.failures_count,
            worker=grant.worker,
            started_unix_ms=now_unix_ms,
            worked_ms=task.worked_ms,
        )

    def _update_task(
        self, task: ttypes.Task | None, name: str
    ) -> RunOutcome | None:
        previous = self._runs.pop(name, None)
        if task is None:
            return None
        if tables_module.occupies_worker(task):
            is_same_run = previous is not None and previous.epoch == task.epoch
            self._runs[name] = _Run(
                epoch=task.epoch,
                state=task.state,
                failures_count=task.failures_count,
                worker=task.worker,
                started_unix_ms=task.started_unix_ms,
                worked_ms=previous.worked_ms if is_same_run else task.worked_ms,
            )
            return None
        if previous is None or previous.epoch != task.epoch:
            return None
        return RunOutcome(
            kind=_kind(previous, task),
            task=task,
            worker=previous.worker,
            started_unix_ms=previous.started_unix_ms,
            worked_ms=previous.worked_ms,
        )


def _kind(previous: _Run, task: ttypes.Task) -> OutcomeKind:
    if task.failures_count > previous.failures_count:
        return OutcomeKind.FAILED
    if task.state == ttypes.TaskState.DONE:
        return OutcomeKind.COMPLETED
    if previous.state == ttypes.TaskState.ASSIGNED:
        return OutcomeKind.REFUSED
    return OutcomeKind.ENDED
