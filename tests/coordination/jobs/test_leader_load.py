"""What tells operators that a leader is near its limit."""

from collections.abc import Iterator

import pytest

from marigoldsill.coordination.jobs import leader_load
from marigoldsill.transport import logs


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[tuple]]:
    found: list[tuple] = []
    monkeypatch.setattr(
        logs,
        "event",
        lambda name, level="INFO", **pairs: found.append((name, level, pairs)),
    )
    return found


def _lead(*, lag_s: float, rounds_count: int) -> None:
    load = leader_load.LeaderLoad()
    for number in range(rounds_count):
        times = leader_load.RoundTimes(
            lag_s=lag_s,
            round_s=0.004,
            delay_s=0.02 if number % 2 else None,
        )
        load.observe(times, now_s=number * 0.25)


def test_a_line_at_intervals_tells_times_of_rounds(events: list) -> None:
    _lead(lag_s=0.001, rounds_count=41)
    ((name, level, pairs),) = events
    assert (name, level) == ("leader_load", "INFO")
    assert pairs["rounds_count"] == 41
    assert pairs["round_p99_ms"] == 4.0
    assert (pairs["decisions_count"], pairs["decision_p50_ms"]) == (20, 20.0)


def test_a_leader_whose_timers_fire_late_raises_an_alarm(events: list) -> None:
    """A leader that had used up its processor was seen only by late answers.

    Nothing in its logs or metrics told that its threads waited for each other.
    """
    _lead(lag_s=0.2, rounds_count=41)
    ((name, level, pairs),) = events
    assert (name, level) == ("leader_overloaded", "WARNING")
    assert pairs["lag_p50_ms"] == 200.0


def test_a_leader_that_grants_nothing_tells_so(events: list) -> None:
    load = leader_load.LeaderLoad()
    times = leader_load.RoundTimes(lag_s=0.0, round_s=0.001, delay_s=None)
    load.observe(times, now_s=0.0)
    load.observe(times, now_s=11.0)
    ((_, _, pairs),) = events
    assert (pairs["decisions_count"], pairs["decision_p99_ms"]) == (0, 0.0)
