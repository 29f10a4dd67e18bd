"""Tests of what an entry says when it refuses a request at its own limit."""

import contextlib
import time

import pytest

from marigoldsill import errors
from marigoldsill.coordination.request_limits import concurrency_limits
from marigoldsill.transport import deadlines

_LIMIT = 8
_LONG_S = 100.0


class _Clock:
    """A monotonic clock that only moves when told to."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    return clock


@pytest.fixture
def limit() -> concurrency_limits.ConcurrencyLimit:
    return concurrency_limits.ConcurrencyLimit()


def _admit(
    limit: concurrency_limits.ConcurrencyLimit,
    *,
    budget_s: float = _LONG_S,
    key: str = "",
):
    return limit.admit(
        max_in_flight=_LIMIT,
        deadline=deadlines.Deadline.after(budget_s),
        key=key,
    )


def _refusal_ms(
    limit: concurrency_limits.ConcurrencyLimit, *, key: str = ""
) -> int:
    with (
        pytest.raises(errors.OverloadedError) as raised,
        _admit(limit, key=key),
    ):
        pass
    return raised.value.retry_after_ms


def test_refused_caller_is_not_told_to_return_while_calls_still_wait(
    clock, limit
) -> None:
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit))
        clock.now_s += 1.0
        assert _refusal_ms(limit) >= 1000
        clock.now_s += 2.0
        assert _refusal_ms(limit) >= 3000


def test_refused_caller_is_told_no_later_time_than_the_deadlines_of_calls(
    clock, limit
) -> None:
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit, budget_s=1.5))
        clock.now_s += 1.0
        assert _refusal_ms(limit) == 500


def test_refused_caller_is_told_the_usual_duration_without_a_stall(
    clock, limit
) -> None:
    for _ in range(20):
        with _admit(limit):
            clock.now_s += 0.3
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit))
        assert _refusal_ms(limit) == pytest.approx(300, abs=1)


def test_one_slow_call_does_not_delay_refused_callers(clock, limit) -> None:
    with _admit(limit), contextlib.ExitStack() as calls:
        clock.now_s += 20.0
        for _ in range(_LIMIT - 1):
            calls.enter_context(_admit(limit))
        clock.now_s += 0.1
        assert _refusal_ms(limit) == pytest.approx(200, abs=1)


def test_time_that_an_agent_named_is_not_repeated_when_it_has_passed(
    clock, limit
) -> None:
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit))
        limit.record_overload(retry_after_ms=5000)
        assert _refusal_ms(limit) == pytest.approx(5000, abs=1)
        clock.now_s += 1.0
        assert _refusal_ms(limit) == pytest.approx(4000, abs=1)


def test_refused_caller_is_told_the_least_time_with_short_calls(
    clock, limit
) -> None:
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit))
        assert _refusal_ms(limit) == 50


def _refuse_in_turn(
    clock: _Clock, limit: concurrency_limits.ConcurrencyLimit, keys: list[str]
) -> list[int]:
    """Refuses calls while others are in flight, which take 0.2 s and then end."""
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit))
        clock.now_s += 0.1
        refusals_ms = [_refusal_ms(limit, key=key) for key in keys]
        clock.now_s += 0.1
    return refusals_ms


def test_call_that_returns_is_not_overtaken_by_new_ones(clock, limit) -> None:
    keys = ["first", "second"]
    _refuse_in_turn(clock, limit, keys)
    clock.now_s += 0.2
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT - len(keys)):
            calls.enter_context(_admit(limit, key=""))
        _refusal_ms(limit, key="new")
        for key in keys:
            calls.enter_context(_admit(limit, key=key))


def test_call_that_was_refused_first_goes_first_when_both_return(
    clock, limit
) -> None:
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT - 1):
            calls.enter_context(_admit(limit))
        with _admit(limit):
            for key in ("first", "second"):
                _refusal_ms(limit, key=key)
        clock.now_s += 0.2
        _refusal_ms(limit, key="second")
        calls.enter_context(_admit(limit, key="first"))


def test_refused_calls_are_told_to_return_in_turn(clock, limit) -> None:
    # All were told the same time, came at once, and most were refused again.
    keys = [f"key-{number}" for number in range(_LIMIT)]
    refusals_ms = _refuse_in_turn(clock, limit, keys)
    assert refusals_ms[0] == pytest.approx(200, abs=1)
    assert refusals_ms == sorted(refusals_ms)
    # Half of the limit becomes free in each 0.2 s.
    assert refusals_ms[-1] == pytest.approx(550, abs=1)


def test_no_capacity_is_kept_for_callers_that_never_return(
    clock, limit
) -> None:
    for number in range(100):
        _refuse_in_turn(clock, limit, [f"key-{number}"])
        clock.now_s += 2.0
    _refuse_in_turn(
        clock, limit, [f"last-{number}" for number in range(_LIMIT)]
    )
    clock.now_s += 0.2
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT):
            calls.enter_context(_admit(limit))


def test_at_least_half_of_the_limit_is_left_to_new_calls(clock, limit) -> None:
    _refuse_in_turn(clock, limit, [f"key-{n}" for n in range(10 * _LIMIT)])
    clock.now_s += 0.6
    with contextlib.ExitStack() as calls:
        for _ in range(_LIMIT // 2):
            calls.enter_context(_admit(limit))
        _refusal_ms(limit)
