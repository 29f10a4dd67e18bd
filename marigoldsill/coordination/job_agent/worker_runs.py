"""What an agent knows of the runs on its worker: samples and CPU quotas."""

from marigoldsill.coordination.cpu_throttling import cpu_throttle
from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import run_orders
from marigoldsill.protocol.generated import ttypes


class WorkerRuns:
    """The runs on the current incarnation of the worker.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        throttle: The CPU quotas of best-effort tasks.
    """

    def __init__(self, orders: run_orders.RunOrders, held: held_runs.HeldRuns):
        self._orders = orders
        self._held = held
        self.throttle = cpu_throttle.CpuThrottle()

    def quota_percent_for(self, order: ttypes.RunOrder) -> int:
        """Returns the current quota of a run, in percent of its full speed."""
        if not order.best_effort:
            return order.quota_percent
        percent = self.throttle.percent((order.task, order.run))
        return min(order.quota_percent, percent)

    def samples_with_quotas(self) -> list[ttypes.RunSample]:
        """Returns samples of the runs that the worker lists, with their quotas."""
        for key, sample in self._held.listed.items():
            sample.quota_percent = self.throttle.percent(key)
        return list(self._held.listed.values())

    def set_initial_quota(self, order: ttypes.RunOrder) -> None:
        """Sets the quota of a best-effort run that has started."""
        if order.best_effort:
            self.throttle.initial_percent(
                order, self._orders.latency_critical_images
            )

    def update_interference(self, reply: ttypes.OrdersReply) -> None:
        """Updates the interference that the quotas depend on, if a reply has it."""
        if reply.interference is not None:
            self.throttle.interference_by_pair = {
                (p.latency_critical_image, p.best_effort_image): p.added
                for p in reply.interference
            }

    def update_quotas(
        self, capacity: ttypes.Resources, *, now_s: float
    ) -> None:
        """Updates the quotas of best-effort tasks after a listing."""
        self.throttle.update(
            self._orders.by_run,
            self._held.listed,
            capacity_millicores=capacity.cpu_millicores,
            now_s=now_s,
        )
