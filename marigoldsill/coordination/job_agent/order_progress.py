"""How far an agent is with its calls to the worker."""

from collections.abc import Iterator
import contextlib
import dataclasses
import threading

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.coordination.job_agent import run_orders as run_orders_module
from marigoldsill.protocol import task_names
from marigoldsill.transport import clock
from marigoldsill.transport import logs


@dataclasses.dataclass(slots=True)
class CallProgress:
    """The progress of the calls about a run.

    Attributes:
        is_busy: Whether a call is in progress.
        retry_s: Time before which no call is made.
    """

    is_busy: bool = False
    retry_s: float = 0.0

    @contextlib.contextmanager
    def end_call(
        self,
        name: str,
        key: task_names.RunKey,
        *,
        changed: threading.Condition,
        pause_s: float,
    ) -> Iterator[None]:
        """Logs and counts the outcome of the call made in the context, and ends it.

        Args:
            name: The name of the call.
            key: The run.
            changed: Guards the progress, and is notified of the end.
            pause_s: Time until another call if this one fails.
        """
        outcome = "done"
        try:
            yield
        except errors.MarigoldsillError as error:
            outcome = error.kind
            self.retry_s = clock.now_s() + pause_s
            task, run = key
            logs.event(
                "order_failed",
                level="WARNING",
                task=task,
                run=run,
                kind=error.kind,
                reason=error.message,
            )
        finally:
            agent_metrics.WORKER_CALLS.labels(name, outcome).inc()
            with changed:
                self.is_busy = False
                changed.notify_all()


@dataclasses.dataclass(slots=True)
class OrderProgress(CallProgress):
    """The progress of an order.

    Attributes:
        is_forgotten: Whether a later listing had neither the run nor its end.
        refusal_reason: Why the run was refused, or empty.
        quota_percent: The quota that the worker confirmed.
    """

    is_forgotten: bool = False
    refusal_reason: str = ""
    quota_percent: int = 100


class ProgressTable:
    """The progress of all orders.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        by_run: The progress by (task, run).
    """

    def __init__(self):
        self.by_run: dict[task_names.RunKey, OrderProgress] = {}

    @property
    def is_any_busy(self) -> bool:
        """Whether a call for an order is in progress."""
        return any(progress.is_busy for progress in self.by_run.values())

    def update(self, orders: run_orders_module.RunOrders) -> None:
        """Adds the progress of new orders and removes that of removed ones."""
        self.by_run = {
            key: progress
            for key, progress in self.by_run.items()
            if key in orders.by_run or progress.is_busy
        }
        for key in orders.by_run.keys() - self.by_run.keys():
            self.by_run[key] = OrderProgress()
