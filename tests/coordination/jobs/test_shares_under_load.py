"""Tests what callers get while other queues ask for more than the capacity."""

import itertools

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders
from tests.coordination.jobs import share_harness

_FLOOD, _REPORTS, _OTHER = "flood", "reports", "other"
# A worker stops an evicted run within STOP_S; decisions take some rounds.
_RECLAIM_MARGIN_S = share_harness.STOP_S + 4 * share_harness.ROUND_S


def _create(
    ratios: dict[str, float], *, workers_count: int = 4, cores: int = 8
) -> share_harness.ShareHarness:
    leader = share_harness.ShareHarness(
        builders.queue(_FLOOD, priority=0),
        builders.queue(_REPORTS, priority=1),
        builders.queue(_OTHER, priority=1),
        ratios=ratios,
    )
    for number in range(workers_count):
        leader.set_worker(f"a{number}", cores=cores)
    return leader


def _play_flood(leader: share_harness.ShareHarness) -> list[str]:
    """Floods 32 cores with 4 times as much for 10 s; returns the other jobs.

    The other queue asks for 8 cores, a quarter of the capacity.
    """
    reports = []
    for second in range(10):
        for number in range(128):
            leader.submit(
                f"f{second}-{number}", share_harness.step(), queue=_FLOOD
            )
        for number in range(8):
            job_id = f"r{second}-{number}"
            leader.submit(job_id, share_harness.step(), queue=_REPORTS)
            reports.append(job_id)
        leader.advance(1)
    leader.advance(2.5)
    return reports


def _in_time_count(
    leader: share_harness.ShareHarness, job_ids: list[str], limit_s: float
) -> int:
    """Counts jobs that ended within a time after their submission."""
    return sum(
        leader.ended_s.get(job_id, leader.now_s + limit_s)
        - leader.submitted_s[job_id]
        <= limit_s
        for job_id in job_ids
    )


def test_without_shares_a_flood_takes_everything() -> None:
    leader = _create({})
    reports = _play_flood(leader)
    assert not leader.policies
    assert max(leader.wait_s(job_id) for job_id in reports) > 9
    assert _in_time_count(leader, reports, limit_s=2.5) == 0


def test_a_queue_keeps_its_share_while_another_floods() -> None:
    leader = _create({_REPORTS: 0.3})
    reports = _play_flood(leader)
    assert max(leader.wait_s(job_id) for job_id in reports) < 1.5
    assert _in_time_count(leader, reports, limit_s=2.5) == len(reports)
    # The flood borrows what the share leaves idle.
    flood_runs_count = sum(key[0].startswith("f") for key in leader.placed)
    assert flood_runs_count >= 10 * 32 * 0.65


def test_a_share_of_a_priority_holds_for_all_its_queues_together() -> None:
    leader = _create({"priority-1": 0.5})
    leader.submit("f", share_harness.step(64), queue=_FLOOD)
    leader.submit("r", share_harness.step(64), queue=_REPORTS)
    leader.submit("o", share_harness.step(64), queue=_OTHER)
    leader.run_round()
    assert len(leader.run_ids(_FLOOD)) == 16
    assert len(leader.run_ids(_REPORTS)) + len(leader.run_ids(_OTHER)) == 16


def test_a_lone_queue_borrows_everything() -> None:
    leader = _create({_REPORTS: 0.3, _OTHER: 0.7})
    leader.submit("f", share_harness.step(64, run_s=60), queue=_FLOOD)
    leader.advance(10)
    assert len(leader.run_ids(_FLOOD)) == 32
    assert leader.evicted == []


def test_a_share_borrows_beyond_its_guarantee() -> None:
    leader = _create({_REPORTS: 0.3})
    leader.submit("r", share_harness.step(64, run_s=60), queue=_REPORTS)
    leader.run_round()
    assert len(leader.run_ids(_REPORTS)) == 32


