"""Tests of deregistrations: a worker announces its end, and ends later.

It ends when the deregistration is acknowledged, or else some seconds later. The tests
run for a worker with an id of its own, and for one that tells its start time.
"""

import pytest

from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_KEY = stepped_agent.KEY
_OTHER_KEY = ("j2.0.0.0", 1)
_LOST = {_KEY: ttypes.RunEndKind.LOST}
# A lease of the fake worker, on its clock if it is 2% slow.
_LEASE_S = stepped_agent.HOLD_LIMIT_MS / 1000 / 0.98


class _Clock:
    """A clock that a test advances."""

    def __init__(self, now_s: float):
        self.now_s = now_s

    def advance(self, seconds: float) -> None:
        self.now_s += seconds


@pytest.fixture
def timer(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    timer = _Clock(clock.now_s())
    monkeypatch.setattr(clock, "now_s", lambda: timer.now_s)
    return timer


@pytest.fixture(params=["i-1", "w1@100"])
def agent(
    request: pytest.FixtureRequest, timer: _Clock
) -> stepped_agent.SteppedAgent:
    """An agent whose worker runs a task."""
    return _make_agent(request.param)


def _make_agent(worker_id: str) -> stepped_agent.SteppedAgent:
    agent = stepped_agent.make_agent(
        fake_worker.RestartingWorker(worker_id)
        if "@" in worker_id
        else fake_worker.FakeWorker(worker_id)
    )
    agent.receive_order(stepped_agent.RUN, incarnation=worker_id)
    agent.run_until_settled()
    assert list(agent.worker.running) == [_KEY]
    return agent


def _drain(agent: stepped_agent.SteppedAgent) -> None:
    draining = stepped_agent.announcement(agent.worker.incarnation, 2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)


def _deregister(agent: stepped_agent.SteppedAgent) -> None:
    """Delivers a worker's last messages to its agent."""
    _drain(agent)
    agent.state.deregister(agent.worker.incarnation.partition("@")[0])


def _call(agent: stepped_agent.SteppedAgent) -> None:
    """Lets both threads that call the worker make their next call."""
    agent.departure_watch.check()
    agent.call_incarnations(rounds_count=1)


def test_runs_on_a_deregistered_worker_are_not_lost_while_it_answers(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    """Guards against two runs of one task if the acknowledgement is lost."""
    _deregister(agent)
    for _ in range(30):
        timer.advance(0.5)
        _call(agent)
    assert agent.end_kinds() == {}
    assert agent.state.worker_id == agent.worker.incarnation
    assert agent.worker.deadlines_ms[-1] is not None


def test_deregistered_worker_has_ended_once_it_refuses_a_connection(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against waiting for a worker that has ended as planned."""
    _deregister(agent)
    _call(agent)
    agent.worker.is_closed = True
    agent.departure_watch.check()
    assert agent.state.worker_id == ""
    assert agent.end_kinds() == _LOST


def _longest_reading_age_s(agent: stepped_agent.SteppedAgent) -> float:
    """How long ago the worker's clock may have been read before a deadline is sent.

    A worker that may restart under its name gets none after 2 s without an answer.
    """
    return 1.9 if "@" in agent.worker.incarnation else 20.0


def test_deregistered_worker_has_ended_once_another_one_answers(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _deregister(agent)
    agent.worker.incarnation = "i-2"
    agent.departure_watch.check()
    assert agent.state.worker_id == ""
    assert agent.end_kinds() == _LOST


def test_runs_on_a_deregistered_worker_that_does_not_answer_are_lost_after_a_lease(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    """Guards against two runs of one task if its calls get no answer while it runs."""
    agent.call_incarnations(rounds_count=1)
    _deregister(agent)
    agent.worker.unreachable_incarnations = {agent.worker.incarnation}
    end_s = timer.now_s + _LEASE_S
    while timer.now_s <= end_s:
        _call(agent)
        assert agent.end_kinds() == {}
        timer.advance(0.25)
    timer.advance(1.0)
    _call(agent)
    assert agent.state.worker_id == ""
    assert agent.end_kinds() == _LOST


def test_deadline_of_an_unanswered_call_counts_for_the_end_of_the_lease(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    """Guards against two runs of one task if the call is carried out late."""
    reading_age_s = _longest_reading_age_s(agent)
    timer.advance(reading_age_s)
    agent.worker.unreachable_incarnations = {agent.worker.incarnation}
    agent.call_incarnations(rounds_count=1)
    _deregister(agent)
    timer.advance(_LEASE_S)
    agent.departure_watch.check()
    assert agent.end_kinds() == {}
    timer.advance(reading_age_s * 0.1 + 1.0)
    agent.departure_watch.check()
    assert agent.end_kinds() == _LOST


def test_deadline_of_an_unanswered_start_counts_for_the_end_of_the_lease(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    """Guards against two runs of one task if the start is carried out late."""
    timer.advance(_longest_reading_age_s(agent))
    agent.worker.unanswered = {"start"}
    agent.receive_order(
        stepped_agent.RUN, _OTHER_KEY, incarnation=agent.worker.incarnation
    )
    agent.execute_orders()
    agent.worker.unreachable_incarnations = {agent.worker.incarnation}
    _deregister(agent)
    timer.advance(_LEASE_S)
    agent.departure_watch.check()
    assert agent.end_kinds() == {}


def test_lease_of_a_deregistered_worker_is_not_extended_until_it_answers(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against tasks that wait for a lease that never ends."""
    _deregister(agent)
    agent.call_incarnations(rounds_count=1)
    assert agent.worker.deadlines_ms[-1] is None
    agent.call_incarnations(rounds_count=1)
    assert agent.worker.deadlines_ms[-1] is not None
    agent.worker.unreachable_incarnations = {agent.worker.incarnation}
    agent.departure_watch.check()
    agent.worker.unreachable_incarnations = set()
    agent.call_incarnations(rounds_count=1)
    assert agent.worker.deadlines_ms[-1] is None


def test_restarted_agent_does_not_take_a_deregistration_for_the_end(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    """Guards against two runs of one task if the agent knows the worker by orders only."""
    worker_id = agent.worker.incarnation
    restarted = stepped_agent.make_agent(fake_worker.FakeWorker("i-9"))
    restarted.state.end_incarnation("i-9", reason="test")
    restarted.worker.incarnation = worker_id
    restarted.receive_order(stepped_agent.RUN, incarnation=worker_id)
    restarted.state.deregister(worker_id.partition("@")[0])
    restarted.departure_watch.check()
    restarted.worker.unreachable_incarnations = {worker_id}
    timer.advance(_LEASE_S)
    restarted.departure_watch.check()
    assert restarted.end_kinds() == {}
    restarted.worker.is_closed = True
    restarted.departure_watch.check()
    assert restarted.state.departures.is_empty


def test_deregistration_by_another_writer_ends_no_runs(
    agent: stepped_agent.SteppedAgent, timer: _Clock
) -> None:
    """Guards against messages that keep a healthy worker from getting tasks."""
    agent.state.deregister(agent.worker.incarnation.partition("@")[0])
    for _ in range(44):
        agent.departure_watch.check()
        timer.advance(0.25)
    assert agent.end_kinds() == {}
    assert agent.state.departures.is_empty
    agent.receive_order(
        stepped_agent.RUN, _OTHER_KEY, incarnation=agent.worker.incarnation
    )
    agent.receive_lease()
    agent.run_until_settled()
    assert set(agent.worker.running) == {_KEY, _OTHER_KEY}


def test_no_run_starts_on_a_deregistered_worker(timer: _Clock) -> None:
    agent = _make_agent("i-1")
    agent.state.deregister("i-1")
    agent.receive_order(stepped_agent.RUN, _OTHER_KEY, incarnation="i-1")
    agent.execute_orders()
    assert agent.call_names() == ["start"]


def test_number_of_remembered_deregistrations_is_limited(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against memory use and calls that grow with each name that others send."""
    _deregister(agent)
    for number in range(100):
        agent.state.deregister(f"i-other-{number}")
    before = len(agent.worker.called_incarnations)
    agent.departure_watch.check()
    agent.departure_watch.check()
    called = agent.worker.called_incarnations[before:]
    assert len(called) <= 10
    assert called.count(agent.worker.incarnation) == 2
