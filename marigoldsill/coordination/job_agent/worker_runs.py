"""What an agent knows of the runs on its worker: starts, samples and CPU quotas."""

from collections.abc import Iterable

from marigoldsill.coordination.cpu_throttling import cpu_throttle
from marigoldsill.coordination.held_runs import run_starts
from marigoldsill.coordination.job_agent import run_orders
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes


class WorkerRuns:
    """The runs on the current incarnation of the worker.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        starts: Starts of runs on the current incarnation of the worker.
        throttle: The CPU quotas of best-effort tasks.
        running: Samples of the runs that the worker listed last, by (task, run).
        complete_listings_count: How many listings had no unreadable row of a run.
        is_listing_whole: Whether the last listing had no such row and all unacknowledged
            ends.
    """

    def __init__(self, orders: run_orders.RunOrders):
        self._orders = orders
        self.starts = run_starts.RunStarts()
        self.throttle = cpu_throttle.CpuThrottle()
        self.running: dict[task_names.RunKey, ttypes.RunSample] = {}
        self.complete_listings_count = 0
        self.is_listing_whole = False

    @property
    def are_shared(self) -> bool:
        """Whether best-effort and latency-critical tasks share the worker."""
        return self._orders.has_shared(self.running)

    @property
    def next_listings_count(self) -> int:
        """The count of complete listings beyond which one was certainly made from now on.

        A listing in progress now may have been made before.
        """
        return self.complete_listings_count + 1

    def is_listed_after(self, listings_count: int) -> bool:
        """Whether the last listing is whole and beyond a count of complete ones."""
        return (
            self.is_listing_whole
            and self.complete_listings_count > listings_count
        )

    def held_keys(
        self, busy_keys: Iterable[task_names.RunKey] = ()
    ) -> set[task_names.RunKey]:
        """Returns the runs that the worker may have, whether ordered or not.

        Args:
            busy_keys: Runs with a call to the worker in progress or a start without
                an answer; a start among them may not be recorded yet.
        """
        started = {*self.starts.min_ages_s(), *busy_keys}
        return {
            *filter(self._orders.knows, started),
            *self._orders.removed.keys,
            *self.running,
        }

    def count_of_step(self, task: str) -> int:
        """Returns how many runs of a task's step the worker may have."""
        return task_names.count_of_step(task, self.held_keys())

    def quota_percent_for(self, order: ttypes.RunOrder) -> int:
        """Returns the current quota of a run, in percent of its full speed."""
        if not order.best_effort:
            return order.quota_percent
        percent = self.throttle.percent((order.task, order.run))
        return min(order.quota_percent, percent)

    def samples_with_quotas(self) -> list[ttypes.RunSample]:
        """Returns samples of the runs that the worker lists, with their quotas."""
        for key, sample in self.running.items():
            sample.quota_percent = self.throttle.percent(key)
        return list(self.running.values())

    def record_started(
        self, order: ttypes.RunOrder, *, is_current: bool, now_s: float
    ) -> None:
        """Records a confirmed start and sets a best-effort run's initial quota.

        Args:
            order: The order to start the run.
            is_current: Whether the current incarnation confirmed it.
            now_s: The time.
        """
        if is_current:
            self.starts.record_started((order.task, order.run), now_s=now_s)
            self.starts.record_answer(now_s=now_s)
        if order.best_effort:
            self.throttle.initial_percent(
                order, self._orders.latency_critical_images
            )

    def record_listing(
        self, listing: run_worker.RunListing, *, now_s: float
    ) -> None:
        """Records the runs that the worker lists as running."""
        is_complete = not listing.unread_running_count
        self.is_listing_whole = is_complete and not listing.is_ends_partial
        if is_complete:
            # In an incomplete listing, a run that is not listed may be running.
            self.complete_listings_count += 1
        self.running = {(r.task, r.run): r for r in listing.running}
        self._orders.removed.discard_unlisted(self.running, now_s=now_s)
        self.starts.record_answer(now_s=now_s)
        for key in self.running:
            self.starts.record_listed(key, now_s=now_s)
        for ended in listing.ended:
            self.record_ended((ended.end.task, ended.end.run))

    def record_ended(self, key: task_names.RunKey) -> None:
        """Records that a run has ended on the worker or will never begin."""
        self.starts.record_ended(key)
        self._orders.removed.discard(key)

    def update_interference(self, reply: ttypes.OrdersReply) -> None:
        """Updates the interference that the quotas depend on, if a reply has it."""
        if reply.interference is not None:
            self.throttle.interference_by_pair = {
                (p.latency_critical_image, p.best_effort_image): p.added
                for p in reply.interference
            }

    def clear(self) -> None:
        """Removes what is known of the runs before the worker's next incarnation."""
        self.starts.clear()
        self.running = {}

    def update_quotas(
        self, capacity: ttypes.Resources, *, now_s: float
    ) -> None:
        """Updates the quotas of best-effort tasks after a listing."""
        self.throttle.update(
            self._orders.by_run,
            self.running,
            capacity_millicores=capacity.cpu_millicores,
            now_s=now_s,
        )
