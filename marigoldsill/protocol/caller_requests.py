"""Parses the HTTP requests of callers: target, idempotency, deadline and headers."""

import dataclasses
import urllib.parse

from marigoldsill import errors
from marigoldsill.protocol import headers as headers_module

PREFIX = "/services/"
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_OTHER_METHODS = frozenset({"POST", "PATCH"})
_KEY_LIMIT_BYTES = 200
_OWN_HEADERS = frozenset(
    {
        headers_module.REQUEST_ID.lower(),
        headers_module.CALLER_REQUEST_ID.lower(),
        headers_module.TIMEOUT_MS.lower(),
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """The service and path that a request is addressed to.

    Attributes:
        service: Name of the service.
        path: The path that is sent to the endpoint: the rest of the request's
            path with its query, unchanged.
    """

    service: str
    path: str


def parse_target(raw_path: str) -> Target:
    """Parses the path of a request as the caller sent it.

    Raises:
        NotFoundError: It is not the path of a service.
    """
    if not raw_path.startswith(PREFIX):
        raise errors.NotFoundError(
            f"unknown path {raw_path!r}: expected {PREFIX}<service>/<path>"
        )
    path, question_mark, query = raw_path[len(PREFIX) :].partition("?")
    name, _, rest = path.partition("/")
    return Target(urllib.parse.unquote(name), f"/{rest}{question_mark}{query}")


def is_idempotent(method: str, key: str) -> bool:
    """Whether a request may be executed more than once.

    Raises:
        BadInputError: The method needs a key and there is none, or the key or
            the method is invalid.
    """
    if len(key) > _KEY_LIMIT_BYTES or not key.isprintable():
        raise errors.BadInputError(
            f"invalid idempotency key {key[:40]!r}...: expected at most "
            f"{_KEY_LIMIT_BYTES} printable characters"
        )
    if key:
        return False
    if method in _IDEMPOTENT_METHODS:
        return True
    if method not in _OTHER_METHODS:
        raise errors.BadInputError(
            f"unsupported method {method!r}: expected one of "
            f"{', '.join(sorted(_IDEMPOTENT_METHODS | _OTHER_METHODS))}"
        )
    raise errors.BadInputError(
        f"{method} requires the header {headers_module.IDEMPOTENCY_KEY}: a "
        "value that the caller chooses anew for each request and reuses for "
        "each retry of it, so that the request is executed at most once"
    )


def parse_budget_s(text: str, *, limit_ms: int) -> float:
    """Returns the caller's timeout, limited to the timeout of the service.

    Raises:
        BadInputError: The text is not a valid timeout.
    """
    if not text:
        return limit_ms / 1000
    if not text.isdigit() or int(text) == 0:
        raise errors.BadInputError(
            f"invalid {headers_module.TIMEOUT_MS} {text!r}: expected an integer "
            f"number of milliseconds from 1 to {limit_ms}"
        )
    return min(int(text), limit_ms) / 1000


def forwarded_headers(
    pairs: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a request that are forwarded to the endpoint."""
    forwarded = headers_module.end_to_end(pairs, excluded=_OWN_HEADERS)
    caller_id = [
        (headers_module.CALLER_REQUEST_ID, value)
        for name, value in pairs
        if name.lower() == headers_module.REQUEST_ID.lower()
    ]
    return (*forwarded, *caller_id)
