"""Thrift clients with long-lived connections to one peer."""

from collections.abc import Callable
import contextlib
import socket
import threading
import time

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.protocol import TMultiplexedProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from marigoldsill import errors
from marigoldsill.transport import addresses
from marigoldsill.transport import network_partitions
from marigoldsill.transport import thrift_server

# Within a region a connection is established in a few ms; an unreachable or powered-off
# machine does not answer at all.
_CONNECT_TIMEOUT_S = 0.4


class Connection:
    """A connection to a peer, kept open between calls; one call at a time."""

    def __init__(
        self,
        *,
        address: str,
        service_name: str,
        client_class: Callable,
        peer_name: str = "",
        partitions: network_partitions.NetworkPartitions | None = None,
    ):
        self.address = address
        self._service_name = service_name
        self._client_class = client_class
        self._peer_name = peer_name or address
        self._partitions = partitions
        self._lock = threading.Lock()
        self._socket: TSocket.TSocket | None = None
        self._client = None

    def call(self, method: str, *args: object, timeout_s: float) -> object:
        """Calls a method of the peer and returns its result.

        Raises:
            TransportError: No answer came; `sent` says whether the request
                may have reached the peer.
            Thrift.TException: An exception that the method declares.
        """
        with self._lock:
            return self._call(method, args, timeout_s)

    def close(self) -> None:
        """Closes the connection; the next call reopens it."""
        sock, self._socket, self._client = self._socket, None, None
        if sock is not None:
            sock.close()

    def abort(self) -> None:
        """Aborts a call that another thread waits for."""
        sock = self._socket
        handle = sock.handle if sock is not None else None
        if handle is not None:
            with contextlib.suppress(OSError):
                handle.shutdown(socket.SHUT_RDWR)

    def _call(self, method: str, args: tuple, timeout_s: float) -> object:
        start_s = time.monotonic()
        if self._partitions and self._partitions.drops_outbound(
            self._peer_name
        ):
            self._simulate_loss(start_s, timeout_s, sent=False)
        self._open(min(timeout_s, _CONNECT_TIMEOUT_S))
        self._socket.setTimeout(timeout_s * 1000)
        try:
            result = getattr(self._client, method)(*args)
        except (TTransport.TTransportException, OSError, EOFError) as error:
            self.close()
            raise errors.TransportError(
                f"{method} at {self.address}: {error}", sent=True
            ) from error
        except Thrift.TApplicationException as error:
            self.close()
            raise errors.TransportError(
                f"{method} at {self.address} failed at the peer: {error}",
                sent=True,
            ) from error
        except Thrift.TException:
            self._check_inbound_partition(start_s, timeout_s)
            raise
        except Exception as error:
            self.close()
            raise errors.TransportError(
                f"{method} at {self.address}: invalid answer: {error}",
                sent=True,
            ) from error
        self._check_inbound_partition(start_s, timeout_s)
        return result

    def _check_inbound_partition(
        self, start_s: float, timeout_s: float
    ) -> None:
        if self._partitions and self._partitions.drops_inbound(self._peer_name):
            self._simulate_loss(start_s, timeout_s, sent=True)

    def _simulate_loss(
        self, start_s: float, timeout_s: float, *, sent: bool
    ) -> None:
        self.close()
        time.sleep(max(0.0, start_s + timeout_s - time.monotonic()))
        raise errors.TransportError(
            f"{self.address} did not answer in {timeout_s} s", sent=sent
        )

    def _is_closed(self) -> bool:
        """Whether the peer closed the connection while it was idle."""
        handle = self._socket.handle if self._socket is not None else None
        if handle is None:
            return True
        try:
            handle.settimeout(0)
            handle.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        # The end of the stream, or an unexpected answer.
        return True

    def _open(self, timeout_s: float) -> None:
        if self._client is not None and not self._is_closed():
            return
        self.close()
        host, port = addresses.parse(self.address)
        sock = TSocket.TSocket(host, port)
        sock.setTimeout(timeout_s * 1000)
        try:
            sock.open()
        except (TTransport.TTransportException, OSError) as error:
            # OSError if no file descriptor is left.
            raise errors.TransportError(
                f"cannot connect to {self.address}: {error}", sent=False
            ) from error
        sock.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport = TTransport.TFramedTransport(
            sock, thrift_server.FRAME_LIMIT_BYTES
        )
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        self._socket = sock
        self._client = self._client_class(
            TMultiplexedProtocol.TMultiplexedProtocol(
                protocol, self._service_name
            )
        )
