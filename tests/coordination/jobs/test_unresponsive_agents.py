"""Tests that records of unresponsive agents bound their leases for later leaders."""

from collections.abc import Iterator
import math

import pytest

from marigoldsill.coordination.jobs import unresponsive_agents
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import clock
from tests.coordination.jobs import builders

_LEASE_MS = 7_000
_FULL_LEASE_S = 7.0 * leases_module.DRIFT_RATIO + leases_module.MARGIN_S


class _FakeReplica:
    """The tables of a replica, and the listeners to their replacement."""

    def __init__(self, state: builders.State):
        self.state = state
        self.replaced_listeners = []

    @property
    def tables(self) -> tables_module.Tables:
        return self.state.tables

    def on_tables_replaced(self, listener) -> None:
        self.replaced_listeners.append(listener)


class _Case:
    """A replica with a run of agent a1, and its record of unresponsive agents."""

    def __init__(self):
        self.state = builders.State()
        self.state.submit(builders.job())
        self.replica = _FakeReplica(self.state)
        self.unresponsive = unresponsive_agents.UnresponsiveAgents(
            replica=self.replica, lease_ms=_LEASE_MS
        )
        self.leases = leases_module.LeaseTable()
        self.leases.reset(lease_ms=_LEASE_MS)
        self.grant(1)

    def grant(self, run: int) -> None:
        grants = [builders.grant(builders.task_name(), run)]
        self.apply(grant_runs=ttypes.GrantRuns(grants=grants))

    def submit_and_grant(self, agent: str) -> None:
        self.state.submit(builders.job("j2"))
        grant = builders.grant(builders.task_name(job_id="j2"), 1, agent)
        self.apply(grant_runs=ttypes.GrantRuns(grants=[grant]))

    def end(self, run: int) -> None:
        ends = [
            builders.run_end(builders.task_name(), ttypes.RunEndKind.LOST, run)
        ]
        self.apply(record_run_ends=ttypes.RecordRunEnds(ends=ends))

    def record(self, *, unresponsive=(), responsive=()) -> None:
        note = ttypes.NoteUnresponsive(
            unresponsive=list(unresponsive), responsive=list(responsive)
        )
        self.apply(note_unresponsive=note)

    def apply(self, **body: object) -> None:
        self.state.apply(**body)
        self.unresponsive.observe_command(ttypes.Command(**body))

    def remaining_time_note(self) -> ttypes.NoteUnresponsive | None:
        return self.unresponsive.remaining_time_note(
            self.leases, now_s=clock.now_s()
        )

    def suspension_note(self) -> ttypes.NoteUnresponsive | None:
        return unresponsive_agents.suspend_unresponsive(
            self.leases, self.state.tables.jobs
        )

    def suspend_unresponsive(self) -> list[str]:
        note = self.suspension_note()
        return [] if note is None else note.unresponsive


class _FakeClock:
    """A clock whose time is set by tests."""

    def __init__(self):
        self.now_s = 1_000.0


@pytest.fixture
def fake_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[_FakeClock]:
    new_clock = _FakeClock()
    monkeypatch.setattr(clock, "now_s", lambda: new_clock.now_s)
    return new_clock


def test_the_next_leader_counts_the_lease_from_the_record(fake_clock) -> None:
    case = _Case()
    case.record(unresponsive=["a1"])
    fake_clock.now_s += 5.0
    next_leader = leases_module.LeaseTable()
    next_leader.reset(lease_ms=_LEASE_MS)
    bound_s = case.unresponsive.bound_s("a1")
    assert not next_leader.close_if_expired("a1", bound_s=bound_s)
    fake_clock.now_s += _FULL_LEASE_S - 4.9
    assert next_leader.close_if_expired("a1", bound_s=bound_s)


def test_the_next_leader_does_not_count_again_what_a_lease_was_not_renewed(
    fake_clock,
) -> None:
    case = _Case()
    fake_clock.now_s += 1.0
    case.leases.renew("a1", lease_ms=_LEASE_MS)
    end_s = case.leases.end_s("a1")
    assert end_s == pytest.approx(fake_clock.now_s + _FULL_LEASE_S)
    fake_clock.now_s += unresponsive_agents.UNRENEWED_S + 0.1
    case.apply(note_unresponsive=case.suspension_note())
    bound_s = case.unresponsive.bound_s("a1")
    # The clocks of two leaders may differ in the rest of the lease.
    longest_s = (end_s - fake_clock.now_s) * leases_module.DRIFT_RATIO
    assert end_s <= bound_s
    assert (
        bound_s <= fake_clock.now_s + longest_s + leases_module.MARGIN_S + 0.1
    )


