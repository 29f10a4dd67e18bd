"""Tests that no order returns to an agent after the leader has recorded its run's end.

Orders and the replies to reports arrive on two connections and may overtake each other.
"""

from collections.abc import Callable

import pytest

from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.coordination.job_agent import reporter as reporter_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader
from tests.coordination.jobs import stepped_agent

_TERM = stepped_agent.TERM
_KEY = stepped_agent.KEY
_OTHER_KEY = ("j2.0.0.0", 1)
# Versions of the orders: with the run, with its changed quota, and after its end.
_VERSION, _LATE_VERSION, _END_VERSION = 1, 2, 3


class _Link:
    """Answers reports in place of the leader."""

    def __init__(self, reply: ttypes.AgentReply):
        self._reply = reply

    def call(
        self, _name: str, _report: ttypes.AgentReport, *, timeout_s: float
    ):
        assert timeout_s > 0
        return self._reply


def _announce_cores(
    agent: stepped_agent.SteppedAgent, cores: int, sequence: int
) -> None:
    announcement = stepped_agent.announcement("a1-incarnation1", sequence)
    announcement.worker.capacity.cpu_millicores = cores * 1_000
    agent.state.record_announcement(announcement)


def _order(key: tuple[str, int] = _KEY, **fields: object) -> ttypes.RunOrder:
    return ttypes.RunOrder(
        task=key[0],
        run=key[1],
        desire=stepped_agent.RUN,
        worker_id="a1-incarnation1",
        resources=ttypes.Resources(cpu_millicores=2_000),
        **fields,
    )


def _receive_late_orders(
    agent: stepped_agent.SteppedAgent,
    *,
    term: int = _TERM,
    version: int = _LATE_VERSION,
    whole: bool = False,
) -> bool:
    return agent.state.update_orders(
        ttypes.OrdersReply(
            term=term,
            version=version,
            whole=whole,
            orders=[_order(quota_percent=50)],
            removed=[],
        )
    )


def _report(
    agent: stepped_agent.SteppedAgent, *, lease_ms: int = 0, term: int = _TERM
) -> None:
    """Reports; the leader replies that it has recorded the end."""
    reply = ttypes.AgentReply(
        term=term,
        ends_recorded=True,
        lease_ms=lease_ms,
        orders_version=_END_VERSION,
    )
    reporter_module.Reporter(
        agent="a1", state=agent.state, link=_Link(reply)
    )._report()
    agent.execute_orders()


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    """An agent that has refused a run without a call, and could start it again."""
    new_agent = stepped_agent.make_agent()
    _announce_cores(new_agent, 1, sequence=2)
    new_agent.state.update_orders(
        ttypes.OrdersReply(
            term=_TERM, version=_VERSION, orders=[_order()], removed=[]
        )
    )
    new_agent.execute_orders()
    assert new_agent.end_kinds() == {_KEY: ttypes.RunEndKind.REFUSED}
    _announce_cores(new_agent, 4, sequence=3)
    return new_agent


@pytest.mark.parametrize("whole", [False, True])
def test_late_orders_do_not_restore_a_run_whose_end_is_recorded(
    agent: stepped_agent.SteppedAgent, whole: bool
) -> None:
    """Guards against a task that runs twice: its next run may be on another worker."""
    _report(agent)
    assert _receive_late_orders(agent, whole=whole)
    agent.run_until_settled()
    assert agent.worker.calls == []


def test_late_orders_do_not_restore_a_run_before_the_lease_is_renewed(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start between the removal of the ends and the new lease."""
    update_lease = agent.state.update_lease

    def update_lease_after_late_orders(lease: lease_module.Lease) -> None:
        agent.execute_orders()
        _receive_late_orders(agent)
        agent.execute_orders()
        update_lease(lease)

    monkeypatch.setattr(
        agent.state, "update_lease", update_lease_after_late_orders
    )
    _report(agent, lease_ms=7_000)
    agent.run_until_settled()
    assert agent.worker.calls == []


def test_orders_of_an_earlier_leader_do_not_restore_a_run(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a task that runs twice after its end was reported to a new leader.

    The new leader has not renewed the lease of the earlier one yet.
    """
    _report(agent, term=_TERM + 1)
    _receive_late_orders(agent, version=_END_VERSION + 1)
    agent.run_until_settled()
    assert agent.worker.calls == []


def test_first_orders_of_a_new_leader_do_not_restore_a_run(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _report(agent, term=_TERM + 1)
    _receive_late_orders(agent, term=_TERM + 1, whole=True)
    assert _KEY not in agent.state.orders


def test_late_orders_still_apply_to_other_runs(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _report(agent)
    agent.state.update_orders(
        ttypes.OrdersReply(
            term=_TERM,
            version=_LATE_VERSION,
            orders=[_order(), _order(_OTHER_KEY)],
            removed=[],
        )
    )
    agent.run_until_settled()
    assert list(agent.worker.running) == [_OTHER_KEY]


def test_recorded_ends_are_forgotten_with_the_next_orders(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a memory that grows with each run."""
    _report(agent)
    agent.state.update_orders(
        ttypes.OrdersReply(
            term=_TERM, version=_END_VERSION, orders=[], removed=[]
        )
    )
    assert not agent.state.run_orders._ended


def _silent(report: ttypes.AgentReport) -> None:
    report.worker_silent = True


def _overtaken(report: ttypes.AgentReport) -> None:
    report.sequence = 0


@pytest.mark.parametrize("change", [_silent, _overtaken])
def test_reply_without_a_lease_tells_from_which_version_orders_lack_the_ends(
    change: Callable[[ttypes.AgentReport], None],
) -> None:
    leader = single_leader.Leader()
    leader.report("a1")
    leader.submit("j1", builders.step())
    leader.service.propose(
        grant_runs=ttypes.GrantRuns(
            grants=[builders.grant(builders.task_name())]
        )
    )
    before = leader.service.agent_orders(ttypes.OrdersRequest(agent="a1"))
    assert [(o.task, o.run) for o in before.orders] == [
        (builders.task_name(), 1)
    ]
    report = ttypes.AgentReport(
        agent="a1",
        incarnation=1,
        sequence=9,
        ends=[
            builders.run_end(builders.task_name(), ttypes.RunEndKind.REFUSED)
        ],
        worker_id="a1-incarnation1",
    )
    change(report)
    reply = leader.service.agent_report(report)
    assert reply.ends_recorded
    assert not reply.lease_ms
    assert reply.orders_version > before.version


def test_ends_count_as_recorded_only_in_the_term_of_the_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a version that is taken for one of another term."""
    leader = single_leader.Leader()
    leader.report("a1")
    terms = iter([1, 1])
    monkeypatch.setattr(
        type(leader.replica), "term", property(lambda _: next(terms, 2))
    )
    report = ttypes.AgentReport(
        agent="a1",
        incarnation=1,
        sequence=9,
        ends=[
            builders.run_end(builders.task_name(), ttypes.RunEndKind.REFUSED)
        ],
        worker_id="a1-incarnation1",
    )
    assert not leader.service.agent_report(report).ends_recorded
