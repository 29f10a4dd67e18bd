"""Tests the order in which steps are offered under guaranteed shares."""

from collections.abc import Iterable
from collections.abc import Mapping

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import share_order
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_CORES = 10


def _waiting(
    job_id: str,
    queue: str,
    tasks_count: int = 1,
    *,
    pool: str = builders.POOL,
    idle_since_s: float = 100.0,
    **fields: object,
) -> backlog_module.WaitingStep:
    """Builds a waiting step whose tasks need one core each."""
    values = {"resources": leader_harness.resources(1, 0)} | fields
    step = builders.step(tasks_count, **values)
    return backlog_module.WaitingStep(
        key=(job_id, 0, 0),
        step=step,
        queue=ttypes.Queue(name=queue, pool=pool),
        waiting_indexes=list(range(tasks_count)),
        tasks=[ttypes.JobTask() for _ in range(tasks_count)],
        record=ttypes.JobRecord(),
        job=builders.job(job_id, step),
        occurrence=ttypes.Occurrence(),
        idle_since_s=idle_since_s,
    )


def _offer(
    policy: share_order.ShareOrder,
    waiting: Iterable[backlog_module.WaitingStep],
    used_cores: Mapping[str, float] | None = None,
    *,
    now_s: float = 100.0,
) -> list[tuple[str, int]]:
    """Returns the jobs in the order of the offers, with the number of tasks."""
    usage = usage_module.Usage()
    for queue, cores in (used_cores or {}).items():
        key = usage_module.QueueKey(builders.POOL, queue, 0)
        usage.by_queue_key[key] = leader_harness.resources(cores, 0)
    context = offer_policies.RoundContext(
        usage=usage,
        capacity_of=lambda pool: leader_harness.resources(_CORES, 100),
        urgency=urgency_module.Urgency(),
        now_s=now_s,
        now_unix_ms=0,
    )
    offered = policy.offer(list(waiting), context)
    return [(step.key[0], len(step.waiting_indexes)) for step in offered]


def _policy(**ratios: float) -> share_order.ShareOrder:
    return share_order.ShareOrder(
        shares_module.ShareSettings(ratios=ratios, reclaim_s=2)
    )


def test_a_share_below_its_guarantee_comes_first() -> None:
    waiting = [_waiting("f", "flood", 50), _waiting("r", "reports")]
    assert _offer(_policy(reports=0.3), waiting) == [("r", 1), ("f", 50)]


def test_a_share_with_its_guarantee_keeps_the_given_order() -> None:
    waiting = [_waiting("f", "flood", 50), _waiting("r", "reports")]
    offered = _offer(_policy(reports=0.3), waiting, {"reports": 3})
    assert offered == [("f", 50), ("r", 1)]


def test_a_wide_step_goes_first_only_up_to_the_guarantee() -> None:
    waiting = [_waiting("f", "flood", 50), _waiting("r", "reports", 20)]
    offered = _offer(_policy(reports=0.3), waiting, {"reports": 1})
    assert offered == [("r", 2), ("f", 50), ("r", 18)]


def test_the_parts_of_a_step_are_disjoint_and_complete() -> None:
    policy = _policy(reports=0.3)
    step = _waiting("r", "reports", 20, idle_since_s=90.0)
    step.tasks[1] = step.tasks[7] = builders.suspected_task()
    step.suspects_count = 2
    usage = offer_policies.RoundContext(
        usage=usage_module.Usage(),
        capacity_of=lambda pool: leader_harness.resources(_CORES),
        urgency=urgency_module.Urgency(),
        now_s=100.0,
        now_unix_ms=0,
    )
    first, rest = policy.offer([step], usage)
    assert first.waiting_indexes + rest.waiting_indexes == list(range(20))
    assert (first.suspects_count, rest.suspects_count) == (1, 1)
    # Only the first part may start a task of an idle job beyond the limits.
    assert first.idle_since_s == 90.0
    assert rest.idle_since_s > 1e9


def test_a_gang_is_offered_whole() -> None:
    waiting = [_waiting("f", "flood"), _waiting("g", "reports", 8, gang=True)]
    assert _offer(_policy(reports=0.3), waiting) == [("g", 8), ("f", 1)]


def test_the_share_with_the_least_of_its_guarantee_comes_first() -> None:
    waiting = [_waiting("a", "a"), _waiting("b", "b")]
    policy = _policy(a=0.5, b=0.2)
    offered = _offer(policy, waiting, {"a": 2, "b": 1})
    assert offered == [("a", 1), ("b", 1)]
    offered = _offer(policy, waiting, {"a": 3, "b": 1})
    assert offered == [("b", 1), ("a", 1)]


