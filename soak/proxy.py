"""A loopback proxy that delays, resets, cuts or silences connections."""

import contextlib
import dataclasses
import socket
import struct
import threading
import time

_CHUNK_BYTES = 65_536
_POLL_S = 0.05
_CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Through:
    """Everything passes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Delayed:
    """Everything passes later.

    Attributes:
        by_s: How much later.
    """

    by_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class OneWay:
    """Only what goes to the target passes, or only what comes from it.

    Attributes:
        to_target: Whether the first of both passes.
    """

    to_target: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Silent:
    """Nothing passes, and no connection ends."""


@dataclasses.dataclass(slots=True, frozen=True)
class Reset:
    """Open connections are reset; new ones pass."""


Mode = Through | Delayed | OneWay | Silent | Reset


class Proxy:
    """Stands before one address.

    Attributes:
        address: Where it listens.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._lock = threading.Lock()
        self._mode: Mode = Through()
        self._open: set[socket.socket] = set()
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        _begin(self._accept)

    def set(self, mode: Mode) -> None:
        """Changes what happens to connections, also to open ones."""
        with self._lock:
            self._mode = mode
            connections = list(self._open)
        if isinstance(mode, Reset):
            for connection in connections:
                _reset(connection)

    def stop(self) -> None:
        """Ends everything."""
        self._stopping.set()
        self._listener.close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            _reset(connection)

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            _begin(self._serve, caller)

    def _serve(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, _CONNECT_TIMEOUT_S)
        except OSError:
            _reset(caller)
            return
        target.settimeout(None)
        with self._lock:
            self._open |= {caller, target}
        _begin(self._copy, caller, target, True)
        _begin(self._copy, target, caller, False)

    def _copy(
        self, source: socket.socket, sink: socket.socket, to_target: bool
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                self._pass(sink, data, to_target)
            self._finish(sink)
        except OSError:
            _reset(sink)
        finally:
            with self._lock:
                self._open.discard(source)

    def _finish(self, sink: socket.socket) -> None:
        """Hands the end of a connection on."""
        with self._lock:
            mode = self._mode
        match mode:
            case Reset():
                _reset(sink)
            case _:
                sink.shutdown(socket.SHUT_WR)

    def _pass(self, sink: socket.socket, data: bytes, to_target: bool) -> None:
        """Hands data on, once the mode lets it."""
        while not self._stopping.is_set():
            with self._lock:
                mode = self._mode
            match mode:
                case Silent():
                    self._stopping.wait(_POLL_S)
                case OneWay(to_target=passing) if passing != to_target:
                    self._stopping.wait(_POLL_S)
                case Delayed(by_s=by_s):
                    time.sleep(by_s)
                    sink.sendall(data)
                    return
                case _:
                    sink.sendall(data)
                    return


def _begin(task, *arguments: object) -> None:
    threading.Thread(target=task, args=arguments, daemon=True).start()


def _reset(connection: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with contextlib.suppress(OSError):
        # Wakes who reads from it, without a word to the other end.
        connection.shutdown(socket.SHUT_RD)
    connection.close()