def test_a_record_of_several_agents_bounds_none_before_its_lease_ends(
    fake_clock,
) -> None:
    case = _Case()
    case.submit_and_grant("a2")
    fake_clock.now_s += 1.0
    case.leases.renew("a2", lease_ms=_LEASE_MS)
    fake_clock.now_s += unresponsive_agents.UNRENEWED_S + 0.1
    note = case.suspension_note()
    assert note.unresponsive == ["a1", "a2"]
    case.apply(note_unresponsive=note)
    for agent in note.unresponsive:
        assert case.unresponsive.bound_s(agent) >= case.leases.end_s("a2")


def test_a_second_record_of_an_unresponsive_agent_does_not_extend_the_bound(
    fake_clock,
) -> None:
    case = _Case()
    case.record(unresponsive=["a1"])
    first_s = case.unresponsive.bound_s("a1")
    fake_clock.now_s += 3.0
    case.record(unresponsive=["a1"])
    assert case.unresponsive.bound_s("a1") == first_s


@pytest.mark.parametrize("reason", ["it reports", "its runs ended"])
def test_an_agent_that_is_unresponsive_again_gets_a_new_bound(
    fake_clock, reason: str
) -> None:
    case = _Case()
    case.record(unresponsive=["a1"])
    fake_clock.now_s += 4.0
    if reason == "it reports":
        case.record(responsive=["a1"])
    else:
        case.end(1)
        case.grant(2)
    assert case.unresponsive.bound_s("a1") == math.inf
    case.record(unresponsive=["a1"])
    assert case.unresponsive.bound_s("a1") == pytest.approx(
        fake_clock.now_s + _FULL_LEASE_S
    )


def test_after_a_snapshot_the_lease_counts_from_the_snapshot(
    fake_clock,
) -> None:
    case = _Case()
    case.record(unresponsive=["a1"])
    fake_clock.now_s += 4.0
    data = case.state.tables.to_bytes()
    case.state.tables = tables_module.Tables.from_bytes(data)
    for listener in case.replica.replaced_listeners:
        listener()
    assert case.unresponsive.bound_s("a1") == pytest.approx(
        fake_clock.now_s + _FULL_LEASE_S
    )


def test_agents_without_runs_are_not_recorded(fake_clock) -> None:
    case = _Case()
    case.record(unresponsive=["a1", "a2"])
    assert case.state.tables.jobs.unresponsive_agents == {"a1"}


def test_only_leases_not_renewed_for_a_while_are_suspended(fake_clock) -> None:
    case = _Case()
    fake_clock.now_s += unresponsive_agents.UNRENEWED_IN_TERM_S - 0.1
    assert case.suspend_unresponsive() == []
    assert case.leases.renew("a1", lease_ms=_LEASE_MS)
    fake_clock.now_s += unresponsive_agents.UNRENEWED_S - 0.1
    assert case.suspend_unresponsive() == []
    fake_clock.now_s += 0.2
    assert case.suspend_unresponsive() == ["a1"]
    assert not case.leases.renew("a1", lease_ms=_LEASE_MS)
    # The proposal of the note may have failed, so it is due until it is in the log.
    assert case.suspend_unresponsive() == ["a1"]
    case.record(unresponsive=["a1"])
    assert case.suspend_unresponsive() == []


def test_a_leader_that_ends_2_2_s_after_its_election_leaves_a_bound(
    fake_clock,
) -> None:
    """Guards against leaders that each count a whole lease of a lost agent."""
    case = _Case()
    end_s = case.leases.end_s("a1")
    fake_clock.now_s += 2.2
    note = case.suspension_note()
    assert note is not None
    case.apply(note_unresponsive=note)
    next_leader = leases_module.LeaseTable()
    fake_clock.now_s += 0.8
    next_leader.reset(lease_ms=_LEASE_MS)
    bound_s = case.unresponsive.bound_s("a1")
    assert end_s <= bound_s < next_leader.end_s("a1") - 2.0


