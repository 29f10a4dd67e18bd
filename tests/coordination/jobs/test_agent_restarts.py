"""Tests of an agent whose process ended while start requests were unanswered."""

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_KEY = stepped_agent.KEY
_OTHER_KEY = ("j2.0.0.0", 1)
_WORKER_ID = "a1-incarnation1"


def _order(key: tuple[str, int] = _KEY) -> ttypes.RunOrder:
    return ttypes.RunOrder(
        task=key[0],
        run=key[1],
        desire=stepped_agent.RUN,
        worker_id=_WORKER_ID,
    )


@pytest.fixture
def worker() -> fake_worker.FakeWorker:
    """A worker that has not yet carried out a start of an agent that has ended."""
    worker = fake_worker.FakeWorker(_WORKER_ID)
    worker.unanswered = {"start"}
    agent = stepped_agent.make_agent(worker)
    agent.receive_orders(orders=[_order()], removed=[])
    agent.execute_orders()
    assert agent.call_names() == ["start"]
    worker.unanswered = set()
    return worker


def _announce(agent: stepped_agent.SteppedAgent, **changes: object) -> None:
    announcement = stepped_agent.announcement(_WORKER_ID, 2)
    for name, value in changes.items():
        setattr(announcement.worker, name, value)
    agent.state.record_announcement(announcement)


def _check_stopped_before_it_is_refused(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _announce(agent, draining=True)
    agent.execute_orders()
    assert agent.end_kinds() == {}
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.REFUSED}
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}


def test_run_that_a_previous_process_may_have_started_is_stopped_before_it_is_refused(
    worker: fake_worker.FakeWorker,
) -> None:
    agent = stepped_agent.make_agent(worker, first_orders=[_order()])
    _check_stopped_before_it_is_refused(agent)


def test_run_in_orders_of_the_next_leader_may_have_been_started_before(
    worker: fake_worker.FakeWorker,
) -> None:
    """Guards against a first reply by a leader that was replaced and lacks a grant."""
    agent = stepped_agent.build_agent(worker)
    agent.state.record_announcement(stepped_agent.announcement(_WORKER_ID))
    last_term = stepped_agent.TERM - 1
    agent.receive_orders(term=last_term, orders=[], removed=[], whole=True)
    agent.receive_orders(orders=[_order()], removed=[], whole=True)
    agent.receive_lease()
    agent.renew_lease()
    _check_stopped_before_it_is_refused(agent)


def test_run_granted_after_the_restart_is_refused_without_a_call(
    worker: fake_worker.FakeWorker,
) -> None:
    agent = stepped_agent.make_agent(worker)
    _announce(agent, draining=True)
    agent.receive_orders(orders=[_order(_OTHER_KEY)], removed=[])
    agent.execute_orders()
    assert agent.end_kinds() == {_OTHER_KEY: ttypes.RunEndKind.REFUSED}


@pytest.mark.parametrize("was_started", [True, False])
def test_run_that_may_have_crashed_its_worker_is_told_from_one_that_is_excused(
    worker: fake_worker.FakeWorker, was_started: bool
) -> None:
    """Guards against losses that count against no task, or against sound ones."""
    worker.incarnation = "a1-incarnation2"
    inherited = [_order()] if was_started else []
    agent = stepped_agent.make_agent(worker, first_orders=inherited)
    if not was_started:
        agent.receive_orders(orders=[_order()], removed=[])
    agent.execute_orders()
    end = agent.state.ends[_KEY]
    assert end.kind == ttypes.RunEndKind.LOST
    assert end.has_worker_ended == was_started
    assert end.is_excused != was_started


def test_run_whose_start_got_no_answer_may_have_crashed_its_worker() -> None:
    worker = fake_worker.FakeWorker(_WORKER_ID)
    agent = stepped_agent.make_agent(worker)
    agent.state.record_unreachable(_WORKER_ID)
    worker.unanswered = {"start"}
    agent.receive_orders(orders=[_order()], removed=[])
    agent.execute_orders()
    agent.crash_worker()
    assert not agent.state.ends[_KEY].is_excused


def test_run_of_a_restarted_worker_is_not_lost_while_a_previous_process_may_begin_it() -> (
    None
):
    """Guards against an end that precedes the late start of an agent that has ended."""
    worker = fake_worker.RestartingWorker("w1@100")
    first = stepped_agent.make_agent(worker)
    worker.unanswered = {"start"}
    first.receive_order(stepped_agent.RUN, incarnation="w1@100")
    first.execute_orders()
    worker.unanswered = set()
    order = first.state.orders[_KEY]
    agent = stepped_agent.make_agent(worker, first_orders=[order])
    agent.run_until_settled()
    assert list(worker.running) == [_KEY]
    worker.restart("w1@200")
    agent.state.record_announcement(stepped_agent.announcement("w1@200"))
    agent.call_incarnations(rounds_count=1)
    assert agent.state.worker_id == "w1@200"
    assert agent.end_kinds() == {}
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}
    worker.run_delayed_calls()
    assert worker.running == {}


def test_run_ends_although_a_previous_process_acknowledged_its_end_late() -> (
    None
):
    """Guards against a run that never ends.

    The worker restarted before the new process called it for the first time.
    """
    worker = fake_worker.RestartingWorker("w1@200")
    order = _order()
    order.worker_id = "w1@100"
    agent = stepped_agent.make_agent(worker, first_orders=[order])
    agent.receive_order(stepped_agent.RUN, _OTHER_KEY, incarnation="w1@200")
    agent.run_until_settled()
    assert list(worker.running) == [_OTHER_KEY]
    worker.end_run(_OTHER_KEY, ttypes.RunEndKind.DONE)
    worker.renew_lease(
        "w1@200", token=1, acknowledged=9, deadline_ms=None, wait_ms=0
    )
    agent.run_until_settled()
    assert agent.end_kinds()[_OTHER_KEY] == ttypes.RunEndKind.LOST
