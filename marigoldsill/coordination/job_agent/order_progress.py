"""How far an agent's executor is with its orders."""

import dataclasses

from marigoldsill.coordination.job_agent import run_orders as run_orders_module
from marigoldsill.protocol import task_names


@dataclasses.dataclass(slots=True)
class OrderProgress:
    """The progress of an order.

    Attributes:
        is_busy: Whether a call for the order is in progress.
        is_forgotten: Whether a later listing had neither the run nor its end.
        refusal_reason: Why the run was refused, or empty.
        quota_percent: The quota that the worker confirmed.
        retry_s: Time before which no call is made.
    """

    is_busy: bool = False
    is_forgotten: bool = False
    refusal_reason: str = ""
    quota_percent: int = 100
    retry_s: float = 0.0


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
