"""The errors that marigoldsill reports, with HTTP status and exit code.

A message says what was wrong, shows the value, and says what is expected or
what to do next.
"""


class MarigoldsillError(Exception):
    """Base of all errors of marigoldsill.

    Attributes:
        http_status: Status of an HTTP response that reports this error.
        exit_code: Exit status of a command that fails with this error.
        outcome: Outcome of a caller's request: "not-run", "unknown" or "answered", or
            empty if the error does not determine it.
        key_checked: Whether the outcome holds for all calls with the request's
            idempotency key, not only for this call.
        retry_after_ms: Delay after which a retry makes sense, or None.
    """

    http_status = 500
    exit_code = 1
    outcome = ""

    def __init__(self, message: str, *, retry_after_ms: int | None = None):
        super().__init__(message)
        self.message = message
        self.key_checked = False
        self.retry_after_ms = retry_after_ms

    @property
    def kind(self) -> str:
        """The name of the error as reported to callers; it never changes."""
        return type(self).__name__


class BadInputError(MarigoldsillError):
    """Input is invalid; nothing was changed."""

    http_status = 400
    exit_code = 2
    outcome = "not-run"


class SettingsError(BadInputError):
    """One or more settings are invalid; the message lists all of them."""


class IntentError(BadInputError):
    """An intent file is invalid."""


class TooLargeError(BadInputError):
    """The body of a request exceeds the size limit."""

    http_status = 413


class SlowRequestError(BadInputError):
    """A request did not arrive completely in time."""

    http_status = 408


class UnauthorizedError(BadInputError):
    """The request carries no valid operator token."""

    http_status = 401
    exit_code = 5


class NotFoundError(MarigoldsillError):
    """The named resource does not exist."""

    http_status = 404
    exit_code = 3
    outcome = "not-run"


class ConflictError(MarigoldsillError):
    """The request conflicts with another change, which the message names."""

    http_status = 409
    exit_code = 4


class StalePlanError(ConflictError):
    """The effects of the plan have changed since it was created."""


class GuardError(MarigoldsillError):
    """A guard rail requires an acknowledgement by name."""

    http_status = 428
    exit_code = 6


class KeyReusedError(ConflictError):
    """An idempotency key was used again with a different request."""

    http_status = 422
    outcome = "not-run"


class InProgressError(ConflictError):
    """A request with the same key is in progress; retry to get its answer."""

    outcome = "unknown"


class AnswerNotKeptError(ConflictError):
    """The request with the same key has run, but its answer was too large to store."""

    outcome = "answered"


class NotRunError(MarigoldsillError):
    """The request was not run and will not run."""

    http_status = 503
    exit_code = 7
    outcome = "not-run"


class OverloadedError(NotRunError):
    """The request was refused at once, because too much work is queued."""

    http_status = 429


class DrainingError(NotRunError):
    """The agent accepts no new requests, because it is draining."""


class NoEndpointError(NotRunError):
    """No endpoint of the service accepts new requests."""


class NoQuorumError(NotRunError):
    """Control has no majority at present; nothing was done."""


class NotLeaderError(NotRunError):
    """This control process is not the leader.

    Attributes:
        leader_address: Thrift address of the leader, or empty if it is unknown.
        leader_http: HTTP address of the leader, or empty if it is unknown.
    """

    http_status = 421

    def __init__(
        self, message: str, *, leader_address: str = "", leader_http: str = ""
    ):
        super().__init__(message, retry_after_ms=500)
        self.leader_address = leader_address
        self.leader_http = leader_http


class UnknownOutcomeError(MarigoldsillError):
    """The request may have run; no complete answer was received."""

    http_status = 502
    exit_code = 8
    outcome = "unknown"


class DeadlineExceededError(UnknownOutcomeError):
    """The deadline passed before a complete answer; the request may have run."""

    http_status = 504


class CallerGoneError(UnknownOutcomeError):
    """The caller disconnected before the answer; this error reaches nobody."""

    http_status = 499


class TransportError(MarigoldsillError):
    """The communication with a peer failed.

    Attributes:
        sent: Whether bytes of the request may have reached the peer.
        timed_out: Whether no answer came in time. If the connection broke instead, the
            peer may still execute a request that was sent as well.
        refused: Whether the peer's machine refused the connection, as no process
            listens at the address.
    """

    http_status = 502
    exit_code = 7

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        timed_out: bool = False,
        refused: bool = False,
    ):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out
        self.refused = refused


class PlatformError(MarigoldsillError):
    """An operation of the platform's worker was refused or failed."""


class AdviserBusyError(PlatformError):
    """The adviser accepts no more calls at present; it did nothing."""


class CapacityError(PlatformError):
    """The run does not fit the free capacity of the worker."""


class LeaseOverError(PlatformError):
    """The lease under which an operation was requested has expired."""


class RunRefusedError(PlatformError):
    """A worker refused an operation on a run and did nothing.

    Attributes:
        reason: A `run_worker.RefusalReason`.
    """

    def __init__(self, message: str, *, reason: str):
        super().__init__(message)
        self.reason = reason


class UnexpectedStatusError(PlatformError):
    """The worker's answer does not tell whether it carried out the operation."""


class OtherWorkerError(PlatformError):
    """A different incarnation of the worker answered than the intended one.

    Attributes:
        answering_id: The incarnation that answered, or empty if it did not tell.
    """

    def __init__(self, message: str, *, answering_id: str = ""):
        super().__init__(message)
        self.answering_id = answering_id


class WorkerUnwellError(PlatformError):
    """The worker is unhealthy and did nothing."""


class StorageError(MarigoldsillError):
    """The durable state could not be read or written; the process stops."""

    exit_code = 9


class DiskFullError(StorageError):
    """The disk has no space for the log; nothing was acknowledged."""


class LogCorruptError(StorageError):
    """A record before the tail of the log fails its check; treat it as a lost disk."""


class MembershipError(MarigoldsillError):
    """This process may not take part in the group in its present state."""

    http_status = 409
    exit_code = 10


class DemoError(MarigoldsillError):
    """A step of the demo could not be verified."""

    exit_code = 11
