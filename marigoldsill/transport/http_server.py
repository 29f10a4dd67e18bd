"""An HTTP/1.1 server on werkzeug with bounded threads and a clean stop."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import socket
import threading
import time

from werkzeug import serving

from marigoldsill import errors
from marigoldsill.transport import addresses
from marigoldsill.transport import logs
from marigoldsill.transport import pools

_IDLE_TIMEOUT_S = 30.0
_POLL_S = 0.05


class _Handler(serving.WSGIRequestHandler):
    """Keeps connections open between requests and stays silent."""

    protocol_version = "HTTP/1.1"
    timeout = _IDLE_TIMEOUT_S
    disable_nagle_algorithm = True

    def log(self, type: str, message: str, *args: object) -> None:  # noqa: A002
        """Drops werkzeug's own lines: roles write their own events."""

    def run_wsgi(self) -> None:
        """Runs the application once and counts the request as in flight."""
        self.server.enter_request()
        try:
            super().run_wsgi()
        finally:
            if self.server.leave_request():
                self.close_connection = True


class _Server(serving.BaseWSGIServer):
    """Hands each connection to a bounded pool."""

    multithread = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, host: str, port: int, app: Callable, threads_count: int):
        super().__init__(host, port, app, handler=_Handler)
        self._pool = pools.BoundedPool(threads_count=threads_count, name="http")
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._in_flight_count = 0
        self.draining = False

    @property
    def in_flight_count(self) -> int:
        """Requests that are being answered now."""
        return self._in_flight_count

    def enter_request(self) -> None:
        """Counts a request as begun."""
        with self._lock:
            self._in_flight_count += 1

    def leave_request(self) -> bool:
        """Counts a request as ended; whether to close its connection."""
        with self._lock:
            self._in_flight_count -= 1
            return self.draining

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
        """Serves one connection on the pool, or closes it at once."""
        with self._lock:
            self._connections.add(request)
        try:
            self._pool.submit(self._serve, request, client_address)
        except (errors.OverloadedError, RuntimeError) as error:
            logs.event("connection_refused", level="WARNING", reason=error)
            self._forget(request)

    def handle_error(
        self, request: socket.socket, client_address: tuple
    ) -> None:
        """Ends a broken connection without ending the server."""
        logs.event("http_connection_broken", level="DEBUG")

    def close_connections(self) -> None:
        """Ends every open connection and all threads."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._pool.shut_down()

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
        self.shutdown_request(request)


class HttpServer:
    """Serves one WSGI application.

    Attributes:
        address: Where it listens, with the port really taken.
    """

    def __init__(self, *, address: str, app: Callable, threads_count: int):
        host, port = addresses.parse(address)
        self._server = _Server(host, port, app, threads_count)
        self.address = f"{host}:{self._server.server_port}"
        self._acceptor = futures.ThreadPoolExecutor(1, "http-accept")

    @property
    def in_flight_count(self) -> int:
        """Requests that are being answered now."""
        return self._server.in_flight_count

    def start(self) -> None:
        """Begins to accept connections."""
        self._acceptor.submit(self._server.serve_forever, _POLL_S)

    def stop(self, *, drain_limit_s: float = 0.0) -> bool:
        """Stops listening, lets requests in flight finish, then closes.

        Args:
            drain_limit_s: How long requests in flight may take.

        Returns:
            Whether all requests in flight finished.
        """
        self._server.draining = True
        self._server.shutdown()
        with contextlib.suppress(OSError):
            self._server.socket.close()
        end_s = time.monotonic() + drain_limit_s
        while self.in_flight_count and time.monotonic() < end_s:
            time.sleep(_POLL_S)
        finished = self.in_flight_count == 0
        self._server.close_connections()
        self._acceptor.shutdown(wait=False)
        return finished
