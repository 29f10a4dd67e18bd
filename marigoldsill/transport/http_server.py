"""An HTTP/1.1 server on werkzeug with bounded threads and a clean stop."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import io
import json
import socket
import socketserver
import threading
import time

from werkzeug import serving

from marigoldsill import errors
from marigoldsill.transport import addresses
from marigoldsill.transport import hangups
from marigoldsill.transport import logs
from marigoldsill.transport import pools
from marigoldsill.transport import request_reader

# What an application finds in its environment besides the usual.
HEADERS_KEY = "marigoldsill.headers"
HANGUP_KEY = "marigoldsill.hangup"

_IDLE_TIMEOUT_S = 30.0
_REQUEST_TIMEOUT_S = 10.0
_SEND_TIMEOUT_S = 30.0
_BODY_LIMIT_BYTES = 64 << 20
_LAST_REQUEST_S = 0.3
_LINGER_S = 0.5
_LINGER_LIMIT_BYTES = 4 << 20
_POLL_S = 0.02
# Only a stop waits for it; each look costs a waking of the process.
_ACCEPT_POLL_S = 0.2
_CONNECTION_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Retry-After: 1\r\nConnection: close\r\nX-Request-Outcome: not-run\r\n"
)
_CONNECTION_REFUSAL_BODY = json.dumps(
    {
        "error": "OverloadedError",
        "message": "all connections of this process are taken",
        "outcome": "not-run",
        "retry_after_ms": 1000,
    }
).encode()


class _FailedBody(io.RawIOBase):
    """Stands for a body that did not arrive: reading it raises why."""

    def __init__(self, error: errors.MarigoldsillError):
        self._error = error

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int:
        raise self._error


class _Handler(serving.WSGIRequestHandler):
    """One connection: its requests, one after the other.

    Werkzeug's own handler closes a connection after each request and waits a
    little for more input before; this one reads each request whole first, so
    that the connection can be kept.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self) -> None:
        super().setup()
        self._stream = request_reader.DeadlineStream(
            self.connection,
            idle_s=_IDLE_TIMEOUT_S,
            request_s=self.server.request_timeout_s,
            on_begun=lambda: self.server.busy(self.connection),
        )
        self.rfile = io.BufferedReader(self._stream, 65_536)

    def log(self, type: str, message: str, *args: object) -> None:  # noqa: A002
        """Drops werkzeug's own lines: roles write their own events."""

    def handle(self) -> None:
        """Serves requests until the connection is to be closed."""
        self.close_connection = True
        with contextlib.suppress(TimeoutError, ConnectionError):
            self.handle_one_request()
            while not self.close_connection:
                self.handle_one_request()

    def handle_one_request(self) -> None:
        """Reads one request and answers it."""
        self._stream.begin()
        self.server.idle(self.connection)
        self.raw_requestline = self.rfile.readline(65_537)
        self.server.busy(self.connection)
        if not self.raw_requestline or not self.parse_request():
            self.close_connection = True
            return
        self.run_wsgi()

    def handle_expect_100(self) -> bool:
        """Lets the body come only once it is known to be acceptable."""
        return True

    def run_wsgi(self) -> None:
        """Runs the application once and counts the request as in flight."""
        self.server.enter_request()
        try:
            with self.server.watch(self.connection) as hangup:
                status, headers, body = self._run(hangup)
            self._send(status, headers, body)
        finally:
            self.server.leave_request()

    def _run(self, hangup: hangups.Hangup) -> tuple[str, list, bytes]:
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
        started: list[tuple[str, list]] = []

        def start_response(
            status: str, headers: list, exc_info: object = None
        ) -> None:
            started.append((status, headers))

        chunks = self.server.app(environ, start_response)
        try:
            body = b"".join(chunks)
        finally:
            if hasattr(chunks, "close"):
                chunks.close()
        status, headers = started[-1]
        return status, headers, body

    def _read_body(self, environ: dict) -> bytes:
        length_text = self.headers.get("Content-Length")
        codings = self.headers.get("Transfer-Encoding", "").strip().lower()
        if codings not in ("", "chunked"):
            raise errors.BadInputError(
                f"transfer encoding {codings!r} is not accepted; chunked is"
            )
        if length_text is not None and (codings or not length_text.isdigit()):
            raise errors.BadInputError(
                f"Content-Length {length_text!r} is not accepted here; a whole "
                "number without Transfer-Encoding is"
            )
        if len(self.headers.get_all("Content-Length", ())) > 1:
            raise errors.BadInputError("Content-Length came more than once")
        length_bytes = int(length_text) if length_text else 0
        if not length_bytes and not codings:
            return b""
        limit_bytes = self.server.body_limit_bytes
        expects = self.headers.get("Expect", "").strip().lower()
        if expects == "100-continue" and length_bytes <= limit_bytes:
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._stream.expect_body()
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
        if self.server.draining or (has_body and not _is_whole(headers, body)):
            self.close_connection = True
        if self.close_connection:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.connection.settimeout(_SEND_TIMEOUT_S)
        self.connection.sendall(head + body if has_body else head)
        if self.close_connection:
            self._linger()

    def _linger(self) -> None:
        """Lets the caller read the answer although it may still send.

        Closing with input unread would reset the connection under the answer.
        """
        end_s = time.monotonic() + _LINGER_S
        read_bytes = 0
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
            while read_bytes < _LINGER_LIMIT_BYTES:
                self.connection.settimeout(max(0.001, end_s - time.monotonic()))
                data = self.connection.recv(65_536)
                read_bytes += len(data)
                if not data:
                    return


