"""Attempts to run a request: each sends it to one agent for an answer."""

import dataclasses

from marigoldsill import errors
from marigoldsill.coordination.requests import agent_connection_pool
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from marigoldsill.transport import hangups
from marigoldsill.transport import thrift_client

# Part of an attempt's time that the agent may not use, for the way of the answer.
_ANSWER_MARGIN_S = 0.02
_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A caller's request.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path with the query, as sent to the endpoint.
        headers: Pairs (name, value) of the headers to forward.
        body: The complete body.
        key: Idempotency key of a non-idempotent request, or empty.
        idempotent: Whether it may run more than once.
        deadline: When an answer is of no more use to the caller.
        hangup: Reports that the caller has disconnected.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    idempotent: bool
    deadline: deadlines.Deadline
    hangup: hangups.Hangup


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The complete answer to a call."""

    status_code: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the endpoint reported a server error."""
        return self.status_code >= _SERVER_ERROR_STATUS


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """The agent of an attempt and the attempt's identity there.

    Attributes:
        route: The route to the agent.
        request_id: Id of the request, the same for all its attempts.
        number: Number of the attempt, unique among those of the request.
        claim: The claim of a non-idempotent request, or None.
    """

    route: ttypes.Route
    request_id: str
    number: int
    claim: ttypes.Claim | None = None


