"""Tests of the runs on a lost worker, their minimum ages and the crash suspects."""

import pytest

from marigoldsill.coordination.held_runs import run_starts

_KEY, _OTHER_KEY = ("j1.0.0.0", 1), ("j1.0.0.1", 1)


@pytest.fixture
def starts() -> run_starts.RunStarts:
    return run_starts.RunStarts()


def test_age_counts_from_the_first_start_to_the_last_answer(
    starts: run_starts.RunStarts,
) -> None:
    starts.record_sent(_KEY)
    starts.record_started(_KEY, now_s=10.0)
    starts.record_started(_KEY, now_s=11.0)
    starts.record_answer(now_s=12.5)
    starts.record_started(_OTHER_KEY, now_s=13.0)
    assert starts.min_ages_s() == {_KEY: 2.5, _OTHER_KEY: 0.0}


def test_unanswered_start_counts_with_age_zero(
    starts: run_starts.RunStarts,
) -> None:
    starts.record_sent(_KEY)
    starts.record_answer(now_s=12.5)
    assert starts.min_ages_s() == {_KEY: 0.0}
    starts.record_not_started(_KEY)
    assert starts.min_ages_s() == {}


def test_ended_run_is_removed(
    starts: run_starts.RunStarts,
) -> None:
    starts.record_started(_KEY, now_s=10.0)
    starts.record_ended(_KEY)
    assert starts.min_ages_s() == {}


def test_clear_removes_runs_of_the_previous_incarnation(
    starts: run_starts.RunStarts,
) -> None:
    starts.record_started(_KEY, now_s=10.0)
    starts.clear()
    assert starts.min_ages_s() == {}


def test_start_sent_to_an_unreachable_worker_is_not_suspected(
    starts: run_starts.RunStarts,
) -> None:
    starts.record_sent(_KEY)
    starts.record_unreachable()
    starts.record_sent(_OTHER_KEY)
    assert starts.crash_suspects() == {_KEY}


@pytest.mark.parametrize(
    ("ages_s", "suspects"),
    [
        ({_KEY: 0.1, _OTHER_KEY: 0.4}, {_KEY, _OTHER_KEY}),
        ({_KEY: 0.1, _OTHER_KEY: 0.6}, {_KEY}),
        ({_KEY: 1.0, _OTHER_KEY: 4.0}, {_KEY, _OTHER_KEY}),
        ({_KEY: 6.0, _OTHER_KEY: 60.0}, set()),
        ({}, set()),
    ],
)
def test_only_the_youngest_runs_are_suspected(
    starts: run_starts.RunStarts,
    ages_s: dict[tuple[str, int], float],
    suspects: set[tuple[str, int]],
) -> None:
    for key, age_s in ages_s.items():
        starts.record_started(key, now_s=100.0 - age_s)
    starts.record_answer(now_s=100.0)
    assert starts.crash_suspects() == suspects
