"""A caller's request on its way: route, claim, dispatch, answer."""

import dataclasses
import hashlib
import threading
import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination import control_link
from marigoldsill.coordination import routing
from marigoldsill.coordination import subscriber as subscriber_module
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import Agent
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import cuts
from marigoldsill.transport import thrift_client

_ATTEMPTS_LIMIT = 3
_CLAIM_TIMEOUT_S = 2.0
_CLAIM_LIFE_MS = 24 * 3_600_000
_CONNECTIONS_PER_AGENT = 64


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A caller's request.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path with its query, as the endpoint gets it.
        headers: As (name, value).
        body: Whole.
        key: Idempotency key of a non-idempotent request, or empty.
        idempotent: Whether it may be run again.
        deadline_s: On the monotonic clock.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    idempotent: bool
    deadline_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The whole answer to a call."""

    status_code: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Caller:
    """Carries calls to agents and whole answers back."""

    def __init__(
        self,
        *,
        entry: str,
        router: routing.Router,
        subscriber: subscriber_module.Subscriber,
        control_addresses: tuple[str, ...],
        cut_switch: cuts.Cuts | None = None,
    ):
        self._entry = entry
        self._router = router
        self._subscriber = subscriber
        self._cuts = cut_switch
        self._link = control_link.ControlLink(
            addresses=control_addresses, cut_switch=cut_switch
        )
        self._lock = threading.Lock()
        self._idle: dict[str, list[thrift_client.Connection]] = {}

    def run(self, call: Call) -> Answer:
        """Runs a call.

        Raises:
            NotRunError: It was not run and will not be.
            UnknownOutcomeError: It may have run.
            KeyReusedError: The key came with another request before.
        """
        if call.idempotent:
            return self._attempt_all(call, str(uuid.uuid4()))
        return self._run_claimed(call)

    def _run_claimed(self, call: Call) -> Answer:
        claim = self._claim(call)
        try:
            answer = self._attempt_all(call, f"{call.key}.{claim.attempt}")
        except errors.NotRunError:
            self._end(claim, ttypes.ClaimState.NOT_RUN, None)
            raise
        except errors.UnknownOutcomeError:
            self._end(claim, ttypes.ClaimState.UNKNOWN, None)
            raise
        self._end(claim, ttypes.ClaimState.DONE, answer)
        return answer

    def _claim(self, call: Call) -> ttypes.Claim:
        wanted = ttypes.Claim(
            key=f"{call.service}/{call.key}",
            request_digest=_digest(call),
            entry=self._entry,
            agent="",
            expires_unix_ms=time.time_ns() // 1_000_000 + _CLAIM_LIFE_MS,
        )
        try:
            result = self._link.call(
                "claim",
                ttypes.PutClaim(claim=wanted),
                timeout_s=_CLAIM_TIMEOUT_S,
            )
        except errors.UnknownOutcomeError as error:
            # Nothing was dispatched: whoever asks again finds the claim.
            raise errors.NoQuorumError(
                "the request could not be claimed; it was not run",
                retry_after_ms=1000,
            ) from error
        return _claim_or_answer(result, call)

    def _end(
        self,
        claim: ttypes.Claim,
        state: ttypes.ClaimState,
        answer: Answer | None,
    ) -> None:
        end = ttypes.EndClaim(
            key=claim.key,
            attempt=claim.attempt,
            state=state,
            status_code=answer.status_code if answer else 0,
            body=answer.body if answer else b"",
        )
        try:
            self._link.call("end_claim", end, timeout_s=_CLAIM_TIMEOUT_S)
        except errors.MarigoldsillError:
            return

    def _attempt_all(self, call: Call, request_id: str) -> Answer:
        excluded: frozenset[str] = frozenset()
        for attempt in range(1, _ATTEMPTS_LIMIT + 1):
            route = self._router.pick(call.service, excluded=excluded)
            try:
                return self._attempt(call, route, request_id, attempt)
            except errors.NotRunError:
                if attempt == _ATTEMPTS_LIMIT:
                    raise
            except errors.UnknownOutcomeError:
                if not call.idempotent or attempt == _ATTEMPTS_LIMIT:
                    raise
            finally:
                self._router.done(route)
            excluded |= {route.agent}
        raise errors.NotRunError(f"{call.service!r} took no request")

    def _attempt(
        self, call: Call, route: ttypes.Route, request_id: str, attempt: int
    ) -> Answer:
        left_s = call.deadline_s - time.monotonic()
        if left_s <= 0:
            raise errors.NotRunError("the deadline passed before the dispatch")
        request = ttypes.CallRequest(
            request_id=request_id,
            attempt=attempt,
            service_name=call.service,
            method=call.method,
            path=call.path,
            headers=[ttypes.Header(name=n, value=v) for n, v in call.headers],
            body=call.body,
            budget_ms=int(left_s * 1000),
            idempotent=call.idempotent,
        )
        connection = self._take(route.agent_address)
        try:
            reply = connection.call("call", request, timeout_s=left_s)
        except ttypes.Refused as error:
            self._give_back(connection)
            reason = ttypes.RefusalReason(error.reason).name.lower()
            raise errors.OverloadedError(
                f"{route.agent} refused the request: {reason}",
                retry_after_ms=error.retry_after_ms,
            ) from error
        except ttypes.UnknownOutcome as error:
            self._give_back(connection)
            raise errors.UnknownOutcomeError(error.detail) from error
        except errors.TransportError as error:
            connection.close()
            if error.sent:
                raise errors.UnknownOutcomeError(error.message) from error
            raise errors.NotRunError(error.message) from error
        self._give_back(connection)
        return _checked(reply, request_id)

    def _take(self, address: str) -> thrift_client.Connection:
        with self._lock:
            idle = self._idle.get(address)
            if idle:
                return idle.pop()
        return thrift_client.Connection(
            address=address,
            service_name="agent",
            client_class=Agent.Client,
            cut_switch=self._cuts,
        )

    def _give_back(self, connection: thrift_client.Connection) -> None:
        with self._lock:
            idle = self._idle.setdefault(connection.address, [])
            if len(idle) < _CONNECTIONS_PER_AGENT:
                idle.append(connection)
                return
        connection.close()


def _claim_or_answer(result: ttypes.CommandResult, call: Call) -> ttypes.Claim:
    match result.outcome:
        case ttypes.Outcome.OK:
            return result.claim
        case ttypes.Outcome.KEY_REUSED:
            raise errors.KeyReusedError(
                f"idempotency key {call.key!r} came before with another "
                "request; use a new key for a new request"
            )
        case _ if result.claim.state == ttypes.ClaimState.DONE:
            raise RecordedAnswer(result.claim)
        case _:
            raise errors.UnknownOutcomeError(
                f"a request with idempotency key {call.key!r} was already "
                "dispatched and its outcome is not known"
            )


class RecordedAnswer(errors.MarigoldsillError):  # noqa: N818
    """The key's request has run; its recorded answer is given again."""

    def __init__(self, claim: ttypes.Claim):
        super().__init__(f"{claim.key} has run")
        self.answer = Answer(claim.status_code, (), claim.body)


def _checked(reply: ttypes.CallReply, request_id: str) -> Answer:
    if reply.request_id != request_id:
        raise errors.UnknownOutcomeError(
            f"an answer to {reply.request_id} came for {request_id}"
        )
    if codec.digest(reply.body) != reply.body_digest:
        raise errors.UnknownOutcomeError("the answer came damaged")
    headers = tuple((h.name, h.value) for h in reply.headers)
    return Answer(reply.status_code, headers, reply.body)


def _digest(call: Call) -> bytes:
    hasher = hashlib.sha256()
    for part in (call.method, call.path):
        hasher.update(part.encode() + b"\0")
    hasher.update(call.body)
    return hasher.digest()
