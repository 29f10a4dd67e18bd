"""The events that change what is known of the runs that a worker may hold.

A run is in the record from the first sign that the worker may hold it. It leaves with
its order or, if the worker may have it then, once it has ended or can't begin any more.
"""

from collections.abc import Mapping

from marigoldsill.coordination.held_runs import held_record
from marigoldsill.coordination.held_runs import held_run
from marigoldsill.coordination.held_runs import worker_contact
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs


class HeldRuns(held_record.HeldRecord):
    """The record of the runs that a worker may hold, with one method for each event."""

    def record_inherited(self, order: ttypes.RunOrder) -> None:
        """Records an order whose run a previous process may have started."""
        self._get_or_add(order).has_unanswered_start = True

    def record_orders(
        self, orders: Mapping[task_names.RunKey, ttypes.RunOrder]
    ) -> None:
        """Records the orders that are in force; see `record_order_removed`."""
        for key in self._by_run.keys() & orders.keys():
            run = self._by_run[key]
            run.order = orders[key]
            run.removed_s = None

    def record_order_removed(
        self, key: task_names.RunKey, *, has_ended: bool, now_s: float
    ) -> None:
        """Records that a run is not ordered any more.

        Args:
            key: The run.
            has_ended: Whether it has ended on the worker.
            now_s: The time.
        """
        run = self._by_run.get(key)
        if run is None:
            return
        if run.may_have_begun and not has_ended:
            run.removed_s = now_s
            logs.event(
                "order_removed_early",
                task=key[0],
                run=key[1],
                is_listed=key in self.listed,
            )
        else:
            self._forget_order(key, run)

    def record_end_recorded(self, key: task_names.RunKey) -> None:
        """Records that the leader has recorded the end of a run that it ordered."""
        run = self._by_run.get(key)
        if run is not None and run.removed_s is None:
            self._forget_order(key, run)

    def record_start_due(self, order: ttypes.RunOrder) -> None:
        """Records that a start request is about to be sent."""
        self._get_or_add(order).request = held_run.StartRequest.DUE

    def record_start_not_sent(self, key: task_names.RunKey) -> None:
        """Records that a start request that was due is not sent."""
        if run := self._by_run.get(key):
            run.request = held_run.StartRequest.NONE

    def record_start_sent(
        self, order: ttypes.RunOrder, *, is_current: bool
    ) -> None:
        """Records a start request, which may take effect without an answer.

        Args:
            order: The order to start the run.
            is_current: Whether the current incarnation is called.
        """
        run = self._get_or_add(order)
        run.request = held_run.StartRequest.SENT
        if is_current and run.started_s is None and not self.contact.is_lost:
            run.is_sent_reachably = True

    def record_start_unanswered(
        self, key: task_names.RunKey, *, is_broken: bool = False
    ) -> None:
        """Records that no answer tells whether a start request had an effect.

        Args:
            key: The run.
            is_broken: Whether the connection broke during the request, as it does if
                the worker crashes then.
        """
        if run := self._by_run.get(key):
            run.request = held_run.StartRequest.NONE
            run.has_unanswered_start = True
            if is_broken and run.is_sent_reachably:
                self.contact.broken_starts.add(key)

    def record_not_started(self, key: task_names.RunKey) -> None:
        """Records that the last start request had no effect; an earlier one still may."""
        run = self._by_run.get(key)
        if run is None:
            return
        run.request = held_run.StartRequest.NONE
        if not run.has_unanswered_start:
            run.is_sent_reachably = False
            if run.removed_s is not None:
                self._forget_order(key, run)

    def record_start_answered(
        self, key: task_names.RunKey, *, is_current: bool, now_s: float
    ) -> None:
        """Records that a start request was answered with success.

        Args:
            key: The run.
            is_current: Whether the current incarnation answered.
            now_s: The time.
        """
        if is_current:
            self.contact.record_answer(now_s=now_s)
        run = self._by_run.get(key)
        if run is None:
            return
        run.request = held_run.StartRequest.NONE
        run.has_unanswered_start = False
        run.is_started = True
        run.start_listings_count = self.listings.next_count
        if is_current:
            run.record_on_worker(now_s=now_s)

    def record_stop_sent(self, order: ttypes.RunOrder) -> None:
        """Records a request to stop an ordered run, whether the worker has it or not."""
        self._get_or_add(order)

    def record_stop_answered(self, key: task_names.RunKey) -> None:
        """Records that a stop was answered: the worker begins the run no more."""
        if run := self._by_run.get(key):
            run.stop_listings_count = self.listings.next_count

    def record_listing(
        self,
        listing: run_worker.RunListing,
        orders: Mapping[task_names.RunKey, ttypes.RunOrder],
        *,
        now_s: float,
    ) -> None:
        """Records the runs and the ends that the worker lists.

        Args:
            listing: The listing.
            orders: The orders that are in force.
            now_s: The time.
        """
        self.contact.record_answer(now_s=now_s)
        self.contact.has_successor = False
        self.listings.record(listing)
        for key in self.listed:
            run = self._by_run.setdefault(
                key, held_run.HeldRun(orders.get(key))
            )
            run.record_on_worker(now_s=now_s)
            run.was_listed = True
        self._by_run = {
            key: run
            for key, run in self._by_run.items()
            if key in self.listed or not run.is_over(now_s=now_s)
        }
        for ended in listing.ended:
            self.record_ended((ended.end.task, ended.end.run))

    def record_ended(self, key: task_names.RunKey) -> None:
        """Records a run that has ended on the worker or that it will never begin."""
        run = self._by_run.get(key)
        if run is None:
            return
        run.record_off_worker()
        if run.removed_s is not None:
            self._forget_order(key, run)

    def record_incarnation_ended(self) -> None:
        """Records that the current incarnation of the worker has ended."""
        self.listings.clear()
        self.contact = worker_contact.WorkerContact()
        for run in self._by_run.values():
            run.record_off_worker()
        self._by_run = {
            key: run
            for key, run in self._by_run.items()
            if run.order is not None
        }

    def record_other_worker(self) -> None:
        """Records that the worker refuses calls meant for its earlier incarnations."""
        for key, run in list(self._by_run.items()):
            if run.removed_s is not None:
                self._forget_order(key, run)

    def _get_or_add(self, order: ttypes.RunOrder) -> held_run.HeldRun:
        key = (order.task, order.run)
        return self._by_run.setdefault(key, held_run.HeldRun(order))

    def _forget_order(
        self, key: task_names.RunKey, run: held_run.HeldRun
    ) -> None:
        """Removes a run without an order, unless the worker lists it."""
        run.order = run.removed_s = None
        if key not in self.listed:
            del self._by_run[key]
