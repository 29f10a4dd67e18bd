"""Tests of starts that wait for a thread while others get no answer."""

import threading

import pytest

from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

# The agent's concurrent calls to its worker.
_THREADS_COUNT = 6
_RUNS_COUNT = 20
_TIMEOUT_S = 10.0


class _BlockedWorker(fake_worker.RestartingWorker):
    """A worker that answers starts only after `release` is set."""

    def __init__(self, incarnation: str = "a1-incarnation1"):
        super().__init__(incarnation)
        self.called = threading.Semaphore(0)
        self.release = threading.Event()

    def start(
        self, worker_id: str, start: run_worker.RunStart, *, token: int
    ) -> int:
        self.called.release()
        assert self.release.wait(_TIMEOUT_S)
        return super().start(worker_id, start, token=token)


@pytest.mark.parametrize("is_removed", [True, False])
def test_waiting_start_is_not_sent_once_its_order_is_removed_or_a_stop(
    is_removed: bool,
) -> None:
    """Guards against a task that runs twice.

    An agent that was frozen for longer than its lease gets a new lease and orders
    without the runs that were lost, while their starts wait for a thread.
    """
    worker = _BlockedWorker()
    agent = stepped_agent.make_agent(worker)
    keys = [(f"j1.0.0.{number}", 1) for number in range(_RUNS_COUNT)]
    for key in keys:
        agent.receive_order(stepped_agent.RUN, key)
    with agent.state.changed:
        agent.executor.reconcile()
    assert worker.called.acquire(timeout=_TIMEOUT_S)
    waiting_key = keys[-1]
    if is_removed:
        agent.orders_version += 1
        removed = ttypes.RunId(task=waiting_key[0], run=waiting_key[1])
        agent.receive_orders(orders=[], removed=[removed])
    else:
        agent.receive_order(stepped_agent.STOP, waiting_key)
    worker.release.set()
    agent.executor.wait_until_idle()
    assert ("start", waiting_key) not in worker.calls
    assert len(worker.running) == _RUNS_COUNT - 1


def test_waiting_start_is_not_sent_to_a_later_incarnation() -> None:
    """Guards against a run that begins only to be stopped.

    The worker restarts under its id while the start waits for a thread.
    """
    worker = _BlockedWorker("w1@100")
    agent = stepped_agent.make_agent(worker)
    keys = [(f"j1.0.0.{number}", 1) for number in range(_RUNS_COUNT)]
    for key in keys:
        agent.receive_order(stepped_agent.RUN, key, incarnation="w1@100")
    with agent.state.changed:
        agent.executor.reconcile()
    for _ in range(_THREADS_COUNT):
        assert worker.called.acquire(timeout=_TIMEOUT_S)
    worker.restart("w1@200")
    agent.state.record_announcement(stepped_agent.announcement("w1@200"))
    agent.call_incarnations(rounds_count=1)
    assert agent.state.worker_id == "w1@200"
    worker.release.set()
    agent.executor.wait_until_idle()
    assert len(worker.calls) == _THREADS_COUNT
