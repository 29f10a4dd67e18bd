"""Decides whether a run may start beside what the worker may have."""

from collections.abc import Set
import functools

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.transport import clock


class StartChecks:
    """Checks starts when they are due, and once more before the request is sent.

    Not thread-safe: the lock of the agent's state must be held for every call.
    """

    def __init__(self, state: agent_state.AgentState):
        self._state = state
        self._held = state.held

    def must_wait(self, order: ttypes.RunOrder) -> bool:
        """Whether nothing may be done for a run before another one of its task ends.

        If it were refused, its task would run elsewhere beside the other run.
        """
        key = (order.task, order.run)
        is_sent = self._held.may_have_begun(key) or key in self._held.listed
        return not is_sent and _has_task(order, self._others(order))

    def refusal_reason(self, order: ttypes.RunOrder) -> str:
        """Returns why the worker cannot start a run now, or empty if it can."""
        state = self._state
        if state.worker.draining:
            return "the worker drains"
        if state.run_orders.evacuations.includes(state.worker):
            return run_worker.RefusalReason.EVACUATED
        if state.late_calls.starts_refused_s(now_s=clock.now_s()):
            return "the worker has restarted and left calls unanswered before"
        return self._conflict(order, self._others(order))

    def allow_request(self, order: ttypes.RunOrder) -> bool:
        """Whether a request to start a run may be sent at this moment.

        Orders, capacity and runs may have changed since the start was due.
        """
        if not self._state.run_orders.allow_start(order, self._state.worker):
            return False
        others = self._others(order)
        return not _has_task(order, others) and not self._conflict(
            order, others
        )

    def _others(self, order: ttypes.RunOrder) -> set[task_names.RunKey]:
        """Returns the runs other than the ordered one that the worker may have."""
        return self._held.held_keys() - {(order.task, order.run)}

    def _conflict(
        self, order: ttypes.RunOrder, others: Set[task_names.RunKey]
    ) -> str:
        """Returns why a run cannot start beside others, or empty if it can."""
        if not self._fits(order, others):
            return run_worker.RefusalReason.NO_CAPACITY
        limit = order.spread_limit
        if limit and task_names.count_of_step(order.task, others) >= limit:
            return run_worker.RefusalReason.SPREAD_LIMIT
        return ""

    def _fits(
        self, order: ttypes.RunOrder, others: Set[task_names.RunKey]
    ) -> bool:
        """Whether a run fits beside others into the capacity announced last."""
        reserved = functools.reduce(
            amounts.add,
            self._held.resources_of(others),
            order.resources or amounts.ZERO,
        )
        return amounts.fits(reserved, self._state.worker.capacity)


def _has_task(order: ttypes.RunOrder, keys: Set[task_names.RunKey]) -> bool:
    """Whether a run of an order's task is among some."""
    return any(task == order.task for task, _ in keys)
