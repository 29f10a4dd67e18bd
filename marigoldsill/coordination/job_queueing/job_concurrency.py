"""Limits how many best-effort jobs of a pool are under way at once.

It answers an overload of large jobs: jobs that have not started wait while those under
way can use the whole pool. Jobs with reserved capacity and long-running jobs are not
held back.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import functools

import prometheus_client

from marigoldsill import errors
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

UNLIMITED = "unlimited"
_COUNT_PREFIX = "count:"
_PREDICTED_END = "predicted-end"
# Jobs are held back only while more than this share of their pool is in use: no job may
# be idle for 3 s while less than half of a pool is, and the rest is a margin.
_FULL_POOL_SHARE = 0.6
# An offered job that has not started by then fits nowhere, so others need not wait
# for it.
_START_LIMIT_S = 1.0
# Further waiting jobs of a round are decided in a later one, which bounds the time that
# a round takes.
_DECISIONS_LIMIT = 100
_MS_PER_S = 1000

UNDER_WAY = prometheus_client.Gauge(
    "marigoldsill_best_effort_jobs_under_way",
    "Best-effort jobs that have started and not ended, on the leader.",
)
HELD_BACK = prometheus_client.Gauge(
    "marigoldsill_jobs_held_back",
    "Best-effort jobs held back by the limit on jobs under way, on the leader.",
)


def parse(text: str) -> str:
    """Parses the setting of the limit, and returns it unchanged.

    Raises:
        SettingsError: If it names no limit.
    """
    create_factory(text)
    return text


def create_factory(
    text: str,
) -> Callable[[], offer_policies.OfferPolicy] | None:
    """Returns what creates the policy of one term; None without a limit.

    Args:
        text: The value of the setting.
    """
    match text.partition(_COUNT_PREFIX):
        case (str(name), "", "") if name == UNLIMITED:
            return None
        case (str(name), "", "") if name == _PREDICTED_END:
            limit = concurrency_limits.PredictedEndLimit()
            return functools.partial(JobConcurrency, limit)
        case ("", _, digits) if _is_count(digits):
            limit = concurrency_limits.CountLimit(int(digits))
            return functools.partial(JobConcurrency, limit)
    raise errors.SettingsError(
        f"invalid limit on jobs under way {text!r}: expected "
        f"{UNLIMITED!r}, {_PREDICTED_END!r} or '{_COUNT_PREFIX}N' with a whole "
        "number N from 1 to 1000000"
    )


def _is_count(digits: str) -> bool:
    is_short = digits.isascii() and digits.isdecimal() and len(digits) <= 7
    return is_short and 1 <= int(digits) <= 1_000_000


@dataclasses.dataclass(slots=True)
class _Pool:
    """What the jobs of one pool use and have under way."""

    under_way: list[concurrency_limits.PredictedJob] = dataclasses.field(
        default_factory=list
    )
    best_effort_millicores: float = 0.0
    other_millicores: float = 0.0


class JobConcurrency(offer_policies.OfferPolicy):
    """Holds back best-effort jobs that have not started, by a limit."""

    def __init__(self, limit: concurrency_limits.ConcurrencyLimit):
        self._limit = limit
        self._offered_s: dict[str, float] = {}
        self._held_since_s: dict[str, float] = {}

    def offer(
        self,
        waiting: Sequence[backlog_module.WaitingStep],
        context: offer_policies.RoundContext,
    ) -> list[backlog_module.WaitingStep]:
        """Returns the steps without those of jobs that are held back."""
        open_jobs = context.usage.open_jobs
        self._offered_s = _keep(self._offered_s, open_jobs)
        self._held_since_s = _keep(self._held_since_s, open_jobs)
        candidates = _find_candidates(waiting, context.usage)
        pools = self._summarize_pools(context)
        held = {
            job_id
            for pool, job_ids in candidates.items()
            for job_id in self._choose_held(
                job_ids, pools[pool], context.capacity_of(pool), context
            )
        }
        HELD_BACK.set(len(held))
        UNDER_WAY.set(sum(len(pool.under_way) for pool in pools.values()))
        return [step for step in waiting if step.key[0] not in held]

    def _summarize_pools(
        self, context: offer_policies.RoundContext
    ) -> dict[str, _Pool]:
        pools: dict[str, _Pool] = {}
        for job_id, job_usage in context.usage.by_job.items():
            pool = pools.setdefault(job_usage.pool, _Pool())
            job = context.usage.open_jobs[job_id].job
            millicores = job_usage.resources.cpu_millicores
            if not _is_limited(job):
                is_shared = any(step.tail_target_ms for step in job.steps)
                pool.other_millicores += millicores * (
                    free_capacity.LATENCY_CRITICAL_USED_SHARE
                    if is_shared
                    else 1.0
                )
                continue
            pool.best_effort_millicores += millicores
            if job_usage.is_started:
                pool.under_way.append(_predict(job_id, context))
        return pools

    def _choose_held(
        self,
        job_ids: Iterable[str],
        pool: _Pool,
        capacity: ttypes.Resources,
        context: offer_policies.RoundContext,
    ) -> list[str]:
        """Returns the jobs of one pool to hold back, of those not started."""
        used_millicores = pool.best_effort_millicores + pool.other_millicores
        is_full = used_millicores > _FULL_POOL_SHARE * capacity.cpu_millicores
        cores_count = (
            max(0.0, capacity.cpu_millicores - pool.other_millicores) / 1000
        )
        under_way = list(pool.under_way)
        held = []
        for number, job_id in enumerate(job_ids):
            if not is_full:
                self._record_offer(job_id, context, reason="capacity is unused")
                continue
            candidate = _predict(job_id, context)
            if candidate.is_hopeless:
                self._record_offer(job_id, context, reason="slack is used up")
                continue
            if number < _DECISIONS_LIMIT and self._limit.allows(
                candidate, under_way, cores_count=cores_count
            ):
                self._record_offer(job_id, context, reason="within the limit")
                offered_s = self._offered_s[job_id]
                if context.now_s - offered_s < _START_LIMIT_S:
                    under_way.append(candidate)
                continue
            self._record_hold(job_id, candidate, len(under_way), context)
            held.append(job_id)
        return held

    def _record_offer(
        self, job_id: str, context: offer_policies.RoundContext, *, reason: str
    ) -> None:
        if job_id in self._offered_s:
            return
        self._offered_s[job_id] = context.now_s
        held_since_s = self._held_since_s.get(job_id)
        if held_since_s is not None:
            logs.event(
                "job_offered",
                job=job_id,
                held_ms=round((context.now_s - held_since_s) * _MS_PER_S),
                reason=reason,
            )

    def _record_hold(
        self,
        job_id: str,
        candidate: concurrency_limits.PredictedJob,
        under_way_count: int,
        context: offer_policies.RoundContext,
    ) -> None:
        # An offered job that found no worker may be held back again; it is logged once.
        if job_id in self._held_since_s or job_id in self._offered_s:
            return
        self._held_since_s[job_id] = context.now_s
        logs.event(
            "job_held_back",
            job=job_id,
            under_way_count=under_way_count,
            slack_ms=round(candidate.slack_s * _MS_PER_S),
        )


def _keep(
    times_s: dict[str, float], open_jobs: dict[str, usage_module.OpenJob]
) -> dict[str, float]:
    """Returns the times of jobs that are still open."""
    return {
        job_id: time_s
        for job_id, time_s in times_s.items()
        if job_id in open_jobs
    }


def _is_limited(job: ttypes.Job) -> bool:
    return any(step.best_effort for step in job.steps) and not any(
        step.long_running for step in job.steps
    )


def _find_candidates(
    waiting: Iterable[backlog_module.WaitingStep], usage: usage_module.Usage
) -> dict[str, list[str]]:
    """Returns the limited jobs that have not started, by pool, in order."""
    candidates: dict[str, dict[str, None]] = {}
    for step in waiting:
        job_id = step.key[0]
        job_usage = usage.by_job.get(job_id)
        if job_usage is None or job_usage.is_started:
            continue
        if _is_limited(step.job):
            candidates.setdefault(job_usage.pool, {})[job_id] = None
    return {pool: list(job_ids) for pool, job_ids in candidates.items()}


def _predict(
    job_id: str, context: offer_policies.RoundContext
) -> concurrency_limits.PredictedJob:
    """Predicts the earliest open occurrence of a job."""
    open_job = context.usage.open_jobs[job_id]
    occurrence = min(open_job.occurrences, key=lambda item: item.number)
    arguments = open_job.job, open_job.queue, occurrence
    urgency = context.urgency
    end_unix_ms = urgency.objective_end_unix_ms(*arguments)
    return concurrency_limits.PredictedJob(
        job_id=job_id,
        time_left_s=(end_unix_ms - context.now_unix_ms) / _MS_PER_S,
        critical_path_s=urgency.remaining_path_ms(*arguments) / _MS_PER_S,
        core_time_s=urgency.remaining_core_time_ms(*arguments) / _MS_PER_S,
    )
