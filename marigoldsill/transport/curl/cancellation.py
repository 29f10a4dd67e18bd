"""Cancels an HTTP call from another thread."""

import contextlib
import socket
import threading


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
