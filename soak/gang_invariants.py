"""Invariants of gangs in the history of a soak."""

from collections.abc import Iterator
import itertools

from soak import bounds
from soak import faults
from soak import history as history_module
from soak import time_spans


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
        complete = time_spans.overlaps(
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
            for partial in time_spans.overlaps(run.span for run in members)
            for rest in partial.subtract(explained + complete)
            if rest.duration_s > bounds.FAULT_EFFECT_S + bounds.PROCESS_START_S
        ]
    return messages


def idle_gangs(history: history_module.History) -> list[str]:
    """Finds gangs that did not run beside free workers, once faults were over.

    Free means that there is capacity for the gang twice over and that under half of
    all capacity is in use.
    """
    ends_ns = [injected.span.ended_ns for injected in history.injected_faults]
    calm_ns = max(ends_ns, default=0) + time_spans.ns(bounds.FINISH_S)
    if calm_ns >= history.ended_ns:
        return []
    return [
        f"{job.job_id} did not run for {rest.duration_s:.1f} s beside free workers"
        for job in history.jobs
        if job.gang and job.accepted and not job.cancelling
        for rest in _waits(history, job, calm_ns)
        if rest.duration_s > bounds.IDLE_LIMIT_S
    ]


def _waits(
    history: history_module.History,
    job: history_module.SubmittedJob,
    calm_ns: int,
) -> Iterator[time_spans.Span]:
    """Yields when nothing of a gang ran beside free workers, after some time."""
    runs = [run for run in history.runs() if run.job_id == job.job_id]
    done_ns = [run.span.ended_ns for run in runs if run.outcome == "done"]
    ends_ns = (*done_ns, history.failed_ns(job) or history.ended_ns)
    waiting = time_spans.Span(max(calm_ns, job.accepted_ns), min(ends_ns))
    return waiting.subtract(
        [*(run.span for run in runs), *_spans_without_room(history, job)]
    )


def _spans_without_room(
    history: history_module.History, job: history_module.SubmittedJob
) -> list[time_spans.Span]:
    names = set(history.machines.values())
    usable = {job.machine} if job.machine else names
    per_worker = faults.CAPACITY_MILLICORES // bounds.TASK_MILLICORES
    runs = history.runs()
    room = per_worker * len(usable) - 2 * job.task_counts[0]
    return [
        *time_spans.overlaps(
            (run.span for run in runs if run.machine in usable),
            min_count=max(0, room) + 1,
        ),
        *time_spans.overlaps(
            (run.span for run in runs),
            min_count=max(1, per_worker * len(names) // 2),
        ),
    ]


def _explained_for_gang(
    history: history_module.History, step: str, number: int
) -> list[time_spans.Span]:
    """Returns the faults of members and of the machines granted the gang."""
    machines = {
        grant.agent
        for grant in history.grants
        if (grant.task.rpartition(".")[0], grant.number) == (step, number)
    }
    spans = history.fault_spans_of(machines | set(history.members))
    return [
        time_spans.Span(
            span.started_ns,
            span.ended_ns + time_spans.ns(bounds.FAULT_EFFECT_S),
        )
        for span in spans
    ]


def _gang_key(run: history_module.Run) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.number
