"""A connection to an HTTP server."""

import dataclasses
import errno
import io
import select
import socket

import pycurl

from marigoldsill import errors
from marigoldsill.transport.curl import cancellation as cancellation_module

_BODY_LIMIT_BYTES = 16 << 20
_NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
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
class Request:
    """A request; see `http_client.Client.fetch` for the fields."""

    url: str
    method: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    timeout_s: float
    single_copy: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """An answer as it was received.

    Attributes:
        status_code: The HTTP status.
        header_lines: The header lines of all responses, also of interim ones.
        body: The body.
    """

    status_code: int
    header_lines: list[bytes]
    body: bytes


class Connection:
    """A curl handle and its socket."""

    def __init__(self):
        self._curl = pycurl.Curl()
        self._socket: socket.socket | None = None
        self._cancellation: cancellation_module.Cancellation | None = None

    @property
    def has_input(self) -> bool:
        """Whether an idle connection was closed, or received an unexpected response."""
        if self._socket is None:
            return False
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Closes the connection for good."""
        self._curl.close()
        self._close_socket()

    def fetch(
        self,
        request: Request,
        cancellation: cancellation_module.Cancellation | None,
    ) -> Answer:
        """Makes one HTTP call.

        Raises:
            TransportError: No complete answer came.
        """
        body = io.BytesIO()
        lines: list[bytes] = []
        curl = self._curl
        is_reused = self._socket is not None
        self._cancellation = cancellation
        self._prepare(request)
        curl.setopt(pycurl.WRITEFUNCTION, _limited_writer(body))
        curl.setopt(pycurl.HEADERFUNCTION, lines.append)
        if cancellation is not None:
            cancellation.set_socket(self._socket)
        try:
            curl.perform()
        except pycurl.error as error:
            raise self._transport_error(
                request, error, is_reused=is_reused
            ) from error
        finally:
            if cancellation is not None:
                cancellation.set_socket(None)
            self._cancellation = None
            status_code = curl.getinfo(pycurl.RESPONSE_CODE)
            if curl.getinfo(pycurl.LASTSOCKET) == -1:
                self._close_socket()
            curl.reset()
        return Answer(status_code, lines, body.getvalue())

    def _transport_error(
        self, request: Request, error: pycurl.error, *, is_reused: bool
    ) -> errors.TransportError:
        code, message = error.args
        # If a reused connection breaks, curl may send the request again on a new one. A
        # failure to connect then does not mean that the first copy was not sent.
        sent = is_reused or (
            code not in _NOT_SENT_CODES
            and self._curl.getinfo(pycurl.REQUEST_SIZE) > 0
        )
        if code == pycurl.E_SEND_FAIL_REWIND:
            message = "connection broke; the request was not sent again"
        return errors.TransportError(
            f"{request.method} {request.url}: {message}",
            sent=sent,
            timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
            refused=(
                code == pycurl.E_COULDNT_CONNECT
                and self._curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
            ),
        )

    def _prepare(self, request: Request) -> None:
        curl = self._curl
        timeout_ms = max(1, int(request.timeout_s * 1000))
        curl.setopt(pycurl.NOSIGNAL, True)
        curl.setopt(pycurl.URL, request.url.encode("latin-1", "replace"))
        curl.setopt(pycurl.PATH_AS_IS, True)
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.NOBODY, request.method == "HEAD")
        if request.single_copy:
            # curl cannot rewind what it reads by a function, so it gives up instead.
            curl.setopt(pycurl.POST, True)
            curl.setopt(pycurl.POSTFIELDSIZE, len(request.body))
            curl.setopt(pycurl.READFUNCTION, io.BytesIO(request.body).read)
        elif request.body or request.method not in _NO_BODY_METHODS:
            curl.setopt(pycurl.POSTFIELDS, request.body)
        curl.setopt(pycurl.HTTPHEADER, _header_lines(request.headers))
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
