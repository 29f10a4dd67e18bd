"""Builds tables of a given size by applying real commands."""

import itertools

from marigoldsill import errors
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

TASKS_PER_WORKER_COUNT = 15
_BATCH_SIZE = 500
_WORKER_CAPACITY = ttypes.Resources(
    cpu_millicores=60_000, memory_bytes=250 << 30, accelerators_count=2
)
_TASK_RESOURCES = ttypes.Resources(cpu_millicores=2_000, memory_bytes=8 << 30)
_command_numbers = itertools.count(1)


def worker_name(index: int) -> str:
    """Returns the name of a worker, of realistic length."""
    return f"dc{index % 6 + 1}-r{index // 3 % 100:02}-w{index:04}"


def job_name(index: int) -> str:
    """Returns the name of a batch job, of realistic length."""
    return f"lineage-rebuild-{index:06}"


def task_name(index: int) -> str:
    """Returns the name of the only task of a batch job."""
    return f"{job_name(index)}/0"


def team_name(index: int) -> str:
    """Returns the name of a team."""
    return f"team-{index:03}"


def make_worker(index: int) -> ttypes.Worker:
    """Returns a worker as its agent registers it."""
    return ttypes.Worker(
        name=worker_name(index),
        data_centre=f"dc{index % 6 + 1}",
        rack=f"r{index // 3 % 100:02}",
        capacity=_WORKER_CAPACITY,
        agent_address=f"10.{index % 6 + 1}.{index // 200}.{index % 200}:7500",
        incarnation=1_790_000_000_000_000_000 + index,
    )


def make_batch_job(index: int) -> ttypes.BatchJob:
    """Returns a small batch job."""
    return ttypes.BatchJob(
        name=job_name(index),
        team=team_name(index % 450),
        resources=_TASK_RESOURCES,
        run_time_ms=3_600_000,
        deadline_unix_ms=1_790_000_000_000,
        command=f"rebuild --club {index}",
    )


def apply_command(
    tables: tables_module.Tables, **body: object
) -> ttypes.CommandResult:
    """Encodes, decodes and applies one command, as a replica does."""
    command = ttypes.Command(
        command_id=f"00000000-0000-0000-0000-{next(_command_numbers):012}",
        proposed_unix_ms=1_780_000_000_000,
        **body,
    )
    data = codec.encode(command)
    return state_machine.apply(tables, codec.decode(ttypes.Command(), data))


def add_workers(tables: tables_module.Tables, count: int) -> None:
    """Adds workers, numbered after the existing ones."""
    first = len(tables.workers)
    for index in range(first, first + count):
        apply_command(
            tables, put_worker=ttypes.PutWorker(worker=make_worker(index))
        )


def add_teams(tables: tables_module.Tables, count: int) -> None:
    """Adds teams, numbered after the existing ones, with one plan each."""
    first = len(tables.teams)
    for index in range(first, first + count):
        team = ttypes.Team(name=team_name(index), quota=_WORKER_CAPACITY)
        confirm_changes(
            tables,
            [
                ttypes.Change(
                    verb=ttypes.ChangeVerb.ADD,
                    subject=f"team/{team.name}",
                    team_after=team,
                    after=f"team {team.name}",
                )
            ],
        )


def add_jobs(tables: tables_module.Tables, count: int) -> None:
    """Adds queued batch jobs after the existing ones, many in one plan."""
    first = len(tables.batch_jobs)
    changes = (
        ttypes.Change(
            verb=ttypes.ChangeVerb.ADD,
            subject=f"batch_job/{job_name(index)}",
            batch_job_after=make_batch_job(index),
            after=f"batch job {job_name(index)}",
        )
        for index in range(first, first + count)
    )
    while batch := list(itertools.islice(changes, _BATCH_SIZE)):
        confirm_changes(tables, batch)
        tables.plans.clear()  # plans and audit records are measured separately
        tables.audit.clear()


def confirm_changes(
    tables: tables_module.Tables, changes: list[ttypes.Change]
) -> ttypes.CommandResult:
    """Records and confirms a plan with changes."""
    plan = ttypes.Plan(
        operator_name="desk-2",
        state_version=tables.state_version,
        changes=changes,
    )
    recorded = apply_command(tables, record_plan=ttypes.RecordPlan(plan=plan))
    return apply_command(
        tables,
        confirm_plan=ttypes.ConfirmPlan(
            plan_id=recorded.plan_id, operator_name="desk-2"
        ),
    )


def make_assignments(
    tables: tables_module.Tables, count: int
) -> list[ttypes.Assignment]:
    """Assigns queued tasks to workers in turn, after the last assigned one."""
    names = itertools.islice(tables.queued, count)
    granted = len(tables.tasks) - len(tables.queued)
    first = granted % len(tables.workers)
    workers = itertools.islice(itertools.cycle(tables.workers), first, None)
    return [
        ttypes.Assignment(
            task=name,
            epoch=tables.tasks[name].epoch + 1,
            worker=worker,
            reserved=_TASK_RESOURCES,
            reason=f"placed on {worker}",
        )
        for name, worker in zip(names, workers, strict=False)
    ]


def make_run_events(
    grants: list[ttypes.Assignment], kind: ttypes.RunEventKind
) -> list[ttypes.RunEvent]:
    """Returns an event of one kind for each granted run."""
    return [
        ttypes.RunEvent(
            task=grant.task, epoch=grant.epoch, kind=kind, event_id=index
        )
        for index, grant in enumerate(grants)
    ]


def start_all_tasks(tables: tables_module.Tables) -> None:
    """Assigns every queued task and reports its start.

    Raises:
        CapacityError: If the tasks do not fit the workers.
    """
    while tables.queued:
        grants = make_assignments(tables, _BATCH_SIZE)
        result = apply_command(
            tables, assign_runs=ttypes.AssignRuns(assignments=grants)
        )
        if not result.applied_count:
            raise errors.CapacityError(
                f"{len(tables.queued)} tasks do not fit "
                f"{len(tables.workers)} workers"
            )
        started = make_run_events(grants, ttypes.RunEventKind.STARTED)
        apply_command(
            tables, record_run_events=ttypes.RecordRunEvents(events=started)
        )


def build_running_tables(
    *, workers_count: int, tasks_count: int
) -> tables_module.Tables:
    """Returns tables with workers and running tasks."""
    tables = tables_module.Tables()
    add_workers(tables, workers_count)
    add_jobs(tables, tasks_count)
    start_all_tasks(tables)
    return tables
