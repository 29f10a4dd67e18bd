"""Tests of remembered rejections and of the times at which callers return."""

import collections

from marigoldsill.coordination.job_admission import rejections


def _add(
    table: rejections.RejectionTable,
    job_id: str = "j1",
    *,
    return_s: float = 10.0,
    now_s: float = 5.0,
    is_bound_reached: bool = True,
) -> None:
    table.add(
        job_id,
        return_s=return_s,
        is_bound_reached=is_bound_reached,
        reason="too many",
        now_s=now_s,
    )


def test_a_caller_returns_from_its_time_on_for_a_bounded_time() -> None:
    table = rejections.RejectionTable()
    _add(table)
    assert not table.is_returning("j1", now_s=9.9)
    assert table.is_returning("j1", now_s=10.0)
    assert table.is_returning("j1", now_s=40.0)
    assert not table.is_returning("j1", now_s=40.1)
    assert not table.is_returning("j2", now_s=10.0)


def test_a_caller_that_no_bound_had_rejected_is_a_new_arrival() -> None:
    table = rejections.RejectionTable()
    _add(table, is_bound_reached=False)
    assert not table.is_returning("j1", now_s=10.0)
    assert table.awaited_count == 0


def test_a_caller_that_is_rejected_again_and_again_becomes_a_new_arrival() -> (
    None
):
    table = rejections.RejectionTable()
    for now_s in range(0, 200, 10):
        _add(table, now_s=float(now_s), return_s=now_s + 10.0)
    assert not table.is_returning("j1", now_s=200.0)
    table.expire(now_s=200.0)
    assert (table.count, table.awaited_count) == (0, 0)


def test_an_entry_expires_after_its_time_to_return() -> None:
    table = rejections.RejectionTable()
    _add(table, "j1", return_s=10.0)
    _add(table, "j2", return_s=30.0)
    table.expire(now_s=41.0)
    assert table.find("j1") is None
    assert table.find("j2") is not None
    assert table.awaited_count == 1


def test_the_table_drops_its_oldest_entries_at_its_limit() -> None:
    table = rejections.RejectionTable()
    for number in range(10_100):
        _add(table, f"j{number}")
    assert (table.count, table.awaited_count) == (10_000, 10_000)
    assert table.find("j99") is None
    assert table.find("j100") is not None


def test_callers_are_spread_over_the_window_by_their_ids() -> None:
    times_s = [
        rejections.spread_s(f"j{number}", earliest_s=5.0, window_s=10.0)
        for number in range(1_000)
    ]
    assert all(5.0 <= time_s < 15.0 for time_s in times_s)
    by_second = collections.Counter(int(time_s) for time_s in times_s)
    assert len(by_second) == 10
    assert max(by_second.values()) < 150
    again_s = rejections.spread_s("j7", earliest_s=5.0, window_s=10.0)
    assert again_s == times_s[7]


def test_the_time_to_return_is_bounded() -> None:
    assert rejections.spread_s("j1", earliest_s=0.0, window_s=0.0) == 1.0
    assert rejections.spread_s("j1", earliest_s=9_999.0, window_s=0.0) == 60.0
