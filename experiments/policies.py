"""Policies to compare with the product's own, by name.

The product has no switches for them: each policy replaces constants or
functions of the product's modules during a simulation.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from experiments import simulation
from marigoldsill.coordination.cpu_throttling import cpu_throttle
from marigoldsill.coordination.cpu_throttling import load_trends
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import relocation
from marigoldsill.coordination.job_placing import scoring
from marigoldsill.coordination.job_placing import step_placement
from marigoldsill.coordination.job_placing import urgency
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.job_queueing import job_concurrency
from marigoldsill.coordination.learning import utilization

Policy = Callable[[], contextlib.AbstractContextManager]

_NEVER = float("inf")
_SCORE = scoring.score


@contextlib.contextmanager
def patched_attributes(**changes: tuple[object, object]) -> Iterator[None]:
    """Replaces attributes of modules and classes within the context.

    Args:
        **changes: Owner and new value of each attribute, by its name.
    """
    originals = {n: getattr(module, n) for n, (module, _) in changes.items()}
    try:
        for name, (module, value) in changes.items():
            setattr(module, name, value)
        yield
    finally:
        for name, (module, _) in changes.items():
            setattr(module, name, originals[name])


def _patch(module: object, name: str, value: object) -> Policy:
    return lambda: patched_attributes(**{name: (module, value)})


def _limit_concurrency(setting: str) -> Policy:
    """Installs the limit on jobs under way that a value of the setting names."""
    limit = concurrency_limits.parse(setting)
    return _patch(
        simulation,
        "create_offer_policies",
        lambda: [job_concurrency.JobConcurrency(limit)],
    )


def _rank_by_arrival(_self, job, queue, _occurrence, **_: object):
    return urgency.Rank(queue.priority, False, job.accepted_unix_ms)


def _rank_by_core_time(self, job, queue, _occurrence, **_: object):
    return urgency.Rank(queue.priority, False, self.core_time_ms(job, queue))


def _score_equally(_free, _step, **_: object):
    return (0.0,)


def _score_images_apart(free, step, **options: object):
    """Scores latency-critical tasks so that images share no worker."""
    if not step.tail_target_ms:
        return _SCORE(free, step, **options)
    others = {t.image for t in free.latency_critical} - {step.image}
    is_preferred_rack = free.worker.rack == step.preferred_rack
    is_shared = bool(free.latency_critical)
    return is_preferred_rack, -len(others), is_shared, -free.cpu_millicores


def _full_interference(free, _step, _interference):
    return 1.0 if free.latency_critical else 0.0


_BASELINES: dict[str, Policy] = {
    "product": contextlib.nullcontext,
    "fifo-first-fit": lambda: patched_attributes(
        rank=(urgency.Urgency, _rank_by_arrival),
        score=(scoring, _score_equally),
    ),
    "shortest-first": _patch(urgency.Urgency, "rank", _rank_by_core_time),
    "no-sharing": lambda: patched_attributes(
        interference_share=(scoring, _full_interference),
        _IDLE_LIMIT_S=(step_placement, _NEVER),
        _FULL_POOL_IDLE_LIMIT_S=(step_placement, _NEVER),
    ),
}
# Each disables or changes one mechanism and leaves all others unchanged.
ABLATION: dict[str, Policy] = {
    "no-pacing": lambda: patched_attributes(
        percent=(cpu_throttle.CpuThrottle, lambda _self, _key: 100),
        initial_percent=(
            cpu_throttle.CpuThrottle,
            lambda _self, _order, _images: 100,
        ),
    ),
    "no-pairs-learnt": _patch(
        utilization.UtilizationFilter,
        "added_utilization",
        lambda *_: utilization._PAIR_MEAN,
    ),
    "no-trends": _patch(
        load_trends.LoadTrends, "expected_rise", lambda _self, _key: 0.0
    ),
    "no-idle-start": lambda: patched_attributes(
        _IDLE_LIMIT_S=(step_placement, _NEVER),
        _FULL_POOL_IDLE_LIMIT_S=(step_placement, _NEVER),
    ),
    "idle-start-at-once": _patch(
        step_placement, "_FULL_POOL_IDLE_LIMIT_S", 2.0
    ),
    "no-moves": _patch(
        relocation.Relocation, "choose_evictions", lambda *_, **__: []
    ),
    "usual-load-unknown": _patch(
        utilization.UtilizationFilter,
        "recent_average",
        lambda *_: utilization._ALONE_MEAN,
    ),
    "starts-anyway": _patch(scoring, "_START_LIMIT", _NEVER),
    "unseen-as-idle": _patch(
        interference_model, "_UNSAMPLED_UTILIZATION", utilization._ALONE_MEAN
    ),
}
# Thresholds around their values in the product, and alternative mechanisms.
_VARIANTS: dict[str, Policy] = {
    "goal-0.70": _patch(
        cpu_throttle,
        "_TARGET_UTILIZATION",
        utilization.from_latency_ratio(0.70),
    ),
    "goal-0.78": _patch(
        cpu_throttle,
        "_TARGET_UTILIZATION",
        utilization.from_latency_ratio(0.78),
    ),
    "goal-0.96": _patch(
        cpu_throttle,
        "_TARGET_UTILIZATION",
        utilization.from_latency_ratio(0.96),
    ),
    "disturbance-0.1": _patch(scoring, "_INTERFERENCE_LIMIT", 0.1),
    "disturbance-0.2": _patch(scoring, "_INTERFERENCE_LIMIT", 0.2),
    "disturbance-0.3": _patch(scoring, "_INTERFERENCE_LIMIT", 0.3),
    "disturbance-0.5": _patch(scoring, "_INTERFERENCE_LIMIT", 0.5),
    "idle-start-10": _patch(step_placement, "_FULL_POOL_IDLE_LIMIT_S", 10.0),
    "idle-start-40": _patch(step_placement, "_FULL_POOL_IDLE_LIMIT_S", 40.0),
    "start-limit-0.85": _patch(
        scoring, "_START_LIMIT", utilization.from_latency_ratio(0.85)
    ),
    "start-limit-1.3": _patch(
        scoring, "_START_LIMIT", utilization.from_latency_ratio(1.3)
    ),
    "late-last": _patch(urgency, "_TOO_LATE_RATIO", 1.0),
    "wide-prior": _patch(utilization, "_PAIR_VARIANCE", 0.02),
    "serving-apart": _patch(scoring, "score", _score_images_apart),
}
_CONCURRENCY: dict[str, Policy] = {
    setting: _limit_concurrency(setting)
    for setting in ("count:4", "count:8", "predicted-end")
}
POLICIES = _BASELINES | ABLATION | _VARIANTS | _CONCURRENCY
