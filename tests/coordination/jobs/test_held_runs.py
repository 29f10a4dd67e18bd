"""Tests of the record of the runs that a worker may hold."""

import pytest

from marigoldsill.coordination.held_runs import crash_suspects
from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes

_KEY, _OTHER_KEY = ("j1.0.0.0", 1), ("j1.0.0.1", 1)


@pytest.fixture
def held() -> held_runs.HeldRuns:
    return held_runs.HeldRuns()


def _order(key: tuple[str, int]) -> ttypes.RunOrder:
    return ttypes.RunOrder(task=key[0], run=key[1])


def _send(held: held_runs.HeldRuns, key: tuple[str, int]) -> None:
    held.record_start_sent(_order(key), is_current=True)


def _start(
    held: held_runs.HeldRuns, key: tuple[str, int], *, now_s: float
) -> None:
    _send(held, key)
    held.record_start_answered(key, is_current=True, now_s=now_s)


def _list_runs(
    held: held_runs.HeldRuns, *keys: tuple[str, int], now_s: float
) -> None:
    listing = run_worker.RunListing(
        clock_ms=0,
        running=[ttypes.RunSample(task=task, run=run) for task, run in keys],
        ended=[],
    )
    held.record_listing(listing, {}, now_s=now_s)


def test_age_counts_from_the_first_start_to_the_last_answer(
    held: held_runs.HeldRuns,
) -> None:
    _start(held, _KEY, now_s=10.0)
    _list_runs(held, _KEY, now_s=11.0)
    held.contact.record_answer(now_s=12.5)
    _start(held, _OTHER_KEY, now_s=13.0)
    held.contact.record_answer(now_s=12.5)
    assert held.min_ages_s() == {_KEY: 2.5, _OTHER_KEY: 0.0}


def test_unanswered_start_counts_with_age_zero(
    held: held_runs.HeldRuns,
) -> None:
    _send(held, _KEY)
    held.contact.record_answer(now_s=12.5)
    assert held.min_ages_s() == {_KEY: 0.0}
    held.record_not_started(_KEY)
    assert held.min_ages_s() == {}


def test_ended_run_is_removed(held: held_runs.HeldRuns) -> None:
    _start(held, _KEY, now_s=10.0)
    held.record_ended(_KEY)
    assert held.min_ages_s() == {}


def test_runs_of_the_previous_incarnation_have_no_age(
    held: held_runs.HeldRuns,
) -> None:
    _start(held, _KEY, now_s=10.0)
    held.record_incarnation_ended()
    assert held.min_ages_s() == {}


def test_start_sent_to_an_unreachable_worker_is_not_suspected(
    held: held_runs.HeldRuns,
) -> None:
    _send(held, _KEY)
    held.contact.record_loss(now_s=1.0, is_broken=False)
    _send(held, _OTHER_KEY)
    assert crash_suspects.suspects(held.min_ages_s()) == {_KEY}


def test_start_sent_to_an_unreachable_worker_may_begin_its_run(
    held: held_runs.HeldRuns,
) -> None:
    held.contact.record_loss(now_s=1.0, is_broken=False)
    _send(held, _KEY)
    held.record_start_unanswered(_KEY)
    assert held.held_keys() == {_KEY}
    held.record_order_removed(_KEY, has_ended=False, now_s=10.0)
    _list_runs(held, now_s=11.0)
    assert held.held_keys() == {_KEY}


def test_start_answered_after_the_end_of_its_run_does_not_restore_it(
    held: held_runs.HeldRuns,
) -> None:
    """Guards against a crash that is laid to a run which had ended before."""
    _send(held, _KEY)
    held.record_order_removed(_KEY, has_ended=False, now_s=10.0)
    held.record_ended(_KEY)
    held.record_start_answered(_KEY, is_current=True, now_s=10.1)
    assert held.held_keys() == set()
    assert held.min_ages_s() == {}


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
    held: held_runs.HeldRuns,
    ages_s: dict[tuple[str, int], float],
    suspects: set[tuple[str, int]],
) -> None:
    for key, age_s in ages_s.items():
        _start(held, key, now_s=100.0 - age_s)
    held.contact.record_answer(now_s=100.0)
    assert crash_suspects.suspects(held.min_ages_s()) == suspects


def test_a_run_without_an_order_in_force_still_shares_its_worker(
    held: held_runs.HeldRuns,
) -> None:
    """Guards against slow listings beside a run whose order was removed early."""
    order = ttypes.RunOrder(task=_KEY[0], run=_KEY[1], best_effort=True)
    held.record_start_sent(order, is_current=True)
    order = ttypes.RunOrder(
        task=_OTHER_KEY[0], run=_OTHER_KEY[1], tail_target_ms=100
    )
    held.record_start_sent(order, is_current=True)
    _list_runs(held, _KEY, now_s=1.0)
    assert not held.are_shared
    _list_runs(held, _KEY, _OTHER_KEY, now_s=2.0)
    assert held.are_shared
    held.record_order_removed(_KEY, has_ended=False, now_s=2.0)
    assert held.are_shared
    assert held.unordered_keys() == {_KEY}
