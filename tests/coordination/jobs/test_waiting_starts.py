"""Tests of starts that wait for a thread while others get no answer."""

import threading

import pytest

from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

# More than the agent's concurrent calls to its worker.
_RUNS_COUNT = 20
_TIMEOUT_S = 10.0


class _BlockedWorker(fake_worker.FakeWorker):
    """A worker that answers starts only after `release` is set."""

    def __init__(self):
        super().__init__()
        self.called = threading.Event()
        self.release = threading.Event()

    def start(
        self, worker_id: str, start: run_worker.RunStart, *, token: int
    ) -> int:
        self.called.set()
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
    assert worker.called.wait(_TIMEOUT_S)
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
