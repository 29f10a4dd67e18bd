"""Why a job would surely be of no use, by the load and by an outage of its pool."""

import dataclasses
import enum

from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol.generated import ttypes

# Agents report to a new leader one after the other, and a short outage ends by itself;
# before that nothing is known of the capacity.
_SETTLE_S = 10.0
# Callers read the time to return in whole seconds.
MIN_WINDOW_S = 2.0


class Reason(enum.Enum):
    """Why a job is rejected."""

    TOO_LATE = "too_late"
    NO_WORKERS = "no_workers"
    JOBS_LIMIT = "waiting_jobs_limit"
    BYTES_LIMIT = "waiting_bytes_limit"
    TOO_EARLY = "returned_early"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, frozen=True)
class Cause:
    """Why a job has to be rejected, before the time to return is chosen.

    Attributes:
        reason: The kind of reason.
        message: The reason for the caller, with the values that led to it.
        earliest_s: After which time the job might be accepted.
        window_s: The length of the time after that in which callers return.
        predicted_end_ms: As in the rejection.
        limit: As in the rejection.
    """

    reason: Reason
    message: str
    earliest_s: float
    window_s: float
    predicted_end_ms: float = 0.0
    limit: float = 0.0


def find_hopelessness(
    job: ttypes.Job,
    queue: ttypes.Queue,
    summary: load_module.LoadSummary,
    urgency: urgency_module.Urgency,
    *,
    now_s: float,
) -> Cause | None:
    """Returns why a job would surely be of no use at its end, if it would.

    Args:
        job: The submitted job.
        queue: Its queue.
        summary: The published load.
        urgency: The learnt run times.
        now_s: The current time.
    """
    pool = summary.pools.get(queue.pool)
    if pool is None or now_s - summary.term_begun_s < _SETTLE_S:
        return None
    outage_s = now_s - pool.no_worker_since_s
    if not pool.work and outage_s < _SETTLE_S:
        return None
    demand = _demand_of(job, queue, summary, urgency)
    if demand.useful_ms <= demand.critical_path_ms:
        # No pool can meet its objective, so that says nothing about its use.
        return None
    if outage_s >= _SETTLE_S:
        return _find_outage(queue.pool, demand, outage_s)
    if not load_module.is_surely_too_late(summary, pool, demand, now_s=now_s):
        return None
    start_ms = load_module.earliest_start_ms(summary, pool, demand, now_s=now_s)
    end_ms = start_ms + demand.critical_path_ms
    earliest_s = (end_ms - demand.useful_ms) / 1_000
    return Cause(
        Reason.TOO_LATE,
        f"the job would end in {end_ms:.0f} ms at the earliest, because of the "
        f"work that goes before it; it is of use for {demand.useful_ms:.0f} ms",
        earliest_s=earliest_s,
        window_s=max(MIN_WINDOW_S, earliest_s / 2),
        predicted_end_ms=end_ms,
        limit=demand.useful_ms,
    )


def _demand_of(
    job: ttypes.Job,
    queue: ttypes.Queue,
    summary: load_module.LoadSummary,
    urgency: urgency_module.Urgency,
) -> load_module.Demand:
    paths_ms = urgency.longest_paths_ms(job, queue)
    first = max(range(len(paths_ms)), key=paths_ms.__getitem__)
    step = job.steps[first]
    mean_core_time_ms = summary.mean_core_times_ms.get(queue.name)
    if mean_core_time_ms is None:
        mean_core_time_ms = urgency.core_time_ms(job, queue)
    rank = urgency.rank_new(job, queue, mean_core_time_ms=mean_core_time_ms)
    return load_module.Demand(
        key=(rank, (job.job_id, 0, first)),
        queue=queue.name,
        is_best_effort=step.best_effort,
        cpu_millicores=step.resources.cpu_millicores,
        memory_bytes=step.resources.memory_bytes,
        critical_path_ms=paths_ms[first],
        useful_ms=urgency.useful_ms(job, queue),
    )


def _find_outage(
    pool: str, demand: load_module.Demand, outage_s: float
) -> Cause | None:
    """Returns why a job is of no use if a pool's outage lasts as long again."""
    expected_ms = outage_s * 1_000
    if demand.useful_ms - demand.critical_path_ms >= expected_ms:
        return None
    return Cause(
        Reason.NO_WORKERS,
        f"no worker of pool {pool} has been available for {outage_s:.0f} s; the job "
        f"is of use for {demand.useful_ms:.0f} ms",
        # A worker may be back at any time, so callers return early, but not together.
        earliest_s=0.0,
        window_s=max(MIN_WINDOW_S, outage_s / 4),
        predicted_end_ms=expected_ms + demand.critical_path_ms,
        limit=demand.useful_ms,
    )
