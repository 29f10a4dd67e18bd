"""Applies confirmed changes to the tables and predicts the runs they disrupt."""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import runs
from marigoldsill.state import tables as tables_module

DISRUPTIVE = frozenset(
    {
        ttypes.EffectVerb.STOP,
        ttypes.EffectVerb.MOVE,
        ttypes.EffectVerb.EVICT,
        ttypes.EffectVerb.NEVER_RUNS,
    }
)
_EVACUATION_STATES = {False: "takes work", True: "evacuated"}
_RESUMABLE = frozenset(
    {
        ttypes.TaskState.CANCELLED,
        ttypes.TaskState.FAILED,
        ttypes.TaskState.IMPOSSIBLE,
    }
)


def apply(
    tables: tables_module.Tables,
    changes: Iterable[ttypes.Change],
    now_unix_ms: int,
) -> None:
    """Applies changes to the tables, one after another."""
    for change in changes:
        _apply_change(tables, change, now_unix_ms)


def evacuation_change(
    tables: tables_module.Tables, data_centre: str, *, evacuate: bool
) -> ttypes.Change | None:
    """Returns the change that begins or ends an evacuation, or None if it is done.

    While a data centre is evacuated, nothing new starts on its workers, and entries
    send requests to endpoints elsewhere. It may have no known worker yet.
    """
    is_evacuated = data_centre in tables.evacuated_data_centres
    if is_evacuated == evacuate:
        return None
    return ttypes.Change(
        verb=(
            ttypes.ChangeVerb.EVACUATE
            if evacuate
            else ttypes.ChangeVerb.END_EVACUATION
        ),
        subject=f"data_centre/{data_centre}",
        before=_EVACUATION_STATES[is_evacuated],
        after=_EVACUATION_STATES[evacuate],
    )


def disruptions(
    tables: tables_module.Tables, changes: Iterable[ttypes.Change]
) -> list[ttypes.Effect]:
    """Returns the runs that changes would stop or move in the current state."""
    return [
        effect
        for change in changes
        for effect in _change_disruptions(tables, change)
    ]


def disruption_keys(
    effects: Iterable[ttypes.Effect],
) -> set[tuple[ttypes.EffectVerb, str]]:
    """Returns verb and subject of each disruptive effect.

    A plan's keys must include those found when it is confirmed.
    """
    return {(e.verb, e.subject) for e in effects if e.verb in DISRUPTIVE}


def _change_disruptions(
    tables: tables_module.Tables, change: ttypes.Change
) -> list[ttypes.Effect]:
    name = change.subject.partition("/")[2]
    match change.verb:
        case ttypes.ChangeVerb.REMOVE:
            return _stop_effects(tables.tasks_of(name), f"{name} is removed")
        case ttypes.ChangeVerb.CANCEL:
            return _stop_effects(tables.tasks_of(name), f"{name} is cancelled")
        case ttypes.ChangeVerb.REPLACE if change.service_after is not None:
            kept = _task_names(name, change.service_after.instances_count)
            excess = [t for t in tables.tasks_of(name) if t.name not in kept]
            return _stop_effects(excess, f"{name} is scaled down")
        case ttypes.ChangeVerb.DRAIN:
            return _move_effects(tables, name, f"{name} drains")
        case ttypes.ChangeVerb.EVACUATE:
            return [
                effect
                for worker in runs.workers_in(tables, name)
                for effect in _move_effects(
                    tables, worker.name, f"data centre {name} is evacuated"
                )
            ]
        case _:
            return []


def _move_effects(
    tables: tables_module.Tables, worker: str, reason: str
) -> list[ttypes.Effect]:
    return [
        ttypes.Effect(
            verb=ttypes.EffectVerb.MOVE,
            subject=task.name,
            worker=worker,
            reason=reason,
        )
        for task in tables.tasks_on(worker)
        if task.state != ttypes.TaskState.STOPPING
    ]


def _stop_effects(tasks: list[ttypes.Task], reason: str) -> list[ttypes.Effect]:
    return [
        ttypes.Effect(
            verb=ttypes.EffectVerb.STOP,
            subject=task.name,
            worker=task.worker,
            reason=reason,
        )
        for task in tasks
        if tables_module.occupies_worker(task) and not task.final_stop
    ]


