"""An HTTP client that reuses connections."""

import collections
import dataclasses
import threading

from marigoldsill import errors
from marigoldsill.transport.curl import cancellation as cancellation_module
from marigoldsill.transport.curl import connection as connection_module

_IDLE_CONNECTIONS_LIMIT = 64
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(slots=True, frozen=True)
class HttpResponse:
    """A complete response; curl has checked its length.

    Attributes:
        status_code: The HTTP status.
        headers: The headers as (name, value) in order, names in lower case.
        body: The complete body.
    """

    status_code: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of the first header with a name."""
        return next((v for n, v in self.headers if n == name.lower()), default)


class Client:
    """Calls HTTP servers and keeps some idle connections to each server.

    A connection is used by one call at a time. Any thread may call.
    """

    def __init__(self, *, idle_limit_count: int = _IDLE_CONNECTIONS_LIMIT):
        self._idle_limit_count = idle_limit_count
        self._lock = threading.Lock()
        self._idle: dict[str, list[connection_module.Connection]] = (
            collections.defaultdict(list)
        )

    def fetch(
        self,
        address: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float,
        cancellation: cancellation_module.Cancellation | None = None,
        new_connection: bool = False,
        complete_only: bool = False,
        single_copy: bool = False,
    ) -> HttpResponse:
        """Makes one HTTP call.

        Args:
            address: The server, host:port.
            path: The path with its query, sent unchanged.
            method: The HTTP method.
            body: The body; not sent if it is empty and the method needs none.
            headers: The headers, sent unchanged and in order.
            timeout_s: Timeout of the whole call.
            cancellation: Lets another thread cancel the call.
            new_connection: Whether to open a new connection. On a reused one, curl
                may send the request again if the server closes the connection.
            complete_only: Whether a response that ends with its connection is an
                error, because it may be truncated.
            single_copy: Whether the request must not be sent again if the server
                closes a reused connection. It counts as sent then.

        Raises:
            TransportError: No complete response came.
        """
        request = connection_module.Request(
            url=f"http://{address}{path}",
            method=method,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
            single_copy=single_copy,
        )
        # curl can always send an empty body again.
        connection = self._acquire(
            address, new_connection=new_connection or (single_copy and not body)
        )
        if single_copy and connection.has_input:
            # curl notices only once a second that the server has closed it.
            connection.close()
            connection = connection_module.Connection()
        try:
            response = _to_response(connection.fetch(request, cancellation))
            if complete_only:
                _require_length(response, request)
        except BaseException:
            connection.close()
            raise
        self._release(address, connection)
        return response

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to a server."""
        with self._lock:
            connections = self._idle.pop(address, ())
        for connection in connections:
            connection.close()

    def _acquire(
        self, address: str, *, new_connection: bool
    ) -> connection_module.Connection:
        with self._lock:
            idle = self._idle[address]
            if idle and not new_connection:
                return idle.pop()
            # An idle connection is closed, so that the number of open ones stays the same.
            surplus = idle.pop(0) if idle else None
        if surplus is not None:
            surplus.close()
        return connection_module.Connection()

    def _release(
        self, address: str, connection: connection_module.Connection
    ) -> None:
        with self._lock:
            idle = self._idle[address]
            if len(idle) < self._idle_limit_count:
                idle.append(connection)
                return
        connection.close()


_default_client = Client()


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_s: float,
    single_copy: bool = False,
) -> HttpResponse:
    """Makes one HTTP call to a URL such as http://host:port/path.

    See `Client.fetch` for the arguments.

    Raises:
        TransportError: No complete response came.
    """
    address, _, path = url.removeprefix("http://").partition("/")
    return _default_client.fetch(
        address,
        f"/{path}",
        method=method,
        body=body,
        headers=headers,
        timeout_s=timeout_s,
        single_copy=single_copy,
    )


def _to_response(answer: connection_module.Answer) -> HttpResponse:
    return HttpResponse(
        answer.status_code, _parse_headers(answer.header_lines), answer.body
    )


def _parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    starts = [i for i, line in enumerate(lines) if line.startswith(b"HTTP/")]
    last = lines[starts[-1] + 1 :] if starts else []
    pairs = (
        line.decode("latin-1").split(":", 1) for line in last if b":" in line
    )
    return tuple((name.strip().lower(), value.strip()) for name, value in pairs)


def _require_length(
    response: HttpResponse, request: connection_module.Request
) -> None:
    if not _has_length(response, request.method):
        raise errors.TransportError(
            f"{request.method} {request.url}: the answer has neither "
            "Content-Length nor chunks, so nothing shows that it is whole",
            sent=True,
        )


def _has_length(response: HttpResponse, method: str) -> bool:
    """Whether the end of a response can be told from its headers."""
    return (
        method == "HEAD"
        or response.status_code in _NO_BODY_STATUSES
        or bool(response.header("content-length"))
        or "chunked" in response.header("transfer-encoding").lower()
    )
