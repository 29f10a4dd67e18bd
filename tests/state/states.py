"""Helpers that build tables and apply commands, shared by tests."""

import itertools

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import changes as changes_module
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

SMALL = ttypes.Resources(cpu_millicores=1000, memory_bytes=1 << 30)
LARGE = ttypes.Resources(cpu_millicores=30_000, memory_bytes=130 << 30)
_ids = itertools.count(1)


def apply(
    tables: tables_module.Tables,
    *,
    command_id: str = "",
    at_unix_ms: int = 1_000,
    **body: object,
) -> ttypes.CommandResult:
    """Applies a command with one body."""
    return state_machine.apply(
        tables,
        ttypes.Command(
            command_id=command_id or f"command-{next(_ids)}",
            proposed_unix_ms=at_unix_ms,
            **body,
        ),
    )


def worker(
    name: str,
    *,
    state: ttypes.WorkerState = ttypes.WorkerState.ACTIVE,
    incarnation: int = 1,
    capacity: ttypes.Resources = LARGE,
) -> ttypes.Worker:
    """Builds a worker."""
    return ttypes.Worker(
        name=name,
        data_centre="dc1",
        rack="rack1",
        capacity=capacity,
        agent_address="127.0.0.1:1",
        state=state,
        incarnation=incarnation,
    )


def with_workers(*names: str) -> tables_module.Tables:
    """Builds tables with active workers of the given names."""
    tables = tables_module.Tables()
    for name in names:
        apply(tables, put_worker=ttypes.PutWorker(worker=worker(name)))
    return tables


def service(
    name: str, *, instances: int = 1, **fields: object
) -> ttypes.Service:
    """Builds a service."""
    values = {"resources": SMALL, "instances_count": instances} | fields
    return ttypes.Service(name=name, **values)


def batch_job(name: str, **fields: object) -> ttypes.BatchJob:
    """Builds a batch job."""
    return ttypes.BatchJob(name=name, **({"resources": SMALL} | fields))


def watcher(name: str, **fields: object) -> ttypes.Watcher:
    """Builds a watcher."""
    return ttypes.Watcher(name=name, **({"resources": SMALL} | fields))


def declare(record: object, *, replace: bool = False) -> ttypes.Change:
    """Builds the change that adds a declaration, or replaces it."""
    kind = {
        ttypes.Service: "service",
        ttypes.BatchJob: "batch_job",
        ttypes.Watcher: "watcher",
        ttypes.Team: "team",
    }[type(record)]
    verb = ttypes.ChangeVerb.REPLACE if replace else ttypes.ChangeVerb.ADD
    return ttypes.Change(
        verb=verb,
        subject=f"{kind}/{record.name}",
        after=record.name,
        **{f"{kind}_after": record},
    )


def change(verb: ttypes.ChangeVerb, subject: str) -> ttypes.Change:
    """Builds a change that has a subject and no new record."""
    return ttypes.Change(verb=verb, subject=subject)


def plan(
    tables: tables_module.Tables,
    *changes: ttypes.Change,
    operator_name: str = "desk-1",
    effects: list[ttypes.Effect] | None = None,
    guards: list[ttypes.Guard] | None = None,
) -> int:
    """Records a plan and returns its id."""
    result = apply(
        tables,
        record_plan=ttypes.RecordPlan(
            plan=ttypes.Plan(
                operator_name=operator_name,
                state_version=tables.state_version,
                changes=list(changes),
                effects=effects or [],
                guards=guards or [],
            )
        ),
    )
    return result.plan_id


def confirm(
    tables: tables_module.Tables,
    plan_id: int,
    *,
    operator_name: str = "desk-1",
    acknowledged: tuple[str, ...] = (),
    command_id: str = "",
) -> ttypes.CommandResult:
    """Confirms a plan."""
    return apply(
        tables,
        command_id=command_id,
        confirm_plan=ttypes.ConfirmPlan(
            plan_id=plan_id,
            operator_name=operator_name,
            acknowledged_guards=list(acknowledged),
        ),
    )


def apply_changes(
    tables: tables_module.Tables, *changes: ttypes.Change
) -> None:
    """Applies changes by a plan whose effects include all their disruptions."""
    plan_id = plan(
        tables, *changes, effects=changes_module.disruptions(tables, changes)
    )
    result = confirm(tables, plan_id)
    assert result.outcome == ttypes.Outcome.OK, result.message


def run_all(tables: tables_module.Tables, *, on: str) -> None:
    """Starts all queued tasks on one worker."""
    tasks = [tables.tasks[name] for name in tables.queued]
    apply(
        tables,
        assign_runs=ttypes.AssignRuns(
            assignments=[
                ttypes.Assignment(
                    task=task.name,
                    epoch=task.epoch + 1,
                    worker=on,
                    reserved=tables.owner_record(task).resources,
                )
                for task in tasks
            ]
        ),
    )
    report(tables, ttypes.RunEventKind.STARTED, *(t.name for t in tasks))


def report(
    tables: tables_module.Tables,
    kind: ttypes.RunEventKind,
    *names: str,
    epoch: int = 0,
) -> None:
    """Reports an event for each of the tasks."""
    apply(
        tables,
        record_run_events=ttypes.RecordRunEvents(
            events=[
                ttypes.RunEvent(
                    task=name,
                    epoch=epoch or tables.tasks[name].epoch,
                    kind=kind,
                )
                for name in names
            ]
        ),
    )
