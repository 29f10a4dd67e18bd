"""Client for an entry's calls to the leader about jobs, routing and evacuations.

All calls are idempotent, as a job or an order has an id and a routing a version. A call
whose answer was lost is retried. If no leader answers within a limit, a call that was
not sent fails early enough for the caller to try another process; one that may have
taken effect is repeated for longer, until a leader tells its outcome. In a longer outage
most submissions fail at once.
"""

from collections.abc import Callable
from concurrent import futures
import contextlib
import dataclasses
import threading
import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.coordination.leadership import call_facts
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.coordination.leadership import control_link
from marigoldsill.coordination.leadership import leader_outage
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from marigoldsill.transport import logs

# A commit takes about 10 ms. If the leader does not answer within this time, the next
# attempt searches for the leader again.
_ATTEMPT_TIMEOUT_S = 0.8
_RETRY_PAUSE_S = 0.05
# If the call may have taken effect, its id lets the next leader settle the outcome. This
# is enough for a lost leader to be noticed and for two elections.
_SETTLE_LIMIT_S = 4.0
_IDLE_LINKS_LIMIT = 32
# The search for a leader ends when no caller has come for this long.
_CALLERS_LIMIT_S = 10.0
# Calls without side effects: if the answer is lost, nothing was changed.
_READ_METHODS = frozenset({"job_state", "pending_jobs", "routing"})
# Asked for in a search for a leader: any leader answers that there is no such job.
_NO_JOB = ttypes.JobAddress(host="", path="/")


@dataclasses.dataclass(slots=True, frozen=True)
class CallContext:
    """The deadline and the request id of a call, and whether it is still needed.

    Attributes:
        deadline: When the caller stops waiting.
        request_id: The id that the caller gave the request; may be empty.
        is_abandoned: Returns whether the caller has disconnected, after which the call
            is not sent any more.
    """

    deadline: deadlines.Deadline
    request_id: str = ""
    is_abandoned: Callable[[], bool] = lambda: False