def _apply_change(
    tables: tables_module.Tables, change: ttypes.Change, now_unix_ms: int
) -> None:
    name = change.subject.partition("/")[2]
    match change.verb:
        case ttypes.ChangeVerb.ADD | ttypes.ChangeVerb.REPLACE:
            _declare(tables, change, now_unix_ms)
        case ttypes.ChangeVerb.REMOVE:
            _remove(tables, change.subject)
        case ttypes.ChangeVerb.CANCEL:
            for task in tables.tasks_of(name):
                runs.stop_permanently(tables, task.name, "cancelled")
        case ttypes.ChangeVerb.DRAIN:
            runs.set_draining(tables, name, draining=True)
        case ttypes.ChangeVerb.UNDRAIN:
            runs.set_draining(tables, name, draining=False)
        case ttypes.ChangeVerb.EVACUATE:
            runs.set_evacuated(tables, name, evacuated=True)
        case ttypes.ChangeVerb.END_EVACUATION:
            runs.set_evacuated(tables, name, evacuated=False)
        case ttypes.ChangeVerb.POLICY:
            tables.set_policy(change.policy_after)


def _declare(
    tables: tables_module.Tables, change: ttypes.Change, now_unix_ms: int
) -> None:
    """Stores the record that a change adds or replaces, and scales its tasks."""
    if change.service_after is not None:
        service = change.service_after
        tables.services[service.name] = service
        _scale(
            tables,
            service.name,
            ttypes.Kind.SERVICE,
            service.instances_count,
            now_unix_ms,
        )
    elif change.batch_job_after is not None:
        job = change.batch_job_after
        tables.batch_jobs[job.name] = job
        _scale(tables, job.name, ttypes.Kind.BATCH_JOB, 1, now_unix_ms)
    elif change.watcher_after is not None:
        watcher = change.watcher_after
        tables.watchers[watcher.name] = watcher
        _scale(tables, watcher.name, ttypes.Kind.WATCHER, 1, now_unix_ms)
    elif change.team_after is not None:
        tables.teams[change.team_after.name] = change.team_after


def _task_names(owner: str, count: int) -> set[str]:
    return {f"{owner}/{index}" for index in range(count)}


def _scale(
    tables: tables_module.Tables,
    owner: str,
    kind: ttypes.Kind,
    count: int,
    now_unix_ms: int,
) -> None:
    """Adds missing tasks of an owner and stops those above the count."""
    declared = _task_names(owner, count)
    existing = set(tables.tasks_by_owner.get(owner, ()))
    for name in sorted(declared - existing):
        tables.put_task(
            ttypes.Task(
                name=name,
                owner=owner,
                kind=kind,
                epoch=tables.epoch_floor,
                queued_unix_ms=now_unix_ms,
                absent_since_unix_ms=now_unix_ms,
                reserved=ttypes.Resources(),
                reason="waits for a worker",
            )
        )
    for name in sorted(declared & existing):
        _resume(tables, tables.tasks[name], now_unix_ms)
    for name in sorted(existing - declared):
        runs.stop_permanently(tables, name, "scaled down")


def _resume(
    tables: tables_module.Tables, task: ttypes.Task, now_unix_ms: int
) -> None:
    """Reverts the stop or end of a declared task; completed jobs stay done."""
    if task.final_stop and tables_module.occupies_worker(task):
        tables.change_task(
            task.name, final_stop=False, reason="declared again while it stops"
        )
    elif task.state in _RESUMABLE:
        tables.change_task(
            task.name,
            state=ttypes.TaskState.QUEUED,
            final_stop=False,
            failures_count=0,
            queued_unix_ms=now_unix_ms,
            absent_since_unix_ms=now_unix_ms,
            reason="declared again",
        )


def _remove(tables: tables_module.Tables, subject: str) -> None:
    kind, _, name = subject.partition("/")
    match kind:
        case "service":
            tables.services.pop(name, None)
        case "batch_job":
            tables.batch_jobs.pop(name, None)
        case "watcher":
            tables.watchers.pop(name, None)
        case "team":
            tables.teams.pop(name, None)
            return
    for task in tables.tasks_of(name):
        runs.stop_permanently(tables, task.name, "removed")
        if not tables_module.occupies_worker(tables.tasks[task.name]):
            tables.remove_task(task.name)
