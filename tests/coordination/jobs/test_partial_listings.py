"""Tests of listings that lack ends: unreadable ones, or those beyond a listing's limit."""

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_KEY = stepped_agent.KEY
_OTHER_KEY = ("j2.0.0.0", 1)
_DONE = ttypes.RunEndKind.DONE


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    """An agent whose worker ended two runs, `_KEY` as the second."""
    new_agent = stepped_agent.make_agent()
    for key in (_OTHER_KEY, _KEY):
        new_agent.receive_order(stepped_agent.RUN, key)
    new_agent.execute_orders()
    for key in (_OTHER_KEY, _KEY):
        new_agent.worker.end_run(key, _DONE)
    return new_agent


def test_stopped_run_with_its_end_beyond_the_listed_ones_is_done(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a task that runs again although it is done."""
    agent.worker.listed_ends_limit = 1
    agent.receive_order(stepped_agent.STOP, _KEY)
    agent.run_until_settled()
    assert agent.end_kinds() == {_OTHER_KEY: _DONE}
    agent.record_reported_ends()
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: _DONE}


def test_late_run_with_its_end_beyond_the_listed_ones_is_done() -> None:
    """Guards against a task that runs again although its late run is done."""
    worker = fake_worker.RestartingWorker("w1@100")
    agent = stepped_agent.make_agent(worker)
    worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN, _KEY, incarnation="w1@100")
    agent.execute_orders()
    worker.unanswered = set()
    worker.restart("w1@200")
    agent.state.record_announcement(stepped_agent.announcement("w1@200"))
    agent.call_incarnations(rounds_count=1)
    agent.receive_order(stepped_agent.RUN, _OTHER_KEY, incarnation="w1@200")
    worker.run_delayed_calls()
    worker.unanswered = {"stop"}
    agent.execute_orders()
    worker.unanswered = set()
    for key in (_OTHER_KEY, _KEY):
        worker.end_run(key, _DONE)
    worker.listed_ends_limit = 1
    agent.run_until_settled()
    assert agent.end_kinds() == {_OTHER_KEY: _DONE}
    agent.record_reported_ends()
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: _DONE}


def test_stopped_run_with_an_unreadable_end_is_done(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a task that runs again although it is done."""
    agent.worker.unreadable_ends = {_KEY}
    agent.receive_order(stepped_agent.STOP, _KEY)
    agent.run_until_settled()
    assert agent.end_kinds() == {_OTHER_KEY: _DONE}
    agent.worker.unreadable_ends = set()
    agent.run_until_settled()
    assert agent.end_kinds() == {_OTHER_KEY: _DONE, _KEY: _DONE}


def test_unreadable_end_before_readable_ones_is_not_acknowledged(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against an end that the worker discards before the agent has read it."""
    agent.worker.unreadable_ends = {_OTHER_KEY}
    agent.renew_lease()
    agent.record_reported_ends()
    agent.run_until_settled()
    assert agent.worker.acknowledged == 0
    agent.worker.unreadable_ends = set()
    agent.run_until_settled()
    assert agent.end_kinds() == {_OTHER_KEY: _DONE}
    agent.record_reported_ends()
    agent.renew_lease()
    assert agent.worker.acknowledged == 2


def test_recorded_ends_after_an_unreadable_one_are_not_reported_again(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a report with each listing, as those ends stay listed."""
    agent.worker.unreadable_ends = {_OTHER_KEY}
    agent.renew_lease()
    assert agent.end_kinds() == {_KEY: _DONE}
    agent.record_reported_ends()
    agent.run_until_settled()
    assert agent.end_kinds() == {}
