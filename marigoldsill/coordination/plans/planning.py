"""Turns an operator's intent into a plan: the changes and their effects."""

import dataclasses

from marigoldsill import errors
from marigoldsill.coordination.plans import dry_run as dry_run_module
from marigoldsill.coordination.plans import guard_context
from marigoldsill.coordination.plans import guards
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import changes as changes_module
from marigoldsill.state import tables as tables_module

_KINDS = ("service", "batch_job", "watcher", "team")


@dataclasses.dataclass(slots=True, frozen=True)
class Planner:
    """Makes plans against the current tables.

    Attributes:
        tables: The state; the caller holds its lock or passes a copy.
        observations: Recent observations of the leader that the tables lack.
        operator_name: The operator who requests the plan.
    """

    tables: tables_module.Tables
    observations: guard_context.Observations
    operator_name: str

    def make_plan(self, changes: list[ttypes.Change]) -> ttypes.Plan:
        """Returns a plan of some changes, with its effects and guard rails."""
        dry_run = dry_run_module.DryRun(self.tables, changes)
        effects = dry_run.predict_effects()
        return ttypes.Plan(
            operator_name=self.operator_name,
            state_version=self.tables.state_version,
            changes=changes,
            effects=effects,
            guards=guards.check_plan(
                guard_context.GuardContext(
                    changes=changes,
                    effects=effects,
                    dry_run=dry_run,
                    observations=self.observations,
                )
            ),
        )


def changes_for_apply(
    tables: tables_module.Tables, intent: ttypes.Intent
) -> list[ttypes.Change]:
    """Returns the changes that bring an intent file into force.

    Raises:
        ConflictError: A name is taken, or a declared batch job has finished or is
            still stopping.
    """
    declared = (
        [("service", record) for record in intent.services]
        + [("batch_job", record) for record in intent.batch_jobs]
        + [("watcher", record) for record in intent.watchers]
        + [("team", record) for record in intent.teams]
    )
    changes = [
        _change_for_record(tables, kind, record) for kind, record in declared
    ]
    return [change for change in changes if change is not None]


def changes_for_remove(
    tables: tables_module.Tables, name: str
) -> list[ttypes.Change]:
    """Returns the change that removes a service, batch job, watcher or team.

    Raises:
        NotFoundError: Nothing has that name.
    """
    kind = _kind_of(tables, name)
    return [
        ttypes.Change(
            verb=ttypes.ChangeVerb.REMOVE,
            subject=f"{kind}/{name}",
            before=format_record(_table(tables, kind)[name]),
        )
    ]


def changes_for_cancel(
    tables: tables_module.Tables, names: list[str]
) -> list[ttypes.Change]:
    """Returns the changes that cancel batch jobs, without those that have ended.

    Raises:
        NotFoundError: One of the names is not that of a batch job.
    """
    unknown = [name for name in names if name not in tables.batch_jobs]
    if unknown:
        raise errors.NotFoundError(
            f"no batch job is named {', '.join(map(repr, unknown))}"
        )
    return [
        ttypes.Change(
            verb=ttypes.ChangeVerb.CANCEL,
            subject=f"batch_job/{name}",
            before=format_record(tables.batch_jobs[name]),
            after="cancelled",
        )
        for name in dict.fromkeys(names)
        if any(_can_be_cancelled(task) for task in tables.tasks_of(name))
    ]


def changes_for_drain(
    tables: tables_module.Tables, name: str, *, drain: bool = True
) -> list[ttypes.Change]:
    """Returns the changes that drain a worker, or that end its drain.

    Raises:
        NotFoundError: No worker has that name.
    """
    worker = tables.workers.get(name)
    if worker is None:
        raise errors.NotFoundError(f"no worker is named {name!r}")
    if worker.draining == drain:
        return []
    return [
        ttypes.Change(
            verb=(
                ttypes.ChangeVerb.DRAIN if drain else ttypes.ChangeVerb.UNDRAIN
            ),
            subject=f"worker/{name}",
            before="draining" if worker.draining else "takes work",
            after="draining" if drain else "takes work",
        )
    ]


