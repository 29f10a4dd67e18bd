"""The thread that calls a worker that was deregistered until it has ended."""

import math

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.leadership import leases
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import run_worker
from marigoldsill.transport import clock

# Pauses between calls to a deregistered worker. They grow with the time since then, as it
# usually ends a few ms later.
_MIN_DEPARTURE_PAUSE_S = 0.01
_MAX_DEPARTURE_PAUSE_S = 0.25


class DepartureWatch:
    """Determines when a worker that was deregistered has ended.

    If the worker gets no acknowledgement, it ends some seconds later, and its runs
    continue until then. So it has ended only once another incarnation answers, its
    address refuses a connection, or it does not answer and its lease has expired.
    """

    def __init__(
        self,
        *,
        state: agent_state.AgentState,
        worker: run_worker.RunWorker,
        lease_limit_s: float,
    ):
        """Initializes the watch.

        Args:
            state: The agent's state.
            worker: The worker.
            lease_limit_s: The longest lease that the worker accepts.
        """
        self._state = state
        self._worker = worker
        self._lease_limit_s = lease_limit_s

    def run(self) -> None:
        """Calls deregistered workers until the agent stops."""
        state = self._state
        while not state.is_stopping:
            with state.changed:
                state.changed.wait_for(
                    lambda: state.is_stopping or not state.departures.is_empty
                )
            self.check()
            with state.changed:
                state.changed.wait_for(
                    lambda: state.is_stopping, self._pause_s()
                )

    def check(self) -> None:
        """Calls each deregistered incarnation once."""
        with self._state.changed:
            worker_ids = self._state.departures.open_ids(now_s=clock.now_s())
        for worker_id in worker_ids:
            self._check(worker_id)

    def _pause_s(self) -> float:
        age_s = clock.now_s() - self._state.departures.last_since_s
        return min(max(age_s, _MIN_DEPARTURE_PAUSE_S), _MAX_DEPARTURE_PAUSE_S)

    def _check(self, worker_id: str) -> None:
        state = self._state
        try:
            self._worker.renew_lease(
                worker_id,
                token=state.term,
                acknowledged=0,
                deadline_ms=None,
                wait_ms=0,
            )
        except errors.OtherWorkerError as error:
            state.end_incarnation(
                worker_id,
                reason="it deregistered, and another incarnation answers",
                answering_id=error.answering_id,
            )
        except errors.TransportError as error:
            self._handle_no_answer(worker_id, error)
        except errors.RunRefusedError:
            self._record_answer(worker_id)
        except errors.MarigoldsillError:
            # It does not tell which incarnation answered.
            return
        else:
            self._record_answer(worker_id)

    def _record_answer(self, worker_id: str) -> None:
        with self._state.changed:
            self._state.record_answer(worker_id)

    def _handle_no_answer(
        self, worker_id: str, error: errors.TransportError
    ) -> None:
        state = self._state
        reason = ""
        with state.changed:
            state.departures.record_unanswered(worker_id)
            if error.refused:
                reason = "it deregistered, and its address refuses connections"
            elif clock.now_s() > self._lease_end_s(worker_id):
                reason = "it deregistered and does not answer, and its lease has expired"
        if reason:
            state.end_incarnation(worker_id, reason=reason)

    def _lease_end_s(self, worker_id: str) -> float:
        """Returns when the lease of a deregistered incarnation has certainly expired.

        The result is infinite if the current one may not be the one that is meant.
        """
        state = self._state
        if worker_id != state.worker_id:
            # Only an earlier process of the agent may have renewed its lease.
            limit_s = leases.MARGIN_S + self._lease_limit_s * leases.DRIFT_RATIO
            return state.departures.since_s(worker_id) + max(
                limit_s, late_calls.effect_limit_s(self._lease_limit_s)
            )
        if not state.worker.draining:
            return math.inf
        end_s = state.worker_clock.lease_end_s(self._lease_limit_s)
        return max(end_s, state.late_calls.renewals_end_s)
