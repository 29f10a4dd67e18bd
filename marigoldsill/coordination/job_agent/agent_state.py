"""An agent's state: its worker, its lease, its orders and unreported ends of runs."""

from collections.abc import Iterable
import dataclasses
import math
import threading

from marigoldsill.coordination.job_agent import capacity_check
from marigoldsill.coordination.job_agent import cpu_throttle
from marigoldsill.coordination.job_agent import evacuations
from marigoldsill.coordination.job_agent import incarnations
from marigoldsill.coordination.job_agent import late_calls
from marigoldsill.coordination.job_agent import late_starts
from marigoldsill.coordination.job_agent import lost_worker
from marigoldsill.coordination.job_agent import run_starts
from marigoldsill.coordination.job_agent import worker_clock
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.transport import clock
from marigoldsill.transport import logs


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A leader's permission to keep runs alive and to start runs by its orders.

    Attributes:
        end_s: When the lease expires, on `clock`.
        term: The term of the leader that granted it.
        min_orders_version: Orders of an older version must not be started.
    """

    end_s: float = 0.0
    term: int = 0
    min_orders_version: int = 0

    @property
    def is_live(self) -> bool:
        """Whether the lease has not expired."""
        return clock.now_s() < self.end_s


class AgentState:
    """State shared by an agent's threads; `changed` guards every field.

    Attributes:
        changed: Notified on every change.
        worker_clock: The worker's clock.
        throttle: The CPU quotas of best-effort tasks.
        starts: Starts of runs on the current incarnation of the worker.
        late_calls: Calls that may have an effect on a later incarnation.
        late_starts: Runs that a call meant for an earlier incarnation may begin.
        worker: The worker, once it has answered; None before.
        lease: The newest lease.
        term: The highest term of a leader that is known.
        orders: Orders by (task, run).
        orders_term: Term of the leader that gave them.
        orders_version: Their version in that term.
        evacuations: Data centres where no run may start.
        interference_version: Version of the interference that the throttle uses.
        running: Samples of the runs that the worker listed last, by (task, run).
        complete_listings_count: How many listings had no unreadable row of a run.
        is_listing_complete: Whether the last listing had no such row.
        is_listing_whole: Whether it also had all unacknowledged ends.
        ends: Ends to report, by (task, run).
        listed_end_number: Number of the last end that was listed.
        acknowledged_end_number: Ends up to this number are recorded by control.
        last_answer_s: When the worker answered last.
        is_stopping: Whether the agent is stopping.
    """

    def __init__(self, *, announcement_age_limit_s: float = math.inf):
        """Initializes the state without a worker.

        Args:
            announcement_age_limit_s: Maximum age of the worker's last
                announcement for a start; beyond it the capacity may be outdated.
        """
        self.changed = threading.Condition()
        self._announcement_age_limit_s = announcement_age_limit_s
        self._last_announcement_s = clock.now_s()
        self.worker_clock = worker_clock.WorkerClock()
        self.throttle = cpu_throttle.CpuThrottle()
        self.starts = run_starts.RunStarts()
        self.late_calls = late_calls.LateCalls()
        self.late_starts = late_starts.LateStarts()
        self.worker: ttypes.PoolWorker | None = None
        self.lease = Lease()
        self.term = 0
        self.orders: dict[task_names.RunKey, ttypes.RunOrder] = {}
        self.orders_term = 0
        self.orders_version = 0
        self.evacuations = evacuations.Evacuations()
        self.interference_version = 0
        self.running: dict[task_names.RunKey, ttypes.RunSample] = {}
        self.complete_listings_count = 0
        self.is_listing_complete = False
        self.is_listing_whole = False
        self.ends: dict[task_names.RunKey, ttypes.RunEnd] = {}
        self.listed_end_number = 0
        self.acknowledged_end_number = 0
        self.last_answer_s = clock.now_s()
        self.is_stopping = False
        self._incarnations = incarnations.Incarnations()

    @property
    def worker_id(self) -> str:
        """The incarnation of the worker that answers, or empty."""
        return "" if self.worker is None else self.worker.worker_id

    @property
    def newest_announcement(self) -> run_worker.Announcement | None:
        """The newest announcement of another incarnation, or else of the current one."""
        return self._incarnations.newest_announcement

    @property
    def remembered_incarnations_count(self) -> int:
        """How many incarnations other than the current one are remembered."""
        return self._incarnations.remembered_count

    @property
    def announcement_overdue_s(self) -> float:
        """Seconds since the last announcement exceeded the age limit, or negative."""
        age_s = clock.now_s() - self._last_announcement_s
        return age_s - self._announcement_age_limit_s

    @property
    def may_start(self) -> bool:
        """Whether the lease, orders and last announcement allow a start now.

        None is made while a later incarnation of the worker's name is announced but
        was not called yet, as it would begin the run.
        """
        return (
            self.announcement_overdue_s <= 0
            and not self._incarnations.has_successor(self.worker_id)
            and self.lease.is_live
            and self.lease.term == self.orders_term
            and self.orders_version >= self.lease.min_orders_version
        )

    @property
    def is_shared(self) -> bool:
        """Whether best-effort and latency-critical tasks share the worker."""
        running_orders = [
            o for k, o in self.orders.items() if k in self.running
        ]
        return any(o.best_effort for o in running_orders) and any(
            o.tail_target_ms for o in running_orders
        )

    def has_capacity_for(
        self, order: ttypes.RunOrder, busy_keys: Iterable[task_names.RunKey]
    ) -> bool:
        """Whether a run fits into the worker's last announced capacity.

        Args:
            order: The run to start.
            busy_keys: Runs with a call to the worker in progress; a start among
                them may not be recorded yet.
        """
        keys = {*self.starts.min_ages_s(), *busy_keys}
        keys.discard((order.task, order.run))
        others = [self.orders[key] for key in keys if key in self.orders]
        return capacity_check.fits(order, others, self.worker.capacity)

    def quota_percent_for(self, order: ttypes.RunOrder) -> int:
        """Returns the current quota of a run, in percent of its full speed."""
        if not order.best_effort:
            return order.quota_percent
        percent = self.throttle.percent((order.task, order.run))
        return min(order.quota_percent, percent)

    def record_start_sent(self, order: ttypes.RunOrder) -> None:
        """Records a start request to the worker; the caller must hold the lock."""
        if order.worker_id == self.worker_id:
            self.starts.record_sent((order.task, order.run))

    def record_unreachable(self, worker_id: str) -> None:
        """Records a call without an answer; the caller must hold the lock."""
        if worker_id == self.worker_id:
            self.starts.record_unreachable()

    def record_unanswered_start(self, order: ttypes.RunOrder) -> None:
        """Records a start request without an answer; the caller must hold the lock."""
        worker_id = order.worker_id
        if incarnation_ids.started_unix_ms_of(worker_id) is None:
            return
        key, now_s = (order.task, order.run), clock.now_s()
        self.late_starts.record_unanswered(key, worker_id, now_s=now_s)
        if worker_id != self.worker_id and incarnation_ids.share_name(
            worker_id, self.worker_id
        ):
            self.late_starts.add(key, worker_id, now_s=now_s)

    def record_started(self, order: ttypes.RunOrder) -> None:
        """Records a confirmed start and sets a best-effort run's initial quota.

        The caller must hold the lock.
        """
        # The answer may arrive after another incarnation was confirmed.
        if order.worker_id == self.worker_id:
            now_s = clock.now_s()
            self.starts.record_started((order.task, order.run), now_s=now_s)
            self.starts.record_answer(now_s=now_s)
        if order.best_effort:
            self.throttle.initial_percent(
                order, self._latency_critical_images()
            )

    def _latency_critical_images(self) -> set[str]:
        return {o.image for o in self.orders.values() if o.tail_target_ms}

    def samples_with_quotas(self) -> list[ttypes.RunSample]:
        """Returns samples of the runs that the worker lists, with their quotas."""
        for key, sample in self.running.items():
            sample.quota_percent = self.throttle.percent(key)
        return list(self.running.values())

    def record_announcement(
        self, announcement: run_worker.Announcement
    ) -> None:
        """Records an announcement of a worker; a late one has no effect.

        Raises:
            ConflictError: It contradicts what this incarnation has announced.
        """
        worker = announcement.worker
        with self.changed:
            is_new = self._incarnations.record_announcement(announcement)
            is_current = worker.worker_id == self.worker_id
            # Confirms the known capacity even if the sequence is not higher.
            if is_current and worker.capacity == self.worker.capacity:
                self._last_announcement_s = clock.now_s()
            if not is_new:
                return
            if is_current:
                self._last_announcement_s = clock.now_s()
                if worker.draining != self.worker.draining:
                    logs.event(
                        "worker_drains",
                        worker_id=worker.worker_id,
                        draining=worker.draining,
                        remaining_ms=worker.remaining_ms,
                    )
                if worker.capacity != self.worker.capacity:
                    logs.event(
                        "worker_capacity_changed",
                        worker_id=worker.worker_id,
                        before=amounts.describe(self.worker.capacity),
                        after=amounts.describe(worker.capacity),
                    )
                self.worker = worker
            self.changed.notify_all()

    def next_incarnation(self) -> str:
        """Returns the incarnation of the worker to call next, or empty."""
        with self.changed:
            return self._incarnations.next_id_to_call() if self.term else ""

    def confirm_incarnation(self, worker_id: str) -> None:
        """Makes an announced incarnation that has answered the current one."""
        with self.changed:
            last_id = self._incarnations.last_current_id
            old_id = self.worker_id
            if not self._incarnations.set_current(worker_id):
                return
            self._clear_worker()
            self.worker = self._incarnations.current.worker
            now_s = clock.now_s()
            self._last_announcement_s = now_s
            self.late_calls.record_confirmed(
                worker_id, last_id=last_id, now_s=now_s
            )
            self.late_starts.add_unanswered(worker_id, now_s=now_s)
            self._end_stale_orders()
            self.release_ends()
            logs.event("worker_answers", worker_id=worker_id, before=old_id)
            if self.late_calls.has_restarted:
                logs.event(
                    "worker_restarted",
                    worker_id=worker_id,
                    before=last_id,
                    runs_count=len(self.late_starts.pending_keys),
                )
            self.changed.notify_all()

    def end_incarnation(
        self, worker_id: str, *, answering_id: str = ""
    ) -> None:
        """Records that an incarnation of the worker has ended for good.

        Args:
            worker_id: The incarnation that has ended.
            answering_id: The incarnation that answered in its place, if known.
        """
        with self.changed:
            self._incarnations.record_end(worker_id)
            if answering_id:
                self._incarnations.record_answering(answering_id)
            if worker_id == self.worker_id:
                self._clear_worker()
                logs.event("worker_gone", worker_id=worker_id)
            self._end_stale_orders()
            self.changed.notify_all()

    def deregister(self, name: str) -> None:
        """Ends the incarnation that a worker deregisters by its name.

        The message may be a late one of an earlier incarnation of the same name. Then
        the current one ends only once it does not answer (see `record_unreached`).
        """
        with self.changed:
            if incarnation_ids.share_name(name, self.worker_id):
                self.late_calls.record_deregistration(
                    self.worker_id, now_s=clock.now_s()
                )
                return
        self.end_incarnation(name)

    def record_unreached(self, worker_id: str, *, is_connected: bool) -> None:
        """Ends an incarnation that was deregistered and does not answer.

        A worker drains before it deregisters. One that does not drain may be alive as
        long as a process listens at its address.

        Args:
            worker_id: The incarnation that was called.
            is_connected: Whether a process listens at its address.
        """
        with self.changed:
            if (
                not worker_id
                or worker_id != self.worker_id
                or not self.late_calls.is_deregistered(
                    worker_id, now_s=clock.now_s()
                )
                or (is_connected and not self.worker.draining)
            ):
                return
        self.end_incarnation(worker_id)

    def record_unanswered_acknowledgement(self, worker_id: str) -> None:
        """Records an acknowledgement that the worker may still carry out."""
        with self.changed:
            self.late_calls.record_unanswered_acknowledgement(
                worker_id, now_s=clock.now_s()
            )

    def acknowledged_for(self, worker_id: str) -> int:
        """Returns up to which number an incarnation may discard its ends.

        A later incarnation of the same name, if there is one, would discard its own.
        """
        with self.changed:
            is_current = worker_id == self.worker_id
            if not is_current or self._incarnations.has_successor(worker_id):
                return 0
            return self.acknowledged_end_number

    def settle_late_start(self, key: task_names.RunKey) -> None:
        """Reports the end of a run that the current incarnation refuses for good.

        The caller must hold the lock.
        """
        end = self.late_starts.settle(key)
        if end is not None:
            self.ends.setdefault(key, end)
        self.changed.notify_all()

    def release_ends(self) -> None:
        """Reports ends that no later incarnation has to confirm.

        The caller must hold the lock.
        """
        ends = self.late_starts.take_ends(self.worker_id, now_s=clock.now_s())
        for end in ends:
            self.ends.setdefault((end.task, end.run), end)
            self.changed.notify_all()

    def update_orders(self, reply: ttypes.OrdersReply) -> bool:
        """Updates the orders from a leader's reply.

        Returns:
            False if a later leader is known, in which case nothing changes.
        """
        with self.changed:
            if reply.term < self.term:
                return False
            self.term = reply.term
            if reply.whole:
                self.orders = {}
            for removed in reply.removed:
                self.orders.pop((removed.task, removed.run), None)
            for order in reply.orders:
                self.orders[order.task, order.run] = order
            self.orders_term = reply.term
            self.orders_version = reply.version
            self.evacuations.update(reply.evacuated_data_centres, self.worker)
            if reply.interference is not None:
                self.interference_version = reply.interference_version
                self.throttle.interference_by_pair = {
                    (p.latency_critical_image, p.best_effort_image): p.added
                    for p in reply.interference
                }
            self._end_stale_orders()
            self.changed.notify_all()
            return True

    def update_lease(self, lease: Lease) -> None:
        """Sets the lease, unless a later leader than its own is known."""
        with self.changed:
            if lease.term < self.term:
                return
            self.term = lease.term
            self.lease = lease
            self.changed.notify_all()

    def record_listing(self, listing: run_worker.RunListing) -> None:
        """Records the runs and ends that the worker lists, and updates quotas."""
        with self.changed:
            self.is_listing_complete = not listing.unread_running_count
            self.is_listing_whole = (
                self.is_listing_complete and not listing.is_ends_partial
            )
            if self.is_listing_complete:
                # In an incomplete listing, a run that is not listed may be running.
                self.complete_listings_count += 1
            self.running = {(r.task, r.run): r for r in listing.running}
            self._record_listed_runs(listing)
            for ended in listing.ended:
                if ended.number > self.acknowledged_end_number:
                    key = (ended.end.task, ended.end.run)
                    self.ends[key] = self.late_starts.settle_listed(
                        ended.end, self.ends.get(key)
                    )
                self.listed_end_number = max(
                    self.listed_end_number, ended.number
                )
            if self.worker is not None:
                self.throttle.update(
                    self.orders,
                    self.running,
                    capacity_millicores=self.worker.capacity.cpu_millicores,
                    now_s=clock.now_s(),
                )
            self._end_stale_orders()
            self.changed.notify_all()

    def record_end(self, end: ttypes.RunEnd) -> None:
        """Records an end that the worker will not list."""
        with self.changed:
            key = (end.task, end.run)
            self.starts.record_ended(key)
            if key not in self.ends and key in self.orders:
                self.ends[key] = end
            self.changed.notify_all()

    def remove_reported_ends(
        self, report: ttypes.AgentReport, listed_end_number: int
    ) -> None:
        """Removes the ends in a report that control has recorded.

        Args:
            report: The report.
            listed_end_number: Number of the last listed end that it covers.
        """
        with self.changed:
            for end in report.ends:
                key = (end.task, end.run)
                self.ends.pop(key, None)
                self.orders.pop(key, None)
            if report.worker_id == self.worker_id:
                self.acknowledged_end_number = max(
                    self.acknowledged_end_number, listed_end_number
                )
            self.changed.notify_all()

    def _record_listed_runs(self, listing: run_worker.RunListing) -> None:
        now_s = clock.now_s()
        self.starts.record_answer(now_s=now_s)
        for key in self.running:
            self.starts.record_listed(key, now_s=now_s)
        self._add_unordered_runs()
        for ended in listing.ended:
            self.starts.record_ended((ended.end.task, ended.end.run))

    def _add_unordered_runs(self) -> None:
        """Has runs stopped that the worker lists but the leader does not order.

        Only a call meant for an earlier incarnation may begin such a run.
        """
        has_all_orders = (
            self.lease.is_live
            and self.lease.term == self.orders_term
            and self.orders_version >= self.lease.min_orders_version
        )
        started_ms = incarnation_ids.started_unix_ms_of(self.worker_id)
        if started_ms is None or not has_all_orders:
            return
        for key in self.running.keys() - self.orders.keys():
            if not self.late_starts.is_pending(key):
                logs.event("run_unordered", task=key[0], run=key[1])
                self.late_starts.add(key, self.worker_id, now_s=clock.now_s())

    def _record_lost(
        self, end: ttypes.RunEnd, worker_id: str, *, was_listed: bool
    ) -> None:
        """Reports the loss of a run, or holds it back while the run may still begin."""
        key = (end.task, end.run)
        if self.late_starts.may_begin(
            key, worker_id, current_id=self.worker_id, was_listed=was_listed
        ):
            if key not in self.ends:
                self.late_starts.add(
                    key, worker_id, now_s=clock.now_s(), end=end
                )
        else:
            self.ends.setdefault(key, end)

    def _clear_worker(self) -> None:
        """Ends the runs of the current incarnation and clears its state."""
        if self.worker is not None:
            ends = lost_worker.end_runs(
                self.worker,
                self.starts,
                unresponsive_s=clock.now_s() - self.last_answer_s,
            )
            for end in ends:
                was_listed = self.starts.was_listed((end.task, end.run))
                self._record_lost(end, self.worker_id, was_listed=was_listed)
            self.starts.clear()
        self.worker = None
        self.worker_clock.reset()
        self.running = {}
        self.listed_end_number = self.acknowledged_end_number = 0
        self._end_stale_orders()

    def _end_stale_orders(self) -> None:
        """Ends orders for an incarnation of the worker that has certainly ended.

        Orders name only incarnations that this machine's agent has reported, so one
        that is not the current incarnation is an earlier one.
        """
        if self.worker is None and not self._incarnations.has_ended_ids:
            return
        for key, order in self.orders.items():
            has_ended = (
                self._incarnations.has_ended(order.worker_id)
                if self.worker is None
                else order.worker_id != self.worker_id
            )
            if (
                has_ended
                and key not in self.ends
                and not self.late_starts.is_pending(key)
            ):
                end = ttypes.RunEnd(
                    task=order.task,
                    run=order.run,
                    kind=ttypes.RunEndKind.LOST,
                    detail=(
                        f"worker {order.worker_id} is gone; the run is not "
                        "known to have begun on it"
                    ),
                )
                self._record_lost(end, order.worker_id, was_listed=False)
