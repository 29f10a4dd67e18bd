"""An HTTP client on pycurl that reuses connections."""

import collections
import contextlib
import dataclasses
import errno
import io
import select
import socket
import threading

import pycurl

from marigoldsill import errors

_BODY_LIMIT_BYTES = 16 << 20
_IDLE_CONNECTIONS_LIMIT = 64
_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
_NO_BODY_STATUSES = frozenset({204, 304})
_NOT_SENT_CODES = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)
# Headers that curl adds unless they are given without a value.
_CURL_HEADERS = ("Accept", "Content-Type", "User-Agent", "Expect")


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


class Cancellation:
    """Cancels an HTTP call that another thread makes."""

    def __init__(self):
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Cancels the call, now or as soon as it begins."""
        with self._lock:
            self.cancelled = True
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def set_socket(self, sock: socket.socket | None) -> None:
        """Sets the socket of the call, or None when the call has ended."""
        with self._lock:
            self._socket = sock
            if sock is not None and self.cancelled:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class Client:
    """Calls HTTP servers and keeps some idle connections to each server.

    A connection is used by one call at a time. Any thread may call.
    """

    def __init__(self, *, idle_limit_count: int = _IDLE_CONNECTIONS_LIMIT):
        self._idle_limit_count = idle_limit_count
        self._lock = threading.Lock()
        self._idle: dict[str, list[_Connection]] = collections.defaultdict(list)

    def fetch(
        self,
        address: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float,
        cancellation: Cancellation | None = None,
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
        # curl can always send an empty body again.
        connection = self._acquire(
            address, new_connection=new_connection or (single_copy and not body)
        )
        if single_copy and connection.has_input:
            # curl notices only once a second that the server has closed it.
            connection.close()
            connection = _Connection()
        try:
            response = connection.fetch(
                f"http://{address}{path}",
                method,
                body,
                headers,
                timeout_s,
                cancellation,
                complete_only,
                single_copy,
            )
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

    def _acquire(self, address: str, *, new_connection: bool) -> "_Connection":
        with self._lock:
            idle = self._idle[address]
            if idle and not new_connection:
                return idle.pop()
            # An idle connection is closed, so that the number of open ones stays the same.
            surplus = idle.pop(0) if idle else None
        if surplus is not None:
            surplus.close()
        return _Connection()

    def _release(self, address: str, connection: "_Connection") -> None:
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


class _Connection:
    """A curl handle and its socket."""

    def __init__(self):
        self._curl = pycurl.Curl()
        self._socket: socket.socket | None = None
        self._cancellation: Cancellation | None = None

    @property
    def has_input(self) -> bool:
        """Whether an idle connection was closed, or received an unexpected response."""
        if self._socket is None:
            return False
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        self._curl.close()
        self._close_socket()

    def fetch(
        self,
        url: str,
        method: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float,
        cancellation: Cancellation | None,
        complete_only: bool,
        single_copy: bool,
    ) -> HttpResponse:
        chunks = io.BytesIO()
        lines: list[bytes] = []
        curl = self._curl
        is_reused = self._socket is not None
        self._cancellation = cancellation
        self._prepare(url, method, body, headers, timeout_s, single_copy)
        curl.setopt(pycurl.WRITEFUNCTION, _limited_writer(chunks))
        curl.setopt(pycurl.HEADERFUNCTION, lines.append)
        if cancellation is not None:
            cancellation.set_socket(self._socket)
        try:
            curl.perform()
        except pycurl.error as error:
            code, message = error.args
            # If a reused connection breaks, curl may send the request again on a
            # new one. A failure to connect then does not mean that the first copy
            # was not sent.
            sent = is_reused or (
                code not in _NOT_SENT_CODES
                and curl.getinfo(pycurl.REQUEST_SIZE) > 0
            )
            if code == pycurl.E_SEND_FAIL_REWIND:
                message = "connection broke; the request was not sent again"
            raise errors.TransportError(
                f"{method} {url}: {message}",
                sent=sent,
                timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
                refused=(
                    code == pycurl.E_COULDNT_CONNECT
                    and curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
                ),
            ) from error
        finally:
            if cancellation is not None:
                cancellation.set_socket(None)
            self._cancellation = None
            status_code = curl.getinfo(pycurl.RESPONSE_CODE)
            if curl.getinfo(pycurl.LASTSOCKET) == -1:
                self._close_socket()
            curl.reset()
        response = HttpResponse(
            status_code, _parse_headers(lines), chunks.getvalue()
        )
        if complete_only and not _has_length(response, method):
            raise errors.TransportError(
                f"{method} {url}: the answer has neither Content-Length nor "
                "chunks, so nothing shows that it is whole",
                sent=True,
            )
        return response

    def _prepare(
        self,
        url: str,
        method: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float,
        single_copy: bool,
    ) -> None:
        curl = self._curl
        timeout_ms = max(1, int(timeout_s * 1000))
        curl.setopt(pycurl.NOSIGNAL, True)
        curl.setopt(pycurl.URL, url.encode("latin-1", "replace"))
        curl.setopt(pycurl.PATH_AS_IS, True)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOBODY, method == "HEAD")
        if single_copy:
            # curl cannot rewind what it reads by a function, so it gives up instead.
            curl.setopt(pycurl.POST, True)
            curl.setopt(pycurl.POSTFIELDSIZE, len(body))
            curl.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)
        elif body or method not in _NO_BODY_METHODS:
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.HTTPHEADER, _header_lines(headers))
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)

    def _open_socket(self, purpose: int, target: tuple) -> socket.socket:
        family, kind, protocol, _ = target
        self._close_socket()
        sock = socket.socket(family, kind, protocol)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # curl uses a duplicate; this one lets another thread shut the socket down.
        self._socket = sock
        if self._cancellation is not None:
            self._cancellation.set_socket(sock)
        return sock

    def _close_socket(self) -> None:
        sock, self._socket = self._socket, None
        if sock is not None:
            if self._cancellation is not None:
                self._cancellation.set_socket(None)
            sock.close()


def _limited_writer(chunks: io.BytesIO):
    def write(data: bytes) -> int:
        if chunks.tell() + len(data) > _BODY_LIMIT_BYTES:
            return -1
        return chunks.write(data)

    return write


def _header_lines(headers: tuple[tuple[str, str], ...]) -> list[bytes]:
    given = {name.lower() for name, _ in headers}
    removed = [
        f"{name}:" for name in _CURL_HEADERS if name.lower() not in given
    ]
    # curl sends a header without a value only if it ends with a semicolon.
    lines = [f"{n}: {v}" if v else f"{n};" for n, v in headers]
    return [line.encode("latin-1", "replace") for line in lines + removed]


def _parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    starts = [i for i, line in enumerate(lines) if line.startswith(b"HTTP/")]
    last = lines[starts[-1] + 1 :] if starts else []
    pairs = (
        line.decode("latin-1").split(":", 1) for line in last if b":" in line
    )
    return tuple((name.strip().lower(), value.strip()) for name, value in pairs)


def _has_length(response: HttpResponse, method: str) -> bool:
    """Whether the end of a response can be told from its headers."""
    return (
        method == "HEAD"
        or response.status_code in _NO_BODY_STATUSES
        or bool(response.header("content-length"))
        or "chunked" in response.header("transfer-encoding").lower()
    )
