"""Detects callers that disconnect while their requests are in progress.

One thread waits on the sockets of all requests in progress. A caller that only
closes its sending side counts as disconnected too, as the two cannot be told apart.
"""

from collections.abc import Callable
from concurrent import futures
import contextlib
import select
import socket
import threading

_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLONESHOT
_POLL_TIMEOUT_S = 1.0


class Hangup:
    """Whether the caller of a request has disconnected, with a callback for it.

    Once `set_callback` has replaced a callback, it runs no more: what it aborts may
    serve another request by then. A callback must be short, as it runs under a lock.

    Attributes:
        is_disconnected: Whether the caller has disconnected.
    """

    __slots__ = ("_callback", "_descriptor", "_lock", "is_disconnected")

    def __init__(self, descriptor: int | None = None):
        """Initializes a hangup of a connected caller.

        Args:
            descriptor: The caller's socket, open as long as the hangup is in use; None
                for a caller that cannot be seen to disconnect.
        """
        self._descriptor = descriptor
        self._lock = threading.Lock()
        self._callback: Callable[[], None] | None = None
        self.is_disconnected = False

    def set_callback(self, callback: Callable[[], None] | None) -> None:
        """Sets the function to call on disconnection; calls it now if already due."""
        with self._lock:
            self._callback = callback
            if self.is_disconnected and callback is not None:
                callback()

    def poll(self) -> bool:
        """Looks at the socket, without waiting for the watcher to notice.

        Returns:
            Whether the caller has disconnected.
        """
        has_socket = self._descriptor is not None
        if has_socket and _is_disconnected(self._descriptor):
            self.record_disconnect()
        return self.is_disconnected

    def record_disconnect(self) -> None:
        """Records that the caller has disconnected and calls the callback."""
        with self._lock:
            self.is_disconnected = True
            if self._callback is not None:
                self._callback()


class HangupWatcher:
    """Watches the sockets of requests in progress."""

    def __init__(self):
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._hangups: dict[int, Hangup] = {}
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "hangups")

    def start(self) -> None:
        """Starts watching."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Stops watching."""
        self._stopping.set()
        self._pool.shutdown(wait=False)

    @contextlib.contextmanager
    def watched(self, connection: socket.socket):
        """Watches a connection while the context is open."""
        descriptor = connection.fileno()
        hangup = Hangup(descriptor)
        with self._lock:
            self._hangups[descriptor] = hangup
        try:
            self._epoll.register(descriptor, _EVENTS)
        except FileExistsError:
            self._epoll.modify(descriptor, _EVENTS)
        try:
            yield hangup
        finally:
            with self._lock:
                del self._hangups[descriptor]
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)

    def handle_event(self, descriptor: int) -> None:
        """Records a disconnection, unless the event was of an earlier connection."""
        with self._lock:
            hangup = self._hangups.get(descriptor)
            # The descriptor is of this request's connection while the lock is held.
            is_due = hangup is not None and _is_disconnected(descriptor)
        if is_due:
            hangup.record_disconnect()

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(_POLL_TIMEOUT_S):
                self.handle_event(descriptor)


def _is_disconnected(descriptor: int) -> bool:
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP | select.POLLHUP)
    return bool(poller.poll(0))