def _borrow_all(leader: share_harness.ShareHarness, **fields) -> None:
    step = share_harness.step(64, run_s=600, **fields)
    leader.submit("f", step, queue=_FLOOD)
    leader.advance(1)
    assert len(leader.run_ids(_FLOOD)) >= 32 // (fields.get("cores", 1))


def test_borrowed_capacity_is_given_back_within_the_stated_time() -> None:
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(8, run_s=60), queue=_REPORTS)
    leader.advance(2 - share_harness.ROUND_S)
    assert leader.evicted == []
    leader.advance(_RECLAIM_MARGIN_S + share_harness.ROUND_S)
    assert len(leader.run_ids(_REPORTS)) == 8
    assert len(leader.evicted) == 8
    leader.advance(20)
    # The share has its guarantee, so nothing more is given back.
    assert len(leader.evicted) == 8
    assert len(leader.run_ids(_FLOOD)) == 24


def test_a_share_that_gets_little_by_itself_is_given_the_rest() -> None:
    """Runs of the flood end one by one, one a second."""
    leader = _create({_REPORTS: 0.5})
    for number in range(32):
        step = share_harness.step(run_s=1.5 + number)
        leader.submit(f"f{number}", step, queue=_FLOOD)
    leader.advance(1)
    leader.submit("f", share_harness.step(64, run_s=60), queue=_FLOOD)
    leader.submit("r", share_harness.step(64, run_s=60), queue=_REPORTS)
    leader.advance(1.5)
    assert 1 <= len(leader.run_ids(_REPORTS)) <= 2
    leader.advance(0.5 + 2 * _RECLAIM_MARGIN_S)
    assert len(leader.run_ids(_REPORTS)) == 16


def test_shares_whose_short_runs_turn_over_cost_no_evictions() -> None:
    leader = _create({_REPORTS: 0.3, _OTHER: 0.3})
    for second in range(10):
        for queue, run_s in ((_FLOOD, 0.7), (_REPORTS, 0.33), (_OTHER, 0.41)):
            step = share_harness.step(100, run_s=run_s)
            leader.submit(f"{queue}{second}", step, queue=queue)
        leader.advance(1)
    counts = [len(leader.run_ids(q)) for q in (_FLOOD, _REPORTS, _OTHER)]
    assert counts == [12, 10, 10]
    assert leader.evicted == []


def test_no_more_is_given_back_than_the_guarantee() -> None:
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(64, run_s=60), queue=_REPORTS)
    leader.advance(20)
    assert len(leader.run_ids(_REPORTS)) == 8
    assert len(leader.evicted) == 8


def test_checkpointing_best_effort_runs_are_evicted_first() -> None:
    leader = _create({_REPORTS: 0.25}, workers_count=1, cores=12)
    for number, fields in enumerate(
        (
            {},
            {"best_effort": True},
            {"best_effort": True, "checkpointing": True},
        )
    ):
        step = share_harness.step(
            2, run_s=600, resources=leader_harness.resources(2, 10), **fields
        )
        leader.submit(f"f{number}", step, queue=_FLOOD)
    leader.run_round()
    leader.submit(
        "r",
        share_harness.step(resources=leader_harness.resources(1, 12)),
        queue=_REPORTS,
    )
    leader.advance(3)
    assert leader.granted_s.get("r")
    (_, run), *others = leader.evicted
    assert run.key[0].startswith("f2")
    assert others == []


def test_long_running_tasks_are_never_evicted() -> None:
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader, long_running=True)
    leader.submit("r", share_harness.step(8), queue=_REPORTS)
    leader.advance(20)
    assert leader.evicted == []


def test_a_share_is_never_brought_below_its_guarantee() -> None:
    leader = _create({_REPORTS: 0.5, _OTHER: 0.5})
    leader.submit("r", share_harness.step(32, run_s=600), queue=_REPORTS)
    leader.advance(1)
    leader.submit("o", share_harness.step(64, run_s=600), queue=_OTHER)
    leader.advance(20)
    assert len(leader.run_ids(_REPORTS)) == len(leader.run_ids(_OTHER)) == 16
    assert len(leader.evicted) == 16


