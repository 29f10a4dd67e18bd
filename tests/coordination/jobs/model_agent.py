"""An agent of the cluster model, whose calls wait until they are to be made."""

import collections
from collections.abc import Callable
from concurrent import futures
import functools

from tests.coordination.jobs import model_worker
from tests.coordination.jobs import stepped_agent


class CallQueue(futures.Executor):
    """Executes the calls of an agent's executor when it is told to."""

    def __init__(self):
        self._calls: collections.deque[Callable[[], None]] = collections.deque()

    def submit(self, call: Callable[..., None], /, *arguments: object) -> None:
        """Adds a call."""
        self._calls.append(functools.partial(call, *arguments))

    def execute(self) -> None:
        """Executes all calls."""
        while self._calls:
            self._calls.popleft()()


def build_agent(
    worker: model_worker.ModelWorker,
) -> tuple[stepped_agent.SteppedAgent, CallQueue]:
    """Builds an agent without threads, and the queue of its executor's calls."""
    agent = stepped_agent.build_agent(worker)
    calls = CallQueue()
    agent.executor._pool.shutdown(wait=False)
    agent.executor._pool = calls
    agent.executor._late_start_stopper._pool = calls
    return agent, calls
