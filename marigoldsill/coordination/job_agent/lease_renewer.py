"""The thread that renews the worker's lease and receives its listings."""

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.transport import clock
from marigoldsill.transport import dependency_log
from marigoldsill.transport import logs

# How long the worker may delay its answer; it limits the age of samples.
_ANSWER_WAIT_MS = 1_000
# The same while tasks that interfere with each other share the worker.
_SHARED_ANSWER_WAIT_MS = 250
# The same while ends of runs wait for a listing, and after a call without an answer.
_SHORT_ANSWER_WAIT_MS = 20
# Maximum wait until control has recorded reported ends. Before that, the worker would
# list them again at once.
_UNRECORDED_ENDS_WAIT_S = 0.1
_PAUSE_S = 0.1


class LeaseRenewer:
    """Renews the lease of the worker's runs as long as there is a worker."""

    def __init__(
        self,
        *,
        state: agent_state.AgentState,
        worker: run_worker.RunWorker,
        lease_limit_s: float,
    ):
        """Initializes the renewer.

        Args:
            state: The agent's state.
            worker: The worker.
            lease_limit_s: The longest lease that the worker accepts.
        """
        self._state = state
        self._worker = worker
        self._dependency = dependency_log.DependencyLog("worker")
        self._lease_limit_s = lease_limit_s
        self._is_last_call_answered = True

    def run(self) -> None:
        """Renews the lease until the agent stops."""
        while worker_id := self._wait_for_worker():
            self.try_renew(worker_id)

    def try_renew(self, worker_id: str) -> None:
        """Renews the lease once; a failure is recorded rather than raised."""
        current_id = self._state.worker_id
        try:
            self.renew(worker_id)
        except errors.OtherWorkerError as error:
            if worker_id != current_id:
                logs.event(
                    "incarnation_refused", worker_id=worker_id, held=current_id
                )
            self._state.end_incarnation(
                worker_id,
                reason="another incarnation answered a call to it",
                answering_id=error.answering_id,
            )
        except errors.MarigoldsillError as error:
            if current_id in ("", worker_id):
                self._dependency.record_failure(error.kind, error.message)
            with self._state.changed:
                self._state.record_unreachable(
                    worker_id,
                    is_broken=isinstance(error, errors.TransportError)
                    and not error.timed_out,
                )
                self._state.changed.wait(_PAUSE_S)

    def next_incarnation(self) -> str:
        """Returns the incarnation of the worker to call next, or empty."""
        return self._state.next_incarnation()

    def lease_end_s(self) -> float | None:
        """Returns until when the worker's runs may continue, or None without a lease."""
        lease = self._state.lease
        if not lease.is_live:
            return None
        return min(lease.end_s, clock.now_s() + self._lease_limit_s)

    def issue_deadline_ms(self) -> int | None:
        """Returns a deadline to send to the worker, on its clock.

        It is None if there is no lease, if the worker's clock is not known, or while
        calls that begin runs or renew the lease are withheld.
        """
        state = self._state
        if state.late_calls.withholds_calls(
            state.worker_id, now_s=clock.now_s()
        ):
            return None
        end_s = self.lease_end_s()
        return (
            None
            if end_s is None
            else self._state.worker_clock.issue_deadline_ms(end_s)
        )

    def _wait_for_worker(self) -> str:
        """Waits for an incarnation to call; empty when the agent stops."""
        state = self._state
        with state.changed:
            while not state.is_stopping:
                if state.ends:
                    state.changed.wait_for(
                        lambda: state.is_stopping or not state.ends,
                        _UNRECORDED_ENDS_WAIT_S,
                    )
                if worker_id := self.next_incarnation():
                    return worker_id
                state.changed.wait()
        return ""

    def _answer_wait_ms(self, worker_id: str, *, acknowledged: int) -> int:
        # No run would start on a later incarnation for a time if the worker crashed
        # before it answers an acknowledgement.
        if acknowledged and incarnation_ids.keeps_name(worker_id):
            return 0
        # Where connections break again and again, no answer that waits ever arrives, and
        # the worker would count as unresponsive.
        if not self._is_last_call_answered:
            return _SHORT_ANSWER_WAIT_MS
        with self._state.changed:
            if self._state.late_starts.pending_keys:
                return _SHORT_ANSWER_WAIT_MS
        return (
            _SHARED_ANSWER_WAIT_MS
            if self._state.held.are_shared
            else _ANSWER_WAIT_MS
        )

    def renew(self, worker_id: str) -> None:
        """Renews the lease of the worker's runs once and records its listing.

        Raises:
            OtherWorkerError: Another incarnation of the worker answered.
            RunRefusedError: The worker knows a later leader.
            TransportError: No answer came.
        """
        state = self._state
        is_known = worker_id == state.worker_id
        deadline_ms = None
        # The lease of a worker that may have ended must expire some time.
        if is_known and not state.departures.is_unanswered(worker_id):
            deadline_ms = self.issue_deadline_ms()
        acknowledged = state.acknowledged_for(worker_id)
        wait_ms = 0
        if deadline_ms is not None:
            wait_ms = self._answer_wait_ms(worker_id, acknowledged=acknowledged)
        called_s = clock.now_s()
        try:
            listing = self._worker.renew_lease(
                worker_id,
                token=state.term,
                acknowledged=acknowledged,
                deadline_ms=deadline_ms,
                wait_ms=wait_ms,
            )
        except errors.MarigoldsillError as error:
            if isinstance(error, errors.TransportError):
                self._is_last_call_answered = False
            if _has_broken(error):
                self._record_broken_wait(worker_id, called_s, wait_ms)
            if _may_have_effect(error):
                self._record_unanswered(
                    is_acknowledgement=acknowledged > 0,
                    is_renewal=deadline_ms is not None,
                )
            raise
        self._is_last_call_answered = True
        self._dependency.record_success()
        state.confirm_incarnation(worker_id)
        received_s = clock.now_s()
        with state.changed:
            state.late_calls.record_answer(
                worker_id, acknowledged=acknowledged, now_s=received_s
            )
            state.late_starts.record_answer(
                called_s=called_s, received_s=received_s
            )
            state.record_answer(worker_id)
        state.worker_clock.record_reading(
            listing.clock_ms, worker_id=worker_id, received_s=received_s
        )
        state.last_answer_s = received_s
        state.record_listing(listing)
        if listing.unread_ended_count:
            # Unreadable ends are never acknowledged, so the worker would answer the
            # next call at once.
            with state.changed:
                state.changed.wait(_PAUSE_S)

    def _record_broken_wait(
        self, worker_id: str, called_s: float, wait_ms: int
    ) -> None:
        """Records a call that may have broken off while it waited for an end."""
        with self._state.changed:
            if worker_id == self._state.worker_id:
                self._state.held.contact.record_broken_wait(
                    duration_s=clock.now_s() - called_s, limit_s=wait_ms / 1000
                )

    def _record_unanswered(
        self, *, is_acknowledgement: bool, is_renewal: bool
    ) -> None:
        late_calls = self._state.late_calls
        now_s = clock.now_s()
        with self._state.changed:
            if is_acknowledgement:
                late_calls.record_unanswered_acknowledgement(now_s=now_s)
            if is_renewal:
                late_calls.record_unanswered_renewal(now_s=now_s)


def _has_broken(error: errors.MarigoldsillError) -> bool:
    """Whether the connection of a call broke, as it does if the worker crashes."""
    match error:
        case errors.TransportError():
            return not error.timed_out
        case errors.OtherWorkerError():
            # The call was sent again, to the next incarnation. One that has the same
            # id may have waited itself.
            return not error.answering_id
        case _:
            return False


def _may_have_effect(error: errors.MarigoldsillError) -> bool:
    """Whether a call that failed may have been carried out, or may be late."""
    match error:
        case errors.TransportError():
            return error.sent
        case (
            errors.OtherWorkerError()
            | errors.WorkerUnwellError()
            | errors.RunRefusedError()
        ):
            return False
        case _:
            return True
