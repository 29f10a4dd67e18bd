"""What an agent does for entries: runs requests on its endpoints."""

import time

from marigoldsill import errors
from marigoldsill.coordination import admission as admission_module
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import http_client

_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "host"}
)


class AgentService:
    """Handles the thrift service `Agent`."""

    def __init__(self, *, admission: admission_module.Admission):
        self._admission = admission

    def call(self, request: ttypes.CallRequest) -> ttypes.CallReply:
        """Runs one request and returns the endpoint's whole answer."""
        end_s = time.monotonic() + request.budget_ms / 1000
        info = self._admission.enter(
            request.service_name, timeout_s=request.budget_ms / 1000
        )
        try:
            answer = self._fetch(info, request, end_s - time.monotonic())
        finally:
            self._admission.leave(info)
        in_flight, queued = self._admission.load()
        return ttypes.CallReply(
            request_id=request.request_id,
            status_code=answer.status_code,
            headers=[
                ttypes.Header(name=name, value=value)
                for name, value in answer.headers
                if name not in _HOP_HEADERS
            ],
            body=answer.body,
            body_digest=codec.digest(answer.body),
            in_flight=in_flight,
            queued=queued,
        )

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Cancels a request; whether it surely never runs."""
        return False

    def _fetch(
        self,
        info: ttypes.EndpointInfo,
        request: ttypes.CallRequest,
        timeout_s: float,
    ) -> http_client.HttpAnswer:
        headers = tuple(
            (h.name, h.value)
            for h in request.headers
            if h.name.lower() not in _HOP_HEADERS
        )
        try:
            answer = http_client.fetch(
                f"http://{info.address}{request.path}",
                method=request.method,
                body=request.body,
                headers=(*headers, ("X-Request-Id", request.request_id)),
                timeout_s=max(timeout_s, 0.001),
            )
        except errors.TransportError as error:
            if not error.sent:
                raise ttypes.Refused(
                    reason=ttypes.RefusalReason.NO_ENDPOINT
                ) from error
            raise ttypes.UnknownOutcome(detail=error.message) from error
        if answer.header("x-request-id", request.request_id) != (
            request.request_id
        ):
            raise ttypes.UnknownOutcome(
                detail="the endpoint answered another request's id"
            )
        return answer
