"""Reads and answers the requests of one connection of the HTTP server."""

import contextlib
import io
import json
import socket
import time

from werkzeug import serving

from marigoldsill import errors
from marigoldsill.transport import hangups
from marigoldsill.transport import request_reader

# Keys of the WSGI environment that an application gets besides the standard ones.
HEADERS_KEY = "marigoldsill.headers"
HANGUP_KEY = "marigoldsill.hangup"

_IDLE_TIMEOUT_S = 30.0
_SEND_TIMEOUT_S = 30.0
_LINGER_LIMIT_S = 0.5
_LINGER_LIMIT_BYTES = 4 << 20
_CONNECTION_REFUSAL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Retry-After: 1\r\nConnection: close\r\nX-Request-Outcome: not-run\r\n"
)
_CONNECTION_REFUSAL_BODY = json.dumps(
    {
        "error": "OverloadedError",
        "message": "all connections of this process are in use",
        "outcome": "not-run",
        "retry_after_ms": 1000,
    }
).encode()


class _FailedBody(io.RawIOBase):
    """Replaces a body that could not be read; reading it raises the error."""

    def __init__(self, error: errors.MarigoldsillError):
        self._error = error

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:
        raise self._error


class ConnectionHandler(serving.WSGIRequestHandler):
    """Handles the requests of one connection, one after the other.

    Werkzeug's own handler closes the connection after each request, after a short
    wait for more input. This one first reads each request completely, so that the
    connection can be kept alive.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Replaces the input stream by one with time limits."""
        super().setup()
        self._stream = request_reader.DeadlineStream(
            self.connection,
            idle_s=_IDLE_TIMEOUT_S,
            request_s=self.server.request_timeout_s,
            on_started=lambda: self.server.mark_busy(self.connection),
        )
        self.rfile = io.BufferedReader(self._stream, 65_536)

    def log(self, type: str, message: str, *args: object) -> None:  # noqa: A002
        """Drops werkzeug's log lines, as roles log their own events."""

    def handle(self) -> None:
        """Serves requests until the connection must be closed."""
        self.close_connection = True
        with contextlib.suppress(TimeoutError, ConnectionError):
            self.handle_one_request()
            while not self.close_connection:
                self.handle_one_request()

    def handle_one_request(self) -> None:
        """Reads one request and answers it."""
        self._stream.begin_request()
        self.server.mark_idle(self.connection)
        self.raw_requestline = self.rfile.readline(65_537)
        self.server.mark_busy(self.connection)
        if not self.raw_requestline or not self.parse_request():
            self.close_connection = True
            return
        self.run_wsgi()

    def handle_expect_100(self) -> bool:
        """Defers 100 Continue until the body is known to be acceptable."""
        return True

    def run_wsgi(self) -> None:
        """Runs the application for a request and counts the request as in flight."""
        self.server.begin_request()
        try:
            with self.server.watch_hangup(self.connection) as hangup:
                status, headers, body = self._run_app(hangup)
            self._send(status, headers, body)
        finally:
            self.server.end_request()

    def _run_app(self, hangup: hangups.Hangup) -> tuple[str, list, bytes]:
        environ = self.make_environ()
        environ[HEADERS_KEY] = self.headers.items()
        environ[HANGUP_KEY] = hangup
        environ["wsgi.input_terminated"] = True
        try:
            environ["wsgi.input"] = io.BytesIO(self._read_body(environ))
        except errors.MarigoldsillError as error:
            self.close_connection = True
            environ["wsgi.input"] = _FailedBody(error)
            environ.pop("CONTENT_LENGTH", None)
        responses: list[tuple[str, list]] = []

        def start_response(
            status: str, headers: list, exc_info: object = None
        ) -> None:
            responses.append((status, headers))

        chunks = self.server.app(environ, start_response)
        try:
            body = b"".join(chunks)
        finally:
            if hasattr(chunks, "close"):
                chunks.close()
        status, headers = responses[-1]
        return status, headers, body

    def _read_body(self, environ: dict) -> bytes:
        length_text = self.headers.get("Content-Length")
        codings = self.headers.get("Transfer-Encoding", "").strip().lower()
        if codings not in ("", "chunked"):
            raise errors.BadInputError(
                f"unsupported transfer encoding {codings!r}: expected chunked"
            )
        if length_text is not None and (codings or not length_text.isdigit()):
            raise errors.BadInputError(
                f"invalid Content-Length {length_text!r}: expected an integer, "
                "without Transfer-Encoding"
            )
        if len(self.headers.get_all("Content-Length", ())) > 1:
            raise errors.BadInputError("Content-Length is given more than once")
        length_bytes = int(length_text) if length_text else 0
        if not length_bytes and not codings:
            return b""
        limit_bytes = self.server.body_limit_bytes
        expects = self.headers.get("Expect", "").strip().lower()
        if expects == "100-continue" and length_bytes <= limit_bytes:
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._stream.begin_body()
        body = request_reader.read_body(
            self.rfile,
            length_bytes=length_bytes,
            chunked=bool(codings),
            limit_bytes=limit_bytes,
        )
        environ["CONTENT_LENGTH"] = str(len(body))
        return body

    def _send(self, status: str, headers: list, body: bytes) -> None:
        code = int(status.split(" ", 1)[0])
        names = {name.lower() for name, _ in headers}
        if ("connection", "close") in {
            (name.lower(), value.lower()) for name, value in headers
        }:
            self.close_connection = True
            headers = [h for h in headers if h[0].lower() != "connection"]
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if "date" not in names:
            lines.append(f"Date: {self.date_time_string()}")
        has_body = self.command != "HEAD" and code not in (204, 304)
        if has_body and "content-length" not in names:
            lines.append(f"Content-Length: {len(body)}")
        if self.server.draining or (
            has_body and not _has_stated_length(headers, body)
        ):
            self.close_connection = True
        if self.close_connection:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.connection.settimeout(_SEND_TIMEOUT_S)
        self.connection.sendall(head + body if has_body else head)
        if self.close_connection:
            self._linger()

    def _linger(self) -> None:
        """Keeps reading for a short time, so that the caller can read the response.

        Closing the socket with unread input would reset the connection, and the
        caller could lose the response.
        """
        end_s = time.monotonic() + _LINGER_LIMIT_S
        read_bytes = 0
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
            while read_bytes < _LINGER_LIMIT_BYTES:
                self.connection.settimeout(max(0.001, end_s - time.monotonic()))
                data = self.connection.recv(65_536)
                read_bytes += len(data)
                if not data:
                    return


def refuse_connection(connection: socket.socket) -> None:
    """Answers without blocking that no thread is free for a connection."""
    response = (
        _CONNECTION_REFUSAL_HEAD
        + b"Content-Length: %d\r\n\r\n" % len(_CONNECTION_REFUSAL_BODY)
        + _CONNECTION_REFUSAL_BODY
    )
    with contextlib.suppress(OSError):
        connection.settimeout(0)
        connection.send(response)


def _has_stated_length(headers: list, body: bytes) -> bool:
    """Whether a body has the length that its headers state, if they state one."""
    stated = (v for name, v in headers if name.lower() == "content-length")
    return all(int(value) == len(body) for value in stated)
