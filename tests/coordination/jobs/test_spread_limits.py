"""Tests that a worker gets no run beside others of its step or task, ordered or not."""

from collections.abc import Callable

import pytest

from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_KEY = stepped_agent.KEY
_SIBLING_KEY = ("j1.0.0.1", 1)
_NEXT_KEY = (_KEY[0], 2)
_OTHER_STEP_KEY = ("j1.0.1.0", 1)


def _order(
    key: tuple[str, int] = _KEY,
    desire: ttypes.RunDesire = stepped_agent.RUN,
    spread_limit: int = 1,
) -> ttypes.RunOrder:
    return ttypes.RunOrder(
        task=key[0],
        run=key[1],
        desire=desire,
        worker_id="a1-incarnation1",
        spread_limit=spread_limit,
    )


def _receive(
    agent: stepped_agent.SteppedAgent,
    *orders: ttypes.RunOrder,
    removed: tuple[tuple[str, int], ...] = (),
) -> None:
    agent.orders_version += 1
    agent.receive_orders(
        orders=list(orders),
        removed=[ttypes.RunId(task=task, run=run) for task, run in removed],
    )
    agent.execute_orders()


def _with_slow_stop() -> stepped_agent.SteppedAgent:
    agent = stepped_agent.make_agent()
    agent.worker.has_slow_stops = True
    _receive(agent, _order())
    agent.renew_lease()
    _receive(agent, _order(desire=stepped_agent.STOP))
    return agent


def _with_unlisted_run() -> stepped_agent.SteppedAgent:
    agent = stepped_agent.make_agent()
    agent.worker.has_slow_stops = True
    _receive(agent, _order())
    return agent


def _with_unanswered_start() -> stepped_agent.SteppedAgent:
    agent = stepped_agent.make_agent()
    agent.worker.unanswered = {"start"}
    _receive(agent, _order())
    agent.worker.unanswered = set()
    return agent


def _with_unanswered_start_after_another() -> stepped_agent.SteppedAgent:
    agent = stepped_agent.make_agent()
    agent.worker.unanswered = {"start"}
    _receive(agent, _order(_OTHER_STEP_KEY))
    _receive(agent, _order())
    agent.worker.unanswered = set()
    return agent


def _with_start_of_a_previous_process() -> stepped_agent.SteppedAgent:
    worker = _with_unanswered_start().worker
    return stepped_agent.make_agent(worker, first_orders=[_order()])


_every_held_run = pytest.mark.parametrize(
    "make_agent",
    [
        _with_slow_stop,
        _with_unlisted_run,
        _with_unanswered_start,
        _with_unanswered_start_after_another,
        _with_start_of_a_previous_process,
    ],
)


def _runs_of_first_step(worker: fake_worker.FakeWorker) -> set:
    """Lets the worker carry out late calls; returns its runs of the first step."""
    worker.run_delayed_calls()
    return {key for key in worker.running if key[0].startswith("j1.0.0.")}


@_every_held_run
@pytest.mark.parametrize("key", [_SIBLING_KEY, _NEXT_KEY])
def test_no_run_starts_beside_one_of_its_step_whose_order_was_removed(
    make_agent: Callable[[], stepped_agent.SteppedAgent], key: tuple[str, int]
) -> None:
    agent = make_agent()
    _receive(agent, _order(key), removed=(_KEY,))
    assert key not in agent.worker.running
    assert len(_runs_of_first_step(agent.worker)) == 1


@_every_held_run
def test_next_run_of_a_task_is_not_refused_while_the_last_may_be_on_the_worker(
    make_agent: Callable[[], stepped_agent.SteppedAgent],
) -> None:
    """Guards against a grant to another worker beside the last run."""
    agent = make_agent()
    agent.state.worker.draining = True
    _receive(agent, _order(_NEXT_KEY, spread_limit=0), removed=(_KEY,))
    assert agent.end_kinds() == {}


@_every_held_run
def test_next_run_of_a_task_starts_once_the_last_was_stopped(
    make_agent: Callable[[], stepped_agent.SteppedAgent],
) -> None:
    agent = make_agent()
    _receive(agent, _order(_NEXT_KEY), removed=(_KEY,))
    agent.worker.has_slow_stops = False
    agent.run_until_settled()
    assert _runs_of_first_step(agent.worker) == {_NEXT_KEY}


