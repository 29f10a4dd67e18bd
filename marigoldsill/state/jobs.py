"""State changes of jobs: submission, grants of runs, cancellation, removal.

A run is (task, number). A task is granted its next run only when the last one is
certainly over, or in parallel if its step allows speculative copies. All changes
are idempotent: repeating one has no effect.
"""

from collections.abc import Iterable

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import job_ends

# Maximum number of parallel runs of a task in a speculative step.
COPIES_LIMIT = 2


def replace_routing(
    tables: tables_module.Tables, routing: ttypes.Routing
) -> ttypes.CommandResult:
    """Replaces the routing if its version is higher than the current one."""
    jobs = tables.jobs
    if routing.version <= jobs.routing.version and jobs.routing.document:
        return _result(ttypes.Outcome.ALREADY)
    jobs.set_routing(routing)
    return _result()


def submit(
    tables: tables_module.Tables, job: ttypes.Job, now_unix_ms: int
) -> ttypes.CommandResult:
    """Accepts a job; one with a known id is ignored, one cancelled before refused."""
    jobs = tables.jobs
    if job.job_id in jobs.jobs:
        return _result(ttypes.Outcome.ALREADY)
    cancelled_ms = jobs.early_cancellations.remaining_ms(
        job.job_id, now_unix_ms=now_unix_ms
    )
    if cancelled_ms:
        return ttypes.CommandResult(
            outcome=ttypes.Outcome.CANCELLED, retry_after_ms=cancelled_ms
        )
    queue = jobs.queues.get(job.queue)
    if queue is None:
        return _result(ttypes.Outcome.NOT_FOUND)
    job.accepted_unix_ms = now_unix_ms
    # Generated records share one default list among all instances.
    record = ttypes.JobRecord(job=job, queue=queue, open=[])
    if not job.repeat_count:
        _begin_occurrence(record, 0)
    jobs.add_job(record)
    return _result()


def begin_occurrences(
    tables: tables_module.Tables, due: Iterable[ttypes.OccurrenceDue]
) -> ttypes.CommandResult:
    """Begins the next occurrences of timed jobs; other numbers are ignored."""
    applied = 0
    for item in due:
        record = tables.jobs.jobs.get(item.job_id)
        if record is None or record.state in job_tables.ENDED:
            continue
        if item.number != record.begun_count:
            continue
        _begin_occurrence(record, item.number)
        tables.jobs.changed_jobs.add(item.job_id)
        applied += 1
    return _result(applied=applied)


def cancel(
    tables: tables_module.Tables, job_id: str, now_unix_ms: int
) -> ttypes.CommandResult:
    """Cancels a job; one that has ended is not changed.

    Of a job that is not known, the cancellation is kept for a while.
    """
    record = tables.jobs.jobs.get(job_id)
    if record is None:
        tables.jobs.early_cancellations.record(job_id, now_unix_ms=now_unix_ms)
        return _result(ttypes.Outcome.NOT_FOUND)
    if record.state in job_tables.ENDED:
        return _result(ttypes.Outcome.ALREADY)
    job_ends.end_job(
        tables, record, ttypes.JobState.CANCELLED, now_unix_ms, "cancelled"
    )
    return _result()


def grant(
    tables: tables_module.Tables,
    grants: Iterable[ttypes.RunGrant],
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Grants runs; grants for tasks that changed in the meantime are skipped."""
    applied = sum(_grant(tables.jobs, item, now_unix_ms) for item in grants)
    return _result(applied=applied)


def remove_ended(
    tables: tables_module.Tables, job_ids: Iterable[str]
) -> ttypes.CommandResult:
    """Removes jobs that have ended and have no runs that may be alive."""
    applied = 0
    for job_id in job_ids:
        record = tables.jobs.jobs.get(job_id)
        if record is None or record.open:
            continue
        if record.state in job_tables.ENDED:
            tables.jobs.remove_job(job_id)
            applied += 1
    return _result(applied=applied)


def _begin_occurrence(record: ttypes.JobRecord, number: int) -> None:
    steps = [
        ttypes.StepTasks(
            tasks=[
                ttypes.JobTask(runs=[], losses=[])
                for _ in range(step.tasks_count)
            ]
        )
        for step in record.job.steps
    ]
    record.open.append(ttypes.Occurrence(number=number, steps=steps))
    record.begun_count = number + 1


def _grant(
    jobs: job_tables.JobTables, item: ttypes.RunGrant, now_unix_ms: int
) -> int:
    address = task_names.parse(item.task)
    record = jobs.jobs.get(address.job_id)
    if record is None or record.state in job_tables.ENDED:
        return 0
    task = job_tables.find_task(record, address)
    if task is None or not _may_grant(record, address, task, item.run):
        return 0
    run = ttypes.JobRun(
        run=item.run,
        agent=item.agent,
        worker_id=item.worker_id,
        granted_unix_ms=now_unix_ms,
        checkpoint_id=task.checkpoint_id,
    )
    task.runs.append(run)
    task.last_run = item.run
    record.state = ttypes.JobState.RUNNING
    jobs.index_run(item.task, run)
    jobs.changed_jobs.add(address.job_id)
    return 1


def _may_grant(
    record: ttypes.JobRecord,
    address: task_names.TaskAddress,
    task: ttypes.JobTask,
    run: int,
) -> bool:
    step = record.job.steps[address.step]
    if task.done or run <= task.last_run:
        return False
    if run != task.last_run + 1 and not step.gang:
        return False
    return len(task.runs) < (COPIES_LIMIT if step.speculative else 1)


def _result(
    outcome: ttypes.Outcome = ttypes.Outcome.OK, *, applied: int = 0
) -> ttypes.CommandResult:
    return ttypes.CommandResult(outcome=outcome, applied_count=applied)
