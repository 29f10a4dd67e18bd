"""Invariants of the history of a soak, which hold under all faults.

Each check returns one line for each violation. Checks with a time bound do not count
time that a fault explains. The loss of a leader, or of several in series, explains
nothing, because the bounds include elections.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from marigoldsill.coordination.leadership import leases
from soak import history as history_module
from tests.platform import journal_invariants

# `_LEASE_MS` of roles/control_node.py: the runs of a lost agent start again after it.
_LEASE_S = 7.0
# The leader also waits for the drift between clocks.
LEASE_EXPIRY_S = _LEASE_S * leases.DRIFT_RATIO + leases.MARGIN_S
# Two rounds of votes, each of up to twice `_ELECTION_TIMEOUT_MS`, which is 0.7 s.
ELECTION_LIMIT_S = 2.8
# A process needs about a second to start on a shared machine; it then finds the
# leader, and a call to a worker may have waited for 1 s.
PROCESS_START_S = 3.0
RESTART_LIMIT_S = LEASE_EXPIRY_S + ELECTION_LIMIT_S + PROCESS_START_S
# An agent that does not receive the cancellation stops its runs when its lease ends;
# a stop takes a worker up to `stop_timeout_ms` of the platform, which is 0.9 s.
CANCELLATION_LIMIT_S = LEASE_EXPIRY_S + 0.9
# `contact_ms` of the platform: a fault may have effects for this long after its end,
# as RULES of the platform says on gangs. An election takes no longer.
FAULT_EFFECT_S = 3.0
# Unix times of jobs are in whole milliseconds.
EARLY_TOLERANCE_S = 0.002
# A job may fail once this many workers have crashed under a task of it.
MIN_CRASHES_TO_FAIL = 2
# A job fails once a task of it has failed as often as the route of the soak allows.
MAX_ATTEMPTS = 3
# A reduced capacity is binding after `contact_ms` of the platform and one heartbeat
# of the soak's workers.
CAPACITY_CHANGE_DELAY_S = 3.1
# An agent without the news of an evacuation starts runs until its lease ends; a call that
# a worker does not answer is carried out 0.3 s later.
EVACUATION_LIMIT_S = LEASE_EXPIRY_S + 0.5
# CPU that each task of the soak reserves.
TASK_MILLICORES = 500
# Workers of the soak hold 16 of its tasks; the capacity for one of them may be
# reserved for a run whose order no worker has received yet.
TASKS_PER_WORKER = 15


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
        *excessive_downtimes(history),
        *not_running_at_the_end(history),
        *runs_after_cancellation(history),
        *incomplete_gangs(history),
        *early_starts(history),
        *unrequested_tasks(history),
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
    after the job had failed.
    """
    workers: dict[str, set[str]] = collections.defaultdict(set)
    failures: collections.Counter[str] = collections.Counter()
    failed_ns = {job.job_id: history.failed_ns(job) for job in history.jobs}
    for run in history.runs():
        if run.span.ended_ns > failed_ns.get(run.job_id, 0):
            continue
        if run.outcome == "lost":
            workers[run.task].add(run.worker)
        elif run.outcome == "failed":
            failures[run.task] += 1
    return [
        f"{job.job_id} failed after too few worker crashes"
        for job in history.jobs
        if job.state == "failed"
        and all(
            len(workers[task]) < MIN_CRASHES_TO_FAIL
            and failures[task] < MAX_ATTEMPTS
            for task in job.task_names()
        )
    ]


