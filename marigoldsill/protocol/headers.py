"""Names of HTTP headers, and the headers that a proxy forwards."""

from collections.abc import Iterable

REQUEST_ID = "X-Request-Id"
CALLER_REQUEST_ID = "X-Caller-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_MS = "X-Timeout-Ms"
OUTCOME = "X-Request-Outcome"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(
    pairs: Iterable[tuple[str, str]], *, excluded: frozenset[str] = frozenset()
) -> list[tuple[str, str]]:
    """Returns the end-to-end headers in order, including repeated ones.

    Args:
        pairs: The headers as (name, value).
        excluded: Names of further headers to leave out, in lower case.
    """
    pairs = list(pairs)
    connection_tokens = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | connection_tokens | excluded
    return [(n, v) for n, v in pairs if n.lower() not in dropped]
