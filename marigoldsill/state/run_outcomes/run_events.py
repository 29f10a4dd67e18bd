"""What events of a run make of its task."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import batch_losses


def apply(
    tables: tables_module.Tables,
    task: ttypes.Task,
    event: ttypes.RunEvent,
    decided_term: int,
    *,
    now_unix_ms: int,
) -> bool:
    """Applies an event of the current run of a task.

    Args:
        tables: The state.
        task: The task.
        event: The event.
        decided_term: The term of the leader that inferred a loss, or 0.
        now_unix_ms: The time.

    Returns:
        Whether it had an effect.
    """
    match event.kind:
        case ttypes.RunEventKind.STARTED:
            if task.state != ttypes.TaskState.ASSIGNED:
                return False
            tables.change_task(
                task.name,
                state=ttypes.TaskState.RUNNING,
                running_since_unix_ms=now_unix_ms,
            )
        case ttypes.RunEventKind.CHECKPOINTED:
            if event.worked_ms < task.worked_ms:
                return False
            tables.change_task(
                task.name,
                checkpoint_id=event.checkpoint_id,
                worked_ms=event.worked_ms,
            )
        case ttypes.RunEventKind.COMPLETED:
            _complete(tables, task, event, now_unix_ms)
        case ttypes.RunEventKind.FAILED:
            _fail(tables, task, event, now_unix_ms)
        # An expired lease, as of an agent that is cut off, is no sign of a crash.
        case ttypes.RunEventKind.LOST if not decided_term:
            if not batch_losses.give_up(tables, task, now_unix_ms):
                _requeue(tables, tables.tasks[task.name], event, now_unix_ms)
        case _:
            _requeue(tables, task, event, now_unix_ms)
    return True


def _complete(
    tables: tables_module.Tables,
    task: ttypes.Task,
    event: ttypes.RunEvent,
    now_unix_ms: int,
) -> None:
    if task.kind != ttypes.Kind.BATCH_JOB:
        # Services and watchers do not complete, so they run again.
        _requeue(tables, task, event, now_unix_ms, reason="ended by itself")
        return
    tables.change_task(
        task.name, state=ttypes.TaskState.DONE, reason="completed"
    )
    if tables.owner_record(task) is None:
        tables.remove_task(task.name)


def _fail(
    tables: tables_module.Tables,
    task: ttypes.Task,
    event: ttypes.RunEvent,
    now_unix_ms: int,
) -> None:
    failures_count = task.failures_count + 1
    owner = tables.owner_record(task)
    limit = getattr(owner, "attempts_limit", 0)
    limit_reached = bool(limit) and failures_count >= limit
    tables.change_task(task.name, failures_count=failures_count)
    if limit_reached and not task.final_stop:
        tables.change_task(
            task.name, state=ttypes.TaskState.FAILED, reason=event.detail
        )
        return
    _requeue(tables, tables.tasks[task.name], event, now_unix_ms)


def _requeue(
    tables: tables_module.Tables,
    task: ttypes.Task,
    event: ttypes.RunEvent,
    now_unix_ms: int,
    *,
    reason: str = "",
) -> None:
    """Queues a task again, or ends it if it was stopped permanently."""
    if event.checkpoint_id and event.worked_ms >= task.worked_ms:
        tables.change_task(
            task.name,
            checkpoint_id=event.checkpoint_id,
            worked_ms=event.worked_ms,
        )
    state = ttypes.TaskState.QUEUED
    if task.final_stop:
        state = ttypes.TaskState.CANCELLED
    tables.change_task(
        task.name,
        state=state,
        queued_unix_ms=now_unix_ms,
        reason=reason or _requeue_reason(task, event),
        absent_since_unix_ms=_absent_since(tables, task, now_unix_ms),
        running_since_unix_ms=0,
    )
    if task.final_stop and tables.owner_record(task) is None:
        tables.remove_task(task.name)


def _absent_since(
    tables: tables_module.Tables, task: ttypes.Task, now_unix_ms: int
) -> int:
    """Returns when a task's absence began.

    Runs shorter than the owner's absence limit do not interrupt an absence.
    """
    owner = tables.owner_record(task)
    min_run_ms = getattr(owner, "absence_limit_ms", 0)
    since_unix_ms = task.running_since_unix_ms
    if since_unix_ms and now_unix_ms - since_unix_ms >= min_run_ms:
        return now_unix_ms
    return task.absent_since_unix_ms


def _requeue_reason(task: ttypes.Task, event: ttypes.RunEvent) -> str:
    """Returns why a task is queued again: if it was stopped, why it was."""
    is_stopping = task.state == ttypes.TaskState.STOPPING
    if is_stopping and event.kind == ttypes.RunEventKind.STOPPED:
        return task.reason
    return event.detail or task.reason
