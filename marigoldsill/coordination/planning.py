"""From an operator's intent to a plan: what would change, and its effects."""

from marigoldsill import errors
from marigoldsill.coordination import placement
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_KINDS = ("service", "batch_job", "watcher", "team")


def for_apply(
    tables: tables_module.Tables, intent: ttypes.Intent, operator_name: str
) -> ttypes.Plan:
    """A plan that brings an intent file into force."""
    declared = (
        [("service", record) for record in intent.services]
        + [("batch_job", record) for record in intent.batch_jobs]
        + [("watcher", record) for record in intent.watchers]
        + [("team", record) for record in intent.teams]
    )
    changes = [_change(tables, kind, record) for kind, record in declared]
    return make(tables, [c for c in changes if c is not None], operator_name)


def for_remove(
    tables: tables_module.Tables, name: str, operator_name: str
) -> ttypes.Plan:
    """A plan that removes a declared thing.

    Raises:
        NotFoundError: Nothing has that name.
    """
    kind = _kind_of(tables, name)
    record = _table(tables, kind)[name]
    change = ttypes.Change(
        verb=ttypes.ChangeVerb.REMOVE,
        subject=f"{kind}/{name}",
        before=describe(record),
    )
    return make(tables, [change], operator_name)


def for_cancel(
    tables: tables_module.Tables, names: list[str], operator_name: str
) -> ttypes.Plan:
    """A plan that cancels batch jobs.

    Raises:
        NotFoundError: One of the names is no batch job.
    """
    unknown = [name for name in names if name not in tables.batch_jobs]
    if unknown:
        raise errors.NotFoundError(
            f"no batch job is named {', '.join(map(repr, unknown))}"
        )
    changes = [
        ttypes.Change(
            verb=ttypes.ChangeVerb.CANCEL,
            subject=f"batch_job/{name}",
            before=describe(tables.batch_jobs[name]),
            after="cancelled",
        )
        for name in names
    ]
    return make(tables, changes, operator_name)


def for_drain(
    tables: tables_module.Tables,
    name: str,
    operator_name: str,
    *,
    drain: bool = True,
) -> ttypes.Plan:
    """A plan that drains a worker, or lets it take work again.

    Raises:
        NotFoundError: No worker has that name.
    """
    worker = tables.workers.get(name)
    if worker is None:
        raise errors.NotFoundError(f"no worker is named {name!r}")
    verb = ttypes.ChangeVerb.DRAIN if drain else ttypes.ChangeVerb.UNDRAIN
    change = ttypes.Change(
        verb=verb,
        subject=f"worker/{name}",
        before=ttypes.WorkerState(worker.state).name.lower(),
        after="draining" if drain else "active",
    )
    return make(tables, [change], operator_name)


def for_policy(
    tables: tables_module.Tables, policy: ttypes.Policy, operator_name: str
) -> ttypes.Plan:
    """A plan that sets the operator policy."""
    change = ttypes.Change(
        verb=ttypes.ChangeVerb.POLICY,
        subject="policy",
        policy_after=policy,
        before=describe(tables.policy),
        after=describe(policy),
    )
    return make(tables, [change], operator_name)


def make(
    tables: tables_module.Tables,
    changes: list[ttypes.Change],
    operator_name: str,
) -> ttypes.Plan:
    """A plan of given changes with the effects that they would have."""
    effects = [e for change in changes for e in _effects(tables, change)]
    return ttypes.Plan(
        operator_name=operator_name,
        state_version=tables.state_version,
        changes=changes,
        effects=effects,
        guards=[],
    )


def describe(record: object) -> str:
    """A record on one line, for plans and the audit trail."""
    values = ((slot, getattr(record, slot)) for slot in record.__slots__)
    return " ".join(
        f"{slot}={describe(v) if hasattr(v, '__slots__') else v}"
        for slot, v in values
    )


def _table(tables: tables_module.Tables, kind: str) -> dict:
    return {
        "service": tables.services,
        "batch_job": tables.batch_jobs,
        "watcher": tables.watchers,
        "team": tables.teams,
    }[kind]


def _kind_of(tables: tables_module.Tables, name: str) -> str:
    found = [kind for kind in _KINDS if name in _table(tables, kind)]
    if not found:
        raise errors.NotFoundError(
            f"no service, batch job, watcher or team is named {name!r}"
        )
    return found[0]


def _change(
    tables: tables_module.Tables, kind: str, record: object
) -> ttypes.Change | None:
    old = _table(tables, kind).get(record.name)
    if old == record:
        return None
    _check_name_free(tables, kind, record.name)
    verb = ttypes.ChangeVerb.ADD if old is None else ttypes.ChangeVerb.REPLACE
    return ttypes.Change(
        verb=verb,
        subject=f"{kind}/{record.name}",
        before="" if old is None else describe(old),
        after=describe(record),
        **{f"{kind}_after": record},
    )


def _check_name_free(
    tables: tables_module.Tables, kind: str, name: str
) -> None:
    taken = [
        other
        for other in _KINDS[:3]
        if other != kind and kind != "team" and name in _table(tables, other)
    ]
    if taken:
        raise errors.ConflictError(
            f"{name!r} is already the name of a {taken[0]}; services, batch "
            "jobs and watchers share one set of names"
        )


def _effects(
    tables: tables_module.Tables, change: ttypes.Change
) -> list[ttypes.Effect]:
    name = change.subject.partition("/")[2]
    match change.verb:
        case ttypes.ChangeVerb.ADD | ttypes.ChangeVerb.REPLACE:
            return _effects_of_put(tables, change, name)
        case ttypes.ChangeVerb.REMOVE | ttypes.ChangeVerb.CANCEL:
            return [
                ttypes.Effect(
                    verb=ttypes.EffectVerb.STOP,
                    subject=task.name,
                    worker=task.worker,
                    reason="removed or cancelled",
                )
                for task in tables.tasks_of(name)
                if tables_module.holds_worker(task)
            ]
        case ttypes.ChangeVerb.DRAIN:
            return [
                ttypes.Effect(
                    verb=ttypes.EffectVerb.MOVE,
                    subject=task.name,
                    worker=name,
                    reason=f"{name} drains",
                )
                for task in tables.tasks_on(name)
            ]
        case _:
            return []


def _effects_of_put(
    tables: tables_module.Tables, change: ttypes.Change, name: str
) -> list[ttypes.Effect]:
    record = change.service_after or change.batch_job_after
    record = record or change.watcher_after
    if record is None:
        return []
    count = getattr(record, "instances_count", 1)
    held = tables.tasks_by_owner.get(name, set())
    new = [f"{name}/{i}" for i in range(count) if f"{name}/{i}" not in held]
    possible = any(
        placement.fits(record.resources, worker.capacity)
        for worker in tables.workers.values()
    )
    verb = ttypes.EffectVerb.START if possible else ttypes.EffectVerb.NEVER_RUNS
    reason = "new" if possible else "larger than every worker known"
    return [
        ttypes.Effect(verb=verb, subject=task, reason=reason) for task in new
    ]
