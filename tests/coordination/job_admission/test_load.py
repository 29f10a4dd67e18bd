"""Tests of the earliest start that the waiting work allows a job."""

import dataclasses
import math

import pytest

from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_placing import urgency as urgency_module

_NOW_S = 50.0
_NOW_UNIX_MS = 1_000_000


def _key(cost_ratio: float, job_id: str = "w", *, priority: int = 0):
    return urgency_module.Rank(priority, False, cost_ratio), (job_id, 0, 0)


def _work(cost_ratio: float = 0.5, **fields: object) -> load_module.WaitingWork:
    """Builds 100 s of core time in tasks of 1 s."""
    priority = fields.pop("priority", 0)
    values = {
        "last_key": _key(cost_ratio, priority=priority),
        "queue": "fast",
        "is_best_effort": False,
        "cpu_millicores": 1_000,
        "memory_bytes": 100,
        "core_ms": 100_000.0,
        "run_ms": 1_000.0,
        "latest_start_unix_ms": math.inf,
        "priority": priority,
    }
    return load_module.WaitingWork(**(values | fields))


def _demand(**fields: object) -> load_module.Demand:
    values = {
        "key": _key(1.0, "new"),
        "queue": "fast",
        "is_best_effort": False,
        "cpu_millicores": 1_000,
        "memory_bytes": 100,
        "critical_path_ms": 1_000.0,
        "useful_ms": 5_000.0,
    }
    return load_module.Demand(**(values | fields))


def _start_ms(
    *work: load_module.WaitingWork,
    demand: load_module.Demand | None = None,
    is_order_final: bool = True,
    now_s: float = _NOW_S,
    **pool_fields: object,
) -> float:
    summary, pool = _load(*work, is_order_final=is_order_final, **pool_fields)
    return load_module.earliest_start_ms(
        summary,
        pool,
        demand or _demand(),
        now_s=now_s,
    )


def _load(
    *work: load_module.WaitingWork,
    is_order_final: bool = True,
    **pool_fields: object,
) -> tuple[load_module.LoadSummary, load_module.PoolLoad]:
    values = {"capacity_millicores": 10_000, "work": work}
    pool = load_module.PoolLoad(**(values | pool_fields))
    summary = load_module.LoadSummary(
        term=1,
        term_begun_s=0.0,
        published_s=_NOW_S,
        published_unix_ms=_NOW_UNIX_MS,
        pools={"pool": pool},
        mean_core_times_ms={},
        is_order_final=is_order_final,
    )
    return summary, pool


def test_work_that_ranks_before_a_job_drains_at_the_capacity_of_the_pool() -> (
    None
):
    # 10 s on 10 cores; the tasks that start last run for another second.
    assert _start_ms(_work()) == 9_000
    assert _start_ms(_work(), _work(0.6)) == 19_000


def test_the_time_since_the_summary_counts() -> None:
    assert _start_ms(_work(), now_s=_NOW_S + 4) == 5_000
    assert _start_ms(_work(), now_s=_NOW_S + 60) == 0


@pytest.mark.parametrize(
    "work",
    [
        _work(2.0),
        _work(priority=1),
        _work(cpu_millicores=1_001),
        _work(memory_bytes=101),
        _work(is_best_effort=True),
        _work(latest_start_unix_ms=_NOW_UNIX_MS - 1),
    ],
    ids=[
        "it ranks after the job",
        "its queue has a later priority",
        "a worker may have too few processors for it only",
        "a worker may have too little memory for it only",
        "it only uses what the job leaves",
        "it is too late itself",
    ],
)
def test_work_that_may_not_delay_a_job_does_not_count(
    work: load_module.WaitingWork,
) -> None:
    assert _start_ms(work) == 0


def test_work_of_an_earlier_priority_counts_even_if_it_is_too_late() -> None:
    demand = _demand(key=_key(0.1, "new", priority=1))
    late = _work(latest_start_unix_ms=0)
    assert _start_ms(late, demand=demand) == 9_000