class AttemptRunner:
    """Runs attempts and reports their results to the router."""

    def __init__(
        self,
        *,
        router: routing.Router,
        connections: agent_connection_pool.AgentConnectionPool,
    ):
        self._router = router
        self._connections = connections

    def run(
        self, call: Call, target: Target, deadline: deadlines.Deadline
    ) -> Answer:
        """Runs one attempt.

        Args:
            call: The request.
            target: The agent; the router counted the attempt when it picked the
                route.
            deadline: The attempt's deadline, not later than the call's.

        Raises:
            NotRunError: This attempt did not run the request and never will.
            UnknownOutcomeError: The request may have run.
        """
        try:
            answer = self._send(call, target, deadline)
        except errors.UnknownOutcomeError as error:
            if not isinstance(error, errors.CallerGoneError):
                self._router.record_failure(target.route)
            raise
        finally:
            self._router.record_end(target.route)
        return answer

    def _send(
        self, call: Call, target: Target, deadline: deadlines.Deadline
    ) -> Answer:
        left_s = deadline.remaining_s()
        if left_s <= _ANSWER_MARGIN_S:
            raise errors.NotRunError(
                "the deadline passed before the request was sent to an agent"
            )
        request = _build_request(call, target, left_s)
        connection = self._connections.acquire(target.route.agent_address)
        try:
            reply = _exchange(call, request, connection, timeout_s=left_s)
        except ttypes.Refused as error:
            self._connections.release(connection)
            raise self._refusal_error(call, target, error) from error
        except ttypes.UnknownOutcome as error:
            self._connections.release(connection)
            if call.deadline.has_passed():
                raise _deadline_error(call) from error
            raise errors.UnknownOutcomeError(error.detail) from error
        except errors.TransportError as error:
            raise self._transport_error(
                call, target, connection, error
            ) from error
        return self._verified_answer(reply, target, connection)

    def _verified_answer(
        self,
        reply: ttypes.CallReply,
        target: Target,
        connection: thrift_client.Connection,
    ) -> Answer:
        """The answer in a reply, after checks of its request id and digest."""
        if reply.request_id != target.request_id:
            connection.close()
            request_metrics.WRONG_ANSWERS.inc()
            raise errors.UnknownOutcomeError(
                f"received an answer to request {reply.request_id!r}, expected "
                f"one to {target.request_id!r}; it was dropped"
            )
        if codec.digest(reply.body) != reply.body_digest:
            connection.close()
            request_metrics.WRONG_ANSWERS.inc()
            raise errors.UnknownOutcomeError(
                f"the answer of {target.route.agent} does not match its digest"
            )
        self._connections.release(connection)
        answer = Answer(
            reply.status_code,
            tuple((h.name, h.value) for h in reply.headers),
            reply.body,
        )
        self._router.record_load(
            target.route, in_flight=reply.in_flight, queued=reply.queued
        )
        if answer.is_failure:
            self._router.record_failure(target.route)
        else:
            self._router.record_success(target.route)
        return answer

    def _refusal_error(
        self, call: Call, target: Target, error: ttypes.Refused
    ) -> errors.MarigoldsillError:
        """The error for a refusal, which is reported to the router."""
        agent = target.route.agent
        match error.reason:
            case ttypes.RefusalReason.DUPLICATE:
                return errors.UnknownOutcomeError(
                    f"{agent} received this request before"
                )
            case ttypes.RefusalReason.DRAINING:
                self._router.record_draining(target.route)
                return errors.DrainingError(
                    f"{agent} is draining and accepts no new requests",
                    retry_after_ms=error.retry_after_ms,
                )
            case ttypes.RefusalReason.OVERLOADED:
                self._router.record_load(
                    target.route,
                    in_flight=error.in_flight,
                    queued=error.queued,
                )
                return errors.OverloadedError(
                    f"{agent} is overloaded: its queue is full",
                    retry_after_ms=error.retry_after_ms,
                )
            case ttypes.RefusalReason.TOO_LATE:
                return errors.OverloadedError(
                    f"{agent} is overloaded: no free slot before the deadline",
                    retry_after_ms=error.retry_after_ms,
                )
            case ttypes.RefusalReason.CANCELLED:
                return errors.NotRunError(f"{agent} cancelled the request")
            case _:
                self._router.record_failure(target.route)
                return errors.NoEndpointError(
                    f"{agent} could not reach an endpoint of {call.service!r}",
                    retry_after_ms=error.retry_after_ms or None,
                )

    def _transport_error(
        self,
        call: Call,
        target: Target,
        connection: thrift_client.Connection,
        error: errors.TransportError,
    ) -> errors.MarigoldsillError:
        """The error for a failed connection; cancels an attempt that was sent."""
        connection.close()
        if not error.sent:
            self._router.record_failure(target.route)
            return errors.NoEndpointError(error.message)
        self._connections.send_cancel(
            target.route.agent_address, target.request_id, target.number
        )
        if call.hangup.is_disconnected:
            return errors.CallerGoneError("the caller has disconnected")
        if call.deadline.has_passed():
            return _deadline_error(call)
        return errors.UnknownOutcomeError(error.message)


def _exchange(
    call: Call,
    request: ttypes.CallRequest,
    connection: thrift_client.Connection,
    *,
    timeout_s: float,
) -> ttypes.CallReply:
    """Sends a request; a caller that disconnects meanwhile aborts an idempotent one."""
    if call.idempotent:
        call.hangup.set_callback(connection.abort)
    try:
        return connection.call("call", request, timeout_s=timeout_s)
    finally:
        # Before the connection is released, as it may carry another call then.
        call.hangup.set_callback(None)


def _build_request(
    call: Call, target: Target, left_s: float
) -> ttypes.CallRequest:
    claim = target.claim
    return ttypes.CallRequest(
        request_id=target.request_id,
        attempt=target.number,
        service_name=call.service,
        method=call.method,
        path=call.path,
        headers=[ttypes.Header(name=n, value=v) for n, v in call.headers],
        body=call.body,
        budget_ms=int((left_s - _ANSWER_MARGIN_S) * 1000),
        idempotent=call.idempotent,
        agent_incarnation=claim.agent_incarnation if claim else 0,
        claim_sequence=claim.sequence if claim else 0,
    )


def _deadline_error(call: Call) -> errors.DeadlineExceededError:
    return errors.DeadlineExceededError(
        f"no complete answer from {call.service!r} before the deadline"
    )
