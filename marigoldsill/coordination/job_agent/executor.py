"""Executes orders on the worker: starts, stops and quotas.

A call whose answer was lost is repeated until it is answered, as a second start or
stop of the same run has no effect. A run whose start request may still arrive is
stopped before it is reported as not running.
"""

from concurrent import futures

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import late_start_stopper
from marigoldsill.coordination.job_agent import (
    lease_renewer as lease_renewer_module,
)
from marigoldsill.coordination.job_agent import order_progress
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# Concurrent calls to the worker. There are several, so that calls that the worker
# leaves unanswered do not delay the others.
_THREADS_COUNT = 6
_RETRY_S = 0.1
# If the worker's announcement is overdue for longer than this, runs that have not
# started are refused so that the leader can place them on another worker.
_ANNOUNCEMENT_OVERDUE_LIMIT_S = 2.0


class Executor:
    """Makes the calls that bring the worker's runs in line with the orders."""

    def __init__(
        self,
        *,
        state: agent_state.AgentState,
        worker: run_worker.RunWorker,
        lease_renewer: lease_renewer_module.LeaseRenewer,
        retry_s: float = _RETRY_S,
    ):
        self._state = state
        self._runs = state.runs
        self._worker = worker
        self._lease_renewer = lease_renewer
        self._retry_s = retry_s
        self._progress_by_run: dict[
            task_names.RunKey, order_progress.OrderProgress
        ] = {}
        self._pool = futures.ThreadPoolExecutor(_THREADS_COUNT, "executor")
        self._late_start_stopper = late_start_stopper.LateStartStopper(
            state=state, worker=worker, pool=self._pool, retry_s=retry_s
        )

    def run(self) -> None:
        """Executes orders until the agent stops."""
        state = self._state
        with state.changed:
            while not state.is_stopping:
                wait_s = self.reconcile()
                state.changed.wait(wait_s)
        self._pool.shutdown(wait=False)

    def wait_until_idle(self) -> None:
        """Waits until no call is in progress."""
        with self._state.changed:
            self._state.changed.wait_for(
                lambda: (
                    not self._late_start_stopper.is_busy
                    and not any(
                        progress.is_busy
                        for progress in self._progress_by_run.values()
                    )
                )
            )

    def reconcile(self) -> float | None:
        """Begins the calls that are due; the caller must hold the state's lock.

        Returns:
            Seconds until the next round at the latest, or None to wait for a change
            of the state.
        """
        state = self._state
        self._update_progress_keys()
        wait_s = self._retry_s if self._late_start_stopper.reconcile() else None
        if not state.worker_id or not self._runs.complete_listings_count:
            return wait_s
        now_s = clock.now_s()
        for key, order in state.orders.items():
            if key in state.ends or order.worker_id != state.worker_id:
                continue
            progress = self._progress_by_run[key]
            if progress.is_busy:
                continue
            if progress.retry_s > now_s or self._must_wait(order, progress):
                wait_s = self._retry_s
                continue
            self._reconcile_order(key, order, progress)
        return wait_s

    def _update_progress_keys(self) -> None:
        """Adds the progress of new orders and removes that of removed ones."""
        state = self._state
        self._progress_by_run = {
            key: progress
            for key, progress in self._progress_by_run.items()
            if key in state.orders or progress.is_busy
        }
        for key in state.orders.keys() - self._progress_by_run.keys():
            # An earlier start request may still be carried out.
            self._progress_by_run[key] = order_progress.OrderProgress(
                has_unanswered_start=key in state.run_orders.possibly_begun_keys
            )

    def _reconcile_order(
        self,
        key: task_names.RunKey,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
    ) -> None:
        is_running = key in self._runs.running
        if self._is_forgotten(progress, is_running=is_running):
            progress.is_forgotten = True
            self._reconcile_stop(key, order, progress, is_running=is_running)
        elif order.desire == ttypes.RunDesire.STOP or progress.refusal_reason:
            self._reconcile_stop(key, order, progress, is_running=is_running)
        elif is_running or progress.is_started:
            if self._runs.quota_percent_for(order) != progress.quota_percent:
                self._submit(self._throttle, order, progress)
        elif self._state.may_start:
            progress.refusal_reason = self._refusal_reason(order, progress)
            if progress.refusal_reason:
                self._reconcile_stop(
                    key, order, progress, is_running=is_running
                )
            else:
                self._submit(self._start, order, progress)
        elif self._state.announcement_overdue_s > _ANNOUNCEMENT_OVERDUE_LIMIT_S:
            progress.refusal_reason = "the worker sends no heartbeats"
            self._reconcile_stop(key, order, progress, is_running=is_running)

    def _must_wait(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> bool:
        """Whether nothing may be done for a run before an earlier one of its task ends.

        If it were refused, its task would run elsewhere beside the earlier run.
        """
        is_sent = (
            progress.is_started
            or progress.has_unanswered_start
            or (order.task, order.run) in self._runs.running
        )
        return not is_sent and self._runs.may_have_other_run(
            order, self._busy_keys()
        )

    def _is_forgotten(
        self, progress: order_progress.OrderProgress, *, is_running: bool
    ) -> bool:
        """Whether the worker has forgotten a run's end that it never reported.

        A worker that has restarted under its name may have carried out an
        acknowledgement of ends that was meant for its earlier incarnation.
        """
        state = self._state
        return progress.is_forgotten or (
            state.late_calls.has_restarted
            and progress.is_started
            and not is_running
            and self._runs.is_listed_after(progress.start_listings_count)
        )

    def _refusal_reason(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> str:
        """Returns why the worker cannot start a run now, or empty if it can."""
        state = self._state
        if state.worker.draining:
            return "the worker drains"
        if state.run_orders.evacuations.includes(state.worker):
            return run_worker.RefusalReason.EVACUATED
        if state.late_calls.may_discard_ends(now_s=clock.now_s()):
            return "the worker has restarted and left calls unanswered before"
        return self._runs.refusal_reason(
            order, self._busy_keys(), state.worker.capacity
        )

    def _busy_keys(self) -> list[task_names.RunKey]:
        return [
            key
            for key, progress in self._progress_by_run.items()
            if progress.is_busy or progress.has_unanswered_start
        ]

    def _reconcile_stop(
        self,
        key: task_names.RunKey,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
        *,
        is_running: bool,
    ) -> None:
        was_never_sent = (
            not progress.is_started
            and not progress.has_unanswered_start
            and not is_running
        )
        if was_never_sent and progress.refusal_reason:
            self._record_end(order, progress)
        elif not progress.stop_listings_count:
            self._submit(self._stop, order, progress)
        elif (
            not is_running
            and self._runs.is_listed_after(progress.stop_listings_count)
            # If the worker restarts under its id, it does not know of the stop.
            and not self._state.late_starts.has_late_request(
                key, now_s=clock.now_s()
            )
        ):
            # After the stop it was listed neither as running nor as ended.
            self._record_end(order, progress)

    def _record_end(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        """Records the end of a run that the worker never had or does not list."""
        kind = ttypes.RunEndKind.STOPPED
        detail = progress.refusal_reason or "stopped before it began"
        if progress.is_forgotten:
            kind = ttypes.RunEndKind.LOST
            detail = "the worker has restarted and does not list the run's end"
        elif progress.refusal_reason:
            kind = ttypes.RunEndKind.REFUSED
        logs.event(
            "run_end_inferred",
            task=order.task,
            run=order.run,
            worker_id=order.worker_id,
            kind=kind.name.lower(),
            stop_confirmed=bool(progress.stop_listings_count),
            reason=detail,
        )
        self._state.record_end(
            ttypes.RunEnd(
                task=order.task, run=order.run, kind=kind, detail=detail
            )
        )

    def _submit(
        self,
        call,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
    ) -> None:
        progress.is_busy = True
        self._pool.submit(self._execute, call, order, progress)

    def _execute(
        self,
        call,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
    ) -> None:
        """Makes a call to the worker, and logs and counts its outcome."""
        outcome = "done"
        try:
            call(order, progress)
        except errors.MarigoldsillError as error:
            outcome = error.kind
            progress.retry_s = clock.now_s() + self._retry_s
            logs.event(
                "order_failed",
                level="WARNING",
                task=order.task,
                run=order.run,
                kind=error.kind,
                reason=error.message,
            )
        finally:
            # The names of the methods are values of the metric's label "call".
            name = call.__name__.removeprefix("_")
            agent_metrics.WORKER_CALLS.labels(name, outcome).inc()
            with self._state.changed:
                progress.is_busy = False
                self._state.changed.notify_all()

    def _start(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        state = self._state
        with state.changed:
            deadline_ms = self._lease_renewer.issue_deadline_ms()
            token = state.term
            if deadline_ms is None or not state.may_start:
                return
            # Orders, capacity and runs may have changed since the call was submitted.
            if not state.run_orders.allow_start(order, state.worker):
                return
            busy_keys = self._busy_keys()
            if self._runs.may_have_other_run(order, busy_keys):
                return
            if self._runs.refusal_reason(
                order, busy_keys, state.worker.capacity
            ):
                return
            # Recorded in the same step, as the order may be removed at any time.
            state.record_start_sent(order)
        start = run_worker.RunStart(
            task=order.task,
            run=order.run,
            command=order.command,
            deadline_ms=deadline_ms,
            checkpoint_id=order.checkpoint_id,
            ticket=order.ticket,
        )
        had_unanswered_start = progress.has_unanswered_start
        progress.has_unanswered_start = True
        try:
            with agent_metrics.WORKER_START_SECONDS.time():
                clock_ms = self._worker.start(
                    order.worker_id, start, token=token
                )
        except errors.RunRefusedError as error:
            self._record_not_started(order, progress, had_unanswered_start)
            if error.reason == run_worker.RefusalReason.TOO_LATE:
                raise
            progress.refusal_reason = error.reason
            logs.event(
                "start_refused",
                task=order.task,
                run=order.run,
                worker_id=order.worker_id,
                reason=error.reason,
            )
            return
        except (errors.OtherWorkerError, errors.WorkerUnwellError) as error:
            self._record_not_started(order, progress, had_unanswered_start)
            if isinstance(error, errors.WorkerUnwellError):
                progress.refusal_reason = "the worker is not healthy"
            raise
        except errors.TransportError as error:
            with state.changed:
                if error.sent:
                    state.record_unanswered_start(order)
                elif not had_unanswered_start:
                    state.record_not_started(order)
                state.record_unreachable(order.worker_id)
            raise
        except errors.PlatformError:
            # The answer cannot be read.
            with state.changed:
                state.record_unanswered_start(order)
            raise
        progress.has_unanswered_start = False
        with state.changed:
            progress.is_started = True
            progress.start_listings_count = self._runs.next_listings_count
            state.record_started(order)
            step_runs_count = self._runs.count_of_step(order.task)
        state.worker_clock.record_reading(
            clock_ms, worker_id=order.worker_id, received_s=clock.now_s()
        )
        logs.event(
            "run_started",
            task=order.task,
            run=order.run,
            worker_id=order.worker_id,
            token=token,
            step_runs_count=step_runs_count,
        )

    def _record_not_started(
        self,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
        had_unanswered_start: bool,
    ) -> None:
        """Records that the last start request had no effect.

        Args:
            order: The order to start the run.
            progress: The progress of the order.
            had_unanswered_start: Whether an earlier request may still take effect.
        """
        progress.has_unanswered_start = had_unanswered_start
        if not had_unanswered_start:
            with self._state.changed:
                self._state.record_not_started(order)

    def _stop(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        state = self._state
        self._worker.stop(
            order.worker_id, order.task, order.run, token=state.term
        )
        with state.changed:
            progress.stop_listings_count = self._runs.next_listings_count
        logs.event(
            "run_stopped",
            task=order.task,
            run=order.run,
            worker_id=order.worker_id,
        )

    def _throttle(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        percent = self._runs.quota_percent_for(order)
        self._worker.throttle(
            order.worker_id,
            order.task,
            order.run,
            percent=percent,
            token=self._state.term,
        )
        progress.quota_percent = percent
        logs.event(
            "run_throttled", task=order.task, run=order.run, percent=percent
        )
