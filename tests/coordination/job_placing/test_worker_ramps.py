"""Tests of workers that are filled step by step, through a leader's rounds."""

import collections

import pytest

from marigoldsill.coordination.job_locality import locality_settings
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_RAMP_S = 10.0


def _create_leader(ramp_up_s: float = _RAMP_S) -> leader_harness.LeaderHarness:
    """Creates a leader that knows two workers for longer than a term's start."""
    leader = leader_harness.LeaderHarness(
        locality=locality_settings.LocalitySettings(worker_ramp_up_s=ramp_up_s)
    )
    for agent in ("a1", "a2"):
        leader.set_worker(agent, cores=16)
    leader.run_round()
    leader.now_s += 60.0
    return leader


@pytest.fixture
def leader() -> leader_harness.LeaderHarness:
    return _create_leader()


def _run_round(leader: leader_harness.LeaderHarness) -> collections.Counter:
    """Returns how many tasks started on each agent's worker."""
    return collections.Counter(leader.run_round().values())


def test_a_new_worker_gets_few_tasks_while_others_have_capacity(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a3", cores=16)
    leader.submit("j1", builders.step(20))
    assert _run_round(leader)["a3"] == 1


def test_without_the_setting_a_new_worker_gets_tasks_at_once() -> None:
    leader = _create_leader(ramp_up_s=0.0)
    leader.set_worker("a3", cores=16, cold_remaining_ms=30_000)
    leader.submit("j1", builders.step(20))
    assert _run_round(leader)["a3"] > 5


def test_a_worker_gets_more_with_each_stage(
    leader: leader_harness.LeaderHarness,
) -> None:
    for agent in ("a1", "a2", "a3"):
        leader.set_worker(agent, cores=60)
    counts = []
    for number in range(5):
        leader.submit(f"j{number}", builders.step(24))
        counts.append(_run_round(leader)["a3"])
        leader.now_s += _RAMP_S / 5
    assert counts == [1, 2, 4, 8, 16]


def test_tasks_that_fit_nowhere_else_ignore_the_ramp(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", builders.step(32))
    leader.run_round()
    leader.set_worker("a3", cores=16)
    leader.submit("j2", builders.step(10))
    assert _run_round(leader) == {"a3": 10}


def test_a_pool_of_new_workers_serves_as_much_as_it_can_hold(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against a ramp of most workers that leaves capacity idle."""
    leader.ineligible = {"a1", "a2"}
    for number in range(20):
        leader.set_worker(f"b{number}", cores=16)
    leader.submit("j1", builders.step(300))
    leader.submit("j2", builders.step(30))
    first, second = _run_round(leader), _run_round(leader)
    assert sum((first + second).values()) == 320
    assert set((first + second).values()) == {16}


def test_a_worker_that_fits_one_label_only_is_used_in_spite_of_its_ramp(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a3", cores=16, labels=["b"])
    leader.submit("j1", builders.step(10, required_label="b"))
    assert _run_round(leader) == {"a3": 10}


def test_a_data_centre_taken_back_is_filled_step_by_step(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a3", cores=16)
    leader.run_round()
    leader.now_s += 60.0
    leader.ineligible = {"a3"}
    leader.run_round()
    leader.now_s += 30.0
    leader.ineligible = set()
    leader.submit("j1", builders.step(20))
    assert _run_round(leader)["a3"] == 1


def test_a_new_leader_ramps_no_worker(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a3", cores=16)
    leader.run_round()
    leader.begin_term()
    leader.submit("j1", builders.step(24))
    assert set(_run_round(leader).values()) == {8}


def test_latency_critical_tasks_are_not_packed_on_a_new_worker(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a3", cores=24)
    step = builders.step(4, **leader_harness.latency_critical_fields(cores=2))
    leader.submit("j1", step)
    assert _run_round(leader)["a3"] == 1
