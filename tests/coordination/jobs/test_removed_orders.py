"""Tests that runs without an order count against the capacity while they last."""

import pytest

from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import stepped_agent

_KEY, _NEXT_KEY = stepped_agent.KEY, ("j2.0.0.0", 1)
# Each run needs three of the worker's four cores.
_RESOURCES = ttypes.Resources(cpu_millicores=3_000, memory_bytes=1 << 20)


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    return stepped_agent.make_agent()


def _order(
    agent: stepped_agent.SteppedAgent,
    key: tuple[str, int],
    desire: ttypes.RunDesire = stepped_agent.RUN,
) -> None:
    agent.receive_order(desire, key, resources=_RESOURCES)
    agent.execute_orders()


def _remove_order(agent: stepped_agent.SteppedAgent, *, whole: bool) -> None:
    agent.orders_version += 1
    removed = [] if whole else [ttypes.RunId(task=_KEY[0], run=_KEY[1])]
    agent.receive_orders(orders=[], removed=removed, whole=whole)


@pytest.mark.parametrize("whole", [False, True])
def test_start_does_not_exceed_the_capacity_beside_a_run_without_an_order(
    agent: stepped_agent.SteppedAgent, whole: bool
) -> None:
    _order(agent, _KEY)
    agent.renew_lease()
    _remove_order(agent, whole=whole)
    _order(agent, _NEXT_KEY)
    assert list(agent.worker.running) == [_KEY]
    assert agent.end_kinds() == {_NEXT_KEY: ttypes.RunEndKind.REFUSED}


def test_start_does_not_exceed_the_capacity_beside_a_run_that_is_being_stopped(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.has_slow_stops = True
    _order(agent, _KEY)
    agent.renew_lease()
    _order(agent, _KEY, stepped_agent.STOP)
    _remove_order(agent, whole=False)
    _order(agent, _NEXT_KEY)
    assert list(agent.worker.running) == [_KEY]


def test_start_does_not_exceed_the_capacity_beside_one_without_an_answer(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.unanswered = {"start"}
    _order(agent, _KEY)
    agent.worker.unanswered = set()
    _remove_order(agent, whole=False)
    _order(agent, _NEXT_KEY)
    agent.worker.run_delayed_calls()
    assert list(agent.worker.running) == [_KEY]


def test_no_run_starts_beside_one_that_reserves_an_unknown_capacity(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against starts beside runs of a previous process that nobody ordered."""
    agent.worker.has_slow_stops = True
    _order(agent, _KEY)
    agent = stepped_agent.make_agent(agent.worker)
    _order(agent, _NEXT_KEY)
    agent.run_until_settled()
    assert list(agent.worker.running) == [_KEY]
    agent.worker.has_slow_stops = False
    agent.run_until_settled()
    assert list(agent.worker.running) == [_NEXT_KEY]


@pytest.mark.parametrize("is_restarted", [False, True])
def test_run_without_an_order_is_stopped(
    agent: stepped_agent.SteppedAgent, is_restarted: bool
) -> None:
    """Guards against runs that no leader knows and each renewal keeps alive."""
    _order(agent, _KEY)
    agent.renew_lease()
    if is_restarted:
        agent = stepped_agent.make_agent(agent.worker)
    else:
        _remove_order(agent, whole=False)
    agent.run_until_settled()
    assert agent.worker.running == {}


def test_run_without_an_order_is_not_stopped_before_orders_of_the_lease_are_known(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _order(agent, _KEY)
    agent.renew_lease()
    agent.receive_lease(min_orders_version=agent.orders_version + 2)
    _remove_order(agent, whole=False)
    agent.run_until_settled()
    assert list(agent.worker.running) == [_KEY]


def test_capacity_is_free_once_a_run_without_an_order_has_ended(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _order(agent, _KEY)
    agent.renew_lease()
    _remove_order(agent, whole=False)
    agent.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    agent.renew_lease()
    _order(agent, _NEXT_KEY)
    assert list(agent.worker.running) == [_NEXT_KEY]


def test_capacity_is_free_once_a_start_without_an_answer_cannot_be_late(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    agent.worker.unanswered = {"start"}
    _order(agent, _KEY)
    agent.worker.unanswered = set()
    _remove_order(agent, whole=False)
    monkeypatch.setattr(late_calls, "LATE_CALL_LIMIT_S", -1.0)
    agent.renew_lease()
    _order(agent, _NEXT_KEY)
    assert list(agent.worker.running) == [_NEXT_KEY]
