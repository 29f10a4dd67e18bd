"""Tests that an agent concludes no end of a run that may go on or begin."""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import stepped_agent


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    return stepped_agent.make_agent()


def test_lease_of_an_earlier_leader_has_no_effect(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a lease that its leader's successor need not wait for."""
    known = agent.state.lease
    agent.state.update_lease(
        lease_module.Lease(known.end_s + 60.0, stepped_agent.TERM - 1, 0)
    )
    assert agent.state.lease == known
    assert agent.state.term == stepped_agent.TERM


def test_listing_from_before_a_stop_does_not_end_the_run(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two runs of one task while the worker still stops the first."""
    worker = agent.worker
    worker.unanswered = {"start"}
    worker.has_slow_stops = True
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.receive_order(stepped_agent.STOP)
    list_runs = worker.renew_lease

    def list_before_the_stop(
        worker_id: str, **arguments: object
    ) -> run_worker.RunListing:
        listing = list_runs(worker_id, **arguments)
        worker.run_delayed_calls()
        agent.execute_orders()
        return listing

    monkeypatch.setattr(worker, "renew_lease", list_before_the_stop)
    agent.renew_lease()
    assert agent.call_names()[-1] == "stop"
    monkeypatch.undo()
    agent.execute_orders()
    assert list(worker.running) == [stepped_agent.KEY]
    assert agent.end_kinds() == {}
    worker.has_slow_stops = False
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.STOPPED}


def test_start_that_was_not_sent_does_not_hide_an_earlier_one(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts beside a run that a request without an answer may begin."""
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()

    def refuse_connection(*_: object, **__: object) -> int:
        raise errors.TransportError("connection refused", sent=False)

    monkeypatch.setattr(agent.worker, "start", refuse_connection)
    agent.execute_orders()
    agent.receive_orders(orders=[], removed=[], whole=True)
    assert agent.state.runs.held_keys() == {stepped_agent.KEY}


def test_start_that_was_not_sent_is_refused_without_a_stop(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals that wait for a worker to confirm a stop it cannot get."""

    def refuse_connection(*_: object, **__: object) -> int:
        raise errors.TransportError("connection refused", sent=False)

    monkeypatch.setattr(agent.worker, "start", refuse_connection)
    agent.worker.unanswered = {"stop"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    draining = stepped_agent.announcement("a1-incarnation1", sequence=2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    agent.execute_orders()
    assert agent.call_names() == []
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}


def test_start_with_an_unexpected_status_is_refused_only_after_a_stop(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task if the worker has begun it."""
    agent.worker.has_unexpected_status = True
    agent.worker.unanswered = {"stop"}
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert agent.end_kinds() == {}
    agent.worker.unanswered = set()
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.STOPPED}
    assert agent.call_names().count("start") == 1
