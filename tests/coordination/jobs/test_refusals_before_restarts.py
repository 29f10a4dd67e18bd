"""Tests of runs that are refused before their worker restarts under its id."""

import pytest

from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_OLD, _NEW = "w1@100", "w1@200"
_KEY = stepped_agent.KEY


class _Clock:
    """The agent's clock, which tests advance."""

    def __init__(self):
        self.now_s = clock.now_s()


@pytest.fixture
def timer(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    timer = _Clock()
    monkeypatch.setattr(clock, "now_s", lambda: timer.now_s)
    return timer


@pytest.fixture
def agent(timer: _Clock) -> stepped_agent.SteppedAgent:
    """An agent with an unanswered start on a worker that drains since."""
    agent = stepped_agent.make_agent(fake_worker.RestartingWorker(_OLD))
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN, incarnation=_OLD)
    agent.execute_orders()
    agent.worker.unanswered = set()
    draining = stepped_agent.announcement(_OLD, 2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    return agent


def test_run_that_begins_after_its_refusal_on_a_restarted_worker_is_not_over(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.run_until_settled()
    assert ("stop", _KEY) in agent.worker.calls
    assert agent.end_kinds() == {}
    agent.worker.restart(_NEW)
    agent.worker.run_delayed_calls()
    agent.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    agent.state.record_announcement(stepped_agent.announcement(_NEW))
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.DONE}


def test_refused_run_is_over_once_its_start_request_cannot_be_late(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    for _ in range(6):
        timer.now_s += 1.9
        agent.run_until_settled()
    assert agent.end_kinds() == {}
    timer.now_s += 0.7
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.REFUSED}
