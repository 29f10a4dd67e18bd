"""Tests of workers that are filled step by step."""

import pytest

from marigoldsill.coordination.job_locality import worker_ramp

_RAMP_S = 10.0


class _Ramps:
    """Ramps of 10 s in a term that began at 0 s with worker a1."""

    def __init__(self):
        self.ramps = worker_ramp.WorkerRamps(ramp_up_s=_RAMP_S)
        self.observe("a1", at_s=0.0)

    def observe(
        self, agent: str, *, at_s: float, life: int = 1, cold_s: float = 0.0
    ) -> int | None:
        return self.ramps.observe(
            agent, f"{agent}-{life}", cold_s=cold_s, now_s=at_s
        )


@pytest.fixture
def ramps() -> _Ramps:
    return _Ramps()


def test_workers_of_the_first_seconds_of_a_term_are_known(
    ramps: _Ramps,
) -> None:
    """Guards against a new leader that ramps the whole fleet."""
    assert [ramps.observe(f"a{n}", at_s=n) for n in range(1, 10)] == [None] * 9
    assert ramps.ramps.ramping_count == 0


def test_the_starts_of_a_new_worker_double_until_nothing_is_limited(
    ramps: _Ramps,
) -> None:
    allowed = [ramps.observe("a2", at_s=100 + 2 * stage) for stage in range(6)]
    assert allowed == [1, 3, 7, 15, 31, None]
    assert ramps.ramps.ramping_count == 0


def test_starts_count_until_the_next_stage(ramps: _Ramps) -> None:
    ramps.observe("a2", at_s=100)
    ramps.ramps.record_start("a2")
    assert ramps.observe("a2", at_s=101) == 0
    ramps.ramps.record_start("a2")
    assert ramps.observe("a2", at_s=102) == 1


def test_a_worker_is_due_when_its_stage_has_changed(ramps: _Ramps) -> None:
    ramps.observe("a2", at_s=100)
    assert ramps.ramps.due_agents(now_s=101.9) == []
    assert ramps.ramps.due_agents(now_s=102.0) == ["a2"]
    ramps.observe("a2", at_s=102.0)
    assert ramps.ramps.due_agents(now_s=102.1) == []


def test_a_worker_that_is_back_after_a_loss_or_an_evacuation_is_ramped(
    ramps: _Ramps,
) -> None:
    ramps.ramps.observe_absence("a1", now_s=50)
    ramps.ramps.observe_absence("a1", now_s=55)
    assert ramps.observe("a1", at_s=60) == 1


def test_a_late_report_is_no_loss(ramps: _Ramps) -> None:
    ramps.ramps.observe_absence("a1", now_s=50)
    assert ramps.observe("a1", at_s=51) is None


def test_another_incarnation_is_ramped_even_early_in_a_term(
    ramps: _Ramps,
) -> None:
    assert ramps.observe("a1", at_s=5, life=2) == 1


def test_a_worker_that_flaps_during_its_ramp_keeps_its_counts(
    ramps: _Ramps,
) -> None:
    """Guards against a flap that ends the ramp or renews what is allowed."""
    ramps.observe("a2", at_s=100)
    ramps.ramps.record_start("a2")
    ramps.ramps.observe_absence("a2", now_s=100.5)
    assert ramps.ramps.due_agents(now_s=103) == []
    assert ramps.observe("a2", at_s=101) == 0
    for flap in range(1, 20):
        ramps.ramps.observe_absence("a2", now_s=100 + flap * 10)
        assert ramps.observe("a2", at_s=105 + flap * 10) == 1


def test_a_ramp_lasts_as_long_as_a_worker_announces_to_be_cold(
    ramps: _Ramps,
) -> None:
    assert ramps.observe("a2", at_s=100, cold_s=20) == 1
    assert ramps.observe("a2", at_s=103, cold_s=17) == 1
    assert ramps.observe("a2", at_s=119, cold_s=1) == 31
    assert ramps.observe("a2", at_s=120) is None


def test_a_known_worker_is_ramped_only_while_it_is_cold(ramps: _Ramps) -> None:
    assert ramps.observe("a2", at_s=1, cold_s=5) == 1
    assert ramps.observe("a2", at_s=6) is None


def test_a_worker_that_was_never_seen_may_be_absent(ramps: _Ramps) -> None:
    ramps.ramps.observe_absence("a9", now_s=50)
    ramps.ramps.record_start("a9")
    assert ramps.ramps.ramping_count == 0