def test_a_lease_is_renewed_only_after_its_latest_suspension_is_resumed(
    fake_clock,
) -> None:
    case = _Case()
    fake_clock.now_s += unresponsive_agents.UNRENEWED_S + 0.1
    case.suspend_unresponsive()
    suspension = case.leases.suspension_number("a1")
    # The scheduler suspends the lease again while a report of the agent is handled.
    case.suspend_unresponsive()
    case.leases.resume("a1", suspension_number=suspension)
    assert not case.leases.renew("a1", lease_ms=_LEASE_MS)
    case.leases.resume(
        "a1", suspension_number=case.leases.suspension_number("a1")
    )
    assert case.leases.renew("a1", lease_ms=_LEASE_MS)


def _bounds_after_restart(
    case: _Case,
) -> unresponsive_agents.UnresponsiveAgents:
    """The bounds of a member that has restarted and applied its log again."""
    restarted = unresponsive_agents.UnresponsiveAgents(
        replica=case.replica, lease_ms=_LEASE_MS
    )
    restarted.bound_s("a1")
    return restarted


def test_a_restarted_member_learns_the_remaining_time_of_a_lease(
    fake_clock,
) -> None:
    """Guards against a late restart of lost tasks when a restarted member leads next.

    A worker is lost; the leader records its agent as unresponsive and fails; a member
    that has just restarted leads. It treated the lease as live for its whole duration
    from its own restart, so the tasks ran again 14.3 s after the loss, instead of 12 s
    with any other member as leader. The target is 13.9 s.
    """
    case = _Case()
    case.record(unresponsive=["a1"])
    fake_clock.now_s += 5.0
    restarted = _bounds_after_restart(case)
    note = case.remaining_time_note()
    assert note.unresponsive == ["a1"]
    command = ttypes.Command(note_unresponsive=note)
    case.state.apply(note_unresponsive=note)
    restarted.observe_command(command)
    left_s = restarted.bound_s("a1") - fake_clock.now_s
    assert _FULL_LEASE_S - 5.0 <= left_s < _FULL_LEASE_S - 4.0


def test_the_remaining_time_is_due_at_intervals_while_a_lease_may_be_live(
    fake_clock,
) -> None:
    case = _Case()
    assert case.remaining_time_note() is None
    case.record(unresponsive=["a1"])
    fake_clock.now_s += unresponsive_agents.UNRENEWED_S + 0.1
    assert case.remaining_time_note() is not None
    assert case.remaining_time_note() is None
    fake_clock.now_s += 1.1
    assert case.remaining_time_note() is not None
    fake_clock.now_s += _FULL_LEASE_S
    assert case.remaining_time_note() is None


def test_a_note_of_the_remaining_time_does_not_extend_the_bound(
    fake_clock,
) -> None:
    case = _Case()
    case.record(unresponsive=["a1"])
    first_s = case.unresponsive.bound_s("a1")
    fake_clock.now_s += 3.0
    note = case.remaining_time_note()
    case.apply(note_unresponsive=note)
    assert case.unresponsive.bound_s("a1") == first_s


def test_a_lease_renewed_before_the_commit_of_a_note_is_not_bounded(
    fake_clock,
) -> None:
    """A note that is not yet committed must not end a lease renewed since."""
    case = _Case()
    case.record(unresponsive=["a1"])
    fake_clock.now_s += 5.0
    suspension = case.leases.suspension_number("a1")
    note = case.remaining_time_note()
    # The agent reports again; this record precedes the note in the log.
    case.record(responsive=["a1"])
    case.leases.resume("a1", suspension_number=suspension)
    assert not case.leases.renew("a1", lease_ms=_LEASE_MS)
    case.apply(note_unresponsive=note)
    assert case.leases.suspension_number("a1") > suspension


def test_a_note_of_the_remaining_time_omits_renewed_leases(fake_clock) -> None:
    case = _Case()
    case.record(unresponsive=["a1"])
    fake_clock.now_s += 5.0
    case.leases.renew("a1", lease_ms=_LEASE_MS)
    assert case.remaining_time_note() is None