def test_no_share_loses_its_guarantee_to_evictions_on_many_workers() -> None:
    """Guards against evictions that forget those on workers looked at before.

    Each search for runs looks at some of the workers only.
    """
    leader = _create({_REPORTS: 0.5, _OTHER: 0.25}, workers_count=0)
    for number in range(64):
        label = "first" if number < 32 else "second"
        leader.set_worker(f"a{number}", cores=1, labels=[label])
    for label in ("first", "second"):
        step = share_harness.step(
            10, run_s=600, checkpointing=True, required_label=label
        )
        leader.submit(f"o-{label}", step, queue=_OTHER)
    leader.run_round()
    leader.submit("f", share_harness.step(64, run_s=600), queue=_FLOOD)
    leader.advance(0.2)
    step = share_harness.step(64, run_s=600)
    leader.submit("r", step, queue=_REPORTS)
    # All evictions are decided before the first one has an effect.
    leader.unreachable.update(leader.views)
    leader.advance(4)
    leader.unreachable.clear()
    leader.advance(1)
    evicted = [run.key[0][0] for _, run in leader.evicted]
    assert (evicted.count("o"), evicted.count("f")) == (4, 28)
    assert len(leader.run_ids(_OTHER)) == 16
    assert len(leader.run_ids(_REPORTS)) == 32


def test_a_large_task_gets_a_worker_without_ping_pong() -> None:
    """Guards against evicted runs that return into the capacity they gave back.

    The task needs the capacity of several runs, which end one by one.
    """
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(cores=8, run_s=60), queue=_REPORTS)
    leader.advance(2 + _RECLAIM_MARGIN_S)
    assert leader.granted_s.get("r")
    leader.advance(10)
    assert len(leader.evicted) == 8
    evicted_tasks = [run.key[0] for _, run in leader.evicted]
    assert len(set(evicted_tasks)) == len(evicted_tasks)


def test_a_step_that_fits_nowhere_does_not_hide_others_of_its_share() -> None:
    leader = _create({_REPORTS: 0.25})
    leader.submit("huge", share_harness.step(100, cores=9), queue=_REPORTS)
    for number in range(4):
        leader.submit(f"f{number}", share_harness.step(32), queue=_FLOOD)
    leader.advance(0.5)
    leader.submit("small", share_harness.step(run_s=1.01), queue=_REPORTS)
    leader.advance(1)
    assert leader.granted_s.get("small")
    assert leader.evicted == []


def test_no_queue_starves() -> None:
    """The flood has the first priority and always waits, the others as well."""
    leader = _create({_REPORTS: 0.5})
    leader.submit("o", share_harness.step(), queue=_OTHER)
    for second in range(25):
        for queue in (_FLOOD, _REPORTS):
            step = share_harness.step(40)
            leader.submit(f"{queue}{second}", step, queue=queue)
        leader.advance(1)
    assert 20 <= leader.wait_s("o") < 22


def test_a_new_leader_finishes_a_reclaim_that_another_began() -> None:
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(8, run_s=60), queue=_REPORTS)
    leader.advance(2 + 2 * share_harness.ROUND_S)
    assert leader.evicted
    leader.begin_term()
    leader.advance(2 + 2 * _RECLAIM_MARGIN_S)
    assert len(leader.run_ids(_REPORTS)) == 8
    assert len(leader.run_ids(_FLOOD)) == 24
    assert len(leader.evicted) <= 16


