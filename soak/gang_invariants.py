"""Invariants of gangs in the history of a soak."""

import itertools

from soak import bounds
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