def test_order_removed_while_its_start_is_sent_leaves_the_run_on_the_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = stepped_agent.make_agent()
    agent.worker.has_slow_stops = True
    start = agent.worker.start

    def remove_and_start(*args: object, **options: object) -> int:
        monkeypatch.undo()
        agent.orders_version += 1
        removed = [ttypes.RunId(task=_KEY[0], run=_KEY[1])]
        agent.receive_orders(orders=[], removed=removed)
        return start(*args, **options)

    monkeypatch.setattr(agent.worker, "start", remove_and_start)
    _receive(agent, _order())
    _receive(agent, _order(_SIBLING_KEY))
    assert list(agent.worker.running) == [_KEY]


def test_order_of_a_previous_process_counts_if_it_is_removed_before_the_worker_answers() -> (
    None
):
    worker = _with_unanswered_start().worker
    agent = stepped_agent.build_agent(worker)
    agent.state.record_announcement(
        stepped_agent.announcement(worker.incarnation)
    )
    agent.receive_orders(orders=[_order()], removed=[], whole=True)
    agent.receive_orders(
        orders=[_order(_SIBLING_KEY)],
        removed=[ttypes.RunId(task=_KEY[0], run=_KEY[1])],
    )
    agent.receive_lease()
    agent.renew_lease()
    agent.execute_orders()
    assert _SIBLING_KEY not in worker.running
    assert len(_runs_of_first_step(worker)) <= 1


def test_run_that_the_worker_refused_leaves_room_for_a_sibling() -> None:
    agent = stepped_agent.make_agent()
    agent.worker.refusal = run_worker.RefusalReason.TOO_LATE
    _receive(agent, _order())
    agent.worker.refusal = ""
    _receive(agent, _order(_SIBLING_KEY), removed=(_KEY,))
    assert list(agent.worker.running) == [_SIBLING_KEY]


def test_sibling_is_refused_beside_a_run_whose_order_was_removed() -> None:
    agent = _with_slow_stop()
    _receive(agent, _order(_SIBLING_KEY), removed=(_KEY,))
    assert agent.end_kinds() == {_SIBLING_KEY: ttypes.RunEndKind.REFUSED}


def test_only_as_many_runs_of_a_step_start_as_its_limit_allows() -> None:
    agent = stepped_agent.make_agent()
    tasks = [(f"j1.0.0.{index}", 1) for index in range(4)]
    _receive(agent, *(_order(key, spread_limit=2) for key in tasks))
    agent.run_until_settled()
    assert len(agent.worker.running) == 2
    assert set(agent.end_kinds()) == set(tasks) - set(agent.worker.running)


@pytest.mark.parametrize("spread_limit", [0, 2])
def test_sibling_starts_within_the_limit(spread_limit: int) -> None:
    agent = _with_slow_stop()
    _receive(
        agent, _order(_SIBLING_KEY, spread_limit=spread_limit), removed=(_KEY,)
    )
    assert _SIBLING_KEY in agent.worker.running


def test_run_of_another_step_starts_beside_a_step_at_its_limit() -> None:
    agent = _with_slow_stop()
    _receive(agent, _order(_OTHER_STEP_KEY), removed=(_KEY,))
    assert _OTHER_STEP_KEY in agent.worker.running


def test_sibling_starts_once_the_run_before_has_ended() -> None:
    agent = stepped_agent.make_agent()
    _receive(agent, _order())
    agent.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    agent.renew_lease()
    _receive(agent, _order(_SIBLING_KEY), removed=(_KEY,))
    assert list(agent.worker.running) == [_SIBLING_KEY]


def test_sibling_starts_once_a_start_without_an_answer_cannot_be_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = _with_unanswered_start()
    _receive(agent, removed=(_KEY,))
    monkeypatch.setattr(late_calls, "LATE_CALL_LIMIT_S", -1.0)
    agent.renew_lease()
    _receive(agent, _order(_SIBLING_KEY))
    assert _SIBLING_KEY in agent.worker.running


def test_sibling_starts_on_another_incarnation_of_the_worker() -> None:
    agent = _with_unanswered_start()
    _receive(agent, removed=(_KEY,))
    agent.crash_worker()
    order = _order(_SIBLING_KEY)
    order.worker_id = "a1-incarnation2"
    _receive(agent, order)
    assert list(agent.worker.running) == [_SIBLING_KEY]