class JobClient:
    """Calls the leader over a small pool of links."""

    def __init__(self, *, addresses: control_addresses.ControlAddresses):
        """Initializes the client without opening a link.

        Args:
            addresses: Addresses at which to search for the leader; may change
                while the client is in use.
        """
        self._addresses = addresses
        self._lock = threading.Lock()
        self._idle: list[control_link.ControlLink] = []
        self._outage = leader_outage.LeaderOutage()
        self._search_pool = futures.ThreadPoolExecutor(1, "leader-search")
        self._closing = threading.Event()
        self._last_call_s = 0.0

    def submit(
        self,
        address: ttypes.JobAddress,
        job: ttypes.Job,
        *,
        context: CallContext,
    ) -> ttypes.JobReply:
        """Submits a job."""
        return self._call("submit_job", address, job, context=context)

    def get_state(
        self, address: ttypes.JobAddress, *, context: CallContext
    ) -> ttypes.JobReply:
        """Returns the state of a job."""
        return self._call("job_state", address, context=context)

    def cancel(
        self, address: ttypes.JobAddress, *, context: CallContext
    ) -> ttypes.JobReply:
        """Cancels a job."""
        return self._call("cancel_job", address, context=context)

    def count_pending(
        self, address: ttypes.JobAddress, *, context: CallContext
    ) -> ttypes.JobReply:
        """Returns how many jobs of a queue have not started."""
        return self._call("pending_jobs", address, context=context)

    def replace_routing(
        self, routing: ttypes.Routing, *, context: CallContext
    ) -> None:
        """Replaces the routing, unless a later version is in force."""
        self._call("replace_routing", routing, context=context)

    def set_evacuation(
        self, evacuation: ttypes.SetEvacuation, *, context: CallContext
    ) -> None:
        """Begins or ends the evacuation of a data centre.

        All attempts of one call share a command id, so that an attempt that takes
        effect late does not revert an order that was given after this call.
        """
        self._call(
            "set_evacuation", evacuation, str(uuid.uuid4()), context=context
        )

    def get_routing(self, *, context: CallContext) -> ttypes.RoutingReply:
        """Returns the routing in force."""
        return self._call("routing", context=context)

    def close(self) -> None:
        """Closes the idle links and ends the search for a leader."""
        self._closing.set()
        self._search_pool.shutdown(wait=False)
        with self._lock:
            links, self._idle = self._idle, []
        for link in links:
            link.close()

    def _call(
        self, method: str, *requests: object, context: CallContext
    ) -> object:
        """Calls with retries, and records the call in the log and the metrics.

        Raises:
            NoQuorumError: No leader answered; nothing was done.
            NotRunError: The caller disconnected before the call was sent.
            UnknownOutcomeError: The call may have taken effect, or still may.
        """
        start_s = self._last_call_s = time.monotonic()
        outcome = "failed"
        failure: dict[str, str] = {}
        try:
            if method == "submit_job":
                self._reject_in_long_outage(requests)
            reply = self._call_with_retries(method, requests, context)
            outcome = call_facts.outcome_of(reply)
            return reply
        except errors.MarigoldsillError as error:
            outcome = error.kind
            failure = {"reason": error.message}
            raise
        finally:
            took_s = time.monotonic() - start_s
            job_metrics.CALLS.labels(method, outcome).inc()
            job_metrics.CALL_SECONDS.labels(method).observe(took_s)
            logs.event(
                "job_call",
                call=method,
                about=call_facts.subject_of(requests),
                request=context.request_id,
                outcome=outcome,
                took_ms=round(took_s * 1000),
                left_ms=round(context.deadline.remaining_s() * 1000),
                **failure,
            )

    def _call_with_retries(
        self,
        method: str,
        requests: tuple[object, ...],
        context: CallContext,
    ) -> object:
        deadline = context.deadline
        unknown_outcome: errors.UnknownOutcomeError | None = None
        last_failure = "the call's time was over"
        start_s = time.monotonic()
        while left_s := deadline.remaining_s():
            if context.is_abandoned():
                raise unknown_outcome or errors.NotRunError(
                    "the caller has disconnected; nothing was done",
                    retry_after_ms=call_facts.retry_after_ms(requests),
                )
            call_facts.set_age(requests, time.monotonic() - start_s)
            try:
                return self._attempt(
                    method, requests, min(left_s, _ATTEMPT_TIMEOUT_S)
                )
            except errors.UnknownOutcomeError as error:
                if method not in _READ_METHODS:
                    unknown_outcome = error
                last_failure = error.message
            except errors.NoQuorumError as error:
                last_failure = error.message
                time.sleep(min(_RETRY_PAUSE_S, deadline.remaining_s()))
            limit_s = leader_outage.ELECTION_LIMIT_S
            if unknown_outcome is not None:
                limit_s = _SETTLE_LIMIT_S
            if time.monotonic() - start_s > limit_s:
                break
        if unknown_outcome is not None:
            raise unknown_outcome
        raise errors.NoQuorumError(
            "no leader of control answered in time, nothing was done: "
            f"{last_failure}",
            retry_after_ms=call_facts.retry_after_ms(requests),
        )

    def _reject_in_long_outage(self, requests: tuple[object, ...]) -> None:
        """Rejects a submission if waiting for a leader would not pay.

        Raises:
            NoQuorumError: No leader has answered for some time; nothing was sent.
        """
        now_s = time.monotonic()
        if not self._outage.is_long(now_s=now_s):
            return
        job_metrics.OUTAGE_REJECTIONS.inc()
        raise errors.NoQuorumError(
            "no leader of control has answered for "
            f"{self._outage.age_s(now_s=now_s):.1f} s; nothing was done",
            retry_after_ms=call_facts.retry_after_ms(requests),
        )

    def _attempt(
        self, method: str, requests: tuple[object, ...], timeout_s: float
    ) -> object:
        """Calls once, and records whether a leader answered."""
        try:
            reply = self._call_once(method, requests, timeout_s)
        except (errors.NoQuorumError, errors.UnknownOutcomeError):
            if self._outage.record_failure(now_s=time.monotonic()):
                self._start_search()
            raise
        self._outage.record_answer(now_s=time.monotonic())
        return reply

    def _start_search(self) -> None:
        with contextlib.suppress(RuntimeError):  # the client is being closed
            self._search_pool.submit(self._search_leader)

    def _search_leader(self) -> None:
        """Calls control until a leader answers, once an outage is a long one.

        Without callers nobody needs the result, so the search ends; the next call
        that fails begins a new outage.
        """
        wait_s = leader_outage.ELECTION_LIMIT_S
        while not self._closing.wait(wait_s) and self._outage.is_ongoing:
            if time.monotonic() - self._last_call_s > _CALLERS_LIMIT_S:
                self._outage.abandon()
                return
            wait_s = leader_outage.SEARCH_INTERVAL_S
            with contextlib.suppress(errors.MarigoldsillError):
                self._attempt("job_state", (_NO_JOB,), _ATTEMPT_TIMEOUT_S)

    def _call_once(
        self, method: str, requests: tuple[object, ...], timeout_s: float
    ) -> object:
        link = self._acquire_link()
        try:
            result = link.call(method, *requests, timeout_s=timeout_s)
        except errors.MarigoldsillError:
            self._release_link(link)
            raise
        self._release_link(link)
        return result

    def _acquire_link(self) -> control_link.ControlLink:
        with self._lock:
            if self._idle:
                return self._idle.pop()
        return control_link.ControlLink(addresses=self._addresses)

    def _release_link(self, link: control_link.ControlLink) -> None:
        with self._lock:
            if len(self._idle) < _IDLE_LINKS_LIMIT:
                self._idle.append(link)
                return
        with contextlib.suppress(OSError):
            link.close()
