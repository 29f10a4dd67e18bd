"""Every failure that marigoldsill reports, with its status and exit code.

A message says what was wrong, shows the value, and says what is accepted or
what to do next.
"""


class MarigoldsillError(Exception):
    """Base of all errors of marigoldsill.

    Attributes:
        http_status: Status of an HTTP answer that carries this error.
        exit_code: Exit status of a command that ends with this error.
        outcome: What became of a caller's request: "not-run", "unknown" or,
            where the error says nothing about it, empty.
        key_checked: Whether an outcome holds for all calls under the
            request's idempotency key, not only for this one.
        retry_after_ms: When coming back makes sense, or None.
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
        """The stable name of the failure, as shown to callers."""
        return type(self).__name__


class BadInputError(MarigoldsillError):
    """Something from outside is not acceptable; nothing was changed."""

    http_status = 400
    exit_code = 2
    outcome = "not-run"


class SettingsError(BadInputError):
    """One or more settings are wrong; the message lists all of them."""


class IntentError(BadInputError):
    """An intent file is wrong."""


class TooLargeError(BadInputError):
    """A body is larger than the limit."""

    http_status = 413


class SlowRequestError(BadInputError):
    """A request did not arrive whole in time."""

    http_status = 408


class UnauthorizedError(BadInputError):
    """No valid operator token came with the request."""

    http_status = 401
    exit_code = 5


class NotFoundError(MarigoldsillError):
    """The thing named does not exist."""

    http_status = 404
    exit_code = 3
    outcome = "not-run"


class ConflictError(MarigoldsillError):
    """Another change came first; the message names it."""

    http_status = 409
    exit_code = 4


class StalePlanError(ConflictError):
    """What the plan would do has changed since it was made."""


class GuardError(MarigoldsillError):
    """A guard rail asks for a named acknowledgement."""

    http_status = 428
    exit_code = 6


class KeyReusedError(ConflictError):
    """An idempotency key came again with another request."""

    http_status = 422
    outcome = "not-run"


class InProgressError(ConflictError):
    """A request with the same key is under way; come back for its answer."""

    outcome = "unknown"


class AnswerNotKeptError(ConflictError):
    """The key's request has run, but its answer was too large to keep."""

    outcome = "answered"


class NotRunError(MarigoldsillError):
    """The request was not run and will not run."""

    http_status = 503
    exit_code = 7
    outcome = "not-run"


class OverloadedError(NotRunError):
    """Refused at once because too much work waits."""

    http_status = 429


class DrainingError(NotRunError):
    """The agent takes no new requests, since it is leaving."""


class NoEndpointError(NotRunError):
    """No endpoint of the service takes new requests."""


class NoQuorumError(NotRunError):
    """Control has no majority now; nothing was done."""


class NotLeaderError(NotRunError):
    """This control process is not the leader."""

    http_status = 421

    def __init__(
        self, message: str, *, leader_address: str = "", leader_http: str = ""
    ):
        super().__init__(message, retry_after_ms=500)
        self.leader_address = leader_address
        self.leader_http = leader_http


class UnknownOutcomeError(MarigoldsillError):
    """The request may have run; no whole answer came back."""

    http_status = 502
    exit_code = 8
    outcome = "unknown"


class DeadlineExceededError(UnknownOutcomeError):
    """The deadline passed before a whole answer came; it may have run."""

    http_status = 504


class CallerGoneError(UnknownOutcomeError):
    """The caller left before the answer; nobody gets this error."""

    http_status = 499


class TransportError(MarigoldsillError):
    """A peer could not be talked to.

    Attributes:
        sent: Whether bytes of the request may have reached the peer.
    """

    http_status = 502
    exit_code = 7

    def __init__(self, message: str, *, sent: bool):
        super().__init__(message)
        self.sent = sent


class PlatformError(MarigoldsillError):
    """The platform's worker refused or failed an operation."""


class AdviserBusyError(PlatformError):
    """The adviser takes no more calls now; it did nothing."""


class CapacityError(PlatformError):
    """The run does not fit what the worker has left."""


class LeaseOverError(PlatformError):
    """The lease under which something was asked for has run out."""


class RunRefusedError(PlatformError):
    """A worker refused a call about a run; it did nothing.

    Attributes:
        reason: One of `run_worker.RefusalReason`.
    """

    def __init__(self, message: str, *, reason: str):
        super().__init__(message)
        self.reason = reason


class OtherWorkerError(PlatformError):
    """Another life of the worker answered than the one that was meant."""


class WorkerUnwellError(PlatformError):
    """The worker is not healthy and did nothing."""


class StorageError(MarigoldsillError):
    """The durable state could not be read or written; the process stops."""

    exit_code = 9


class DiskFullError(StorageError):
    """No space is left for the log; nothing was acknowledged."""


class LogCorruptError(StorageError):
    """A record before the tail fails its check; treat as a lost disk."""


class MembershipError(MarigoldsillError):
    """This process may not take part in the group as it is."""

    http_status = 409
    exit_code = 10


class DemoError(MarigoldsillError):
    """A step of the demo was not verified."""

    exit_code = 11