def test_agents_that_have_not_reported_in_a_new_term_are_no_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a round that fails as a term begins while it decides."""
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(8, run_s=60), queue=_REPORTS)
    leader.advance(2 - share_harness.ROUND_S)
    place = leader.placement.place

    def place_before_reset(*args, **options) -> list[ttypes.RunGrant]:
        grants = place(*args, **options)
        leader.views.clear()
        return grants

    monkeypatch.setattr(leader.placement, "place", place_before_reset)
    leader.now_s += 1
    leader.run_round()
    assert leader.evicted == []


def test_capacity_of_an_unreachable_agent_is_reclaimed_elsewhere() -> None:
    """An evicted run counts until its end is recorded."""
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(run_s=60), queue=_REPORTS)
    leader.advance(2 + 2 * share_harness.ROUND_S)
    (_, first), *others = leader.evicted
    assert others == []
    leader.unreachable.add(first.agent)
    leader.advance(4)
    # The eviction may still succeed.
    assert len(leader.evicted) == 1
    assert not leader.run_ids(_REPORTS)
    leader.advance(2.5)
    assert len(leader.run_ids(_REPORTS)) == 1
    assert len(leader.evicted) == 2
    assert leader.placed["r.0.0.0", 1] != first.agent


def test_shares_are_kept_in_proportion_when_workers_are_lost() -> None:
    leader = _create({_REPORTS: 0.5, _OTHER: 0.25})
    for name, queue in (("r", _REPORTS), ("o", _OTHER), ("f", _FLOOD)):
        leader.submit(name, share_harness.step(64, run_s=0.5), queue=queue)
    leader.advance(0.3)
    leader.lose_worker("a0")
    leader.lose_worker("a1")
    for second in range(4):
        for name, queue in (("r", _REPORTS), ("o", _OTHER), ("f", _FLOOD)):
            step = share_harness.step(32, run_s=0.5)
            leader.submit(f"{name}{second}", step, queue=queue)
        leader.advance(1)
    counts = [len(leader.run_ids(q)) for q in (_REPORTS, _OTHER, _FLOOD)]
    assert counts == [8, 4, 4]


def test_the_settings_of_the_current_leader_hold() -> None:
    leader = _create({_REPORTS: 0.25})
    _borrow_all(leader)
    leader.submit("r", share_harness.step(16, run_s=600), queue=_REPORTS)
    leader.advance(3)
    assert len(leader.run_ids(_REPORTS)) == 8
    leader.ratios = {_REPORTS: 0.5}
    leader.begin_term()
    leader.advance(3)
    assert len(leader.run_ids(_REPORTS)) == 16
    leader.ratios = {}
    leader.begin_term()
    evicted_count = len(leader.evicted)
    leader.advance(10)
    assert len(leader.evicted) == evicted_count


def test_jobs_of_a_removed_queue_keep_its_share() -> None:
    leader = _create({_REPORTS: 0.25})
    leader.submit("r", share_harness.step(8, run_s=60), queue=_REPORTS)
    leader.advance(0.5)
    leader.state.apply(
        replace_routing=ttypes.ReplaceRouting(
            routing=builders.routing(version=2, queues=[builders.queue(_FLOOD)])
        )
    )
    leader.submit("f", share_harness.step(64, run_s=60), queue=_FLOOD)
    leader.advance(10)
    assert len(leader.run_ids(_REPORTS)) == 8
    assert len(leader.run_ids(_FLOOD)) == 24
    assert leader.evicted == []


@pytest.mark.parametrize("ratios", [{}, {"unknown": 0.5}])
def test_queues_without_shares_are_served_as_before(
    ratios: dict[str, float],
) -> None:
    """Shares of queues that do not exist change no grant either."""
    placed = []
    for leader in (_create({}), _create(ratios)):
        for number, queue in zip(
            range(60), itertools.cycle([_FLOOD, _REPORTS, _OTHER])
        ):
            step = share_harness.step(1 + number % 5, run_s=1 + number % 3)
            leader.submit(f"j{number}", step, queue=queue)
            leader.advance(2 * share_harness.ROUND_S)
        leader.advance(5)
        placed.append(leader.placed)
    assert placed[0] == placed[1]