def test_work_that_will_be_too_late_by_its_turn_drops_behind() -> None:
    first = _work(0.4)
    second = _work(0.5, latest_start_unix_ms=_NOW_UNIX_MS + 9_999)
    assert _start_ms(first, second) == 9_000
    in_time = dataclasses.replace(
        second, latest_start_unix_ms=_NOW_UNIX_MS + 10_001
    )
    assert _start_ms(first, in_time) == 19_000


def test_a_best_effort_job_waits_for_such_work_but_not_longer_than_its_limit() -> (
    None
):
    demand = _demand(is_best_effort=True)
    work = _work(is_best_effort=True), _work(0.6, is_best_effort=True)
    assert _start_ms(*work, demand=demand, max_idle_s=20.0) == 19_000
    assert _start_ms(*work, demand=demand, max_idle_s=2.0) == 2_000


def test_only_work_of_its_queue_precedes_a_job_if_policies_change_the_order() -> (
    None
):
    work = _work(queue="other"), _work(0.6)
    assert _start_ms(*work, is_order_final=False) == 9_000


def test_a_job_is_too_late_only_if_it_is_at_every_plausible_speed() -> None:
    summary, pool = _load(_work())
    at_any_speed = 5_000.0
    assert load_module.is_surely_too_late(
        summary, pool, _demand(useful_ms=at_any_speed), now_s=_NOW_S
    )
    # At the predicted speed it would end after 10 s.
    assert not load_module.is_surely_too_late(
        summary, pool, _demand(useful_ms=9_000.0), now_s=_NOW_S
    )


def test_a_job_is_not_too_late_if_work_may_be_faster_than_predicted() -> None:
    # At 1.5 times the speed it would start after 6 s and run for 0.67 s.
    summary, pool = _load(_work())
    for useful_ms, is_too_late in ((6_600.0, True), (6_700.0, False)):
        demand = _demand(useful_ms=useful_ms)
        assert is_too_late == load_module.is_surely_too_late(
            summary, pool, demand, now_s=_NOW_S
        )


def test_a_job_is_not_too_late_if_a_slower_pool_lets_others_drop_behind() -> (
    None
):
    work = _work(0.4), _work(0.5, latest_start_unix_ms=_NOW_UNIX_MS + 10_001)
    summary, pool = _load(*work)
    demand = _demand(useful_ms=14_800.0)
    assert _start_ms(*work, demand=demand) == 19_000
    assert not load_module.is_surely_too_late(
        summary, pool, demand, now_s=_NOW_S
    )


@pytest.mark.parametrize(
    ("free", "is_too_late"),
    [
        ((1_000, 0, 100), False),
        ((999, 1_000, 100), True),
        ((1_000, 0, 99), True),
    ],
    ids=["a task fits", "too few processors", "too little memory"],
)
def test_a_job_that_fits_beside_waiting_work_is_not_too_late(
    free: tuple[int, int, int], *, is_too_late: bool
) -> None:
    """Guards against a rejection while the work that goes before is held back."""
    cpu_millicores, idle_millicores, memory_bytes = free
    worker = load_module.FreeWorker(
        cpu_millicores=cpu_millicores,
        idle_millicores=idle_millicores,
        memory_bytes=memory_bytes,
    )
    summary, pool = _load(_work(), free_workers=[worker])
    assert is_too_late == load_module.is_surely_too_late(
        summary, pool, _demand(), now_s=_NOW_S
    )


def test_a_pool_without_capacity_says_nothing_about_a_start() -> None:
    assert _start_ms(_work(), capacity_millicores=0) == 0


def test_a_best_effort_job_does_not_wait_for_work_that_reserves_processors() -> (
    None
):
    """Guards against a rejection of a job that starts beside what others reserve."""
    demand = _demand(is_best_effort=True)
    assert _start_ms(_work(), demand=demand, max_idle_s=20.0) == 0


def test_long_tasks_that_do_not_fill_the_pool_leave_the_rest_to_the_job() -> (
    None
):
    """Guards against a wait that counts runs which leave processors free.

    Short tasks take all 10 cores for 5 s. Then 9 tasks of a minute begin, and the job
    starts beside them.
    """
    short = _work(0.4, core_ms=50_000.0, run_ms=100.0)
    long = _work(0.5, core_ms=540_000.0, run_ms=60_000.0)
    assert 4_800 <= _start_ms(short, long) <= 5_000
