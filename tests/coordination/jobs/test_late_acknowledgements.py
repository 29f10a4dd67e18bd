"""Tests of acknowledgements of ends that a later incarnation may carry out.

`w1@100` is the incarnation of worker `w1` that started at time 100. The ends of each
incarnation count from 1, so a late acknowledgement discards unseen ends of a later one.
"""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_OLD, _NEW = "w1@100", "w1@200"
_KEY = stepped_agent.KEY
_LAST_S = late_calls.LATE_CALL_LIMIT_S
_UNANSWERED_ERRORS = [
    fake_worker.NO_ANSWER,
    fake_worker.BROKEN_CONNECTION,
    fake_worker.UNEXPECTED_STATUS,
]


class _Worker(fake_worker.RestartingWorker):
    """A worker that may crash while a call waits for the end of a run.

    Attributes:
        crashes_in_waits: Whether the next call that waits breaks off.
    """

    crashes_in_waits = False

    def renew_lease(
        self, worker_id: str, *, wait_ms: int, **arguments: object
    ) -> run_worker.RunListing:
        """Lists runs, unless that has to wait for a crash."""
        listing = super().renew_lease(worker_id, wait_ms=wait_ms, **arguments)
        if wait_ms and self.crashes_in_waits:
            raise fake_worker.BROKEN_CONNECTION
        return listing


class _Case:
    """A stepped agent with a fake clock, and a worker that keeps its name."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, incarnation: str):
        self.now_s = 1_000.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        self.worker = _Worker(incarnation)
        self.agent = stepped_agent.make_agent(self.worker)

    def renew(self, *, is_answered: bool = True) -> int:
        """Calls the worker once; returns the number of the acknowledged end."""
        self.worker.unreachable_incarnations = (
            set() if is_answered else {self.worker.incarnation}
        )
        self.agent.call_incarnations(rounds_count=1)
        self.worker.unreachable_incarnations = set()
        return self.worker.acknowledgements[-1]

    def restart(self) -> None:
        self.worker.restart(_NEW)
        self.agent.state.record_announcement(stepped_agent.announcement(_NEW))
        self.agent.call_incarnations(rounds_count=1)
        assert self.agent.state.worker_id == _NEW

    def carry_out_late_acknowledgement(self, number: int) -> None:
        """Lets the new incarnation carry out a call that was meant for the old one."""
        with pytest.raises(errors.OtherWorkerError):
            self.worker.renew_lease(
                _OLD,
                token=stepped_agent.TERM,
                acknowledged=number,
                deadline_ms=None,
                wait_ms=0,
            )

    def run_on_new(self) -> None:
        self.agent.receive_order(stepped_agent.RUN, incarnation=_NEW)
        self.agent.execute_orders()


@pytest.fixture
def case(monkeypatch: pytest.MonkeyPatch) -> _Case:
    return _Case(monkeypatch, _OLD)


@pytest.mark.parametrize("unanswered_error", _UNANSWERED_ERRORS)
@pytest.mark.parametrize("age_s", [0.5, 8.0, _LAST_S - 0.1])
def test_late_acknowledgement_does_not_discard_the_end_of_a_run_that_is_done(
    case: _Case, age_s: float, unanswered_error: errors.MarigoldsillError
) -> None:
    """Guards against repeating a task that is done."""
    case.worker.unanswered_error = unanswered_error
    case.agent.state.acknowledged_end_number = 57
    assert case.renew(is_answered=False) == 57
    case.now_s += age_s
    case.restart()
    case.run_on_new()
    if _KEY in case.worker.running:
        case.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    case.carry_out_late_acknowledgement(57)
    case.agent.run_until_settled()
    assert case.agent.end_kinds() == {_KEY: ttypes.RunEndKind.REFUSED}


def test_acknowledgement_of_the_new_incarnation_does_not_hide_an_earlier_one(
    case: _Case,
) -> None:
    """Guards against repeating a task that is done.

    The new incarnation lists the end of a run that a late start began, and leaves its
    acknowledgement unanswered as well.
    """
    case.agent.state.acknowledged_end_number = 57
    case.renew(is_answered=False)
    case.restart()
    case.agent.state.acknowledged_end_number = 1
    assert case.renew(is_answered=False) == 1
    case.renew()
    case.run_on_new()
    assert case.worker.calls == []
    assert case.agent.end_kinds() == {_KEY: ttypes.RunEndKind.REFUSED}


def test_restarted_worker_is_used_once_no_acknowledgement_can_be_late(
    case: _Case,
) -> None:
    case.agent.state.acknowledged_end_number = 57
    case.renew(is_answered=False)
    case.now_s += _LAST_S + 0.1
    case.restart()
    case.run_on_new()
    assert list(case.worker.running) == [_KEY]


def test_restarted_worker_is_used_at_once_if_all_acknowledgements_were_answered(
    case: _Case,
) -> None:
    """Guards against an idle worker after a restart behind a partition."""
    case.agent.state.acknowledged_end_number = 57
    assert case.renew() == 57
    for _ in range(3):
        assert case.renew(is_answered=False) == 0
        case.now_s += 1.5
    case.restart()
    case.run_on_new()
    assert list(case.worker.running) == [_KEY]


def test_worker_that_crashes_soon_after_the_end_of_a_run_is_used_at_once(
    case: _Case,
) -> None:
    """Guards against workers that refuse all starts after most of their crashes."""
    case.worker.crashes_in_waits = True
    case.agent.state.acknowledged_end_number = 57
    for _ in range(3):
        case.renew()
    assert case.worker.acknowledged == 57
    case.worker.crashes_in_waits = False
    case.restart()
    case.run_on_new()
    assert list(case.worker.running) == [_KEY]


def test_unanswered_acknowledgement_is_repeated_after_the_next_answer(
    case: _Case,
) -> None:
    """Guards against a longer wait with each call that is not answered."""
    case.agent.state.acknowledged_end_number = 57
    assert case.renew(is_answered=False) == 57
    assert case.renew(is_answered=False) == 0
    assert case.renew() == 0
    assert case.renew() == 57
    case.agent.state.acknowledged_end_number = 58
    assert case.renew() == 58
    assert case.renew() == 0


def test_worker_that_cannot_restart_under_its_name_is_always_acknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    case = _Case(monkeypatch, "w1")
    case.agent.state.acknowledged_end_number = 57
    assert case.renew() == 57
    assert case.renew(is_answered=False) == 57
    assert case.renew() == 57