def test_shares_below_their_guarantee_take_turns_in_proportion() -> None:
    waiting = [_waiting("a", "a", 20), _waiting("b", "b", 20)]
    offered = _offer(_policy(a=0.6, b=0.3), waiting)
    before_last = offered[:-2]
    counts = {
        job: sum(count for name, count in before_last if name == job)
        for job in "ab"
    }
    assert counts == {"a": 6, "b": 3}
    half = [name for name, count in before_last for _ in range(count)][:6]
    assert half.count("b") == 2


def test_the_given_order_holds_within_a_share() -> None:
    """Long-running steps come first in the backlog, and stay there."""
    waiting = [
        _waiting("f", "flood"),
        _waiting("lc", "reports", long_running=True),
        _waiting("r1", "reports"),
        _waiting("r2", "reports"),
    ]
    offered = _offer(_policy(reports=0.2), waiting)
    assert offered == [("lc", 1), ("r1", 1), ("f", 1), ("r2", 1)]


def test_nothing_is_held_back() -> None:
    waiting = [
        _waiting(
            f"j{number}", queue, 1 + number % 4, long_running=number % 5 == 0
        )
        for number, queue in enumerate(["flood", "a", "b", "other"] * 10)
    ]
    offered = _offer(_policy(a=0.4, b=0.2), waiting, {"a": 1})
    totals: dict[str, int] = {}
    for name, count in offered:
        totals[name] = totals.get(name, 0) + count
    assert totals == {s.key[0]: len(s.waiting_indexes) for s in waiting}


def test_a_step_without_a_grant_does_not_hide_the_steps_after_it() -> None:
    policy = _policy(reports=0.3)
    huge = _waiting("huge", "reports", 9, required_label="missing")
    waiting = [_waiting("f", "flood"), huge, _waiting("r", "reports")]
    assert _offer(policy, waiting) == [
        ("huge", 3),
        ("f", 1),
        ("huge", 6),
        ("r", 1),
    ]
    assert _offer(policy, waiting)[:2] == [("huge", 3), ("r", 1)]


def test_the_oldest_step_of_each_queue_goes_before_borrowers() -> None:
    waiting = [
        _waiting("f1", "flood", idle_since_s=95.0),
        _waiting("f2", "flood", idle_since_s=70.0),
        _waiting("f3", "flood", idle_since_s=60.0),
        _waiting("o1", "other", idle_since_s=75.0),
        _waiting("o2", "other", idle_since_s=50.0),
        _waiting("r", "reports", 5, idle_since_s=10.0),
    ]
    offered = _offer(_policy(reports=0.1), waiting)
    names = [name for name, _ in offered]
    assert names == ["r", "o2", "f3", "f1", "f2", "o1", "r"]


def test_steps_of_other_pools_have_shares_of_their_own() -> None:
    waiting = [
        _waiting("f", "flood"),
        _waiting("r1", "reports"),
        _waiting("r2", "reports", pool="pool2"),
    ]
    offered = _offer(_policy(reports=0.3), waiting, {"reports": 3})
    assert offered == [("r2", 1), ("f", 1), ("r1", 1)]


def test_a_pool_without_workers_is_no_fault() -> None:
    policy = _policy(reports=0.3)
    context = offer_policies.RoundContext(
        usage=usage_module.Usage(),
        capacity_of=lambda pool: ttypes.Resources(),
        urgency=urgency_module.Urgency(),
        now_s=100.0,
        now_unix_ms=0,
    )
    waiting = [_waiting("f", "flood"), _waiting("r", "reports", 5)]
    offered = policy.offer(waiting, context)
    assert sum(len(step.waiting_indexes) for step in offered) == 6


def test_a_step_is_due_once_its_tasks_have_waited_for_their_guarantee() -> None:
    """Grants of some tasks do not help the others, which wait on."""
    policy = _policy(reports=0.3)
    step = _waiting("r", "reports", 5)
    _offer(policy, [step], now_s=100.0)
    step.waiting_indexes = step.waiting_indexes[1:]
    _offer(policy, [step], {"reports": 1}, now_s=101.9)
    assert policy.due_steps == []
    _offer(policy, [step], {"reports": 1}, now_s=102.0)
    assert [due.waited_s for due in policy.due_steps] == [2.0]


def test_a_step_waits_anew_after_its_share_had_its_guarantee() -> None:
    policy = _policy(reports=0.3)
    step = _waiting("r", "reports", 5)
    for now_s, cores in ((100.0, 0), (101.0, 3), (102.0, 2), (103.9, 2)):
        _offer(policy, [step], {"reports": cores}, now_s=now_s)
        assert policy.due_steps == []


def test_a_step_of_a_share_with_its_guarantee_is_never_due() -> None:
    policy = _policy(reports=0.3)
    waiting = [_waiting("r", "reports", 5), _waiting("f", "flood")]
    for now_s in (100.0, 110.0):
        _offer(policy, waiting, {"reports": 3}, now_s=now_s)
    assert policy.due_steps == []
