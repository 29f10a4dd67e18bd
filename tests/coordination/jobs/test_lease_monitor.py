"""Tests that the leader counts no lease as over that it has renewed."""

from collections.abc import Callable
from collections.abc import Iterator
import threading

import pytest

from marigoldsill import errors
from marigoldsill.coordination.jobs import lease_monitor
from marigoldsill.coordination.jobs import report_handler
from marigoldsill.coordination.jobs import unresponsive_agents
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

_LEASE_S = single_leader.LEASE_MS / 1000
_FULL_LEASE_S = _LEASE_S * leases_module.DRIFT_RATIO + leases_module.MARGIN_S
_UNRENEWED_S = unresponsive_agents.UNRENEWED_S + 0.1
_CHECK_INTERVAL_S = 0.5
# Long enough for a report that waits for nothing.
_REPORT_LIMIT_S = 0.2
_THREAD_LIMIT_S = 10.0
_WORKER = "a1-incarnation1"


class _Clock:
    """A clock whose time is set by tests."""

    def __init__(self):
        self.now_s = 1_000.0


@pytest.fixture
def fake_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Clock]:
    new_clock = _Clock()
    monkeypatch.setattr(clock, "now_s", lambda: new_clock.now_s)
    return new_clock


class _Case:
    """A leader with a run on agent a1, whose lease was just renewed."""

    def __init__(
        self, fake_clock: _Clock, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.leader = single_leader.Leader()
        self.notes: list[ttypes.NoteUnresponsive] = []
        self.replies: list[ttypes.AgentReply] = []
        self._clock = fake_clock
        self._monitor = lease_monitor.LeaseMonitor(
            replica=self.leader.replica, service=self.leader.service
        )
        self._before_note: Callable[[], None] | None = None
        self._propose = self.leader.service.propose
        monkeypatch.setattr(self.leader.service, "propose", self._record)
        self.report()
        self.leader.submit("j1")
        self.grant("j1")
        self.report()

    @property
    def bound_s(self) -> float:
        """The latest end of the lease by the records of the log."""
        with self.leader.replica.lock:
            return self.leader.service.unresponsive_agents.bound_s("a1")

    def report(self, *ends: ttypes.RunEnd) -> ttypes.AgentReply:
        self.replies.append(self.leader.report("a1", ends=ends))
        return self.replies[-1]

    def grant(
        self, job_id: str, run: int = 1, *, worker_id: str = _WORKER
    ) -> None:
        grant = builders.grant(builders.task_name(job_id=job_id), run)
        grant.worker_id = worker_id
        grants = ttypes.GrantRuns(grants=[grant])
        assert self._propose(grant_runs=grants).applied_count == 1

    def record_unresponsive(self) -> None:
        note = ttypes.NoteUnresponsive(unresponsive=["a1"], responsive=[])
        self._propose(note_unresponsive=note)

    def lose_notes(self) -> None:
        """Makes the outcome of the next note unknown, and has it not applied."""

        def lose() -> None:
            raise errors.UnknownOutcomeError("no majority answered")

        self._before_note = lose

    def advance(self, elapsed_s: float) -> None:
        self._clock.now_s += elapsed_s

    def check(self) -> None:
        self._monitor.check(now_s=clock.now_s())

    def check_until(self, elapsed_s: float) -> None:
        """Checks at intervals for some time without a report."""
        end_s = clock.now_s() + elapsed_s
        while clock.now_s() < end_s:
            self.advance(min(_CHECK_INTERVAL_S, end_s - clock.now_s()))
            self.check()

    def check_with(self, action: Callable[[], None]) -> None:
        """Checks once; `action` begins before a note of the check is proposed."""
        thread = threading.Thread(target=action)

        def start() -> None:
            thread.start()
            thread.join(_REPORT_LIMIT_S)

        self._before_note = start
        self.check()
        assert self._before_note is None
        thread.join(_THREAD_LIMIT_S)
        assert not thread.is_alive()

    def _record(self, **body: object) -> ttypes.CommandResult:
        note = body.get("note_unresponsive")
        if note is not None and note.unresponsive and self._before_note:
            before_note, self._before_note = self._before_note, None
            before_note()
        result = self._propose(**body)
        if note is not None:
            self.notes.append(note)
        return result


@pytest.fixture
def case(fake_clock: _Clock, monkeypatch: pytest.MonkeyPatch) -> _Case:
    monkeypatch.setattr(report_handler, "_RECORD_WAIT_S", _THREAD_LIMIT_S)
    return _Case(fake_clock, monkeypatch)


def _lead_with_record(case: _Case, *, recorded_ago_s: float) -> None:
    """Makes the leader a new one, which finds a1 recorded as unresponsive."""
    case.record_unresponsive()
    case.advance(recorded_ago_s)
    case.leader.service.leases.reset(lease_ms=single_leader.LEASE_MS)


def _elect_with_late_run(case: _Case) -> None:
    """Makes the leader a new one after the lease of a run that may begin late."""
    case.report(builders.run_end(builders.task_name(), ttypes.RunEndKind.DONE))
    case.leader.submit("j2")
    case.grant("j2", worker_id="w1@100")
    _lead_with_record(case, recorded_ago_s=_FULL_LEASE_S + 0.1)
    case.leader.service.late_start_bounds.reset(now_s=clock.now_s())


def _assert_lease_lasts(case: _Case) -> None:
    """Asserts that neither the leader nor the log ends a lease just renewed."""
    assert case.replies[-1].lease_ms == single_leader.LEASE_MS
    assert case.bound_s >= clock.now_s() + _LEASE_S
    runs = case.leader.runs
    assert runs
    case.check_until(_LEASE_S)
    assert case.leader.runs == runs


def test_a_note_decided_before_a_renewal_does_not_bound_the_lease(
    case: _Case,
) -> None:
    """Guards against a bound on a lease that overtakes its renewal.

    A run was recorded as lost, and granted elsewhere, 0.5 s after a renewal for 7 s.
    """
    _lead_with_record(case, recorded_ago_s=_FULL_LEASE_S - _UNRENEWED_S - 0.3)
    case.advance(_UNRENEWED_S)
    case.check_with(case.report)
    assert any(0 < note.remaining_ms < 500 for note in case.notes)
    _assert_lease_lasts(case)


def test_an_agent_whose_runs_were_lost_gets_a_lease_again(
    case: _Case,
) -> None:
    case.check_until(_FULL_LEASE_S + _CHECK_INTERVAL_S)
    assert case.leader.runs == {}
    assert case.report().lease_ms == single_leader.LEASE_MS


def test_a_closed_lease_is_not_renewed_while_its_losses_are_not_recorded(
    case: _Case,
) -> None:
    """Guards against runs that go on while their loss is on its way to the log."""
    case.advance(_FULL_LEASE_S + 0.1)
    assert case.leader.service.leases.close_if_expired("a1")
    assert not case.report().lease_ms
    assert case.leader.runs


def test_an_agent_that_reports_soon_after_an_election_continues_its_runs(
    case: _Case,
) -> None:
    """Guards against runs that wait for late calls although their agent is back."""
    _elect_with_late_run(case)
    case.check()
    runs = case.leader.runs
    assert case.report().lease_ms == single_leader.LEASE_MS
    case.check_until(_LEASE_S)
    assert runs
    assert case.leader.runs == runs


def test_runs_of_an_agent_that_does_not_report_after_an_election_are_lost(
    case: _Case,
) -> None:
    _elect_with_late_run(case)
    case.check_until(2.4)
    assert case.leader.runs
    case.check_until(0.5)
    assert case.leader.runs == {}


def test_an_older_report_renews_no_lease(case: _Case) -> None:
    """Guards against what an older report tells in place of a newer one."""
    case.leader.sequence -= 2
    assert not case.report().lease_ms


def test_a_report_waits_for_no_note_that_is_not_answered(case: _Case) -> None:
    case.check_until(_UNRENEWED_S - _CHECK_INTERVAL_S)
    case.advance(_CHECK_INTERVAL_S)
    case.lose_notes()
    with pytest.raises(errors.UnknownOutcomeError):
        case.check()
    assert case.report().lease_ms == single_leader.LEASE_MS


def test_a_note_decided_before_a_lease_is_reopened_does_not_bound_it(
    case: _Case,
) -> None:
    """Guards against the same where the report ends the only run of a closed lease."""
    case.check_until(_UNRENEWED_S)
    case.advance(_FULL_LEASE_S - _UNRENEWED_S + 0.1)
    end = builders.run_end(builders.task_name(), ttypes.RunEndKind.LAPSED)

    def report_end() -> None:
        case.report(end)
        # The outcome of this grant, decided before the lease expired, was unknown.
        case.grant("j1", run=2)

    case.check_with(report_end)
    assert any(0 < note.remaining_ms < 3_000 for note in case.notes)
    _assert_lease_lasts(case)
