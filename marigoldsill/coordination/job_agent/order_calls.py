"""The calls to the worker that carry out orders: starts, stops and quotas."""

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import (
    lease_renewer as lease_renewer_module,
)
from marigoldsill.coordination.job_agent import order_progress
from marigoldsill.coordination.job_agent import start_checks
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


class OrderCalls:
    """Makes single calls, and records their effects in the state and the progress."""

    def __init__(
        self,
        *,
        state: agent_state.AgentState,
        worker: run_worker.RunWorker,
        lease_renewer: lease_renewer_module.LeaseRenewer,
        checks: start_checks.StartChecks,
    ):
        self._state = state
        self._runs = state.runs
        self._worker = worker
        self._lease_renewer = lease_renewer
        self._checks = checks

    def start(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        """Starts a run on the worker, if it may still start.

        Raises:
            RunRefusedError: The start came too late.
            OtherWorkerError: Another incarnation answered.
            WorkerUnwellError: The worker is not healthy.
            TransportError: No answer came.
        """
        state = self._state
        with state.changed:
            deadline_ms = self._lease_renewer.issue_deadline_ms()
            token = state.term
            if (
                deadline_ms is None
                or not state.may_start
                or not self._checks.allow_request(order)
            ):
                state.held.record_start_not_sent((order.task, order.run))
                return
            # Recorded in the same step, as the order may be removed at any time.
            state.held.record_start_sent(
                order, is_current=order.worker_id == state.worker_id
            )
            earliest_ms = state.worker_clock.earliest_ms(clock.now_s())
        start = run_worker.RunStart(
            task=order.task,
            run=order.run,
            command=order.command,
            deadline_ms=deadline_ms,
            checkpoint_id=order.checkpoint_id,
            ticket=order.ticket,
        )
        try:
            with agent_metrics.WORKER_START_SECONDS.time():
                clock_ms = self._worker.start(
                    order.worker_id, start, token=token
                )
            self._check_clock(order, clock_ms, earliest_ms=earliest_ms)
        except errors.RunRefusedError as error:
            self._record_not_started(order)
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
            self._record_not_started(order)
            if isinstance(error, errors.WorkerUnwellError):
                progress.refusal_reason = "the worker is not healthy"
            raise
        except errors.TransportError as error:
            with state.changed:
                if error.sent:
                    state.record_unanswered_start(
                        order, is_broken=not error.timed_out
                    )
                else:
                    state.held.record_not_started((order.task, order.run))
                state.record_unreachable(
                    order.worker_id, is_broken=not error.timed_out
                )
            raise
        except errors.PlatformError as error:
            # The answer cannot be read, or tells neither success nor a refusal.
            if isinstance(error, errors.UnexpectedStatusError):
                progress.refusal_reason = error.message
            with state.changed:
                state.record_unanswered_start(order)
            raise
        with state.changed:
            state.held.record_start_answered(
                (order.task, order.run),
                # The answer may arrive after another incarnation was confirmed.
                is_current=order.worker_id == state.worker_id,
                now_s=clock.now_s(),
            )
            self._runs.set_initial_quota(order)
            step_runs_count = task_names.count_of_step(
                order.task, state.held.held_keys()
            )
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

    def _check_clock(
        self, order: ttypes.RunOrder, clock_ms: int, *, earliest_ms: int
    ) -> None:
        """Checks that the incarnation that was called has answered a start.

        Raises:
            TransportError: A later one of the same name did, and may have begun the run.
        """
        worker_id = order.worker_id
        if not incarnation_ids.keeps_name(worker_id) or clock_ms >= earliest_ms:
            return
        with self._state.changed:
            if worker_id == self._state.worker_id:
                self._state.held.contact.has_successor = True
        raise errors.TransportError(
            f"a start on {worker_id} was answered at {clock_ms} ms of the worker's "
            f"clock; expected {earliest_ms} ms or later, so it has restarted",
            sent=True,
            timed_out=True,
        )

    def _record_not_started(self, order: ttypes.RunOrder) -> None:
        """Records that the last start request had no effect."""
        with self._state.changed:
            self._state.held.record_not_started((order.task, order.run))

    def stop(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        """Stops a run on the worker."""
        state = self._state
        self._worker.stop(
            order.worker_id, order.task, order.run, token=state.term
        )
        with state.changed:
            state.held.record_stop_answered((order.task, order.run))
        logs.event(
            "run_stopped",
            task=order.task,
            run=order.run,
            worker_id=order.worker_id,
        )

    def throttle(
        self, order: ttypes.RunOrder, progress: order_progress.OrderProgress
    ) -> None:
        """Sets the quota of a run on the worker."""
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
