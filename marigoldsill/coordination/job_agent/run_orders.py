"""The leader's orders to an agent, and what depends on them alone."""

from collections.abc import Container
from collections.abc import Iterable

from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import evacuations
from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock


class RunOrders:
    """The orders for the runs of a machine's worker.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        by_run: Orders by (task, run).
        term: Term of the leader that gave them.
        version: Their version in that term.
        evacuations: Data centres where no run may start.
        interference_version: Version of the interference that the leader sent last.
    """

    def __init__(self, held: held_runs.HeldRuns):
        self._held = held
        self.by_run: dict[task_names.RunKey, ttypes.RunOrder] = {}
        self.term = 0
        self.version = 0
        self.evacuations = evacuations.Evacuations()
        self.interference_version = 0
        # A previous process may have started the runs in the first replies, up to the
        # one that covers the first lease. A leader that was replaced may have sent the
        # very first one.
        self._are_inherited_known = False
        # Runs whose end the leader has recorded, and the (term, version) from which its
        # orders certainly lack them. Replies may arrive after later ones of reports.
        self._ended: dict[task_names.RunKey, tuple[int, int]] = {}

    @property
    def latency_critical_images(self) -> set[str]:
        """The images of latency-critical tasks."""
        return {o.image for o in self.by_run.values() if o.tail_target_ms}

    def update(
        self,
        reply: ttypes.OrdersReply,
        worker: ttypes.PoolWorker | None,
        *,
        ended: Container[task_names.RunKey],
    ) -> list[ttypes.RunOrder]:
        """Updates the orders from a leader's reply.

        Args:
            reply: The reply.
            worker: The current incarnation of the worker.
            ended: Runs that have ended on the worker.

        Returns:
            The new orders for runs that a previous process may have started.
        """
        before = self.by_run
        self.by_run = {} if reply.whole else dict(before)
        for removed in reply.removed:
            self.by_run.pop((removed.task, removed.run), None)
        version = (reply.term, reply.version)
        self._ended = {k: v for k, v in self._ended.items() if v > version}
        for order in reply.orders:
            if (order.task, order.run) not in self._ended:
                self.by_run[order.task, order.run] = order
        inherited: list[ttypes.RunOrder] = []
        if not self._are_inherited_known:
            inherited = [
                self.by_run[key] for key in self.by_run.keys() - before.keys()
            ]
        for order in inherited:
            self._held.record_inherited(order)
        now_s = clock.now_s()
        for key in before.keys() - self.by_run.keys():
            self._held.record_order_removed(
                key, has_ended=key in ended, now_s=now_s
            )
        self._held.record_orders(self.by_run)
        self.term = reply.term
        self.version = reply.version
        self.evacuations.update(reply.evacuated_data_centres, worker)
        if reply.interference is not None:
            self.interference_version = reply.interference_version
        return inherited

    def are_covered_by(self, lease: lease_module.Lease) -> bool:
        """Whether a lease is live and allows starts by these orders."""
        return (
            lease.is_live
            and lease.term == self.term
            and self.version >= lease.min_orders_version
        )

    def record_lease(self, lease: lease_module.Lease) -> None:
        """Ends the inheritance of runs with the first lease that covers the orders."""
        self._are_inherited_known |= self.are_covered_by(lease)

    def remove_ended(
        self, ends: Iterable[ttypes.RunEnd], *, term: int, version: int
    ) -> None:
        """Removes the orders for runs whose end the leader has recorded.

        Args:
            ends: The ends.
            term: The term of the leader.
            version: The version from which its orders do not contain the runs. Older
                orders do not restore them.
        """
        for end in ends:
            key = (end.task, end.run)
            self.by_run.pop(key, None)
            self._held.record_end_recorded(key)
            if (term, version) > (self.term, self.version):
                self._ended[key] = (term, version)

    def allow_start(
        self, order: ttypes.RunOrder, worker: ttypes.PoolWorker
    ) -> bool:
        """Whether a run is still to be started on a worker that is not evacuated."""
        current = self.by_run.get((order.task, order.run))
        return (
            current is not None
            and current.desire == ttypes.RunDesire.RUN
            and current.worker_id == worker.worker_id
            and not self.evacuations.includes(worker)
        )

    def earlier_incarnation_of(self, worker_id: str) -> str:
        """Returns an incarnation of the worker's name in the orders, or empty.

        Args:
            worker_id: The first incarnation that answered this process.
        """
        for order in self.by_run.values():
            if order.worker_id != worker_id and incarnation_ids.share_name(
                order.worker_id, worker_id
            ):
                return order.worker_id
        return ""
