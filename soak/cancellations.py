"""Invariants of cancelled jobs in the history of a soak."""

from soak import bounds
from soak import history as history_module
from soak import time_spans


def runs_after_cancellation(history: history_module.History) -> list[str]:
    """Finds runs that started or continued too long after a cancellation."""
    limits_ns = {
        job.job_id: job.cancel_acknowledged_ns
        + time_spans.ns(bounds.CANCELLATION_LIMIT_S)
        for job in history.jobs
        if job.cancel_acknowledged_ns
    }
    return [
        f"{run.task} ran after its job was cancelled"
        for run in history.runs()
        if run.span.ended_ns > limits_ns.get(run.job_id, history.ended_ns)
    ]


def unknown_jobs_that_ran(history: history_module.History) -> list[str]:
    """Finds jobs that ran or were accepted although a cancellation found no such job.

    The id of such a job is not accepted while a submission may be on its way, which is
    longer than a soak.
    """
    started = {run.job_id for run in history.runs()}
    return [
        f"{job.job_id} was cancelled as unknown, but {what}"
        for job in history.jobs
        if job.cancelled_unknown
        for what, is_broken in (
            ("ran", job.job_id in started),
            ("was accepted", job.accepted),
        )
        if is_broken
    ]
