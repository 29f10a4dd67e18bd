"""A thrift server that runs one task for each connection on a bounded pool."""

from concurrent import futures
import contextlib
import socket
import threading
import time

from thrift import Thrift
from thrift import TMultiplexedProcessor
from thrift.protocol import TBinaryProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from marigoldsill import errors
from marigoldsill.transport import addresses
from marigoldsill.transport import logs
from marigoldsill.transport import pools

FRAME_LIMIT_BYTES = 64 << 20
_BACKLOG = 512
_LAST_CALLS_LIMIT_S = 1.0
_POLL_INTERVAL_S = 0.01


class ThriftServer:
    """Serves thrift services on one address.

    Attributes:
        address: The address where it listens, "host:port", with the actual port.
    """

    def __init__(self, *, address: str, connections_count: int, name: str):
        host, port = addresses.parse(address)
        try:
            self._listener = socket.create_server(
                (host, port), backlog=_BACKLOG, reuse_port=False
            )
        except OSError as error:
            raise addresses.listen_error(address, error) from error
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._pool = pools.BoundedPool(
            threads_count=connections_count, name=f"{name}-thrift"
        )
        self._acceptor = futures.ThreadPoolExecutor(1, f"{name}-accept")
        self._processor = TMultiplexedProcessor.TMultiplexedProcessor()
        self._open_connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def add_service(self, name: str, processor: Thrift.TProcessor) -> None:
        """Adds a service under the name that clients use."""
        self._processor.registerProcessor(name, processor)

    def start(self) -> None:
        """Starts accepting connections."""
        self._acceptor.submit(self._accept)

    def stop(self) -> None:
        """Stops listening, answers requests that have arrived and closes connections."""
        self._stopping.set()
        _close(self._listener)
        for connection in self._list_connections():
            # Requests that have already arrived are still read and answered.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RD)
        end_s = time.monotonic() + _LAST_CALLS_LIMIT_S
        while self._list_connections() and time.monotonic() < end_s:
            time.sleep(_POLL_INTERVAL_S)
        for connection in self._list_connections():
            _close(connection)
        self._acceptor.shutdown(wait=False)
        self._pool.shut_down()

    def _list_connections(self) -> list[socket.socket]:
        with self._lock:
            return list(self._open_connections)

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                if self._stopping.is_set():
                    return
                # No file descriptor is left, or the peer has disconnected.
                logs.event("accept_failed", level="WARNING", reason=error)
                self._stopping.wait(_POLL_INTERVAL_S)
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                self._pool.submit(self._serve, connection)
            except (errors.OverloadedError, RuntimeError) as error:
                logs.event("connection_refused", level="WARNING", reason=error)
                _close(connection)

    def _serve(self, connection: socket.socket) -> None:
        with self._lock:
            self._open_connections.add(connection)
        sock = TSocket.TSocket()
        sock.setHandle(connection)
        transport = TTransport.TFramedTransport(sock, FRAME_LIMIT_BYTES)
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        try:
            while True:
                self._processor.process(protocol, protocol)
        except TTransport.TTransportException as error:
            if error.type != TTransport.TTransportException.END_OF_FILE:
                logs.event("connection_broken", level="DEBUG", reason=error)
        except Exception as error:  # an invalid frame must not end the server
            logs.event(
                "bad_frame",
                level="WARNING",
                kind=type(error).__name__,
                reason=error,
            )
        finally:
            with self._lock:
                self._open_connections.discard(connection)
            _close(connection)


def _close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
