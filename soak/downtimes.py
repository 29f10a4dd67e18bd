"""Downtimes of long-running tasks in the history of a soak.

Time that a fault explains does not count. The loss of a leader, or of several in series,
explains nothing, because the bound includes elections.
"""

from collections.abc import Iterator
import dataclasses
import itertools

from soak import bounds
from soak import history as history_module
from soak import time_spans


def excessive_downtimes(history: history_module.History) -> list[str]:
    """Finds long-running tasks that were down for too long without a fault."""
    return [
        f"{task} was down for {rest.duration_s:.1f} s, which no fault explains"
        for task, rest in unexplained_downtimes(history)
        if rest.duration_s > bounds.RESTART_LIMIT_S
    ]


def unexplained_downtimes(
    history: history_module.History,
) -> list[tuple[str, time_spans.Span]]:
    """Returns the downtimes of long-running tasks that no fault explains."""
    explained = [
        *history.majority_fault_spans(),
        *history.spans_without_capacity(
            tasks_per_worker=bounds.TASKS_PER_WORKER
        ),
    ]
    return [
        (task, rest)
        for job in history.jobs
        if job.long_running and job.accepted and job.state != "failed"
        for task in job.task_names()
        for downtime in _downtimes(history, job, task)
        for rest in downtime.span.subtract(explained + downtime.explained)
    ]


@dataclasses.dataclass(slots=True, frozen=True)
class _Downtime:
    """A downtime of a task, with the times of faults that explain it."""

    span: time_spans.Span
    explained: list[time_spans.Span]


def _downtimes(
    history: history_module.History,
    job: history_module.SubmittedJob,
    task: str,
) -> Iterator[_Downtime]:
    """Yields a task's downtimes until the cancellation of its job is sent."""
    runs = [run for run in history.runs() if run.task == task]
    end_ns = job.cancel_sent_ns or history.ended_ns
    for before, after in itertools.pairwise([None, *runs, None]):
        downtime = time_spans.Span(
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
) -> list[time_spans.Span]:
    """Returns the faults of the machines that ran the task or were granted it."""
    machines = {run.machine for run in (before, after) if run is not None}
    machines |= {
        grant.agent
        for grant in history.grants
        if grant.task == task
        and (before is None or grant.number >= before.number)
        and (after is None or grant.number <= after.number)
    }
    return history.fault_spans_of(machines)
