"""Invariants of the history of a soak, which hold under all faults.

Each check returns one line for each violation. Checks with a time bound do not count
time that a fault explains. The loss of a leader, or of several in series, explains
nothing, because the bounds include elections.
"""

import collections
from collections.abc import Collection

from soak import bounds
from soak import cancellations
from soak import downtimes
from soak import gang_invariants
from soak import history as history_module
from soak import time_spans
from tests.platform import journal_invariants


def violations(history: history_module.History) -> list[str]:
    """Returns the violations of all invariants."""
    lines = history.lines
    return [
        *(
            f"{t} ran twice at the same time"
            for t in journal_invariants.find_concurrent_runs(lines)
        ),
        *(
            f"{t} was started after its end"
            for t in journal_invariants.find_starts_after_completion(lines)
        ),
        *(
            f"{t} was started before an earlier step ended"
            for t in journal_invariants.find_premature_steps(lines)
        ),
        *(
            f"{t} has run numbers that do not rise"
            for t in journal_invariants.find_nonincreasing_run_numbers(lines)
        ),
        *(
            f"{t} was restarted too often after crashes"
            for t in journal_invariants.find_restarts_after_crashes(lines)
        ),
        *refused_jobs_that_ran(history),
        *failed_without_crashes(history),
        *starts_over_capacity(history),
        *starts_in_evacuated_data_centres(history),
        *completed_with_missing_tasks(history),
        *unfinished_jobs(history),
        *downtimes.excessive_downtimes(history),
        *not_running_at_the_end(history),
        *cancellations.runs_after_cancellation(history),
        *cancellations.unknown_jobs_that_ran(history),
        *gang_invariants.incomplete_gangs(history),
        *gang_invariants.idle_gangs(history),
        *early_starts(history),
        *unrequested_tasks(history),
        *outvoted_workers(history),
    ]


def refused_jobs_that_ran(history: history_module.History) -> list[str]:
    """Finds jobs for which every answer was a refusal, but that ran."""
    started = {run.job_id for run in history.runs()}
    return [
        f"{job.job_id} was refused, but ran"
        for job in history.jobs
        if job.refused and job.job_id in started
    ]


def failed_without_crashes(history: history_module.History) -> list[str]:
    """Finds failed jobs of which no task had failed or crashed workers often enough.

    A worker crashed under a task only if it had a run of it then. Runs that were done,
    stopped or lapsed before do not count, nor those that never began there, nor crashes
    after the job had failed. A run of a gang is one attempt, however many members fail in
    it.
    """
    workers: dict[str, set[str]] = collections.defaultdict(set)
    failures: dict[str, set[int]] = collections.defaultdict(set)
    gangs = {job.job_id for job in history.jobs if job.gang}
    failed_ns = {job.job_id: history.failed_ns(job) for job in history.jobs}
    for run in history.runs():
        if run.span.ended_ns > failed_ns.get(run.job_id, 0):
            continue
        if run.outcome == "lost":
            workers[run.task].add(run.worker)
        elif run.outcome == "failed":
            failures[_attempts_key(run.task, gangs)].add(run.number)
    return [
        f"{job.job_id} failed after too few worker crashes"
        for job in history.jobs
        if job.state == "failed"
        and all(
            len(workers[task]) < bounds.MIN_CRASHES_TO_FAIL
            and len(failures[_attempts_key(task, gangs)]) < bounds.MAX_ATTEMPTS
            for task in job.task_names()
        )
    ]


def _attempts_key(task: str, gangs: Collection[str]) -> str:
    """Returns the task, or its step if the tasks of a step are a gang."""
    is_gang = task.partition(".")[0] in gangs
    return task.rpartition(".")[0] if is_gang else task


def starts_over_capacity(history: history_module.History) -> list[str]:
    """Finds runs started over a worker's reduced capacity once it was binding."""
    runs = list(history.runs())
    return [
        f"{run.task} was started over the capacity of {run.machine}"
        for fault, span in history.capacity_reductions()
        for run in runs
        if run.machine == fault.worker
        and span.started_ns + time_spans.ns(bounds.CAPACITY_CHANGE_DELAY_S)
        < run.span.started_ns
        < span.ended_ns
        and _concurrent_runs_count(runs, run) * bounds.TASK_MILLICORES
        > fault.cpu_millicores
    ]


def starts_in_evacuated_data_centres(
    history: history_module.History,
) -> list[str]:
    """Finds runs started in a data centre long after its evacuation began."""
    return [
        f"{run.task} was started on {run.machine} in evacuated "
        f"{evacuation.data_centre}"
        for evacuation in history.evacuations
        for run in history.runs()
        if history.data_centres.get(run.machine) == evacuation.data_centre
        and evacuation.span.started_ns
        + time_spans.ns(bounds.EVACUATION_LIMIT_S)
        < run.span.started_ns
        < evacuation.span.ended_ns
    ]


def _concurrent_runs_count(
    runs: list[history_module.Run], started: history_module.Run
) -> int:
    """Returns the number of runs on a worker when one started, including that one."""
    at_ns = started.span.started_ns
    return sum(
        run.machine == started.machine
        and run.span.started_ns <= at_ns < run.span.ended_ns
        for run in runs
    )


def completed_with_missing_tasks(history: history_module.History) -> list[str]:
    """Finds jobs reported as completed although not all tasks were done."""
    done = {run.task for run in history.runs() if run.outcome == "done"}
    # The end of one member counts for the whole gang.
    steps = {task.rpartition(".")[0] for task in done}
    messages = []
    for job in history.jobs:
        if job.gang:
            missing = {t.rpartition(".")[0] for t in job.task_names()} - steps
        else:
            missing = set(job.task_names()) - done
        if job.completed and missing:
            messages.append(f"{job.job_id} completed without {min(missing)}")
    return messages


def unfinished_jobs(history: history_module.History) -> list[str]:
    """Finds accepted jobs that have to end and have not ended."""
    return [
        f"{job.job_id} is {job.state or 'not known'} at the end"
        for job in history.jobs
        if job.is_unfinished
    ]


def not_running_at_the_end(history: history_module.History) -> list[str]:
    """Finds long-running tasks that do not run at the end."""
    running = {run.task for run in history.runs() if not run.outcome}
    return [
        f"{task} is long-running, but does not run at the end"
        for job in history.jobs
        for task in job.expected_running_tasks()
        if task not in running
    ]


def early_starts(history: history_module.History) -> list[str]:
    """Finds tasks that started before their occurrence was due."""
    due_ns = {
        f"{job.job_id}.{number}": at_ns
        for job in history.jobs
        for number, at_ns in enumerate(job.due_ns)
    }
    return [
        f"{run.task} started before it was due"
        for run in history.runs()
        if run.span.started_ns + time_spans.ns(bounds.EARLY_TOLERANCE_S)
        < due_ns.get(run.task.rsplit(".", 2)[0], 0)
    ]


def unrequested_tasks(history: history_module.History) -> list[str]:
    """Finds started tasks that belong to no job, such as an extra occurrence."""
    submitted = {task for job in history.jobs for task in job.task_names()}
    return [
        f"{run.task} was not submitted"
        for run in history.runs()
        if run.task not in submitted
    ]


def outvoted_workers(history: history_module.History) -> list[str]:
    """Finds workers whose own heartbeats were refused for too long."""
    return [
        f"{name} had its heartbeats refused for {span.duration_s:.1f} s"
        for name, spans in history.heartbeat_refusals.items()
        for span in spans
        if span.duration_s > bounds.HEARTBEAT_REFUSAL_LIMIT_S
    ]
