"""Log events and metrics of the admission of jobs; docs/metrics.md describes them."""

from collections.abc import Iterator
import contextlib
import time

import prometheus_client

from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_DECISION_BUCKETS_S = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.1)

_REJECTIONS = prometheus_client.Counter(
    "marigoldsill_job_rejections",
    "Jobs that the leader did not accept.",
    ("reason",),
)
_DECISION_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_admission_seconds",
    "Time of one decision whether a job is accepted.",
    buckets=_DECISION_BUCKETS_S,
)
_WAITING_JOBS = prometheus_client.Gauge(
    "marigoldsill_jobs_waiting",
    "Accepted jobs that have not started, on the leader.",
)
_WAITING_BYTES = prometheus_client.Gauge(
    "marigoldsill_jobs_waiting_bytes",
    "Memory of the records of jobs that have not started, on the leader.",
)


@contextlib.contextmanager
def measure() -> Iterator[None]:
    """Observes the time of a decision."""
    begin_s = time.perf_counter()
    yield
    _DECISION_SECONDS.observe(time.perf_counter() - begin_s)


def record_rejection(
    job: ttypes.Job, rejection: admission_module.Rejection
) -> None:
    """Logs a rejection; lines beyond the limit of an event are counted only."""
    _REJECTIONS.labels(rejection.reason.value).inc()
    logs.event(
        "job_rejected",
        job=job.job_id,
        queue=job.queue,
        reason=rejection.reason.value,
        retry_after_ms=rejection.retry_after_ms,
        predicted_end_ms=rejection.predicted_end_ms,
        limit=rejection.limit,
        message=rejection.message,
    )


def record_waiting(*, jobs_count: int, size_bytes: int) -> None:
    """Sets the gauges of what waits."""
    _WAITING_JOBS.set(jobs_count)
    _WAITING_BYTES.set(size_bytes)
