"""A summary of what waits for a pool, and the earliest start that it allows a job.

Answers an overload in which a job would wait behind others until it is of no use. The
estimate is a lower bound: only work that ranks before the job and could use every
capacity that the job could use counts, drained at the full capacity of the pool. A job
that waits drops behind once it is too late itself, and the longest runs that the pool
can hold at once do not delay the job, since they may start last. Best-effort work and
other work do not delay each other: only the latter reserves processor time. Runs that
have begun do not count, since any of them may end soon and leave its capacity to the
job.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import math

from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol import task_names

# How many times as fast as predicted the waiting work may run. Errors of single
# predictions average out over many tasks; a slower pool lets more work drop behind.
_SPEED_RATIOS = (1.5, 1.0, 0.67)
_MILLICORES_PER_CORE = 1_000

# The order in which the scheduler serves steps.
OrderKey = tuple[urgency_module.Rank, task_names.StepKey]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class WaitingWork:
    """Waiting steps of equal needs that are neighbours in the order.

    Attributes:
        last_key: The order key of the last step.
        queue: The queue of their jobs.
        is_best_effort: Whether they only use processor time that others leave.
        cpu_millicores: Processor time that each task needs.
        memory_bytes: Memory that each task needs.
        core_ms: The core time of their waiting tasks.
        run_ms: The run time of a task, averaged over the core time.
        latest_start_unix_ms: When the first of the jobs is too late to be of use.
        priority: The priority of their queue.
    """

    last_key: OrderKey
    queue: str
    is_best_effort: bool
    cpu_millicores: int
    memory_bytes: int
    core_ms: float
    run_ms: float
    latest_start_unix_ms: float
    priority: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class FreeWorker:
    """What is free of a worker after a round has placed what it could.

    Attributes:
        cpu_millicores: Processor time that no task has reserved.
        idle_millicores: Processor time that tasks leave for best-effort tasks.
        memory_bytes: Memory that no task has reserved.
    """

    cpu_millicores: float
    idle_millicores: float
    memory_bytes: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PoolLoad:
    """The load of one pool.

    Attributes:
        capacity_millicores: The processor time of its workers, as the highest value of
            a recent time, since lost workers may come back.
        no_worker_since_s: Since when no worker may run its tasks; infinite while
            some may.
        max_idle_s: After which time a best-effort job gets a run in any case.
        free_workers: The workers that may start tasks.
        work: What waits, in the order in which it is served.
        core_ms: The core time of all of it.
    """

    capacity_millicores: int = 0
    no_worker_since_s: float = math.inf
    max_idle_s: float = 0.0
    free_workers: Sequence[FreeWorker] = ()
    work: Sequence[WaitingWork] = ()
    core_ms: float = dataclasses.field(init=False)

    def __post_init__(self):
        """Computes the total, which every decision looks at."""
        core_ms = math.fsum(item.core_ms for item in self.work)
        object.__setattr__(self, "core_ms", core_ms)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LoadSummary:
    """The load at one time, as published by the scheduler.

    Attributes:
        term: The term of the leader.
        term_begun_s: When its scheduler began the term.
        published_s: When it was published.
        published_unix_ms: The same as wall-clock time.
        pools: The load of each pool.
        mean_core_times_ms: The mean core time of waiting jobs, by queue.
        is_order_final: Whether steps of different queues are served in the order of
            their ranks, so that no policy changes it.
    """

    term: int
    term_begun_s: float
    published_s: float
    published_unix_ms: int
    pools: Mapping[str, PoolLoad]
    mean_core_times_ms: Mapping[str, float]
    is_order_final: bool = True


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Demand:
    """What a submitted job needs, by the predicted run times.

    Attributes:
        key: The order key of its first step on the critical path.
        queue: Its queue.
        is_best_effort: Whether that step only uses what others leave.
        cpu_millicores: Processor time that each task of the step needs.
        memory_bytes: Memory that each task of the step needs.
        critical_path_ms: The length of the job's critical path.
        useful_ms: How long after its submission its end is of use.
    """

    key: OrderKey
    queue: str
    is_best_effort: bool
    cpu_millicores: int
    memory_bytes: int
    critical_path_ms: float
    useful_ms: float


def earliest_start_ms(
    summary: LoadSummary, pool: PoolLoad, demand: Demand, *, now_s: float
) -> float:
    """Returns how long a job that is submitted now waits at least.

    Args:
        summary: The published load.
        pool: The load of the job's pool.
        demand: What the job needs.
        now_s: The current time.
    """
    ahead = _work_ahead(summary, pool, demand)
    return _drain_ms(ahead, summary, pool, demand, now_s=now_s, speed_ratio=1)


def is_surely_too_late(
    summary: LoadSummary, pool: PoolLoad, demand: Demand, *, now_s: float
) -> bool:
    """Returns whether a job would end too late to be of use in every case."""
    slack_ms = demand.useful_ms - demand.critical_path_ms
    drain_rate = pool.capacity_millicores / _MILLICORES_PER_CORE
    if pool.core_ms <= slack_ms * drain_rate * max(_SPEED_RATIOS):
        return False
    if _fits_now(pool, demand):
        # What waits is held back for a reason that may not hold back the job.
        return False
    ahead = _work_ahead(summary, pool, demand)
    return all(
        _drain_ms(ahead, summary, pool, demand, now_s=now_s, speed_ratio=ratio)
        > demand.useful_ms - demand.critical_path_ms / max(1.0, ratio)
        for ratio in _SPEED_RATIOS
    )


def _fits_now(pool: PoolLoad, demand: Demand) -> bool:
    """Returns whether a task of a job could start at once if nothing else waited."""
    return any(
        demand.memory_bytes <= free.memory_bytes
        and demand.cpu_millicores
        <= (
            free.idle_millicores
            if demand.is_best_effort
            else free.cpu_millicores
        )
        for free in pool.free_workers
    )


def _work_ahead(
    summary: LoadSummary, pool: PoolLoad, demand: Demand
) -> list[tuple[float, float, float]]:
    """Returns the work that precedes a job and would use every capacity it could use.

    Returns:
        The core time, the run time of a task and the latest start of each item, in
        order.
    """
    priority = demand.key[0].priority
    end = bisect.bisect_left(
        pool.work, demand.key, key=lambda item: item.last_key
    )
    return [
        (
            item.core_ms,
            item.run_ms,
            item.latest_start_unix_ms
            if item.priority == priority
            else math.inf,
        )
        for item in itertools.islice(pool.work, end)
        if item.cpu_millicores <= demand.cpu_millicores
        and item.memory_bytes <= demand.memory_bytes
        and item.is_best_effort == demand.is_best_effort
        and (summary.is_order_final or item.queue == demand.queue)
    ]


def _drain_ms(
    ahead: Iterable[tuple[float, float, float]],
    summary: LoadSummary,
    pool: PoolLoad,
    demand: Demand,
    *,
    now_s: float,
    speed_ratio: float,
) -> float:
    """Returns after which time a job starts behind some work.

    Args:
        ahead: The work as returned by `_work_ahead`.
        summary: The published load.
        pool: The load of the job's pool.
        demand: What the job needs.
        now_s: The current time.
        speed_ratio: How many times as fast as predicted work is done.
    """
    drain_rate = pool.capacity_millicores / _MILLICORES_PER_CORE * speed_ratio
    if not drain_rate:
        return 0.0
    published_unix_ms = summary.published_unix_ms
    core_ms = 0.0
    counted = []
    for item_core_ms, run_ms, latest_start_unix_ms in ahead:
        if published_unix_ms + core_ms / drain_rate <= latest_start_unix_ms:
            core_ms += item_core_ms
            counted.append((run_ms, item_core_ms))
    cores = pool.capacity_millicores / _MILLICORES_PER_CORE
    running_ms = _longest_runs_core_ms(counted, cores) / drain_rate
    age_ms = (now_s - summary.published_s) * 1_000
    start_ms = max(0.0, core_ms / drain_rate - running_ms - age_ms)
    if demand.is_best_effort:
        return min(start_ms, pool.max_idle_s * 1_000)
    return start_ms


def _longest_runs_core_ms(
    work: Iterable[tuple[float, float]], cores: float
) -> float:
    """Returns the core time of the longest runs that some cores hold at once.

    Args:
        work: The run time of a task and the core time of all tasks of each item.
        cores: The number of cores.
    """
    longest_core_ms = 0.0
    for run_ms, core_ms in sorted(work, reverse=True):
        if cores <= 0:
            break
        used_cores = min(cores, core_ms / max(run_ms, 1e-9))
        longest_core_ms += used_cores * run_ms
        cores -= used_cores
    return longest_core_ms