class _Server(serving.BaseWSGIServer):
    """Hands each connection to a bounded pool."""

    multithread = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(
        self,
        host: str,
        port: int,
        app: Callable,
        *,
        threads_count: int,
        body_limit_bytes: int,
        request_timeout_s: float,
    ):
        super().__init__(host, port, app, handler=_Handler)
        self._pool = pools.BoundedPool(threads_count=threads_count, name="http")
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._idle: dict[socket.socket, None] = {}
        self._read_ended: set[socket.socket] = set()
        self._in_flight_count = 0
        self.body_limit_bytes = body_limit_bytes
        self.request_timeout_s = request_timeout_s
        self.hangups = hangups.HangupWatcher()
        self.draining = False

    @property
    def in_flight_count(self) -> int:
        """Requests that are being answered now."""
        return self._in_flight_count

    @property
    def connections_count(self) -> int:
        """Connections that are open now."""
        return len(self._connections)

    def serve_forever(self, poll_interval: float = _ACCEPT_POLL_S) -> None:
        """Accepts connections; unlike werkzeug's own, leaves the socket open.

        Connections that the kernel has accepted are taken before it closes.
        """
        socketserver.BaseServer.serve_forever(self, poll_interval)

    def enter_request(self) -> None:
        """Counts a request as begun."""
        with self._lock:
            self._in_flight_count += 1

    def leave_request(self) -> None:
        """Counts a request as ended."""
        with self._lock:
            self._in_flight_count -= 1

    def idle(self, connection: socket.socket) -> None:
        """Notes that a connection waits for a request."""
        with self._lock:
            self._idle[connection] = None

    def busy(self, connection: socket.socket) -> None:
        """Notes that a connection's wait for a request is over."""
        with self._lock:
            self._idle.pop(connection, None)

    def server_bind(self) -> None:
        """Takes the address.

        Raises:
            SettingsError: It can't be taken.
        """
        try:
            super().server_bind()
        except OSError as error:
            host, port = self.server_address[:2]
            raise addresses.cannot_listen(f"{host}:{port}", error) from error

    def process_request(
        self, request: socket.socket, client_address: tuple
    ) -> None:
        """Serves one connection on the pool, or refuses it at once."""
        with self._lock:
            self._connections.add(request)
        try:
            self._submit(request, client_address)
        except (errors.OverloadedError, RuntimeError) as error:
            logs.event("connection_refused", level="DEBUG", reason=error)
            _refuse(request)
            self._forget(request)

    def handle_error(
        self, request: socket.socket, client_address: tuple
    ) -> None:
        """Ends a broken connection without ending the server."""
        logs.event("http_connection_broken", level="DEBUG")

    def accept_waiting(self) -> None:
        """Takes the connections that the kernel has accepted already."""
        self.socket.setblocking(False)
        while True:
            try:
                connection, address = self.socket.accept()
            except OSError:
                return
            connection.setblocking(True)
            self.process_request(connection, address)

    def watch(
        self, connection: socket.socket
    ) -> contextlib.AbstractContextManager[hangups.Hangup]:
        """Watches whether a caller leaves while its request is under way."""
        with self._lock:
            ended = connection in self._read_ended
        if ended:
            # This side's own end of reading would look like the caller's.
            return contextlib.nullcontext(hangups.Hangup())
        return self.hangups.watched(connection)

    def close_idle(self) -> None:
        """Ends connections that wait; a request that has come is still read."""
        with self._lock:
            idle = list(self._idle)
            self._read_ended |= set(idle)
        for connection in idle:
            _shut_down(connection, socket.SHUT_RD)

    def close_connections(self) -> None:
        """Ends every open connection and all threads."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection, socket.SHUT_RDWR)
        self._pool.shut_down()
        self.hangups.stop()

    def _submit(self, request: socket.socket, client_address: tuple) -> None:
        try:
            self._pool.submit(self._serve, request, client_address)
        except errors.OverloadedError:
            # A thread that only waits for a next request serves this instead.
            if not self._close_longest_idle():
                raise
            self._pool.submit(
                self._serve, request, client_address, wait_s=_POLL_S
            )

    def _close_longest_idle(self) -> bool:
        with self._lock:
            connection = next(iter(self._idle), None)
            if connection is None:
                return False
            del self._idle[connection]
            self._read_ended.add(connection)
        _shut_down(connection, socket.SHUT_RD)
        return True

    def _serve(self, request: socket.socket, client_address: tuple) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:  # a broken client must not end the server
            self.handle_error(request, client_address)
        finally:
            self._forget(request)

    def _forget(self, request: socket.socket) -> None:
        with self._lock:
            self._connections.discard(request)
            self._read_ended.discard(request)
            self._idle.pop(request, None)
        self.shutdown_request(request)


class HttpServer:
    """Serves one WSGI application.

    Attributes:
        address: Where it listens, with the port really taken.
    """

    def __init__(
        self,
        *,
        address: str,
        app: Callable,
        threads_count: int,
        body_limit_bytes: int = _BODY_LIMIT_BYTES,
        request_timeout_s: float = _REQUEST_TIMEOUT_S,
    ):
        host, port = addresses.parse(address)
        self._server = _Server(
            host,
            port,
            app,
            threads_count=threads_count,
            body_limit_bytes=body_limit_bytes,
            request_timeout_s=request_timeout_s,
        )
        self.address = f"{host}:{self._server.server_port}"
        self._acceptor = futures.ThreadPoolExecutor(1, "http-accept")

    @property
    def in_flight_count(self) -> int:
        """Requests that are being answered now."""
        return self._server.in_flight_count

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.hangups.start()
        self._acceptor.submit(self._server.serve_forever, _ACCEPT_POLL_S)

    def drain(self) -> None:
        """Goes on serving, but closes each connection after its answer."""
        self._server.draining = True

    def stop(self, *, drain_limit_s: float = 0.0) -> bool:
        """Stops listening, lets requests in flight finish, then closes.

        Args:
            drain_limit_s: How long requests in flight may take.

        Returns:
            Whether all requests in flight finished.
        """
        self._server.draining = True
        end_s = time.monotonic() + drain_limit_s
        self._server.shutdown()
        self._server.accept_waiting()
        with contextlib.suppress(OSError):
            self._server.socket.close()
        # A caller that has just sent on a kept connection is still answered.
        self._wait(min(end_s, time.monotonic() + _LAST_REQUEST_S))
        self._server.close_idle()
        self._wait(end_s)
        finished = self.in_flight_count == 0
        self._server.close_connections()
        self._acceptor.shutdown(wait=False)
        return finished

    def _wait(self, end_s: float) -> None:
        while self._server.connections_count and time.monotonic() < end_s:
            time.sleep(_POLL_S)


def _is_whole(headers: list, body: bytes) -> bool:
    """Whether a body has the length that its headers state, if any."""
    stated = (v for name, v in headers if name.lower() == "content-length")
    return all(int(value) == len(body) for value in stated)


def _refuse(connection: socket.socket) -> None:
    answer = (
        _CONNECTION_REFUSAL
        + b"Content-Length: %d\r\n\r\n" % len(_CONNECTION_REFUSAL_BODY)
        + _CONNECTION_REFUSAL_BODY
    )
    with contextlib.suppress(OSError):
        connection.settimeout(0)
        connection.send(answer)


def _shut_down(connection: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(how)
