"""The bounds on the number and on the size of waiting jobs.

A share of each is kept for callers that return in the time they were told.
"""

import math

from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import causes
from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_admission import rejections
from marigoldsill.coordination.job_admission import waiting_jobs
from marigoldsill.protocol.generated import ttypes

_RETURNS_SHARE = 0.1


def find_reached(
    job: ttypes.Job,
    queue: ttypes.Queue,
    *,
    settings: admission_settings.AdmissionSettings,
    waiting: waiting_jobs.WaitingJobs,
    rejected: rejections.RejectionTable,
    summary: load_module.LoadSummary | None,
    now_s: float,
) -> causes.Cause | None:
    """Returns the bound on waiting jobs that a job would exceed, if any.

    Args:
        job: The submitted job.
        queue: Its queue.
        settings: The bounds.
        waiting: The jobs that wait.
        rejected: The jobs that were rejected.
        summary: The published load, if it says anything about the present.
        now_s: The current time.
    """
    if not waiting.count:
        # A job that alone exceeds the size would otherwise never be accepted.
        return None
    kept_count = 0
    if not rejected.is_returning(job.job_id, now_s=now_s):
        kept_count = _count_kept_places(settings, rejected)
    exceeded = _exceeded_count(settings, waiting, kept_count) or _exceeded_size(
        job, settings, waiting, kept_count
    )
    if exceeded is None:
        return None
    reason, message, limit = exceeded
    place_s = _time_per_place_s(queue, waiting, summary)
    return causes.Cause(
        reason,
        message,
        earliest_s=place_s,
        window_s=max(causes.MIN_WINDOW_S, place_s * rejected.awaited_count),
        limit=limit,
    )


def _exceeded_count(
    settings: admission_settings.AdmissionSettings,
    waiting: waiting_jobs.WaitingJobs,
    kept_count: int,
) -> tuple[causes.Reason, str, int] | None:
    limit = settings.waiting_jobs_limit
    if waiting.count + 1 <= limit - kept_count:
        return None
    message = (
        f"{waiting.count} jobs wait and {kept_count} places are kept for callers "
        f"that were told to return; the limit is {limit}"
    )
    return causes.Reason.JOBS_LIMIT, message, limit


def _exceeded_size(
    job: ttypes.Job,
    settings: admission_settings.AdmissionSettings,
    waiting: waiting_jobs.WaitingJobs,
    kept_count: int,
) -> tuple[causes.Reason, str, int] | None:
    limit = settings.waiting_bytes_limit
    total_bytes, size_bytes = waiting.total_bytes, waiting_jobs.size_of(job)
    kept_bytes = min(
        int(limit * _RETURNS_SHARE),
        kept_count * total_bytes // waiting.count,
    )
    if total_bytes + size_bytes <= limit - kept_bytes:
        return None
    message = (
        f"the waiting jobs have {total_bytes} bytes and this one "
        f"{size_bytes}, {kept_bytes} are kept for callers that were told "
        f"to return; the limit is {limit}"
    )
    return causes.Reason.BYTES_LIMIT, message, limit


def _count_kept_places(
    settings: admission_settings.AdmissionSettings,
    rejected: rejections.RejectionTable,
) -> int:
    """Returns how many places are kept for callers that may return."""
    limit = settings.waiting_jobs_limit
    return min(
        math.ceil(limit * _RETURNS_SHARE),
        limit // 2,
        rejected.awaited_count,
    )


def _time_per_place_s(
    queue: ttypes.Queue,
    waiting: waiting_jobs.WaitingJobs,
    summary: load_module.LoadSummary | None,
) -> float:
    """Returns after which time another waiting job of a pool will have started."""
    pool = None if summary is None else summary.pools.get(queue.pool)
    if pool is None or not pool.capacity_millicores:
        return 0.0
    drain_s = pool.core_ms / pool.capacity_millicores
    return drain_s / max(1, waiting.count)
