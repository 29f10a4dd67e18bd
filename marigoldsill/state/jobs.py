"""How jobs change: taken in, granted runs, ended, cancelled, forgotten.

A run is (task, number). A task gets its next run only when the last one is
surely over, or beside it where its step allows copies. Every step may be
repeated: replaying it has no effect.
"""

from collections.abc import Iterable

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import tables as tables_module

COPIES_LIMIT = 2


def replace_routing(
    tables: tables_module.Tables, routing: ttypes.Routing
) -> ttypes.CommandResult:
    """Brings a routing into force if its version is the highest so far."""
    jobs = tables.jobs
    if routing.version <= jobs.routing.version and jobs.routing.document:
        return _result(ttypes.Outcome.ALREADY)
    jobs.set_routing(routing)
    return _result()


def submit(
    tables: tables_module.Tables, job: ttypes.Job, now_unix_ms: int
) -> ttypes.CommandResult:
    """Takes a job in; a known id changes nothing."""
    jobs = tables.jobs
    if job.job_id in jobs.jobs:
        return _result(ttypes.Outcome.ALREADY)
    queue = jobs.queues.get(job.queue)
    if queue is None:
        return _result(ttypes.Outcome.NOT_FOUND)
    job.accepted_unix_ms = now_unix_ms
    # The generator shares one default list among all records.
    record = ttypes.JobRecord(job=job, queue=queue, open=[])
    if not job.repeat_count:
        _begin(record, 0)
    jobs.put(record)
    return _result()


def begin_occurrences(
    tables: tables_module.Tables, due: Iterable[ttypes.OccurrenceDue]
) -> ttypes.CommandResult:
    """Begins the next occurrences of timed jobs."""
    applied = 0
    for item in due:
        record = tables.jobs.jobs.get(item.job_id)
        if record is None or record.state in job_tables.ENDED:
            continue
        if item.number != record.begun_count:
            continue
        _begin(record, item.number)
        tables.jobs.touched_jobs.add(item.job_id)
        applied += 1
    return _result(applied=applied)


def cancel(
    tables: tables_module.Tables, job_id: str, now_unix_ms: int
) -> ttypes.CommandResult:
    """Cancels a job; one that has ended stays as it ended."""
    record = tables.jobs.jobs.get(job_id)
    if record is None:
        return _result(ttypes.Outcome.NOT_FOUND)
    if record.state in job_tables.ENDED:
        return _result(ttypes.Outcome.ALREADY)
    _end(tables, record, ttypes.JobState.CANCELLED, now_unix_ms, "cancelled")
    return _result()