def changes_for_evacuation(
    tables: tables_module.Tables, data_centre: str, *, evacuate: bool
) -> list[ttypes.Change]:
    """Returns the changes that evacuate a data centre, or that end its evacuation.

    Raises:
        NotFoundError: It has no worker and is not evacuated; probably a typing error.
    """
    is_known = data_centre in tables.evacuated_data_centres or any(
        worker.data_centre == data_centre for worker in tables.workers.values()
    )
    if not is_known:
        raise errors.NotFoundError(
            f"no worker is in a data centre named {data_centre!r}"
        )
    change = changes_module.evacuation_change(
        tables, data_centre, evacuate=evacuate
    )
    return [] if change is None else [change]


def changes_for_policy(
    tables: tables_module.Tables, policy: ttypes.Policy
) -> list[ttypes.Change]:
    """Returns the changes that set the operator policy."""
    if policy == tables.policy:
        return []
    return [
        ttypes.Change(
            verb=ttypes.ChangeVerb.POLICY,
            subject="policy",
            policy_after=policy,
            before=format_record(tables.policy),
            after=format_record(policy),
        )
    ]


def format_record(record: object) -> str:
    """Formats a record on one line, for plans and the audit trail."""
    values = ((slot, getattr(record, slot)) for slot in record.__slots__)
    return " ".join(
        f"{slot}={format_record(v) if hasattr(v, '__slots__') else v}"
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
    kinds = [kind for kind in _KINDS if name in _table(tables, kind)]
    if not kinds:
        raise errors.NotFoundError(
            f"no service, batch job, watcher or team is named {name!r}"
        )
    return kinds[0]


def _change_for_record(
    tables: tables_module.Tables, kind: str, record: object
) -> ttypes.Change | None:
    old = _table(tables, kind).get(record.name)
    if old == record:
        return None
    _require_unused_name(tables, kind, record.name)
    if kind == "batch_job":
        _require_not_run(tables, record.name, is_new=old is None)
    verb = ttypes.ChangeVerb.ADD if old is None else ttypes.ChangeVerb.REPLACE
    return ttypes.Change(
        verb=verb,
        subject=f"{kind}/{record.name}",
        before="" if old is None else format_record(old),
        after=format_record(record),
        **{f"{kind}_after": record},
    )


def _require_unused_name(
    tables: tables_module.Tables, kind: str, name: str
) -> None:
    """Raises ConflictError if a record of another kind has the name."""
    conflicting = [
        other
        for other in _KINDS[:3]
        if other != kind and kind != "team" and name in _table(tables, other)
    ]
    if conflicting:
        raise errors.ConflictError(
            f"{name!r} is already the name of a {conflicting[0]}; services, "
            "batch jobs and watchers share one namespace"
        )


def _can_be_cancelled(task: ttypes.Task) -> bool:
    if task.state in (ttypes.TaskState.QUEUED, ttypes.TaskState.IMPOSSIBLE):
        return True
    return tables_module.occupies_worker(task) and not task.final_stop


def _require_not_run(
    tables: tables_module.Tables, name: str, *, is_new: bool
) -> None:
    """Raises ConflictError if a batch job has finished or is still stopping.

    A batch job runs once, so a changed file does not run it again.
    """
    tasks = tables.tasks_of(name)
    if is_new and tasks:
        raise errors.ConflictError(
            f"the batch job {name!r} that was removed is still stopping on "
            f"{tasks[0].worker}; apply again once it has stopped, or choose "
            "another name"
        )
    if any(task.state == ttypes.TaskState.DONE for task in tasks):
        raise errors.ConflictError(
            f"the batch job {name!r} has finished and is not run again by a "
            "changed declaration. Give the new work a new name, or remove "
            f"{name!r} first and apply again"
        )
