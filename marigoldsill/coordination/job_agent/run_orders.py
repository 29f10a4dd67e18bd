"""The leader's orders to an agent, and what depends on them alone."""

from collections.abc import Container
from collections.abc import Iterable
import functools

from marigoldsill.coordination.held_runs import removed_orders
from marigoldsill.coordination.job_agent import evacuations
from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.transport import clock


class RunOrders:
    """The orders for the runs of a machine's worker.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        by_run: Orders by (task, run).
        possibly_begun_keys: Ordered runs that a start request of this process or a
            previous one may have begun. The latter are those in the first replies, up to
            the one that covers the first lease. A leader that was replaced may have sent
            the very first one.
        removed: Runs without an order that the worker may have.
        term: Term of the leader that gave them.
        version: Their version in that term.
        evacuations: Data centres where no run may start.
        interference_version: Version of the interference that the leader sent last.
    """

    def __init__(self):
        self.by_run: dict[task_names.RunKey, ttypes.RunOrder] = {}
        self.possibly_begun_keys: set[task_names.RunKey] = set()
        self.removed = removed_orders.RemovedOrders()
        self.term = 0
        self.version = 0
        self.evacuations = evacuations.Evacuations()
        self.interference_version = 0
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
        inherited_keys: set[task_names.RunKey] = set()
        if not self._are_inherited_known:
            inherited_keys = self.by_run.keys() - before.keys()
        self.possibly_begun_keys |= inherited_keys
        self._move_removed(before, ended)
        self.term = reply.term
        self.version = reply.version
        self.evacuations.update(reply.evacuated_data_centres, worker)
        if reply.interference is not None:
            self.interference_version = reply.interference_version
        return [self.by_run[key] for key in inherited_keys]

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

    def _move_removed(
        self,
        before: dict[task_names.RunKey, ttypes.RunOrder],
        ended: Container[task_names.RunKey],
    ) -> None:
        """Keeps removed orders whose runs the worker may have, and drops restored ones."""
        now_s = clock.now_s()
        for key in before.keys() - self.by_run.keys():
            if key in self.possibly_begun_keys and key not in ended:
                self.removed.add(before[key], now_s=now_s)
        self.possibly_begun_keys |= self.removed.keys
        self.possibly_begun_keys &= self.by_run.keys()
        for key in self.possibly_begun_keys:
            self.removed.discard(key)

    def record_not_started(self, key: task_names.RunKey) -> None:
        """Records that no start request for a run has taken effect."""
        self.possibly_begun_keys.discard(key)
        self.removed.discard(key)

    def knows_all(self, keys: Iterable[task_names.RunKey]) -> bool:
        """Whether it is known what each of some runs reserves."""
        return all(self.knows(key) for key in keys)

    def knows(self, key: task_names.RunKey) -> bool:
        """Whether a run is ordered, or was and may still be on the worker."""
        return key in self.by_run or key in self.removed.keys

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
            self.possibly_begun_keys.discard(key)
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

    def has_shared(self, running: Container[task_names.RunKey]) -> bool:
        """Whether best-effort and latency-critical tasks are among runs."""
        running_orders = [o for k, o in self.by_run.items() if k in running]
        return any(o.best_effort for o in running_orders) and any(
            o.tail_target_ms for o in running_orders
        )

    def fits(
        self,
        order: ttypes.RunOrder,
        others: Iterable[task_names.RunKey],
        capacity: ttypes.Resources,
    ) -> bool:
        """Whether one more run fits into a worker's capacity.

        Args:
            order: The run to start.
            others: The other runs that may be on the worker, including those that are
                being stopped. What they reserve is known.
            capacity: The capacity that the worker announced last.
        """
        reserved = map(self._resources_of, others)
        return amounts.fits(
            functools.reduce(
                amounts.add, reserved, order.resources or amounts.ZERO
            ),
            capacity,
        )

    def _resources_of(self, key: task_names.RunKey) -> ttypes.Resources:
        if key in self.by_run:
            return self.by_run[key].resources or amounts.ZERO
        return self.removed.resources_of(key) or amounts.ZERO
