"""The thread that reports to the leader: ends at once, samples at intervals."""

import math
import time

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_metrics
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import lease
from marigoldsill.coordination.leadership import control_link
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import dependency_log
from marigoldsill.transport import logs

# Several reports fit into a lease, so that the loss of one has no effect.
_INTERVAL_S = 1.0
# The same while tasks that interfere with each other share the worker, as control
# learns from the samples.
_SHARED_INTERVAL_S = 0.5
_TIMEOUT_S = 1.0
_PAUSE_S = 0.1
# Maximum number of ends in one report.
_ENDS_LIMIT = 500


class Reporter:
    """Sends reports until the agent stops."""

    def __init__(
        self,
        *,
        agent: str,
        state: agent_state.AgentState,
        link: control_link.ControlLink,
    ):
        self._agent = agent
        self._state = state
        self._link = link
        self._dependency = dependency_log.DependencyLog("control_reports")
        self._incarnation = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        self._sequence = 0
        self._reply_term = 0
        self._samples_reported_s = -math.inf
        self._reported_worker: ttypes.PoolWorker | None = None
        self._must_resend_worker = True
        self._has_had_lease = False
        self._reported_unanswered_count = 0
        self._reported_begun: set[task_names.RunKey] = set()

    def run(self) -> None:
        """Sends reports until the agent stops."""
        state = self._state
        while not state.is_stopping:
            try:
                self._report()
            except errors.MarigoldsillError as error:
                self._dependency.record_failure(error.kind, error.message)
                with state.changed:
                    state.changed.wait(_PAUSE_S)
            with state.changed:
                state.changed.wait_for(
                    self._must_report_now, self._interval_s()
                )

    def _interval_s(self) -> float:
        return (
            _SHARED_INTERVAL_S if self._state.held.are_shared else _INTERVAL_S
        )

    def _must_report_now(self) -> bool:
        state = self._state
        return (
            state.is_stopping
            or bool(state.ends)
            or state.late_starts.unanswered_count
            != self._reported_unanswered_count
            or self._must_report_worker()
            or not self._begun_runs() <= self._reported_begun
        )

    def _begun_runs(self) -> set[task_names.RunKey]:
        """Returns the runs that have begun and whose orders ask to report that."""
        state = self._state
        return {
            key
            for key, order in state.orders.items()
            if order.must_report_start
            and order.worker_id == state.worker_id
            and state.held.has_begun(key)
        }

    def _must_report_worker(self) -> bool:
        return self._state.worker is not None and (
            self._must_resend_worker
            or self._state.worker != self._reported_worker
        )

    def _report(self) -> None:
        state = self._state
        sent_s = clock.now_s()
        with state.changed:
            self._sequence += 1
            # Reports of ends between two intervals leave out the samples, which would
            # be most of their size.
            has_samples = (
                self._must_report_worker()
                or sent_s - self._samples_reported_s >= self._interval_s()
            )
            worker = state.worker
            ends = list(state.ends.values())[:_ENDS_LIMIT]
            listed_end_number = state.listed_end_number
            unanswered_count = state.late_starts.unanswered_count
            begun = self._begun_runs()
            if len(ends) < len(state.ends):
                listed_end_number = 0
            report = ttypes.AgentReport(
                agent=self._agent,
                incarnation=self._incarnation,
                sequence=self._sequence,
                worker=worker if self._must_report_worker() else None,
                ends=ends,
                running=state.runs.samples_with_quotas()
                if has_samples
                else None,
                worker_id=state.worker_id,
                worker_silent=(
                    sent_s - state.last_answer_s > late_calls.UNRESPONSIVE_S
                ),
                known_term=max(state.term, self._reply_term),
                late_starts=self._late_runs(now_s=sent_s),
                begun=[
                    ttypes.RunId(task=task, run=run)
                    for task, run in begun - self._reported_begun
                ],
                starts_refused_ms=math.ceil(
                    1000 * state.late_calls.starts_refused_s(now_s=sent_s)
                ),
            )
        with agent_metrics.REPORT_SECONDS.time():
            reply = self._link.call(
                "agent_report", report, timeout_s=_TIMEOUT_S
            )
        self._dependency.record_success()
        self._reported_unanswered_count = unanswered_count
        if reply.term != self._reply_term or not reply.ends_recorded:
            # This leader may not know what an earlier one was told.
            self._reported_begun = set()
        else:
            self._reported_begun = begun
        if has_samples:
            self._samples_reported_s = sent_s
            agent_metrics.WORKER_RUNS.set(len(report.running))
        self._apply_reply(reply, report, worker, sent_s, listed_end_number)

    def _late_runs(self, *, now_s: float) -> list[ttypes.LateStart]:
        """Returns the runs that late calls may begin, or keep alive beyond a lease."""
        state = self._state
        current_keys = [
            key
            for key, order in state.orders.items()
            if order.worker_id == state.worker_id
        ]
        extended = state.late_calls.prolonged_runs(current_keys, now_s=now_s)
        return extended + state.late_starts.remaining(now_s=now_s)

    def _apply_reply(
        self,
        reply: ttypes.AgentReply,
        report: ttypes.AgentReport,
        worker: ttypes.PoolWorker | None,
        sent_s: float,
        listed_end_number: int,
    ) -> None:
        self._reply_term = max(self._reply_term, reply.term)
        if reply.replaced_by:
            self._handle_replacement(reply.replaced_by)
            return
        self._must_resend_worker = reply.resend_worker
        if report.worker is not None:
            self._reported_worker = worker
        if reply.ends_recorded:
            self._state.remove_reported_ends(report, reply, listed_end_number)
        if reply.lease_ms:
            self._has_had_lease = True
            self._state.update_lease(
                lease.Lease(
                    end_s=sent_s + reply.lease_ms / 1000,
                    term=reply.term,
                    min_orders_version=reply.orders_version,
                )
            )

    def _handle_replacement(self, incarnation: int) -> None:
        """Handles a reply that a later start of this agent has reported.

        Args:
            incarnation: The incarnation of the later start.

        Raises:
            ConflictError: The agent has had a lease, so another process replaced it.
        """
        if not self._has_had_lease:
            # The machine's clock restarted since the agent's previous start.
            self._incarnation = incarnation + 1
            return
        logs.event("replaced", level="ERROR", incarnation=incarnation)
        raise errors.ConflictError(
            "a later start of this agent has reported to the leader"
        )
