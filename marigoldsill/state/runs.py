"""State changes of runs and workers: grants, events, evictions.

A run is (task, epoch). A new epoch is granted only from QUEUED, and a task is
queued again only when its last run is certainly over. All changes are idempotent:
repeating one has no effect.
"""

from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import run_events

_WAITING = (ttypes.TaskState.QUEUED, ttypes.TaskState.IMPOSSIBLE)
_LIVE = (ttypes.TaskState.ASSIGNED, ttypes.TaskState.RUNNING)


def assign(
    tables: tables_module.Tables,
    assignments: list[ttypes.Assignment],
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Grants runs; grants for tasks that changed in the meantime are skipped."""
    applied = 0
    for grant in assignments:
        if not _may_start(tables, grant):
            continue
        tables.change_task(
            grant.task,
            state=ttypes.TaskState.ASSIGNED,
            epoch=grant.epoch,
            worker=grant.worker,
            reserved=grant.reserved,
            reason=grant.reason,
            started_unix_ms=now_unix_ms,
            throttled=False,
        )
        applied += 1
    return _result(tables, applied)


def evict(
    tables: tables_module.Tables, evictions: list[ttypes.Eviction]
) -> ttypes.CommandResult:
    """Marks runs to be stopped; their tasks are queued again afterwards."""
    applied = 0
    for eviction in evictions:
        task = _task_in_epoch(tables, eviction.task, eviction.epoch)
        if task is None or task.state not in _LIVE:
            continue
        tables.change_task(
            task.name,
            state=ttypes.TaskState.STOPPING,
            reason=eviction.reason,
            evictions_count=task.evictions_count + 1,
        )
        applied += 1
    return _result(tables, applied)


def throttle(
    tables: tables_module.Tables, throttles: list[ttypes.Throttle]
) -> ttypes.CommandResult:
    """Throttles runs or removes their throttle."""
    applied = 0
    for change in throttles:
        task = _task_in_epoch(tables, change.task, change.epoch)
        if task is None:
            continue
        if task.state not in _LIVE or task.throttled == change.throttled:
            continue
        tables.change_task(task.name, throttled=change.throttled)
        applied += 1
    return _result(tables, applied)


def record_events(
    tables: tables_module.Tables,
    record: ttypes.RecordRunEvents,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Records events of runs; only those of a task's current epoch count.

    Losses that a leader inferred from leases are ignored if a later leader has
    been elected, since that one may have renewed the leases.
    """
    if _is_outdated(tables, record.decided_term):
        return _result(tables, 0)
    applied = sum(
        _record_event(tables, event, record.decided_term, now_unix_ms)
        for event in record.events
    )
    return _result(tables, applied)


def mark_tasks(
    tables: tables_module.Tables, marks: list[ttypes.TaskMark]
) -> ttypes.CommandResult:
    """Marks waiting tasks as queued or as impossible, with the reason."""
    applied = 0
    for task_mark in marks:
        task = _task_in_epoch(tables, task_mark.task, task_mark.epoch)
        if task is None:
            continue
        if task.state not in _WAITING or task_mark.state not in _WAITING:
            continue
        tables.change_task(
            task.name, state=task_mark.state, reason=task_mark.reason
        )
        applied += 1
    return _result(tables, applied)


def put_worker(
    tables: tables_module.Tables, put: ttypes.PutWorker
) -> ttypes.CommandResult:
    """Adds or replaces a worker, except by one of an older incarnation.

    A drain by an operator remains in effect after the worker was lost. The
    evacuation of a data centre applies to workers that join later as well.
    """
    worker = put.worker
    old = tables.workers.get(worker.name)
    if old is not None and worker.incarnation < old.incarnation:
        return _result(tables, 0)
    if _is_outdated(tables, put.decided_term):
        return _result(tables, 0)
    was_draining = old is not None and tables.is_draining(old)
    draining = old is not None and old.draining
    worker = _with_draining(tables, worker, draining=draining)
    tables.workers[worker.name] = worker
    if tables.is_draining(worker) != was_draining:
        # Entries and agents learn of a drain by the version of its worker.
        tables.state_version += 1
        _set_worker_version(tables, worker.name)
    return _result(tables, 1)


def set_draining(
    tables: tables_module.Tables, name: str, *, draining: bool
) -> None:
    """Sets whether an operator drains a worker; remains after its loss."""
    worker = tables.workers.get(name)
    if worker is not None:
        tables.workers[name] = _with_draining(tables, worker, draining=draining)
        tables.changed_workers.add(name)


def set_evacuated(
    tables: tables_module.Tables, data_centre: str, *, evacuated: bool
) -> None:
    """Sets whether a data centre is evacuated, which drains all of its workers.

    Called with the new state version in force, which the workers' versions get.
    """
    if evacuated:
        tables.evacuated_data_centres.add(data_centre)
    else:
        tables.evacuated_data_centres.discard(data_centre)
    for worker in workers_in(tables, data_centre):
        set_draining(tables, worker.name, draining=worker.draining)
        _set_worker_version(tables, worker.name)


def workers_in(
    tables: tables_module.Tables, data_centre: str
) -> list[ttypes.Worker]:
    """Returns the known workers of a data centre, by name."""
    return [
        tables.workers[name]
        for name in sorted(tables.workers)
        if tables.workers[name].data_centre == data_centre
    ]


def _set_worker_version(tables: tables_module.Tables, name: str) -> None:
    """Records that a worker's drain changed other than by a plan about it."""
    tables.set_version(
        ttypes.SubjectVersion(
            subject=f"worker/{name}",
            version=tables.state_version,
            plan_id=0,
            operator_name="",
        )
    )


def _with_draining(
    tables: tables_module.Tables, worker: ttypes.Worker, *, draining: bool
) -> ttypes.Worker:
    """Returns a worker with its own drain set, and the state that follows."""
    worker = records.replace(worker, draining=draining)
    if worker.state in (ttypes.WorkerState.ACTIVE, ttypes.WorkerState.DRAINING):
        worker.state = ttypes.WorkerState.ACTIVE
        if tables.is_draining(worker):
            worker.state = ttypes.WorkerState.DRAINING
    return worker


def stop_permanently(
    tables: tables_module.Tables, name: str, reason: str
) -> None:
    """Ends a task for an operator, at once if it has no run that may be alive."""
    task = tables.tasks[name]
    if tables_module.occupies_worker(task):
        tables.change_task(
            name,
            state=ttypes.TaskState.STOPPING,
            final_stop=True,
            reason=reason,
        )
    elif task.state in _WAITING:
        tables.change_task(
            name, state=ttypes.TaskState.CANCELLED, reason=reason
        )


def _is_outdated(tables: tables_module.Tables, decided_term: int) -> bool:
    """Whether a later leader than that of a decision has been elected."""
    return 0 < decided_term < tables.leader_term


def _task_in_epoch(
    tables: tables_module.Tables, name: str, epoch: int
) -> ttypes.Task | None:
    """Returns a task, or None if it was removed or has another epoch."""
    task = tables.tasks.get(name)
    if task is None or task.epoch != epoch:
        return None
    return task


def _may_start(tables: tables_module.Tables, grant: ttypes.Assignment) -> bool:
    """Whether the task and worker of a grant still allow the run."""
    task = tables.tasks.get(grant.task)
    worker = tables.workers.get(grant.worker)
    if task is None or worker is None:
        return False
    return (
        task.state == ttypes.TaskState.QUEUED
        and worker.state == ttypes.WorkerState.ACTIVE
        and grant.epoch == task.epoch + 1
        and _has_capacity(tables, worker, grant.reserved)
    )


def _has_capacity(
    tables: tables_module.Tables,
    worker: ttypes.Worker,
    demand: ttypes.Resources,
) -> bool:
    """Whether a reservation fits beside the runs that may be alive.

    The leader checks this as well, but a command whose outcome it did not learn
    may be applied after it has granted the same capacity to another task.
    """
    reservations = [task.reserved for task in tables.tasks_on(worker.name)]
    return all(
        sum(getattr(reserved, name) for reserved in reservations)
        + getattr(demand, name)
        <= getattr(worker.capacity, name)
        for name in ttypes.Resources.__slots__
    )


def _record_event(
    tables: tables_module.Tables,
    event: ttypes.RunEvent,
    decided_term: int,
    now_unix_ms: int,
) -> bool:
    task = _task_in_epoch(tables, event.task, event.epoch)
    if task is None or not tables_module.occupies_worker(task):
        return False
    return run_events.apply(
        tables, task, event, decided_term, now_unix_ms=now_unix_ms
    )


def _result(tables: tables_module.Tables, applied: int) -> ttypes.CommandResult:
    return ttypes.CommandResult(
        state_version=tables.state_version, applied_count=applied
    )
