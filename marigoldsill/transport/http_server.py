"""An HTTP/1.1 server on werkzeug with bounded threads and a graceful stop."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import socket
import socketserver
import threading
import time

from werkzeug import serving

from marigoldsill import errors
from marigoldsill.transport import addresses
from marigoldsill.transport import hangups
from marigoldsill.transport import http_connection
from marigoldsill.transport import logs
from marigoldsill.transport import pools

HEADERS_KEY = http_connection.HEADERS_KEY
HANGUP_KEY = http_connection.HANGUP_KEY

_REQUEST_TIMEOUT_S = 10.0
_BODY_LIMIT_BYTES = 64 << 20
_LAST_REQUESTS_LIMIT_S = 0.3
_POLL_S = 0.02
# A longer interval only delays a stop; each poll wakes up the process.
_ACCEPT_POLL_S = 0.2


class _Server(serving.BaseWSGIServer):
    """Serves each connection on a thread of a bounded pool."""

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
        super().__init__(
            host, port, app, handler=http_connection.ConnectionHandler
        )
        self._pool = pools.BoundedPool(threads_count=threads_count, name="http")
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._idle_connections: dict[socket.socket, None] = {}
        self._read_ended: set[socket.socket] = set()
        self._in_flight_count = 0
        self.body_limit_bytes = body_limit_bytes
        self.request_timeout_s = request_timeout_s
        self.hangups = hangups.HangupWatcher()
        self.draining = False

    @property
    def in_flight_count(self) -> int:
        """Number of requests in flight."""
        return self._in_flight_count

    @property
    def connections_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def serve_forever(self, poll_interval: float = _ACCEPT_POLL_S) -> None:
        """Accepts connections; unlike werkzeug's method, leaves the socket open.

        The connections in the kernel's queue are accepted before it is closed.
        """
        socketserver.BaseServer.serve_forever(self, poll_interval)

    def begin_request(self) -> None:
        """Counts a request that has begun."""
        with self._lock:
            self._in_flight_count += 1

    def end_request(self) -> None:
        """Counts a request that has ended."""
        with self._lock:
            self._in_flight_count -= 1

    def mark_idle(self, connection: socket.socket) -> None:
        """Records that a connection waits for a request."""
        with self._lock:
            self._idle_connections[connection] = None

    def mark_busy(self, connection: socket.socket) -> None:
        """Records that a connection no longer waits for a request."""
        with self._lock:
            self._idle_connections.pop(connection, None)

    def server_bind(self) -> None:
        """Binds the socket to the address.

        Raises:
            SettingsError: The address cannot be bound.
        """
        try:
            super().server_bind()
        except OSError as error:
            host, port = self.server_address[:2]
            raise addresses.listen_error(f"{host}:{port}", error) from error

    def process_request(
        self, request: socket.socket, client_address: tuple
    ) -> None:
        """Serves a connection on the pool, or refuses it if no thread is free."""
        with self._lock:
            self._connections.add(request)
        try:
            self._submit(request, client_address)
        except (errors.OverloadedError, RuntimeError) as error:
            logs.event("connection_refused", level="DEBUG", reason=error)
            http_connection.refuse_connection(request)
            self._remove(request)

    def handle_error(
        self, request: socket.socket, client_address: tuple
    ) -> None:
        """Logs a broken connection; the server continues."""
        logs.event("http_connection_broken", level="DEBUG")

    def accept_pending(self) -> None:
        """Accepts the connections that are in the kernel's queue."""
        self.socket.setblocking(False)
        while True:
            try:
                connection, address = self.socket.accept()
            except OSError:
                return
            connection.setblocking(True)
            self.process_request(connection, address)

    def watch_hangup(
        self, connection: socket.socket
    ) -> contextlib.AbstractContextManager[hangups.Hangup]:
        """Watches whether a caller disconnects while its request is in progress."""
        with self._lock:
            is_read_ended = connection in self._read_ended
        if is_read_ended:
            # This side shut down reading, which looks like a disconnected caller.
            return contextlib.nullcontext(hangups.Hangup())
        return self.hangups.watched(connection)

    def close_idle(self) -> None:
        """Closes idle connections; a request that has arrived is still read."""
        with self._lock:
            idle = list(self._idle_connections)
            self._read_ended |= set(idle)
        for connection in idle:
            _shut_down(connection, socket.SHUT_RD)

    def close_connections(self) -> None:
        """Closes all connections and stops all threads."""
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
            # Closes an idle connection, so that its thread can serve this one.
            if not self._close_longest_idle():
                raise
            self._pool.submit(
                self._serve, request, client_address, wait_s=_POLL_S
            )

    def _close_longest_idle(self) -> bool:
        with self._lock:
            connection = next(iter(self._idle_connections), None)
            if connection is None:
                return False
            del self._idle_connections[connection]
            self._read_ended.add(connection)
        _shut_down(connection, socket.SHUT_RD)
        return True

    def _serve(self, request: socket.socket, client_address: tuple) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:  # a faulty client must not end the server
            self.handle_error(request, client_address)
        finally:
            self._remove(request)

    def _remove(self, request: socket.socket) -> None:
        with self._lock:
            self._connections.discard(request)
            self._read_ended.discard(request)
            self._idle_connections.pop(request, None)
        self.shutdown_request(request)


class HttpServer:
    """Serves a WSGI application.

    Attributes:
        address: The address where it listens, with the actual port.
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
        """Number of requests in flight."""
        return self._server.in_flight_count

    def start(self) -> None:
        """Starts accepting connections."""
        self._server.hangups.start()
        self._acceptor.submit(self._server.serve_forever, _ACCEPT_POLL_S)

    def drain(self) -> None:
        """Closes each connection after its next response, but continues serving."""
        self._server.draining = True

    def stop(self, *, drain_limit_s: float = 0.0) -> bool:
        """Stops listening, waits for requests in flight, and closes all connections.

        Args:
            drain_limit_s: How long to wait for requests in flight.

        Returns:
            Whether all requests in flight finished.
        """
        self._server.draining = True
        end_s = time.monotonic() + drain_limit_s
        self._server.shutdown()
        self._server.accept_pending()
        with contextlib.suppress(OSError):
            self._server.socket.close()
        # A caller that has just sent a request on an idle connection is still answered.
        self._wait_for_connections(
            min(end_s, time.monotonic() + _LAST_REQUESTS_LIMIT_S)
        )
        self._server.close_idle()
        self._wait_for_connections(end_s)
        finished = self.in_flight_count == 0
        self._server.close_connections()
        self._acceptor.shutdown(wait=False)
        return finished

    def _wait_for_connections(self, end_s: float) -> None:
        while self._server.connections_count and time.monotonic() < end_s:
            time.sleep(_POLL_S)


def _shut_down(connection: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(how)
