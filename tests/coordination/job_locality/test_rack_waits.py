"""Tests of how long tasks wait for their rack."""

import dataclasses
import math

import pytest

from marigoldsill.coordination.job_locality import rack_forecast
from marigoldsill.coordination.job_locality import rack_waits

_WAIT = rack_waits.Verdict.WAIT
_REQUEST = rack_waits.RackRequest(
    (("j1", 0, 0), 0),
    cpu_millicores=1000,
    run_s=4.0,
    idle_deadline_s=math.inf,
    used_share=1.0,
)


class _Rack:
    """Tasks of 4 s that take 1.5 times as long outside of a rack."""

    def __init__(self):
        self.waits = rack_waits.RackWaits(remote_run_ratio=1.5)

    def decide(
        self, now_s: float, *, free_s: float, **changes: object
    ) -> rack_waits.Verdict:
        """Decides on a task while the rack comes free at a time."""
        request = dataclasses.replace(_REQUEST, **changes)
        ends = [rack_forecast.ExpectedEnd(free_s, 1000)]
        forecast = rack_forecast.RackForecast(ends, now_s=now_s)
        return self.waits.decide(request, forecast, now_s=now_s).verdict


@pytest.fixture
def rack() -> _Rack:
    return _Rack()


def test_a_task_waits_for_a_turn_that_comes_before_the_extra_run_time(
    rack: _Rack,
) -> None:
    assert rack.decide(100.0, free_s=101.9) == _WAIT


def test_a_task_whose_turn_would_come_later_starts_elsewhere_at_once(
    rack: _Rack,
) -> None:
    verdict = rack.decide(100.0, free_s=102.1)
    assert verdict == rack_waits.Verdict.TURN_TOO_LATE


def test_a_task_never_waits_longer_than_the_extra_run_time(rack: _Rack) -> None:
    """Guards against waits that are renewed as the rack's runs take longer."""
    for tenths in range(20):
        now_s = 100 + tenths / 10
        assert rack.decide(now_s, free_s=now_s + 0.01) == _WAIT
    verdict = rack.decide(102.0, free_s=102.01)
    assert verdict == rack_waits.Verdict.WAITED


def test_a_task_that_had_no_choice_meanwhile_does_not_wait_anew(
    rack: _Rack,
) -> None:
    assert rack.decide(100.0, free_s=101.0) == _WAIT
    rack.waits.end_round(now_s=110.0)
    verdict = rack.decide(110.0, free_s=110.1)
    assert verdict == rack_waits.Verdict.WAITED


def test_a_task_waits_no_longer_than_its_job_may_be_idle(rack: _Rack) -> None:
    assert rack.decide(100.0, free_s=100.9, idle_deadline_s=101.0) == _WAIT
    verdict = rack.decide(101.0, free_s=101.1, idle_deadline_s=101.0)
    assert verdict == rack_waits.Verdict.JOB_IDLE


def test_no_task_begins_to_wait_while_much_is_idle(rack: _Rack) -> None:
    """Guards against waits that gain nothing: nobody else needs the idle workers."""
    for used_share in (0.2, 0.6):
        verdict = rack.decide(100.0, free_s=100.01, used_share=used_share)
        assert verdict == rack_waits.Verdict.TURN_TOO_LATE


def test_tasks_begin_to_wait_for_a_near_turn_only_while_some_is_idle(
    rack: _Rack,
) -> None:
    verdict = rack.decide(100.0, free_s=101.1, used_share=0.8)
    assert verdict == rack_waits.Verdict.TURN_TOO_LATE
    assert rack.decide(100.0, free_s=100.9, used_share=0.8) == _WAIT


def test_a_task_that_waits_goes_on_when_much_is_idle_for_a_moment(
    rack: _Rack,
) -> None:
    assert rack.decide(100.0, free_s=101.0, used_share=1.0) == _WAIT
    assert rack.decide(100.2, free_s=101.0, used_share=0.1) == _WAIT


def test_no_task_waits_without_an_extra_run_time() -> None:
    waits = rack_waits.RackWaits(remote_run_ratio=1.0)
    ends = [rack_forecast.ExpectedEnd(100.0, 1000)]
    forecast = rack_forecast.RackForecast(ends, now_s=100.0)
    verdict = waits.decide(_REQUEST, forecast, now_s=100.0).verdict
    assert verdict == rack_waits.Verdict.WAITED


def test_a_decision_to_wait_holds_for_a_moment_but_not_beyond_its_limit(
    rack: _Rack,
) -> None:
    key = _REQUEST.key
    rack.decide(100.0, free_s=100.05, run_s=0.2)
    assert rack.waits.is_settled(key, now_s=100.05)
    assert not rack.waits.is_settled(key, now_s=100.1)
    rack.decide(101.0, free_s=101.0, key=(("j2", 0, 0), 0))
    assert rack.waits.is_settled((("j2", 0, 0), 0), now_s=101.2)
    assert not rack.waits.is_settled((("j2", 0, 0), 0), now_s=101.25)


def test_waiting_tasks_are_counted_and_dropped(rack: _Rack) -> None:
    rack.decide(100.0, free_s=101.0)
    assert rack.waits.end_round(now_s=100.0) == 1
    assert rack.waits.end_round(now_s=100.3) == 0
    assert rack.waits.waited_s(_REQUEST.key, now_s=100.5) == 0.5
    rack.waits.end_round(now_s=1000.0)
    assert rack.waits.waited_s(_REQUEST.key, now_s=1000.0) == 0
