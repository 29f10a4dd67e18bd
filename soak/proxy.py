"""A loopback proxy that delays, drops or resets the data of connections."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import socket
import struct
import threading
import time

_CHUNK_BYTES = 65_536
_POLL_S = 0.05
_CONNECT_TIMEOUT_S = 1.0
_BACKLOG = 512


@dataclasses.dataclass(slots=True, frozen=True)
class PassThrough:
    """Forwards all data."""


@dataclasses.dataclass(slots=True, frozen=True)
class Delay:
    """Forwards all data after a delay.

    Attributes:
        delay_s: The delay of each chunk.
    """

    delay_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class OneWay:
    """Forwards data in one direction and holds back the other one.

    Attributes:
        to_target: Whether data to the target is forwarded, not data from it.
    """

    to_target: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Blackhole:
    """Holds back all data without closing connections."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResetOpen:
    """Resets open connections; forwards the data of new ones."""


@dataclasses.dataclass(slots=True, frozen=True)
class ResetAll:
    """Resets open and new connections."""


Mode = PassThrough | Delay | OneWay | Blackhole | ResetOpen | ResetAll


class _Caller:
    """The process that opened a connection, looked up once when needed."""

    def __init__(
        self,
        connection: socket.socket,
        identify: Callable[[socket.socket], str],
    ):
        self._connection = connection
        self._identify = identify
        self._cached_name: str | None = None

    def is_among(self, names: frozenset[str]) -> bool:
        """Whether it is one of the names; always true if there are none."""
        if not names:
            return True
        if self._cached_name is None:
            self._cached_name = self._identify(self._connection)
        return self._cached_name in names


class Proxy:
    """Forwards connections to one address, as the current modes define.

    Attributes:
        address: Where the proxy listens.
        target: The address that connections are forwarded to.
    """

    def __init__(
        self,
        target: str,
        *,
        address: str = "127.0.0.1:0",
        identify_caller: Callable[[socket.socket], str] = lambda _: "",
    ):
        """Starts to listen.

        Args:
            target: The address that connections are forwarded to.
            address: The address to listen on.
            identify_caller: Returns the name of the process that opened an
                accepted connection.
        """
        self.target = target
        self._identify_caller = identify_caller
        self._lock = threading.Lock()
        # By the callers that a mode applies to (all if empty); the newest is last.
        self._modes: dict[frozenset[str], Mode] = {}
        self._callers_by_connection: dict[socket.socket, _Caller] = {}
        self._stopping = threading.Event()
        self._listener = socket.create_server(
            _split_address(address), backlog=_BACKLOG
        )
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        _start_thread(self._accept)

    def set_mode(self, mode: Mode, *, callers: Iterable[str] = ()) -> None:
        """Sets the mode of open and new connections.

        Args:
            mode: The mode.
            callers: The processes whose connections it applies to; all if empty.
        """
        names = frozenset(callers)
        with self._lock:
            self._modes.pop(names, None)
            if not isinstance(mode, PassThrough):
                self._modes[names] = mode
            connections = list(self._callers_by_connection.items())
        if isinstance(mode, ResetOpen | ResetAll):
            for connection, caller in connections:
                if caller.is_among(names):
                    _reset(connection)

    def reset_connections(self) -> None:
        """Resets the open connections; leaves the modes as they are."""
        with self._lock:
            connections = list(self._callers_by_connection)
        for connection in connections:
            _reset(connection)

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._stopping.set()
        self._listener.close()
        self.reset_connections()

    def _current_mode(self, caller: _Caller) -> Mode:
        with self._lock:
            modes = list(reversed(self._modes.items()))
        found = (mode for names, mode in modes if caller.is_among(names))
        return next(found, PassThrough())

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            _start_thread(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        caller = _Caller(connection, self._identify_caller)
        if isinstance(self._current_mode(caller), ResetAll):
            _reset(connection)
            return
        try:
            target = socket.create_connection(
                _split_address(self.target), _CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset(connection)
            return
        target.settimeout(None)
        with self._lock:
            self._callers_by_connection |= {connection: caller, target: caller}
        _start_thread(self._copy_data, connection, target, True)
        _start_thread(self._copy_data, target, connection, False)

    def _copy_data(
        self, source: socket.socket, sink: socket.socket, to_target: bool
    ) -> None:
        caller = self._callers_by_connection[source]
        try:
            while data := source.recv(_CHUNK_BYTES):
                self._forward(sink, data, caller, to_target)
            self._forward_end(sink, caller)
        except OSError:
            _reset(sink)
        finally:
            with self._lock:
                del self._callers_by_connection[source]

    def _forward_end(self, sink: socket.socket, caller: _Caller) -> None:
        """Forwards the end of a connection."""
        match self._current_mode(caller):
            case ResetOpen() | ResetAll():
                _reset(sink)
            case _:
                sink.shutdown(socket.SHUT_WR)

    def _forward(
        self,
        sink: socket.socket,
        data: bytes,
        caller: _Caller,
        to_target: bool,
    ) -> None:
        """Forwards data once the mode allows it."""
        while not self._stopping.is_set():
            match self._current_mode(caller):
                case Blackhole():
                    self._stopping.wait(_POLL_S)
                case OneWay(to_target=passes_to_target) if (
                    passes_to_target != to_target
                ):
                    self._stopping.wait(_POLL_S)
                case Delay(delay_s=delay_s):
                    time.sleep(delay_s)
                    sink.sendall(data)
                    return
                case _:
                    sink.sendall(data)
                    return


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _start_thread(task, *arguments: object) -> None:
    threading.Thread(target=task, args=arguments, daemon=True).start()


def _reset(connection: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with contextlib.suppress(OSError):
        # Wakes a thread that reads from it; sends nothing to the other end.
        connection.shutdown(socket.SHUT_RD)
    connection.close()
