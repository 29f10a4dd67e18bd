"""Tests of the leader's decisions about agents on a real log, within and across terms.

What a leader decided in one term has no effect in a later one.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
import pathlib
import threading

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.jobs import lease_monitor
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.jobs import unresponsive_agents
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import files
from marigoldsill.transport import clock
from tests import processes
from tests.coordination import groups
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

# Long enough for a report that waits for nothing.
_REPORT_LIMIT_S = 0.3
_THREAD_LIMIT_S = 10.0


class _SlowFiles(files.Files):
    """Files whose syncs wait while `may_sync` is not set."""

    def __init__(self, folder: pathlib.Path):
        self.may_sync = threading.Event()
        self.may_sync.set()
        super().__init__(folder)

    def sync(self, fd: int) -> None:
        """Syncs once that is allowed."""
        self.may_sync.wait()
        super().sync(fd)


class _Case:
    """The leader of a group of one member, with a run on agent a1."""

    def __init__(
        self, group: groups.LocalGroup, monkeypatch: pytest.MonkeyPatch
    ):
        group.form()
        self.disk = group.disks["m0"]
        self.leader = single_leader.Leader(replica=group.leader())
        self.monitor = lease_monitor.LeaseMonitor(
            replica=self.leader.replica, service=self.leader.service
        )
        self._propose = self.leader.replica.propose
        self._actions: dict[str, Callable[[], None]] = {}
        monkeypatch.setattr(self.leader.replica, "propose", self._run_action)
        self.leader.report("a1")
        self.leader.submit("j1")
        grants = ttypes.GrantRuns(grants=[builders.grant("j1.0.0.0")])
        self.leader.service.propose(grant_runs=grants)

    def before_proposal(self, body: str, action: Callable[[], None]) -> None:
        """Calls `action` before the next proposal with a body of this name."""
        self._actions[body] = action

    def change_term(self) -> None:
        """Makes the member lose its leadership and regain it in a later term."""
        replica = self.leader.replica
        group = replica._node.group
        with group.lock:
            group.step_down(term=group.term + 1, reason="later term")
        processes.wait_until(lambda: replica.is_leader, what="the next term")

    def wait_for_entry(self, last_index: int) -> None:
        """Waits until the log, committed or not, exceeds an index."""
        status = self.leader.replica.status
        processes.wait_until(
            lambda: status().last_index > last_index, what="an entry"
        )

    def _run_action(
        self, command: ttypes.Command, **options: object
    ) -> ttypes.CommandResult:
        for name in list(self._actions):
            if getattr(command, name) is not None:
                self._actions.pop(name)()
        return self._propose(command, **options)

    def start_scheduler(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Starts the scheduler without its loop, for single rounds."""
        scheduler = self.leader.scheduler
        monkeypatch.setattr(scheduler, "_loop", lambda: None)
        scheduler.start(self.leader.service)


