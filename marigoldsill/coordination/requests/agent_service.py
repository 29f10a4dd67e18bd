"""The agent's service for entries: runs requests on its endpoints."""

from collections.abc import Callable
import time

from marigoldsill import errors
from marigoldsill.coordination.requests import admission as admission_module
from marigoldsill.coordination.requests import attempt_registry
from marigoldsill.coordination.requests import request_latency
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.coordination.requests import service_queue
from marigoldsill.protocol import codec
from marigoldsill.protocol import headers as headers_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from marigoldsill.transport import http_client
from marigoldsill.transport.curl import cancellation as cancellation_module

_OWN_HEADERS = frozenset(
    {
        headers_module.REQUEST_ID.lower(),
        headers_module.TIMEOUT_MS.lower(),
    }
)


class AgentService:
    """Handles the thrift service `Agent`."""

    def __init__(
        self,
        *,
        admission: admission_module.AdmissionController,
        get_incarnation: Callable[[], int],
        latency: request_latency.RequestLatency,
    ):
        """Initializes the service.

        Args:
            admission: Admission control of this worker's endpoints.
            get_incarnation: Returns the agent's incarnation, which claims
                contain.
            latency: Records how long each complete answer took.
        """
        self._admission = admission
        self._get_incarnation = get_incarnation
        self._latency = latency
        self._registry = attempt_registry.AttemptRegistry()
        self._client = http_client.Client()

    def call(self, request: ttypes.CallRequest) -> ttypes.CallReply:
        """Runs a request and returns the endpoint's complete answer.

        Raises:
            Refused: The request was not run, and no copy of it will be.
            UnknownOutcome: The request was sent to an endpoint, which returned
                no complete answer.
        """
        deadline = deadlines.Deadline.after(request.budget_ms / 1000)
        attempt = self._register(request)
        try:
            slots = self._admission.acquire(
                request.service_name,
                deadline=deadline,
                idempotent=request.idempotent,
                register_cancel=lambda cancel: (
                    self._registry.set_cancel_callback(attempt, cancel)
                ),
            )
        except ttypes.Refused as error:
            self._registry.mark_refused(attempt)
            _count_refusal(error.reason)
            raise
        return self._run_attempt(request, attempt, slots, deadline)

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Cancels an attempt.

        Returns:
            Whether the attempt has certainly not run and never will.
        """
        never_runs = self._registry.cancel(request_id, attempt)
        request_metrics.AGENT_CANCELS.inc()
        return never_runs

    def resolve(self, request: ttypes.ResolveRequest) -> ttypes.ResolveReply:
        """Returns the state of a claimed request and its answer, if stored."""
        if request.agent_incarnation != self._get_incarnation():
            return ttypes.ResolveReply(state=ttypes.ClaimState.UNKNOWN)
        return self._registry.resolve(request)

    def _register(
        self, request: ttypes.CallRequest
    ) -> attempt_registry.Attempt:
        if request.agent_incarnation not in (0, self._get_incarnation()):
            _count_refusal(ttypes.RefusalReason.OTHER_INCARNATION)
            raise ttypes.Refused(reason=ttypes.RefusalReason.OTHER_INCARNATION)
        try:
            return self._registry.register(request)
        except ttypes.Refused as error:
            _count_refusal(error.reason)
            raise

    def _run_attempt(
        self,
        request: ttypes.CallRequest,
        attempt: attempt_registry.Attempt,
        slots: service_queue.EndpointSlots,
        deadline: deadlines.Deadline,
    ) -> ttypes.CallReply:
        start_s = time.monotonic()
        busy_s = 0.0
        is_answered = is_unreachable = False
        try:
            if deadline.has_passed():
                self._registry.mark_refused(attempt)
                raise ttypes.Refused(reason=ttypes.RefusalReason.TOO_LATE)
            self._registry.mark_running(attempt)
            answer = self._fetch(slots.info, request, attempt, deadline)
            busy_s = time.monotonic() - start_s
            is_answered = True
        except ttypes.Refused as error:
            is_unreachable = error.reason == ttypes.RefusalReason.NO_ENDPOINT
            _count_refusal(error.reason)
            raise
        except ttypes.UnknownOutcome:
            busy_s = time.monotonic() - start_s
            raise
        finally:
            self._admission.release(
                request.service_name,
                slots,
                busy_s=busy_s,
                is_answered=is_answered,
                is_unreachable=is_unreachable,
            )
        self._latency.record(slots.info.task, busy_s)
        reply = self._build_reply(request, answer)
        if not self._registry.mark_done(attempt, reply):
            request_metrics.LATE_ANSWERS.inc()
        return reply

    def _fetch(
        self,
        info: ttypes.EndpointInfo,
        request: ttypes.CallRequest,
        attempt: attempt_registry.Attempt,
        deadline: deadlines.Deadline,
    ) -> http_client.HttpResponse:
        left_s = deadline.remaining_s()
        own_headers = (
            (headers_module.REQUEST_ID, request.request_id),
            (headers_module.TIMEOUT_MS, str(int(left_s * 1000))),
        )
        cancellation = cancellation_module.Cancellation()
        self._registry.set_cancel_callback(attempt, cancellation.cancel)
        try:
            answer = self._client.fetch(
                info.address,
                request.path,
                method=request.method,
                body=request.body,
                headers=(*_forwarded_headers(request), *own_headers),
                timeout_s=left_s,
                cancellation=cancellation,
                new_connection=not request.idempotent,
                complete_only=True,
            )
        except errors.TransportError as error:
            if not error.sent:
                self._registry.mark_refused(attempt)
                raise ttypes.Refused(
                    reason=ttypes.RefusalReason.NO_ENDPOINT, retry_after_ms=500
                ) from error
            self._registry.mark_unknown(attempt)
            raise ttypes.UnknownOutcome(detail=error.message) from error
        answered_id = answer.header(headers_module.REQUEST_ID)
        if answered_id not in ("", request.request_id):
            # Other answers on these connections cannot be trusted either.
            self._client.close_idle(info.address)
            self._registry.mark_unknown(attempt)
            request_metrics.WRONG_ANSWERS.inc()
            raise ttypes.UnknownOutcome(
                detail=f"the endpoint answered request {answered_id!r} "
                f"when asked {request.request_id!r}"
            )
        return answer

    def _build_reply(
        self, request: ttypes.CallRequest, answer: http_client.HttpResponse
    ) -> ttypes.CallReply:
        in_flight, queued = self._admission.request_counts(request.service_name)
        forwarded = headers_module.end_to_end(
            answer.headers, excluded=_OWN_HEADERS
        )
        if request.method == "HEAD":
            forwarded += [h for h in answer.headers if h[0] == "content-length"]
        return ttypes.CallReply(
            request_id=request.request_id,
            status_code=answer.status_code,
            headers=[ttypes.Header(name=n, value=v) for n, v in forwarded],
            body=answer.body,
            body_digest=codec.digest(answer.body),
            in_flight=in_flight,
            queued=queued,
        )


def _forwarded_headers(request: ttypes.CallRequest) -> list[tuple[str, str]]:
    return headers_module.end_to_end(
        ((h.name, h.value) for h in request.headers), excluded=_OWN_HEADERS
    )


def _count_refusal(reason: ttypes.RefusalReason) -> None:
    name = ttypes.RefusalReason(reason).name.lower()
    request_metrics.AGENT_REFUSALS.labels(reason=name).inc()
