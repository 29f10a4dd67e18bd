"""The events that change what an agent knows of its worker, orders and runs."""

from marigoldsill.coordination.job_agent import agent_record
from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.coordination.worker_incarnations import incarnations
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


class AgentState(agent_record.AgentRecord):
    """An agent's record, with one method for each event that changes it."""

    def record_unreachable(
        self, worker_id: str, *, is_broken: bool = False
    ) -> None:
        """Records a call without an answer; the caller must hold the lock.

        Args:
            worker_id: The incarnation that was called.
            is_broken: Whether the connection was refused or broke.
        """
        self.departures.record_unanswered(worker_id)
        if worker_id == self.worker_id:
            self.held.contact.record_loss(
                now_s=clock.now_s(), is_broken=is_broken
            )

    def record_unanswered_start(
        self, order: ttypes.RunOrder, *, is_broken: bool = False
    ) -> None:
        """Records a start request without an answer; the caller must hold the lock.

        Args:
            order: The order to start the run.
            is_broken: Whether the connection broke during the request.
        """
        self.held.record_start_unanswered(
            (order.task, order.run),
            is_broken=is_broken and order.worker_id == self.worker_id,
        )
        self._record_late_start(order)

    def _record_late_start(self, order: ttypes.RunOrder) -> None:
        """Records that a later incarnation may carry out a start request."""
        now_s = clock.now_s()
        self.late_starts.record_unanswered(
            (order.task, order.run),
            order.worker_id,
            current_id=self.worker_id,
            now_s=now_s,
        )
        self.late_calls.record_unanswered_start(
            order.worker_id, current_id=self.worker_id, now_s=now_s
        )

    def record_announcement(
        self, announcement: run_worker.Announcement
    ) -> None:
        """Records an announcement of a worker; a late one has no effect.

        Raises:
            ConflictError: It contradicts what this incarnation has announced.
        """
        worker = announcement.worker
        with self.changed:
            if not self.incarnations.record_announcement(announcement):
                return
            if worker.worker_id == self.worker_id:
                incarnations.log_changes(self.worker, worker)
                self.worker = worker
            self.changed.notify_all()

    def confirm_incarnation(self, worker_id: str) -> None:
        """Makes an announced incarnation that has answered the current one."""
        with self.changed:
            last_id = self.incarnations.last_current_id
            old_id = self.worker_id
            if not self.incarnations.set_current(worker_id):
                return
            self._clear_worker()
            if last_id and not incarnation_ids.share_name(worker_id, last_id):
                self.held.record_other_worker()
            self.departures.remove(old_id)
            self.worker = self.incarnations.current.worker
            self.worker_clock.reset(worker_id)
            now_s = clock.now_s()
            self._end_stale_orders()
            self.late_starts.add_unanswered(
                worker_id, is_first=not last_id, now_s=now_s
            )
            self.unreported_ends.release(worker_id)
            logs.event("worker_answers", worker_id=worker_id, before=old_id)
            self.late_calls.record_confirmed(
                worker_id,
                last_id=last_id
                or self.run_orders.earlier_incarnation_of(worker_id),
                now_s=now_s,
                late_starts_count=len(self.late_starts.pending_keys),
            )
            self.changed.notify_all()

    def end_incarnation(
        self, worker_id: str, *, reason: str, answering_id: str = ""
    ) -> None:
        """Records that an incarnation of the worker has ended for good.

        Args:
            worker_id: The incarnation that has ended.
            reason: How that became known, for the log.
            answering_id: The incarnation that answered in its place, if known.
        """
        with self.changed:
            self.incarnations.record_end(worker_id)
            if answering_id:
                self.incarnations.record_answering(answering_id)
            if worker_id == self.worker_id:
                self._clear_worker()
                logs.event("worker_gone", worker_id=worker_id, reason=reason)
            self.departures.remove(worker_id)
            self._end_stale_orders()
            self.changed.notify_all()

    def deregister(self, name: str) -> None:
        """Records that a worker announced its end by its name.

        The worker may continue for seconds, or the message may be a late one of an
        earlier incarnation of the same name. See `departure_watch`.
        """
        with self.changed:
            self.departures.record(
                name,
                current=self.worker,
                other_ids=(
                    *self.incarnations.candidate_ids,
                    *(order.worker_id for order in self.orders.values()),
                ),
                now_s=clock.now_s(),
            )
            self.changed.notify_all()

    def record_answer(self, worker_id: str) -> None:
        """Records that an incarnation answered; the caller must hold the lock."""
        is_current = worker_id == self.worker_id
        self.departures.record_answer(
            worker_id,
            may_leave=not is_current or self.worker.draining,
            now_s=clock.now_s(),
        )

    def update_orders(self, reply: ttypes.OrdersReply) -> bool:
        """Updates the orders from a leader's reply.

        Returns:
            False if a later leader is known, in which case nothing changes.
        """
        with self.changed:
            if reply.term < self.term:
                return False
            self.term = reply.term
            self.incarnations.pools.update(reply.pools)
            inherited = self.run_orders.update(
                reply, self.worker, ended=self.ends
            )
            self.run_orders.record_lease(self.lease)
            # A previous process may have left their start requests unanswered.
            for order in inherited:
                self._record_late_start(order)
            self.runs.update_interference(reply)
            self._end_stale_orders()
            self.changed.notify_all()
            return True

    def update_lease(self, lease: lease_module.Lease) -> None:
        """Sets the lease, unless a later leader than its own is known."""
        with self.changed:
            if lease.term < self.term:
                return
            self.term = lease.term
            self.lease = lease
            self.run_orders.record_lease(lease)
            self.changed.notify_all()

    def record_listing(self, listing: run_worker.RunListing) -> None:
        """Records the runs and ends that the worker lists, and updates quotas."""
        with self.changed:
            now_s = clock.now_s()
            self.held.record_listing(listing, self.orders, now_s=now_s)
            if self.run_orders.are_covered_by(self.lease):
                self.late_starts.add_unordered(
                    self.held.unordered_keys(),
                    self.worker_id,
                    now_s=now_s,
                )
            self.unreported_ends.record_listed(
                ended
                for ended in listing.ended
                if ended.number > self.acknowledged_end_number
            )
            self.listed_end_number = max(
                self.listed_end_number, listing.read_end_number
            )
            if self.worker is not None:
                self.runs.update_quotas(self.worker.capacity, now_s=now_s)
            self._end_stale_orders()
            self.changed.notify_all()

    def record_end(self, end: ttypes.RunEnd) -> None:
        """Records an end that the worker will not list."""
        with self.changed:
            key = (end.task, end.run)
            self.held.record_ended(key)
            if key not in self.ends and key in self.orders:
                self.ends[key] = end
            self.changed.notify_all()

    def settle_late_start(self, key: task_names.RunKey) -> None:
        """Records that the current incarnation refuses a run for good.

        The caller must hold the lock.
        """
        self.held.record_ended(key)
        self.unreported_ends.settle_late_start(key)
        self.changed.notify_all()

    def remove_reported_ends(
        self,
        report: ttypes.AgentReport,
        reply: ttypes.AgentReply,
        listed_end_number: int,
    ) -> None:
        """Removes the ends in a report that control has recorded by its reply.

        The last listed end that the report covers has `listed_end_number`.
        """
        with self.changed:
            self.run_orders.remove_ended(
                report.ends, term=reply.term, version=reply.orders_version
            )
            self.unreported_ends.remove(report.ends)
            if report.worker_id == self.worker_id:
                self.acknowledged_end_number = max(
                    self.acknowledged_end_number, listed_end_number
                )
            self.changed.notify_all()

    def _clear_worker(self) -> None:
        """Ends the runs of the current incarnation and clears its state."""
        if self.worker is not None:
            # A worker that crashes does not deregister.
            is_deregistered = self.departures.is_known(self.worker_id)
            self.unreported_ends.record_lost_worker(
                self.worker,
                self.held,
                is_planned=self.worker.draining or is_deregistered,
                unlisted_s=clock.now_s() - self.last_answer_s,
                lease_end_s=self.lease_end_s(),
            )
        self.worker = None
        self.worker_clock.reset()
        self.held.record_incarnation_ended()
        self.listed_end_number = self.acknowledged_end_number = 0
        self._end_stale_orders()

    def _end_stale_orders(self) -> None:
        """Ends orders for an incarnation of the worker that has certainly ended.

        Orders name only incarnations that this machine's agent has reported, so one
        that is not the current incarnation is an earlier one.
        """
        for order in self.orders.values():
            if self.incarnations.is_replaced(
                order.worker_id, current_id=self.worker_id
            ):
                key = (order.task, order.run)
                self.unreported_ends.record_stale(
                    order,
                    current_id=self.worker_id,
                    may_have_begun=self.held.may_have_begun(key),
                )
