"""HTTP calls by pycurl, with connections kept between calls."""

import dataclasses
import io
import threading

import pycurl

from marigoldsill import errors

_local = threading.local()
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class HttpAnswer:
    """A whole answer: curl checked its length.

    Attributes:
        status_code: The HTTP status.
        headers: Names in lower case, as (name, value).
        body: The body, whole.
    """

    status_code: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """The first header of a name."""
        return next((v for n, v in self.headers if n == name.lower()), default)


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_s: float,
    cancelled: threading.Event | None = None,
) -> HttpAnswer:
    """Makes one HTTP call on this thread's own connection.

    Args:
        url: Where to.
        method: The HTTP method.
        body: Sent unless empty and the method is GET, HEAD or DELETE.
        headers: Sent as given.
        timeout_s: For the whole call.
        cancelled: When set meanwhile, the call ends as a transport error.

    Raises:
        TransportError: No whole answer came.
    """
    chunks = io.BytesIO()
    lines: list[str] = []
    curl = _handle()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.NOBODY, method == "HEAD")
    if body or method not in ("GET", "HEAD", "DELETE"):
        curl.setopt(pycurl.POSTFIELDS, body)
    curl.setopt(
        pycurl.HTTPHEADER,
        [f"{name}: {value}" for name, value in headers] + ["Expect:"],
    )
    curl.setopt(pycurl.WRITEFUNCTION, chunks.write)
    curl.setopt(
        pycurl.HEADERFUNCTION, lambda line: lines.append(line.decode("latin-1"))
    )
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(timeout_s * 1000)))
    if cancelled is not None:
        curl.setopt(pycurl.NOPROGRESS, False)
        curl.setopt(
            pycurl.XFERINFOFUNCTION, lambda *_: 1 if cancelled.is_set() else 0
        )
    try:
        curl.perform()
    except pycurl.error as error:
        code, message = error.args
        sent = code not in _NOT_SENT and curl.getinfo(pycurl.REQUEST_SIZE) > 0
        raise errors.TransportError(
            f"{method} {url}: {message}", sent=sent
        ) from error
    finally:
        status_code = curl.getinfo(pycurl.RESPONSE_CODE)
        curl.reset()
    return HttpAnswer(status_code, _headers(lines), chunks.getvalue())


def _handle() -> pycurl.Curl:
    if not hasattr(_local, "curl"):
        _local.curl = pycurl.Curl()
    _local.curl.setopt(pycurl.NOSIGNAL, True)
    _local.curl.setopt(pycurl.TCP_NODELAY, True)
    return _local.curl


def _headers(lines: list[str]) -> tuple[tuple[str, str], ...]:
    starts = [i for i, line in enumerate(lines) if line.startswith("HTTP/")]
    last = lines[starts[-1] + 1 :] if starts else []
    pairs = (line.split(":", 1) for line in last if ":" in line)
    return tuple((name.strip().lower(), value.strip()) for name, value in pairs)
