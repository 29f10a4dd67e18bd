"""Reconciles the runs on an agent's worker with the orders from control.

Nothing is durable here. The worker's own task list shows what runs. Events are
sent until control has acknowledged them, and only then is an ended run
forgotten. Every change to the worker requires a live lease, and orders at least
as new as those in force when the lease was granted.
"""

from collections.abc import Callable
from concurrent import futures
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.runs import agent_orders
from marigoldsill.coordination.runs import checkpoint_scheduler
from marigoldsill.coordination.runs import inherited_runs
from marigoldsill.coordination.runs import lease_renewer
from marigoldsill.coordination.runs import run_events
from marigoldsill.coordination.runs import run_operations
from marigoldsill.coordination.runs import run_reporter
from marigoldsill.coordination.runs import worker_capacity
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import failpoints
from marigoldsill.transport import logs

_RECONCILE_INTERVAL_S = 0.5


class RunReconciler:
    """Reconciles the runs of one worker with its orders.

    Attributes:
        renewer: Holds the lease and renews it on the worker.
        worker_capacity: Total and reserved resources of the worker.
    """

    def __init__(
        self,
        *,
        worker: worker_interface.WorkerInterface,
        checkpoint_interval_s: float = 60.0,
        on_event: Callable[[], None] = lambda: None,
    ):
        self._worker = worker
        self._on_event = on_event
        self._checkpoint_scheduler = checkpoint_scheduler.CheckpointScheduler(
            interval_s=checkpoint_interval_s
        )
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._outbox = run_events.EventOutbox(on_event=on_event)
        self._operations = run_operations.RunOperations(
            worker=worker, outbox=self._outbox, on_done=self._wake.set
        )
        self.renewer = lease_renewer.LeaseRenewer(worker=worker)
        self.worker_capacity = worker_capacity.WorkerCapacity(worker=worker)
        self._orders: agent_orders.AgentOrders | None = None
        self._inherited = inherited_runs.InheritedRuns()
        self._reporter = run_reporter.RunReporter(
            outbox=self._outbox,
            operations=self._operations,
            inherited=self._inherited,
        )
        self._pool = futures.ThreadPoolExecutor(1, "run-keeper")

    def start(self) -> None:
        """Starts the thread that reconciles the worker with the orders."""
        self.renewer.start()
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stops reconciling; the runs continue until their leases expire."""
        self._stopping.set()
        self._wake.set()
        self.renewer.stop()
        self._operations.shut_down()
        self._pool.shutdown(wait=False)

    def update_orders(
        self, term: int, version: int, orders: list[ttypes.Order]
    ) -> bool:
        """Replaces the orders, unless the current ones are newer.

        Args:
            term: Term of the leader that sent the orders.
            version: Version of the orders.
            orders: The complete orders.

        Returns:
            False if the current orders are newer or from a later leader.
        """
        received = agent_orders.AgentOrders.of(term, version, orders)
        with self._lock:
            if received.is_older_than(self._orders):
                logs.event("stale_orders", term=term, version=version)
                return False
            self._inherited.record_orders(term, version, set(received.by_run))
            self._orders = received
        self._wake.set()
        return True

    def update_lease(self, lease: lease_renewer.AgentLease) -> None:
        """Sets a lease granted by control."""
        self._inherited.record_lease(lease)
        previous = self.renewer.lease
        self.renewer.update_lease(lease)
        if (
            not previous.is_live
            or previous.min_orders_version != lease.min_orders_version
        ):
            self._wake.set()

    def pending_events(self, *, limit: int) -> list[ttypes.RunEvent]:
        """Returns the oldest events that control has not acknowledged."""
        return self._outbox.pending_events(limit=limit)

    def acknowledge(self, event_ids: list[int]) -> None:
        """Drops events that control has recorded."""
        recorded = self._outbox.acknowledge(event_ids)
        if any(map(run_reporter.is_listed_end, recorded)):
            failpoints.reach("end.acknowledged")
        if recorded:
            self._wake.set()

    def _loop(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(_RECONCILE_INTERVAL_S)
            self._wake.clear()
            try:
                self._reconcile()
            except errors.MarigoldsillError as error:
                logs.event(
                    "worker_trouble", level="WARNING", reason=error.message
                )
            except Exception as error:  # must continue reconciling
                logs.event(
                    "run_keeper_failed", level="ERROR", reason=repr(error)
                )

    def _reconcile(self) -> None:
        self._refresh_capacity()
        # Read before the list: a start that is in neither did not take effect.
        starts = self._operations.unconfirmed_starts()
        listing_began_ns = time.monotonic_ns()
        listed = {
            run_events.RunId(t.task, t.epoch): t for t in self._worker.tasks()
        }
        self._operations.remove_settled_starts(
            set(listed), listing_began_ns=listing_began_ns
        )
        self._reporter.listing_began_ns = listing_began_ns
        for run, task in listed.items():
            if task.state != "running":
                self._reporter.report_end(run, task)
        with self._lock:
            orders = self._orders
        if orders is None:
            return
        self._drop_old_records(orders, listed)
        lease = self.renewer.lease
        if not lease.is_live:
            return
        if not lease.covers_orders(term=orders.term, version=orders.version):
            return
        self._stop_unordered(orders, listed)
        self.worker_capacity.update_reserved(
            listed, starts, ordered=set(orders.by_run)
        )
        for run, order in orders.by_run.items():
            if not self._operations.is_busy(run):
                self._apply_order(run, order, listed, lease)

    def _refresh_capacity(self) -> None:
        previous = self.worker_capacity.total
        self.worker_capacity.refresh()
        if self.worker_capacity.total != previous:
            self._on_event()

    def _stop_unordered(
        self,
        orders: agent_orders.AgentOrders,
        listed: dict[run_events.RunId, worker_interface.PlatformTask],
    ) -> None:
        for run, task in listed.items():
            if task.state != "running":
                continue
            if run not in orders.by_run or self._outbox.has_ended(run):
                self._operations.stop(run)

    def _apply_order(
        self,
        run: run_events.RunId,
        order: ttypes.Order,
        listed: dict[run_events.RunId, worker_interface.PlatformTask],
        lease: lease_renewer.AgentLease,
    ) -> None:
        task = listed.get(run)
        if self._outbox.has_ended(run) or (task and task.state != "running"):
            return
        match order.desire:
            case ttypes.Desire.RUN | ttypes.Desire.THROTTLE if task is None:
                self._start(run, order, listed, lease)
            case ttypes.Desire.RUN | ttypes.Desire.THROTTLE:
                self._update_running(run, order, task)
            case _ if task is None:
                self._reporter.report_lost(run, "not on the worker")
            case ttypes.Desire.CHECKPOINT_AND_STOP:
                self._evict(run, order)
            case _:
                self._operations.stop(run)

    def _start(
        self,
        run: run_events.RunId,
        order: ttypes.Order,
        listed: dict[run_events.RunId, worker_interface.PlatformTask],
        lease: lease_renewer.AgentLease,
    ) -> None:
        # An epoch is started only once. A run that an earlier agent may have
        # started is either listed or lost.
        was_started = order.started or self._outbox.has_started(run)
        if was_started or run in self._inherited:
            self._reporter.report_lost(run, "the worker lost the run")
            return
        if self._has_other_epoch(run, listed):
            return
        attempt = self._operations.unconfirmed_starts().get(run)
        if attempt is not None:
            # It may start in any case, and its resources are reserved.
            if not attempt.is_repeat_refused:
                self._operations.start(order, lease)
            return
        match self.worker_capacity.check_fit(order.resources):
            case worker_capacity.FitResult.FITS:
                self.worker_capacity.reserve(order.resources)
                self._operations.start(order, lease)
            case worker_capacity.FitResult.WAITS:
                logs.event("start_waits", level="DEBUG", task=run.task)
            case worker_capacity.FitResult.TOO_LARGE:
                self._reporter.report(
                    run,
                    ttypes.RunEventKind.REFUSED,
                    f"it does not fit: {self.worker_capacity.describe_reserved()}",
                )

    def _update_running(
        self,
        run: run_events.RunId,
        order: ttypes.Order,
        task: worker_interface.PlatformTask,
    ) -> None:
        if not order.started:
            self._reporter.report(run, ttypes.RunEventKind.STARTED, "")
        throttled = order.desire == ttypes.Desire.THROTTLE
        if throttled != task.throttled:
            self._operations.throttle(order, throttled=throttled)
        elif order.checkpointable and self._checkpoint_scheduler.is_due(run):
            self._operations.checkpoint(order, on_result=lambda _: None)

    def _evict(self, run: run_events.RunId, order: ttypes.Order) -> None:
        eviction = self._checkpoint_scheduler.get_or_begin_eviction(run)
        action = eviction.next_action(
            is_recorded=not self._outbox.has_pending(run)
        )
        checkpoint_scheduler.log_missing_checkpoint(order, eviction, action)
        match action:
            case checkpoint_scheduler.EvictionAction.CHECKPOINT:
                self._operations.checkpoint(
                    order, on_result=eviction.record_checkpoint
                )
            case checkpoint_scheduler.EvictionAction.STOP:
                self._operations.stop(run)

    def _has_other_epoch(
        self,
        run: run_events.RunId,
        listed: dict[run_events.RunId, worker_interface.PlatformTask],
    ) -> bool:
        running = {r for r, t in listed.items() if t.state == "running"}
        others = running | set(self._operations.unconfirmed_starts())
        return any(o.task == run.task and o != run for o in others)

    def _drop_old_records(
        self,
        orders: agent_orders.AgentOrders,
        listed: dict[run_events.RunId, worker_interface.PlatformTask],
    ) -> None:
        current = set(orders.by_run) | set(listed)
        self._outbox.retain_runs(current)
        self._inherited.retain_runs(orders.term, orders.version, current)
        self._checkpoint_scheduler.retain_runs(current)
