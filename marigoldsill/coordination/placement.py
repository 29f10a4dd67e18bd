"""Which worker takes which task."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_AMOUNTS = ttypes.Resources.__slots__


def free_on(
    tables: tables_module.Tables, worker: ttypes.Worker
) -> ttypes.Resources:
    """What is left of a worker; a run that may be alive stays reserved."""
    held = [task.reserved for task in tables.tasks_on(worker.name)]
    return ttypes.Resources(
        **{
            name: getattr(worker.capacity, name)
            - sum(getattr(item, name) for item in held)
            for name in _AMOUNTS
        }
    )


def fits(wanted: ttypes.Resources, free: ttypes.Resources) -> bool:
    """Whether something fits into what is free."""
    return all(getattr(wanted, n) <= getattr(free, n) for n in _AMOUNTS)


def place_queued(
    tables: tables_module.Tables, *, live_agents: set[str], limit: int
) -> list[ttypes.Assignment]:
    """Assigns queued tasks, the most urgent first, to the freest worker."""
    free = {
        w.name: free_on(tables, w)
        for w in tables.workers.values()
        if w.state == ttypes.WorkerState.ACTIVE and w.name in live_agents
    }
    queue = [tables.tasks[name] for name in tables.queued]
    queue.sort(key=lambda t: -getattr(tables.owner_record(t), "urgency", 0))
    grants = (_place(tables, task, free) for task in queue[:limit])
    return [grant for grant in grants if grant is not None]


def _place(
    tables: tables_module.Tables,
    task: ttypes.Task,
    free: dict[str, ttypes.Resources],
) -> ttypes.Assignment | None:
    owner = tables.owner_record(task)
    if owner is None:
        return None
    wanted = owner.resources
    candidates = [name for name, left in free.items() if fits(wanted, left)]
    if not candidates:
        return None
    best = max(candidates, key=lambda name: free[name].cpu_millicores)
    left = free[best]
    free[best] = ttypes.Resources(
        **{n: getattr(left, n) - getattr(wanted, n) for n in _AMOUNTS}
    )
    return ttypes.Assignment(
        task=task.name,
        epoch=task.epoch + 1,
        worker=best,
        reserved=wanted,
        reason=f"placed on {best}: most processor time free",
    )
