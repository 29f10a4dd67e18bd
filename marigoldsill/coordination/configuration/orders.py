"""Computes an agent's orders, the runs that its worker should have, from the tables."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


def build_orders(
    tables: tables_module.Tables, worker: str
) -> list[ttypes.Order]:
    """Returns all orders for one worker."""
    return [_build_order(tables, task) for task in tables.tasks_on(worker)]


def _build_order(
    tables: tables_module.Tables, task: ttypes.Task
) -> ttypes.Order:
    owner = tables.owner_record(task)
    return ttypes.Order(
        task=task.name,
        epoch=task.epoch,
        desire=_desired_state(task, owner),
        kind=task.kind,
        resources=task.reserved,
        command=getattr(owner, "command", ""),
        checkpoint_id=task.checkpoint_id,
        worked_ms=task.worked_ms,
        slots_count=getattr(owner, "slots_count", 0),
        connections_count=getattr(owner, "connections_count", 0),
        owner=task.owner,
        run_time_ms=getattr(owner, "run_time_ms", 0),
        started=bool(task.running_since_unix_ms),
        checkpointable=getattr(owner, "checkpointable", False),
    )


def _desired_state(task: ttypes.Task, owner: object) -> ttypes.Desire:
    if task.state == ttypes.TaskState.STOPPING:
        is_checkpointable = getattr(owner, "checkpointable", False)
        if is_checkpointable and not task.final_stop:
            return ttypes.Desire.CHECKPOINT_AND_STOP
        return ttypes.Desire.STOP
    if task.throttled:
        return ttypes.Desire.THROTTLE
    return ttypes.Desire.RUN