def starts_over_capacity(history: history_module.History) -> list[str]:
    """Finds runs started over a worker's reduced capacity once it was binding."""
    runs = list(history.runs())
    return [
        f"{run.task} was started over the capacity of {run.machine}"
        for fault, span in history.capacity_reductions()
        for run in runs
        if run.machine == fault.worker
        and span.started_ns + _ns(CAPACITY_CHANGE_DELAY_S)
        < run.span.started_ns
        < span.ended_ns
        and _concurrent_runs_count(runs, run) * TASK_MILLICORES
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
        and evacuation.span.started_ns + _ns(EVACUATION_LIMIT_S)
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


def excessive_downtimes(history: history_module.History) -> list[str]:
    """Finds long-running tasks that were down for too long without a fault."""
    return [
        f"{task} was down for {rest.duration_s:.1f} s, which no fault explains"
        for task, rest in unexplained_downtimes(history)
        if rest.duration_s > RESTART_LIMIT_S
    ]


def unexplained_downtimes(
    history: history_module.History,
) -> list[tuple[str, history_module.Span]]:
    """Returns the downtimes of long-running tasks that no fault explains."""
    explained = [
        *history.majority_fault_spans(),
        *history.spans_without_capacity(tasks_per_worker=TASKS_PER_WORKER),
    ]
    return [
        (task, rest)
        for job in history.jobs
        if job.long_running and job.accepted and job.state != "failed"
        for task in job.task_names()
        for downtime in _downtimes(history, job, task)
        for rest in downtime.span.subtract(explained + downtime.explained)
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


def runs_after_cancellation(history: history_module.History) -> list[str]:
    """Finds runs that started or continued too long after a cancellation."""
    limits_ns = {
        job.job_id: job.cancel_acknowledged_ns + _ns(CANCELLATION_LIMIT_S)
        for job in history.jobs
        if job.cancel_acknowledged_ns
    }
    return [
        f"{run.task} ran after its job was cancelled"
        for run in history.runs()
        if run.span.ended_ns > limits_ns.get(run.job_id, history.ended_ns)
    ]


def incomplete_gangs(history: history_module.History) -> list[str]:
    """Finds gangs of which some members waited in vain for the others.

    A worker ends a member that waits too long with the outcome `alone`.
    """
    # Any members of a cancelled gang may remain for a while.
    gangs = {
        job.job_id: job.task_counts[0]
        for job in history.jobs
        if job.gang and not job.cancelling
    }
    runs = [run for run in history.runs() if run.job_id in gangs]
    messages = []
    for (step, number), runs_of_gang in itertools.groupby(
        sorted(runs, key=_gang_key), key=_gang_key
    ):
        members = list(runs_of_gang)
        explained = _explained_for_gang(history, step, number)
        complete = history_module.overlaps(
            (run.span for run in members), min_count=gangs[members[0].job_id]
        )
        messages += [
            f"{run.task} waited for its gang in vain"
            for run in members
            if run.outcome == "alone"
            and [*run.span.subtract(explained)] == [run.span]
        ]
        messages += [
            f"{step} run {number} was incomplete for {rest.duration_s:.1f} s"
            for partial in history_module.overlaps(run.span for run in members)
            for rest in partial.subtract(explained + complete)
            if rest.duration_s > FAULT_EFFECT_S + PROCESS_START_S
        ]
    return messages


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
        if run.span.started_ns + _ns(EARLY_TOLERANCE_S)
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


@dataclasses.dataclass(slots=True, frozen=True)
class _Downtime:
    """A downtime of a task, with the times of faults that explain it."""

    span: history_module.Span
    explained: list[history_module.Span]


def _downtimes(
    history: history_module.History,
    job: history_module.SubmittedJob,
    task: str,
) -> Iterator[_Downtime]:
    """Yields a task's downtimes until the cancellation of its job is sent."""
    runs = [run for run in history.runs() if run.task == task]
    end_ns = job.cancel_sent_ns or history.ended_ns
    for before, after in itertools.pairwise([None, *runs, None]):
        downtime = history_module.Span(
            max(before.span.ended_ns if before else 0, job.accepted_ns),
            min(after.span.started_ns if after else end_ns, end_ns),
        )
        if downtime.ended_ns > downtime.started_ns:
            yield _Downtime(
                downtime, _explained_for_downtime(history, task, before, after)
            )


def _explained_for_downtime(
    history: history_module.History,
    task: str,
    before: history_module.Run | None,
    after: history_module.Run | None,
) -> list[history_module.Span]:
    """Returns the faults of the machines that ran the task or were granted it."""
    machines = {run.machine for run in (before, after) if run is not None}
    machines |= {
        grant.agent
        for grant in history.grants
        if grant.task == task
        and (before is None or grant.number >= before.number)
        and (after is None or grant.number <= after.number)
    }
    return _fault_spans(history, machines)


def _explained_for_gang(
    history: history_module.History, step: str, number: int
) -> list[history_module.Span]:
    """Returns the faults of members and of the machines granted the gang."""
    machines = {
        grant.agent
        for grant in history.grants
        if (grant.task.rpartition(".")[0], grant.number) == (step, number)
    }
    spans = _fault_spans(history, machines | set(history.members))
    return [
        history_module.Span(
            span.started_ns, span.ended_ns + _ns(FAULT_EFFECT_S)
        )
        for span in spans
    ]


def _fault_spans(
    history: history_module.History, names: Iterable[str]
) -> list[history_module.Span]:
    return [span for name in names for span in history.fault_spans(name)]


def _gang_key(run: history_module.Run) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.number


def _ns(span_s: float) -> int:
    return int(span_s * history_module.NS_PER_S)
