"""Limits how many best-effort jobs of a pool are under way at once.

It answers an overload of large jobs: jobs that have not started wait while those under
way can use the whole pool. Jobs with reserved capacity and long-running jobs are not
held back, and no job that has started is.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

import prometheus_client

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# Jobs are held back only while more than this share of their pool is in use: no job may
# be idle for 3 s while less than half of a pool is, and the rest is a margin.
_FULL_POOL_SHARE = 0.6
# A job is offered while it can just still end within its objective; rounds and starts
# take up to this long.
_SLACK_MARGIN_S = 0.5
# No job is held back for longer, whatever its estimates promise.
_HELD_LIMIT_S = 20.0
# An offered job that has not started by then fits nowhere, so others need not wait
# for it.
_START_LIMIT_S = 1.0
# Further jobs of a pool stay held back in a round, which bounds the time that it takes.
_DECISIONS_LIMIT = 50
_MS_PER_S = 1000
_MILLICORES_PER_CORE = 1000

UNDER_WAY = prometheus_client.Gauge(
    "marigoldsill_best_effort_jobs_under_way",
    "Best-effort jobs that have started and not ended, on the leader.",
)
HELD_BACK = prometheus_client.Gauge(
    "marigoldsill_best_effort_jobs_held_back",
    "Best-effort jobs held back by the limit on jobs under way, on the leader.",
)


@dataclasses.dataclass(slots=True, frozen=True)
class _UnderWay:
    """A job under way, and the priority of its queue."""

    priority: int
    predicted: concurrency_limits.PredictedJob


@dataclasses.dataclass(slots=True)
class _Pool:
    """What the jobs of one pool use and have under way."""

    under_way: list[_UnderWay] = dataclasses.field(default_factory=list)
    best_effort_millicores: float = 0.0
    other_millicores: float = 0.0
    is_saturated: bool = False

    def is_full(
        self, capacity: ttypes.Resources, *, offered_millicores: float
    ) -> bool:
        """Returns whether a job may be held back.

        Args:
            capacity: The capacity of the pool.
            offered_millicores: What jobs offered in this round will use.
        """
        used_millicores = self.best_effort_millicores + self.other_millicores
        used_millicores += offered_millicores
        limit_millicores = _FULL_POOL_SHARE * capacity.cpu_millicores
        # Nothing is gained by waiting for workers that are all lost.
        return 0 < limit_millicores < used_millicores

    def available_cores_count(self, capacity: ttypes.Resources) -> float:
        """Returns the cores that best-effort tasks can use.

        While tasks of jobs under way wait, these jobs have all that the limits on
        interference leave them, which may be much less than what is unused.
        """
        if self.is_saturated:
            return self.best_effort_millicores / _MILLICORES_PER_CORE
        unused_millicores = capacity.cpu_millicores - self.other_millicores
        return max(0.0, unused_millicores) / _MILLICORES_PER_CORE


@dataclasses.dataclass(slots=True)
class _JobTimes:
    """When a job that has not started was first offered and held back."""

    offered_s: float = math.inf
    held_since_s: float = math.inf
    is_offer_logged: bool = False


class JobConcurrency(offer_policies.OfferPolicy):
    """Holds back best-effort jobs that have not started, by a limit."""

    def __init__(self, limit: concurrency_limits.ConcurrencyLimit):
        self._limit = limit
        self._times: dict[str, _JobTimes] = {}

    def offer(
        self,
        waiting: Sequence[backlog_module.WaitingStep],
        context: offer_policies.RoundContext,
    ) -> list[backlog_module.WaitingStep]:
        """Returns the steps without those of jobs that are held back."""
        candidates = _find_candidates(waiting, context.usage)
        self._times = {
            job_id: self._times.get(job_id) or _JobTimes()
            for jobs in candidates.values()
            for job_id in jobs
        }
        pools = _summarize_pools(waiting, context)
        held = {
            job_id
            for pool, jobs in candidates.items()
            for job_id in self._choose_held(
                jobs, pools[pool], context.capacity_of(pool), context
            )
        }
        HELD_BACK.set(len(held))
        UNDER_WAY.set(sum(len(pool.under_way) for pool in pools.values()))
        return [step for step in waiting if step.key[0] not in held]

    def _choose_held(
        self,
        candidates: Mapping[str, int],
        pool: _Pool,
        capacity: ttypes.Resources,
        context: offer_policies.RoundContext,
    ) -> list[str]:
        """Returns the jobs of one pool to hold back, of those not started."""
        offered_millicores = 0
        cores_count = pool.available_cores_count(capacity)
        under_way = list(pool.under_way)
        decisions_count = 0
        held = []
        for job_id, millicores in candidates.items():
            is_full = pool.is_full(
                capacity, offered_millicores=offered_millicores
            )
            open_job = context.usage.open_jobs[job_id]
            candidate = _predict(open_job, context)
            # Jobs of a later priority are not waited for.
            others = [
                job.predicted
                for job in under_way
                if job.priority <= open_job.queue.priority
            ]
            reason = self._reason_to_offer(job_id, candidate, is_full, context)
            if not reason and decisions_count < _DECISIONS_LIMIT:
                decisions_count += 1
                if self._limit.allows(
                    candidate, others, cores_count=cores_count
                ):
                    reason = "within the limit"
            if not reason:
                self._record_hold(job_id, candidate, len(others), context)
                held.append(job_id)
                continue
            self._record_offer(job_id, reason, context)
            offered_s = self._times[job_id].offered_s
            if context.now_s - offered_s < _START_LIMIT_S:
                under_way.append(_UnderWay(open_job.queue.priority, candidate))
                offered_millicores += millicores
        return held

    def _reason_to_offer(
        self,
        job_id: str,
        candidate: concurrency_limits.PredictedJob,
        is_full: bool,
        context: offer_policies.RoundContext,
    ) -> str:
        """Returns why a job is offered whatever the limit; empty if it is not."""
        held_s = context.now_s - self._times[job_id].held_since_s
        if not is_full:
            return "capacity is unused"
        if candidate.slack_s <= _SLACK_MARGIN_S:
            return "no slack is left"
        if held_s >= _HELD_LIMIT_S:
            return "held back for long"
        return ""

    def _record_offer(
        self, job_id: str, reason: str, context: offer_policies.RoundContext
    ) -> None:
        times = self._times[job_id]
        times.offered_s = min(times.offered_s, context.now_s)
        if times.held_since_s == math.inf or times.is_offer_logged:
            return
        times.is_offer_logged = True
        logs.event(
            "job_offered",
            job=job_id,
            held_ms=round((context.now_s - times.held_since_s) * _MS_PER_S),
            reason=reason,
        )

    def _record_hold(
        self,
        job_id: str,
        candidate: concurrency_limits.PredictedJob,
        under_way_count: int,
        context: offer_policies.RoundContext,
    ) -> None:
        times = self._times[job_id]
        if times.held_since_s < math.inf:
            return
        times.held_since_s = context.now_s
        logs.event(
            "job_held_back",
            job=job_id,
            under_way_count=under_way_count,
            slack_ms=round(candidate.slack_s * _MS_PER_S),
        )


def _is_limited(job: ttypes.Job) -> bool:
    return any(step.best_effort for step in job.steps) and not any(
        step.long_running for step in job.steps
    )


def _find_candidates(
    waiting: Iterable[backlog_module.WaitingStep], usage: usage_module.Usage
) -> dict[str, dict[str, int]]:
    """Returns the limited jobs that have not started, by pool, in order.

    The value of each is the processor time that its waiting tasks would reserve.
    """
    candidates: dict[str, dict[str, int]] = {}
    for step in waiting:
        job_id = step.key[0]
        job_usage = usage.by_job.get(job_id)
        if job_usage is None or job_usage.is_started:
            continue
        if _is_limited(step.job):
            jobs = candidates.setdefault(job_usage.pool, {})
            required = step.step.resources.cpu_millicores
            jobs[job_id] = jobs.get(job_id, 0) + required * len(
                step.waiting_indexes
            )
    return candidates


def _summarize_pools(
    waiting: Iterable[backlog_module.WaitingStep],
    context: offer_policies.RoundContext,
) -> dict[str, _Pool]:
    waiting_jobs = {step.key[0] for step in waiting}
    pools: dict[str, _Pool] = {}
    for job_id, job_usage in context.usage.by_job.items():
        pool = pools.setdefault(job_usage.pool, _Pool())
        open_job = context.usage.open_jobs[job_id]
        millicores = job_usage.resources.cpu_millicores
        if not _is_limited(open_job.job):
            is_latency_critical = any(
                step.tail_target_ms for step in open_job.job.steps
            )
            if is_latency_critical:
                millicores *= free_capacity.LATENCY_CRITICAL_USED_SHARE
            pool.other_millicores += millicores
            continue
        pool.best_effort_millicores += millicores
        if job_usage.is_started:
            pool.under_way.append(
                _UnderWay(open_job.queue.priority, _predict(open_job, context))
            )
            pool.is_saturated |= job_id in waiting_jobs
    return pools


def _predict(
    open_job: usage_module.OpenJob, context: offer_policies.RoundContext
) -> concurrency_limits.PredictedJob:
    """Predicts the earliest open occurrence of a job."""
    occurrence = min(open_job.occurrences, key=lambda item: item.number)
    arguments = open_job.job, open_job.queue, occurrence
    urgency = context.urgency
    end_unix_ms = urgency.objective_end_unix_ms(*arguments)
    return concurrency_limits.PredictedJob(
        time_left_s=(end_unix_ms - context.now_unix_ms) / _MS_PER_S,
        critical_path_s=urgency.remaining_path_ms(*arguments) / _MS_PER_S,
        core_time_s=urgency.remaining_core_time_ms(*arguments) / _MS_PER_S,
    )
