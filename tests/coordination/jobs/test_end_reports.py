"""Tests that no lease names orders from before an earlier process's report."""

from concurrent import futures
import threading

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

_TIMEOUT_S = 10.0
# Long enough for a reply that does not wait for the end.
_REPLY_WAIT_S = 0.3


def _report(
    incarnation: int, sequence: int, *ends: ttypes.RunEnd
) -> ttypes.AgentReport:
    return builders.agent_report(
        "a1",
        builders.pool_worker("a1"),
        *ends,
        sequence=sequence,
        incarnation=incarnation,
    )


_REFUSAL = builders.run_end(builders.task_name(), ttypes.RunEndKind.REFUSED)


@pytest.fixture
def leader() -> single_leader.Leader:
    """A leader that has granted a run to agent "a1"."""
    new_leader = single_leader.Leader()
    new_leader.service.agent_report(_report(1, 1))
    new_leader.submit("j1", builders.step())
    new_leader.service.propose(
        grant_runs=ttypes.GrantRuns(
            grants=[builders.grant(builders.task_name())]
        )
    )
    return new_leader


def test_restarted_agent_gets_no_lease_while_an_end_is_being_recorded(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a task that runs twice.

    An agent reports that it refused a run, and restarts before that is proposed. The
    new process does not know of the refusal, and would start the run by its order.
    """
    propose = leader.replica.propose
    begun, release = threading.Event(), threading.Event()

    def propose_ends_late(
        command: ttypes.Command, **options: object
    ) -> ttypes.CommandResult:
        if command.record_run_ends is not None:
            begun.set()
            assert release.wait(_TIMEOUT_S)
        return propose(command, **options)

    monkeypatch.setattr(leader.replica, "propose", propose_ends_late)
    report = leader.service.agent_report
    with futures.ThreadPoolExecutor(2) as pool:
        pool.submit(report, _report(1, 2, _REFUSAL))
        assert begun.wait(_TIMEOUT_S)
        reply = pool.submit(report, _report(2, 1))
        futures.wait([reply], timeout=_REPLY_WAIT_S)
        release.set()
    assert reply.result().lease_ms
    orders = leader.service.agent_orders(ttypes.OrdersRequest(agent="a1"))
    assert orders.orders == []
    assert reply.result().orders_version == orders.version
