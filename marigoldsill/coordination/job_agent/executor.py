"""Executes orders on the worker: starts, stops and quotas.

A call whose answer was lost is repeated until it is answered, as a second start or
stop of the same run has no effect. A run whose start request may still arrive is
stopped before it is reported as not running.
"""

from concurrent import futures

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import late_start_stopper
from marigoldsill.coordination.job_agent import (
    lease_renewer as lease_renewer_module,
)
from marigoldsill.coordination.job_agent import order_calls
from marigoldsill.coordination.job_agent import order_progress
from marigoldsill.coordination.job_agent import start_checks
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
        self._held = state.held
        self._retry_s = retry_s
        self._progress = order_progress.ProgressTable()
        self._checks = start_checks.StartChecks(state)
        self._calls = order_calls.OrderCalls(
            state=state,
            worker=worker,
            lease_renewer=lease_renewer,
            checks=self._checks,
        )
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
                    and not self._progress.is_any_busy
                )
            )

    def reconcile(self) -> float | None:
        """Begins the calls that are due; the caller must hold the state's lock.

        Returns:
            Seconds until the next round at the latest, or None to wait for a change
            of the state.
        """
        state = self._state
        self._progress.update(state.run_orders)
        wait_s = self._retry_s if self._late_start_stopper.reconcile() else None
        if not state.worker_id or not self._held.listings.complete_count:
            return wait_s
        now_s = clock.now_s()
        for key, order in state.orders.items():
            if key in state.ends or order.worker_id != state.worker_id:
                continue
            progress = self._progress.by_run[key]
            if progress.is_busy:
                continue
            if progress.retry_s > now_s or self._checks.must_wait(order):
                wait_s = self._retry_s
                continue
            self._reconcile_order(key, order, progress)
        return wait_s

    def _reconcile_order(
        self,
        key: task_names.RunKey,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
    ) -> None:
        if self._is_forgotten(key, progress):
            progress.is_forgotten = True
            self._reconcile_stop(key, order, progress)
        elif order.desire == ttypes.RunDesire.STOP or progress.refusal_reason:
            self._reconcile_stop(key, order, progress)
        elif key in self._held.listed or self._held.is_started(key):
            if self._runs.quota_percent_for(order) != progress.quota_percent:
                self._submit(self._calls.throttle, order, progress)
        elif self._state.may_start:
            progress.refusal_reason = self._checks.refusal_reason(order)
            if progress.refusal_reason:
                self._reconcile_stop(key, order, progress)
            else:
                self._held.record_start_due(order)
                self._submit(self._calls.start, order, progress)
        elif self._state.announcement_overdue_s > _ANNOUNCEMENT_OVERDUE_LIMIT_S:
            progress.refusal_reason = "the worker sends no heartbeats"
            self._reconcile_stop(key, order, progress)

    def _is_forgotten(
        self,
        key: task_names.RunKey,
        progress: order_progress.OrderProgress,
    ) -> bool:
        """Whether the worker has forgotten a run's end that it never reported.

        A worker that has restarted under its name may have carried out an
        acknowledgement of ends that was meant for its earlier incarnation.
        """
        return progress.is_forgotten or (
            self._state.late_calls.has_restarted and self._held.is_missing(key)
        )

    def _reconcile_stop(
        self,
        key: task_names.RunKey,
        order: ttypes.RunOrder,
        progress: order_progress.OrderProgress,
    ) -> None:
        was_never_sent = (
            not self._held.may_have_begun(key) and key not in self._held.listed
        )
        if was_never_sent and progress.refusal_reason:
            self._record_end(order, progress)
        elif not self._held.is_stop_answered(key):
            self._held.record_stop_sent(order)
            self._submit(self._calls.stop, order, progress)
        elif (
            self._held.is_gone_after_stop(key)
            # If the worker restarts under its id, it does not know of the stop.
            and not self._state.late_starts.has_late_request(
                key, now_s=clock.now_s()
            )
        ):
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
            stop_confirmed=self._held.is_stop_answered((order.task, order.run)),
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
        # The names of the methods are values of the metric's label "call".
        with progress.end_call(
            call.__name__,
            (order.task, order.run),
            changed=self._state.changed,
            pause_s=self._retry_s,
        ):
            call(order, progress)
