"""Tests the prediction of rising load before tail latency shows all of it."""

import pytest

from marigoldsill.coordination.cpu_throttling import load_trends

_KEY = ("desk.0.0.0", 1)


def _rise_after(*loads: float, interval_s: float = 0.25) -> float:
    trends = load_trends.LoadTrends()
    for number, load in enumerate(loads):
        trends.update({_KEY: load}, now_s=number * interval_s)
    return trends.expected_rise(_KEY)


def test_a_steady_load_is_expected_to_stay() -> None:
    assert _rise_after(0.6, 0.6, 0.6) == 0.0


def test_a_rising_load_is_expected_to_rise_further() -> None:
    # It rises by 0.08 per second, which is extrapolated for 0.6 s.
    rise = _rise_after(*(0.02 * number for number in range(12)))
    assert rise == pytest.approx(0.048, rel=0.05)


def test_a_falling_load_is_not_expected_to_fall_further() -> None:
    assert _rise_after(0.8, 0.7, 0.6) == 0.0


def test_the_expected_rise_after_a_jump_is_limited() -> None:
    assert _rise_after(0.2, 0.9) == pytest.approx(0.12 * 0.6)


def test_samples_that_are_close_together_are_ignored() -> None:
    assert _rise_after(0.5, 0.6, interval_s=0.01) == 0.0