def grant(
    tables: tables_module.Tables,
    grants: Iterable[ttypes.RunGrant],
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Grants runs; those whose task has changed meanwhile are left out."""
    applied = sum(_grant(tables.jobs, item, now_unix_ms) for item in grants)
    return _result(applied=applied)


def record_ends(
    tables: tables_module.Tables,
    record: ttypes.RecordRunEnds,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Records how runs ended; only runs that may be alive count.

    What a leader decided from leases counts only while no later leader has
    begun: that one may have renewed them.
    """
    if 0 < record.decided_term < tables.leader_term:
        return _result()
    applied = sum(_record_end(tables, end, now_unix_ms) for end in record.ends)
    return _result(applied=applied)


def forget(
    tables: tables_module.Tables, job_ids: Iterable[str]
) -> ttypes.CommandResult:
    """Forgets jobs that are over."""
    applied = 0
    for job_id in job_ids:
        record = tables.jobs.jobs.get(job_id)
        if record is None or record.open:
            continue
        if record.state in job_tables.ENDED:
            tables.jobs.remove(job_id)
            applied += 1
    return _result(applied=applied)


def _begin(record: ttypes.JobRecord, number: int) -> None:
    steps = [
        ttypes.StepTasks(
            tasks=[ttypes.JobTask(runs=[]) for _ in range(step.tasks_count)]
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
    jobs.index_run(address.job_id, item.task, run)
    jobs.touched_jobs.add(address.job_id)
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


def _record_end(
    tables: tables_module.Tables, end: ttypes.RunEnd, now_unix_ms: int
) -> int:
    jobs = tables.jobs
    address = task_names.parse(end.task)
    record = jobs.jobs.get(address.job_id)
    task = None if record is None else job_tables.find_task(record, address)
    if task is None:
        return 0
    run = next((r for r in task.runs if r.run == end.run), None)
    if run is None:
        return 0
    _drop(jobs, end.task, task, run)
    jobs.touched_jobs.add(address.job_id)
    if end.checkpoint_id:
        _keep_checkpoint(record, address, task, end.checkpoint_id)
    if record.state in job_tables.ENDED:
        _close_if_over(record)
        return 1
    match end.kind:
        case ttypes.RunEndKind.DONE:
            _take_done(tables, record, address, task, now_unix_ms)
        case ttypes.RunEndKind.FAILED:
            _take_failure(tables, record, address, task, now_unix_ms)
    if task.done:
        record.open = [o for o in record.open if not _is_over(o)]
    return 1


def _keep_checkpoint(
    record: ttypes.JobRecord,
    address: task_names.TaskAddress,
    task: ttypes.JobTask,
    checkpoint_id: str,
) -> None:
    """Keeps a checkpoint; any member's is valid for its whole gang."""
    for member in _members(record, address, task):
        member.checkpoint_id = checkpoint_id


def _members(
    record: ttypes.JobRecord,
    address: task_names.TaskAddress,
    task: ttypes.JobTask,
) -> list[ttypes.JobTask]:
    """All members of a task's gang, or the task alone."""
    if not record.job.steps[address.step].gang:
        return [task]
    occurrence = job_tables.find_occurrence(record, address.occurrence)
    return occurrence.steps[address.step].tasks


def _take_done(
    tables: tables_module.Tables,
    record: ttypes.JobRecord,
    address: task_names.TaskAddress,
    task: ttypes.JobTask,
    now_unix_ms: int,
) -> None:
    step = record.job.steps[address.step]
    if step.long_running:
        return
    members = _members(record, address, task)
    for member in members:
        member.done = True
    # Other copies have to stop.
    tables.jobs.touched_agents |= {run.agent for run in task.runs}
    if step.gang:
        _drop_gang(tables.jobs, address, members)
    all_begun = record.begun_count >= job_tables.occurrences_count(record.job)
    if all_begun and all(_is_done(o) for o in record.open):
        _end(tables, record, ttypes.JobState.COMPLETED, now_unix_ms, "done")


def _drop_gang(
    jobs: job_tables.JobTables,
    address: task_names.TaskAddress,
    members: list[ttypes.JobTask],
) -> None:
    """Ends the runs of all members: one end stands for all of them."""
    for index, member in enumerate(members):
        name = task_names.name_of(
            address.job_id, address.occurrence, address.step, index
        )
        for run in list(member.runs):
            _drop(jobs, name, member, run)


def _is_done(occurrence: ttypes.Occurrence) -> bool:
    return all(t.done for s in occurrence.steps for t in s.tasks)


def _is_over(occurrence: ttypes.Occurrence) -> bool:
    """Whether all tasks are done and no copy of one may be alive."""
    return all(t.done and not t.runs for s in occurrence.steps for t in s.tasks)


def _take_failure(
    tables: tables_module.Tables,
    record: ttypes.JobRecord,
    address: task_names.TaskAddress,
    task: ttypes.JobTask,
    now_unix_ms: int,
) -> None:
    task.failures_count += 1
    step = record.job.steps[address.step]
    if step.long_running or task.done:
        return
    members = _members(record, address, task)
    failures_count = sum(member.failures_count for member in members)
    limit = tables.jobs.queue_of(record).attempts_limit
    if failures_count >= limit:
        _end(
            tables,
            record,
            ttypes.JobState.FAILED,
            now_unix_ms,
            f"step {address.step} failed {failures_count} times",
        )


def _end(
    tables: tables_module.Tables,
    record: ttypes.JobRecord,
    state: ttypes.JobState,
    now_unix_ms: int,
    reason: str,
) -> None:
    record.state = state
    record.reason = reason
    record.ended_unix_ms = now_unix_ms
    jobs = tables.jobs
    jobs.touched_jobs.add(record.job.job_id)
    # Their orders change: what still runs has to stop.
    jobs.touched_agents |= {
        run.agent
        for _, _, task in job_tables.tasks_of(record)
        for run in task.runs
    }
    _close_if_over(record)


def _close_if_over(record: ttypes.JobRecord) -> None:
    """Drops the tasks of an ended job once none of its runs may be alive."""
    runs_left = any(task.runs for _, _, task in job_tables.tasks_of(record))
    if runs_left:
        return
    record.open = []
    record.job = ttypes.Job(
        job_id=record.job.job_id,
        queue=record.job.queue,
        command="",
        steps=[],
        accepted_unix_ms=record.job.accepted_unix_ms,
    )


def _drop(
    jobs: job_tables.JobTables,
    name: str,
    task: ttypes.JobTask,
    run: ttypes.JobRun,
) -> None:
    task.runs.remove(run)
    jobs.drop_run(name, run)


def _result(
    outcome: ttypes.Outcome = ttypes.Outcome.OK, *, applied: int = 0
) -> ttypes.CommandResult:
    return ttypes.CommandResult(outcome=outcome, applied_count=applied)
