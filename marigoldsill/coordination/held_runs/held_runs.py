"""The record of the runs that a worker may hold, with one method for each event.

A run is in it from the first sign that the worker may hold it. It leaves with its order
or, if the worker may have it then, once it has ended or can't begin any more.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from marigoldsill.coordination.held_runs import held_run
from marigoldsill.coordination.held_runs import listings
from marigoldsill.coordination.held_runs import worker_contact
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# Stands for each run that is not in the record.
_UNKNOWN = held_run.HeldRun(order=None)


class HeldRuns:
    """Runs that the worker may hold, by (task, run).

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        listings: The worker's listings.
        contact: The contact with the worker.
    """

    def __init__(self):
        self.listings = listings.Listings()
        self._by_run: dict[task_names.RunKey, held_run.HeldRun] = {}
        self.contact = worker_contact.WorkerContact()

    @property
    def listed(self) -> dict[task_names.RunKey, ttypes.RunSample]:
        """Samples of the runs that the worker listed last."""
        return self.listings.running

    def held_keys(self) -> set[task_names.RunKey]:
        """Returns the runs that the worker may hold, whether ordered or not."""
        held = {key for key, run in self._by_run.items() if run.is_held}
        return held | self.listed.keys()

    def unordered_keys(self) -> set[task_names.RunKey]:
        """Returns the runs that the worker may hold without an order in force."""
        return {
            key
            for key, run in self._by_run.items()
            if run.order is None or run.removed_s is not None
        }

    def resources_of(
        self, keys: Iterable[task_names.RunKey]
    ) -> list[ttypes.Resources]:
        """Returns what each of some of its runs reserves."""
        return [self._get(key).resources for key in keys]

    @property
    def are_shared(self) -> bool:
        """Whether best-effort and latency-critical tasks share the worker."""
        return held_run.share_worker(map(self._get, self.listed))

    def knows_all_listed(self) -> bool:
        """Whether it is known what each listed run reserves."""
        return all(self._get(key).order is not None for key in self.listed)

    def is_started(self, key: task_names.RunKey) -> bool:
        """Whether a start request for a run was answered with success."""
        return self._get(key).is_started

    def has_begun(self, key: task_names.RunKey) -> bool:
        """Whether the current incarnation is known to have begun a run."""
        return self._get(key).started_s is not None

    def may_have_begun(self, key: task_names.RunKey) -> bool:
        """Whether a start request may have begun a run, on any incarnation."""
        return self._get(key).may_have_begun

    def was_listed(self, key: task_names.RunKey) -> bool:
        """Whether the current incarnation has listed a run that has not ended."""
        return self._get(key).was_listed

    def seen_s(self, key: task_names.RunKey) -> float | None:
        """Returns when the current incarnation last had a run, or None."""
        return self._get(key).seen_s

    def is_missing(self, key: task_names.RunKey) -> bool:
        """Whether a later listing has neither a started run nor its end."""
        run = self._get(key)
        return run.is_started and self.listings.lack(
            key, after_count=run.start_listings_count
        )

    def is_stop_answered(self, key: task_names.RunKey) -> bool:
        """Whether a stop of a run was answered."""
        return self._get(key).stop_listings_count > 0

    def is_gone_after_stop(self, key: task_names.RunKey) -> bool:
        """Whether a listing made after an answered stop has neither a run nor its end."""
        count = self._get(key).stop_listings_count
        return count > 0 and self.listings.lack(key, after_count=count)

    def min_ages_s(self) -> dict[task_names.RunKey, float]:
        """Returns the minimum age of each run that may be on the current incarnation."""
        ages_s = {
            key: run.min_age_s(self.contact.last_answer_s)
            for key, run in self._by_run.items()
        }
        return {k: age_s for k, age_s in ages_s.items() if age_s is not None}

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

    def _get(self, key: task_names.RunKey) -> held_run.HeldRun:
        return self._by_run.get(key, _UNKNOWN)

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
