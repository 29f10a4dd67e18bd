"""Tests that a task is not granted again while a late call may keep its last run alive."""

import itertools

import pytest

from marigoldsill import errors
from marigoldsill.coordination.worker_incarnations import late_calls
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import late_start_harness

_OLD, _NEW = late_start_harness.OLD, late_start_harness.NEW
# When the runs of a worker that does not answer are recorded as lost: its agent reports
# that after 2 s, and then its lease expires.
_LEASE_EXPIRY_S = 11.0
# The last call, its latest effect and the longest lease, with a second for reports.
_LAST_END_S = (
    2.0 + late_calls.LATE_CALL_LIMIT_S + late_start_harness.LONGEST_LEASE_S + 1
)

_UNANSWERED_ERRORS = [
    fake_worker.NO_ANSWER,
    fake_worker.BROKEN_CONNECTION,
    fake_worker.UNEXPECTED_STATUS,
]


@pytest.fixture
def harness(
    monkeypatch: pytest.MonkeyPatch,
) -> late_start_harness.Harness:
    return late_start_harness.Harness(monkeypatch)


def _cut_off_with_unanswered_start(
    harness: late_start_harness.Harness,
) -> None:
    harness.worker.is_cut_off = True
    harness.grant()
    harness.advance(1.0)
    assert ("start", late_start_harness.KEY) in harness.worker.calls


def test_run_is_not_lost_while_a_restarted_worker_may_begin_it(
    harness: late_start_harness.Harness,
) -> None:
    """Guards against two runs of one task at a time."""
    _cut_off_with_unanswered_start(harness)
    harness.worker.restart(_NEW)
    assert harness.recorded_for_s() <= _LAST_END_S
    harness.advance(30.0)


@pytest.mark.parametrize("age_s", [9.0, 13.0, 13.25, 13.5, 13.75])
def test_run_is_not_lost_early_by_a_new_leader(
    harness: late_start_harness.Harness, age_s: float
) -> None:
    """Guards against a leader that knows the bound of a lease before any report."""
    _cut_off_with_unanswered_start(harness)
    harness.worker.restart(_NEW)
    harness.advance(age_s)
    harness.change_leader()
    assert harness.recorded_for_s() <= _LAST_END_S - age_s
    harness.advance(30.0)


def test_run_is_not_lost_early_if_its_agent_is_lost_as_well(
    harness: late_start_harness.Harness,
) -> None:
    _cut_off_with_unanswered_start(harness)
    harness.worker.restart(_NEW)
    harness.is_agent_lost = True
    assert harness.recorded_for_s() <= _LAST_END_S
    harness.advance(30.0)


def test_run_is_not_lost_early_if_its_agent_restarts(
    harness: late_start_harness.Harness,
) -> None:
    """Guards against a new process of the agent, which knows no earlier calls."""
    _cut_off_with_unanswered_start(harness)
    harness.worker.restart(_NEW)
    harness.restart_agent()
    assert harness.recorded_for_s() <= _LAST_END_S
    harness.advance(30.0)


def test_run_that_the_restarted_worker_refuses_is_lost_at_once(
    harness: late_start_harness.Harness,
) -> None:
    """Guards against a longer wait than until the worker answers again."""
    _cut_off_with_unanswered_start(harness)
    harness.worker.restart(_NEW)
    harness.advance(9.0)
    harness.worker.is_cut_off = False
    harness.announce(_NEW)
    assert harness.recorded_for_s() <= 2.0
    harness.advance(30.0)


def test_worker_that_has_not_restarted_is_used_again_soon(
    harness: late_start_harness.Harness,
) -> None:
    """Guards against an agent without a lease for as long as a late start may last."""
    _cut_off_with_unanswered_start(harness)
    harness.advance(_LEASE_EXPIRY_S + 1.0)
    assert not harness.agent.state.lease.is_live
    harness.worker.is_cut_off = False
    # The last start request was made 2 s after the last answer.
    harness.advance(2.0 + late_calls.LATE_CALL_LIMIT_S - _LEASE_EXPIRY_S)
    harness.advance(1.0)
    assert harness.agent.state.lease.is_live


def test_run_without_an_unanswered_start_is_lost_with_the_lease(
    harness: late_start_harness.Harness,
) -> None:
    harness.grant()
    harness.advance(1.0)
    assert harness.worker.running
    harness.worker.is_cut_off = True
    harness.worker.restart(_NEW)
    assert harness.recorded_for_s() <= _LEASE_EXPIRY_S


def test_run_of_a_worker_that_cannot_restart_under_its_id_is_lost_with_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = late_start_harness.Harness(monkeypatch, "w1")
    _cut_off_with_unanswered_start(harness)
    # It refuses calls to its earlier incarnation.
    harness.worker.restart("w2")
    assert harness.recorded_for_s() <= _LEASE_EXPIRY_S


def test_an_unanswered_start_is_reported_at_once(
    harness: late_start_harness.Harness,
) -> None:
    """Guards against an agent that is lost before its next report."""
    harness.worker.is_cut_off = True
    harness.grant()
    for _ in range(2):
        harness.advance(0.25)
    harness.is_agent_lost = True
    harness.worker.restart(_NEW)
    assert harness.recorded_for_s() > _LEASE_EXPIRY_S
    harness.advance(30.0)


@pytest.mark.parametrize("unanswered_error", _UNANSWERED_ERRORS)
@pytest.mark.parametrize("is_agent_lost", [False, True])
def test_run_is_not_lost_while_renewals_for_an_earlier_incarnation_extend_its_lease(
    harness: late_start_harness.Harness,
    is_agent_lost: bool,
    unanswered_error: errors.MarigoldsillError,
) -> None:
    """Guards against two runs of one task at a time.

    The deadlines of these renewals are on the clock of the earlier incarnation.
    """
    harness.worker.unanswered_error = unanswered_error
    harness.worker.delays_s = itertools.cycle(
        [late_calls.LATE_CALL_LIMIT_S / 2, late_calls.LATE_CALL_LIMIT_S]
    )
    harness.worker.is_cut_off = True
    harness.advance(1.5)
    harness.worker.restart(_NEW)
    harness.worker.is_cut_off = False
    harness.announce(_NEW)
    harness.advance(0.5)
    harness.grant()
    harness.advance(1.0)
    assert harness.worker.running
    harness.worker.is_cut_off = True
    harness.is_agent_lost = is_agent_lost
    assert harness.recorded_for_s() <= _LAST_END_S
    harness.advance(30.0)


def test_run_is_lost_with_the_lease_after_a_restart_that_left_no_renewal_unanswered(
    harness: late_start_harness.Harness,
) -> None:
    harness.worker.restart(_NEW)
    harness.announce(_NEW)
    harness.advance(0.5)
    harness.grant()
    harness.advance(1.0)
    assert harness.worker.running
    harness.is_agent_lost = harness.worker.is_cut_off = True
    assert harness.recorded_for_s() <= _LEASE_EXPIRY_S
