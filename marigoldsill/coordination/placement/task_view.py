"""One task as placement sees it."""

import dataclasses
import math

from marigoldsill.coordination.learning import estimates as estimates_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module

_BACKOFF_S = 0.5
_BACKOFF_LIMIT_S = 30.0
_BACKOFF_DOUBLINGS_LIMIT = 6


@dataclasses.dataclass(slots=True, frozen=True)
class TaskView:
    """A task with its declaration and the estimates learnt for it.

    Attributes:
        task: The task's record.
        team: The team whose quota it counts against.
        family: The family of its owner.
        urgency: The declared urgency, 0 to 9.
        demand: The resources to reserve for its run.
        latest_start_unix_ms: When it must start to meet its deadline;
            infinite without one.
        remaining_ms: The remaining run time of a batch job.
        earliest_start_unix_ms: When the backoff after failures ends.
        is_checkpointable: Whether an eviction preserves its work.
    """

    task: ttypes.Task
    team: str
    family: str
    urgency: int
    demand: ttypes.Resources
    latest_start_unix_ms: float
    remaining_ms: float
    earliest_start_unix_ms: float
    is_checkpointable: bool

    @property
    def sort_key(self) -> tuple:
        """Orders waiting tasks: the lowest is placed first."""
        return (
            self.task.kind != ttypes.Kind.WATCHER,
            -self.urgency,
            self.latest_start_unix_ms,
            self.task.queued_unix_ms,
            self.task.name,
        )


def build(
    tables: tables_module.Tables,
    task: ttypes.Task,
    estimates: estimates_module.Estimates,
) -> TaskView | None:
    """Returns the view of a task, or None if its declaration was removed."""
    owner = tables.owner_record(task)
    if owner is None:
        return None
    remaining_ms = 0.0
    latest_start_unix_ms = math.inf
    if task.kind == ttypes.Kind.BATCH_JOB:
        whole_ms = estimates.run_time_ms(owner.name, owner.run_time_ms)
        remaining_ms = max(whole_ms - estimates.progress_ms(task), 0.0)
        if owner.deadline_unix_ms:
            latest_start_unix_ms = owner.deadline_unix_ms - remaining_ms
    return TaskView(
        task=task,
        team=owner.team,
        family=estimates_module.family_of(owner.name),
        urgency=owner.urgency,
        demand=estimates.recommended_size(
            owner.name,
            owner.resources,
            is_steady=task.kind == ttypes.Kind.BATCH_JOB,
        ),
        latest_start_unix_ms=latest_start_unix_ms,
        remaining_ms=remaining_ms,
        earliest_start_unix_ms=task.queued_unix_ms
        + 1000 * _backoff_s(task, owner),
        is_checkpointable=getattr(owner, "checkpointable", False),
    )


def task_class(task_view: TaskView) -> tuple:
    """The class of a task: tasks of one class fit on the same workers."""
    return (
        task_view.task.kind,
        task_view.urgency,
        task_view.team,
        task_view.family,
        _quantize(task_view.demand.cpu_millicores),
        _quantize(task_view.demand.memory_bytes),
        task_view.demand.accelerators_count,
    )


def fits_any(
    demand: ttypes.Resources, capacities: list[ttypes.Resources]
) -> bool:
    """Whether a demand fits into at least one of the capacities."""
    return any(amounts.fits(demand, capacity) for capacity in capacities)


def _backoff_s(task: ttypes.Task, owner: object) -> float:
    """The delay of a task after failures; it doubles with each of them."""
    if not task.failures_count:
        return 0.0
    doublings = min(task.failures_count - 1, _BACKOFF_DOUBLINGS_LIMIT)
    limit_s = _BACKOFF_LIMIT_S
    if task.kind == ttypes.Kind.WATCHER:
        limit_s = min(limit_s, owner.absence_limit_ms / 2000)
    return min(_BACKOFF_S * 2**doublings, limit_s)


def _quantize(amount: int) -> int:
    """Rounds an amount to the nearest of eight logarithmic steps per doubling."""
    return round(8 * math.log2(amount)) if amount > 0 else 0