@pytest.fixture
def case(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[_Case]:
    settings = dataclasses.replace(
        groups.SETTINGS, election_timeout_ms=200, heartbeat_ms=30
    )
    group = groups.LocalGroup(
        tmp_path, count=1, settings=settings, open_files=_SlowFiles
    )
    new_case = _Case(group, monkeypatch)
    yield new_case
    new_case.disk.may_sync.set()
    group.close()


def test_a_note_of_an_earlier_term_does_not_bound_a_renewed_lease(
    case: _Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a bound on a lease by a leader that was frozen and elected anew."""
    monkeypatch.setattr(unresponsive_agents, "UNRENEWED_S", 0.0)

    def renew_in_next_term() -> None:
        case.change_term()
        assert case.leader.report("a1").lease_ms

    case.before_proposal("note_unresponsive", renew_in_next_term)
    with pytest.raises(ttypes.NotLeader):
        case.monitor.check(now_s=clock.now_s())
    with case.leader.replica.lock:
        assert case.leader.service.unresponsive_agents.bound_s("a1") == math.inf


def test_losses_decided_in_an_earlier_term_do_not_end_a_renewed_run(
    case: _Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against losses by a leader that was frozen and elected anew."""

    def renew_in_next_term() -> None:
        case.change_term()
        assert case.leader.report("a1").lease_ms

    monkeypatch.setattr(
        case.leader.service.leases, "close_if_expired", lambda *_, **__: True
    )
    case.before_proposal("record_run_ends", renew_in_next_term)
    case.monitor.check(now_s=clock.now_s())
    assert case.leader.runs == {"a1": ["j1.0.0.0"]}


def test_a_report_of_a_replaced_agent_has_no_effect_in_a_later_term(
    case: _Case,
) -> None:
    """Guards against ends of a replaced agent that a leader records after a freeze.

    The agent's next process may have started the run that this one refused.
    """
    refusal = builders.run_end("j1.0.0.0", ttypes.RunEndKind.REFUSED)

    def replace_agent() -> None:
        case.change_term()
        assert case.leader.report("a1", incarnation=2).lease_ms

    case.before_proposal("record_run_ends", replace_agent)
    with pytest.raises(ttypes.NotLeader):
        case.leader.report("a1", ends=[refusal])
    assert case.leader.runs == {"a1": ["j1.0.0.0"]}


def test_a_new_process_of_an_agent_gets_a_lease_after_ends_of_the_last_one(
    case: _Case,
) -> None:
    """Guards against starts of runs whose end is in the log but not committed.

    The earlier process of the agent has refused the run. The next one must not start
    it, as the task is granted elsewhere once the refusal is committed.
    """
    refusal = builders.run_end("j1.0.0.0", ttypes.RunEndKind.REFUSED)
    last_index = case.leader.replica.status().last_index
    replies = []
    case.disk.may_sync.clear()
    earlier = threading.Thread(
        target=lambda: case.leader.report("a1", ends=[refusal])
    )
    later = threading.Thread(
        target=lambda: replies.append(case.leader.report("a1", incarnation=2))
    )
    earlier.start()
    case.wait_for_entry(last_index)
    later.start()
    later.join(_REPORT_LIMIT_S)
    case.disk.may_sync.set()
    for thread in (earlier, later):
        thread.join(_THREAD_LIMIT_S)
    assert case.leader.runs == {}
    assert replies[0].orders_version == case.leader.service.orders.version("a1")


def test_a_new_process_gets_no_lease_while_ends_of_the_last_one_may_be_recorded(
    case: _Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the same if the handler of the earlier report has given up."""
    monkeypatch.setattr(service_module, "_PROPOSE_TIMEOUT_S", 0.1)
    refusal = builders.run_end("j1.0.0.0", ttypes.RunEndKind.REFUSED)
    case.disk.may_sync.clear()
    with pytest.raises(errors.UnknownOutcomeError):
        case.leader.report("a1", ends=[refusal])
    with pytest.raises(errors.UnknownOutcomeError):
        case.leader.report("a1", incarnation=2)


def test_leader_that_resigns_during_a_report_grants_no_lease(
    case: _Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leases by a leader that its successor need not wait for."""
    agents = case.leader.service.agents
    get_view = agents.get

    def resign(agent: str) -> agents_module.AgentView | None:
        group = case.leader.replica._node.group
        with group.lock:
            group.stopping = True
            group.step_down(term=group.term, reason="stopping")
        return get_view(agent)

    monkeypatch.setattr(agents, "get", resign)
    with pytest.raises(ttypes.NotLeader):
        case.leader.report("a1")


def test_no_lease_is_granted_in_a_later_term_than_that_of_the_report(
    case: _Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lease by what the process knew in the earlier term."""
    agents = case.leader.service.agents
    get_view = agents.get

    def lead_again(agent: str) -> agents_module.AgentView | None:
        view = get_view(agent)
        case.change_term()
        return view

    monkeypatch.setattr(agents, "get", lead_again)
    assert not case.leader.report("a1").lease_ms


def test_late_report_of_a_replaced_agent_has_no_effect_in_its_term(
    case: _Case,
) -> None:
    """Guards against ends of a run that the agent's next process may have started."""
    known_term = case.leader.replica.term
    assert case.leader.report("a1", incarnation=2).lease_ms
    refusal = builders.run_end("j1.0.0.0", ttypes.RunEndKind.REFUSED)
    reply = case.leader.report("a1", ends=[refusal], known_term=known_term)
    assert reply.replaced_by == 2
    assert case.leader.runs == {"a1": ["j1.0.0.0"]}


def test_late_report_of_a_replaced_agent_has_no_effect_at_the_next_leader(
    case: _Case,
) -> None:
    """Guards against ends of a replaced agent that reach a leader late.

    The network delivers the report only after the agent's next process got a lease
    from another leader, and before it reports to this one.
    """
    known_term = case.leader.replica.term
    assert case.leader.report("a1", incarnation=2).lease_ms
    case.change_term()
    refusal = builders.run_end("j1.0.0.0", ttypes.RunEndKind.REFUSED)
    reply = case.leader.report("a1", ends=[refusal], known_term=known_term)
    assert not reply.ends_recorded
    assert case.leader.runs == {"a1": ["j1.0.0.0"]}


def test_ends_are_recorded_once_the_agent_knows_the_term(case: _Case) -> None:
    known_term = case.leader.replica.term
    case.change_term()
    end = builders.run_end("j1.0.0.0", ttypes.RunEndKind.DONE)
    reply = case.leader.report("a1", ends=[end], known_term=known_term)
    assert not reply.ends_recorded
    reply = case.leader.report("a1", ends=[end], known_term=reply.term)
    assert reply.ends_recorded
    assert case.leader.runs == {}


def test_a_grant_of_an_earlier_term_is_not_proposed(
    case: _Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against runs over a limit beside those that another leader granted."""
    case.start_scheduler(monkeypatch)
    service = case.leader.service

    def grant_sibling_in_next_term() -> None:
        case.change_term()
        grants = [builders.grant("j2.0.0.1")]
        service.propose(grant_runs=ttypes.GrantRuns(grants=grants))

    case.leader.submit("j2", builders.step(2, spread_limit=1))
    case.before_proposal("grant_runs", grant_sibling_in_next_term)
    with pytest.raises(ttypes.NotLeader):
        case.leader.scheduler._run_round()
    assert case.leader.runs == {"a1": ["j1.0.0.0", "j2.0.0.1"]}
