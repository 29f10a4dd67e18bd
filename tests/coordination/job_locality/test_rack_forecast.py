"""Tests of the forecast of when a rack has capacity."""

import math

from marigoldsill.coordination.job_locality import rack_forecast

_NOW_S = 100.0


def _forecast(*ends: tuple[float, int]) -> rack_forecast.RackForecast:
    return rack_forecast.RackForecast(
        [rack_forecast.ExpectedEnd(_NOW_S + after_s, m) for after_s, m in ends],
        now_s=_NOW_S,
    )


def _book(
    forecast: rack_forecast.RackForecast,
    cpu_millicores: int = 1000,
    *,
    within_s: float = 60.0,
) -> float | None:
    """Books for a run of 10 s; returns after how many seconds it starts."""
    start_s = forecast.book(
        cpu_millicores, run_s=10.0, latest_start_s=_NOW_S + within_s
    )
    return None if start_s is None else round(start_s - _NOW_S, 3)


def test_each_task_starts_when_those_before_it_have_taken_what_comes_free() -> (
    None
):
    forecast = _forecast((3, 1000), (1, 1000))
    assert [_book(forecast) for _ in range(4)] == [1, 3, 11, 13]


def test_a_large_task_starts_when_enough_is_free_and_leaves_the_rest() -> None:
    forecast = _forecast((1, 1000), (2, 3000))
    assert _book(forecast, 3000) == 2
    assert _book(forecast) == 2


def test_a_turn_that_comes_too_late_takes_nothing() -> None:
    forecast = _forecast((1, 1000), (5, 1000))
    assert _book(forecast, 2000, within_s=4) is None
    assert _book(forecast) == 1


def test_runs_without_an_end_never_come_free() -> None:
    assert _book(_forecast((math.inf, 8000)), within_s=1e9) is None
    assert _book(_forecast()) is None


def test_an_overdue_run_is_expected_to_take_as_long_again() -> None:
    assert _book(_forecast((-5, 1000))) == 5


def test_a_run_that_has_just_been_granted_comes_free_too() -> None:
    forecast = _forecast()
    for end_s in (_NOW_S + 2, math.inf):
        end = rack_forecast.ExpectedEnd(end_s, 1000)
        forecast.start(end, now_s=_NOW_S)
    assert [_book(forecast, within_s=20) for _ in range(2)] == [2, 12]


def test_a_run_without_a_booking_takes_what_has_come_free() -> None:
    forecast = _forecast((0.1, 1000), (5, 1000))
    end = rack_forecast.ExpectedEnd(_NOW_S + 8.2, 1000)
    forecast.start(end, now_s=_NOW_S + 0.2)
    assert [_book(forecast) for _ in range(2)] == [5, 8.1]


def test_the_number_of_tasks_that_wait_for_one_rack_is_bounded() -> None:
    forecast = _forecast(*((1, 1000) for _ in range(2000)))
    starts = [_book(forecast) for _ in range(1000)]
    assert starts.count(1) == 256
