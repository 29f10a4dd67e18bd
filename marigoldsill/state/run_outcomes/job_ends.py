"""How runs of jobs end, and what that makes of their tasks and jobs.

Only runs that may be alive count, so recording an end twice has no effect.
"""

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import attempts
from marigoldsill.state.run_outcomes import crash_attribution
from marigoldsill.state.run_outcomes import worker_losses


def record(
    tables: tables_module.Tables,
    report: ttypes.RecordRunEnds,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Records how runs ended; only runs that may be alive count.

    What a leader decided from leases counts only while no later leader has
    begun: that one may have renewed them.
    """
    if 0 < report.decided_term < tables.leader_term:
        return ttypes.CommandResult()
    is_from_agent = not report.decided_term
    applied = sum(
        _record_end(tables, end, now_unix_ms, is_from_agent=is_from_agent)
        for end in report.ends
    )
    return ttypes.CommandResult(applied_count=applied)


def _record_end(
    tables: tables_module.Tables,
    end: ttypes.RunEnd,
    now_unix_ms: int,
    *,
    is_from_agent: bool,
) -> int:
    jobs = tables.jobs
    address = task_names.parse(end.task)
    record = jobs.jobs.get(address.job_id)
    task = None if record is None else job_tables.find_task(record, address)
    if task is None:
        return 0
    run = next((r for r in task.runs if r.run == end.run), None)
    is_loss = worker_losses.record(
        task, end, run, now_unix_ms, is_from_agent=is_from_agent
    )
    if run is None and not is_loss:
        return 0
    jobs.changed_jobs.add(address.job_id)
    if run is not None:
        _drop(jobs, end.task, task, run)
        if end.checkpoint_id:
            _keep_checkpoint(record, address, task, end.checkpoint_id)
    if record.state in job_tables.ENDED:
        _close_if_over(record)
        return 1
    match end.kind:
        case ttypes.RunEndKind.DONE if run is not None:
            _take_done(tables, record, address, task, now_unix_ms)
        case ttypes.RunEndKind.FAILED if run is not None:
            _take_failure(tables, record, address, task, run.run, now_unix_ms)
        case ttypes.RunEndKind.CRASHED | ttypes.RunEndKind.LOST if (
            is_loss and not task.done
        ):
            reason = crash_attribution.give_up_reason(end.task, task)
            if reason:
                end_job(
                    tables, record, ttypes.JobState.FAILED, now_unix_ms, reason
                )
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
    tables.jobs.changed_agents |= {run.agent for run in task.runs}
    if step.gang:
        _drop_gang(tables.jobs, address, members)
    all_begun = record.begun_count >= job_tables.occurrences_count(record.job)
    if all_begun and all(_is_done(o) for o in record.open):
        end_job(tables, record, ttypes.JobState.COMPLETED, now_unix_ms, "done")


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
    run: int,
    now_unix_ms: int,
) -> None:
    step = record.job.steps[address.step]
    attempts.record_failure(task, step, run)
    if task.done:
        return
    members = _members(record, address, task)
    if attempts.are_exhausted(step, members, tables.jobs.queue_of(record)):
        end_job(
            tables,
            record,
            ttypes.JobState.FAILED,
            now_unix_ms,
            f"step {address.step} failed "
            f"{attempts.failed_count(step, members)} times",
        )


def end_job(
    tables: tables_module.Tables,
    record: ttypes.JobRecord,
    state: ttypes.JobState,
    now_unix_ms: int,
    reason: str,
) -> None:
    """Ends a job; what of it still runs has to stop."""
    record.state = state
    record.reason = reason
    record.ended_unix_ms = now_unix_ms
    jobs = tables.jobs
    jobs.changed_jobs.add(record.job.job_id)
    # Their orders change: what still runs has to stop.
    jobs.changed_agents |= {
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
    jobs.unindex_run(name, run)
