"""Scores of workers for tasks; functions without state.

A best-effort task uses processor time that latency-critical tasks leave unused, and
raises their tail latency by an amount that is learnt for each pair of images.
"""

from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.learning import utilization
from marigoldsill.protocol.generated import ttypes

# Higher is better; compared item by item.
Score = tuple[float, ...]

# Best-effort tasks are placed so that tail latencies stay below this share of their
# target at the usual load. Agents throttle them while the load is higher.
_USUAL_LIMIT = utilization.from_latency_ratio(0.74)
# A task starts at full speed and is throttled only after its first report, so none
# starts where this would raise a tail latency above its target now.
_START_LIMIT = utilization.from_latency_ratio(1.0)
# Cost of a worker without latency-critical tasks, as an interference share. Such
# workers are left for best-effort tasks that fit nowhere else.
_UNSHARED_COST = 0.1
_IDLE_WEIGHT = 0.3
_MIN_HEADROOM = 1e-6
_INTERFERENCE_LIMIT = 0.2
# Declared processor time is a rough estimate, so best-effort tasks may declare a little
# more than is idle. Far beyond that, all of them only become slower.
_OVERCOMMIT_SHARE = 0.1


def score_within_limits(
    free: free_capacity.FreeCapacity,
    step: ttypes.Step,
    pool: str,
    model: interference_model.InterferenceModel,
) -> Score | None:
    """Scores a worker for one more task of a step, within the interference limits.

    Args:
        free: The worker.
        step: The requirements of the task.
        pool: The pool of the step's queue.
        model: The learnt interference between images.

    Returns:
        The score, or None if no task of the step may start there now.
    """
    if not free.admits(step, pool):
        return None
    if not step.best_effort:
        return score(free, step, interference=0.0)
    if not can_start_at_full_speed(free, step, model):
        return None
    interference = interference_share(free, step, model)
    if interference > _INTERFERENCE_LIMIT:
        return None
    return score(free, step, interference=interference)


def score_without_limits(
    free: free_capacity.FreeCapacity,
    step: ttypes.Step,
    pool: str,
    model: interference_model.InterferenceModel,
) -> Score | None:
    """Scores a worker for a best-effort task without limits on interference."""
    if not free.admits(step, pool):
        return None
    interference = interference_share(free, step, model)
    return free.is_within_ramp, -interference, free.idle_share


def score(
    free: free_capacity.FreeCapacity,
    step: ttypes.Step,
    *,
    interference: float,
) -> Score:
    """Scores a worker for a task that may start there.

    Latency-critical tasks are packed on the largest workers, grouped by image. This
    leaves as many workers as possible for best-effort tasks that would interfere with
    them. All other tasks share workers with them, as they do not interfere. A worker
    whose ramp allows no more runs comes after all others.

    Args:
        free: The worker.
        step: The requirements of the task.
        interference: The result of `interference_share`; 0 unless best-effort.
    """
    is_within_ramp = free.is_within_ramp
    is_near = free.worker.rack == step.preferred_rack
    is_shared = bool(free.latency_critical)
    if step.tail_target_ms:
        others_count = sum(
            task.image != step.image for task in free.latency_critical
        )
        capacity = free.worker.capacity.cpu_millicores
        return (
            is_within_ramp,
            is_near,
            is_shared,
            capacity,
            -others_count,
            -free.cpu_millicores,
        )
    if step.best_effort:
        cost = interference + (0.0 if is_shared else _UNSHARED_COST)
        return is_within_ramp, is_near, _IDLE_WEIGHT * free.idle_share - cost
    return is_within_ramp, is_near, is_shared, free.idle_share


def can_start_at_full_speed(
    free: free_capacity.FreeCapacity,
    step: ttypes.Step,
    model: interference_model.InterferenceModel,
) -> bool:
    """Returns whether a best-effort task may start at full speed.

    There must be processor time for it, and it must not raise a tail latency above
    its target.
    """
    required_millicores = step.resources.cpu_millicores
    shortage_millicores = required_millicores - free.idle_millicores
    if (
        shortage_millicores
        > _OVERCOMMIT_SHARE * free.worker.capacity.cpu_millicores
    ):
        return False
    tenths = free.to_worker_tenths(required_millicores)
    return all(
        task.current_utilization
        + model.added_utilization_upper_bound(task.image, step.image, tenths)
        <= _START_LIMIT
        for task in free.latency_critical
    )


def interference_share(
    free: free_capacity.FreeCapacity,
    step: ttypes.Step,
    model: interference_model.InterferenceModel,
) -> float:
    """Returns the share of the remaining headroom that a best-effort task would use.

    It is the largest share over the latency-critical tasks on the worker.
    """
    tenths = free.to_worker_tenths(step.resources.cpu_millicores)
    return max(
        (
            model.added_utilization(task.image, step.image, tenths)
            / max(_MIN_HEADROOM, _USUAL_LIMIT - task.usual_utilization)
            for task in free.latency_critical
        ),
        default=0.0,
    )
