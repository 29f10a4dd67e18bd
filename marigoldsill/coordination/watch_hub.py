"""Wakes the subscribers that a change concerns, and only those."""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time


class WatchHub:
    """Waiting rooms of subscribers, one condition each."""

    def __init__(self):
        self._lock = threading.Lock()
        self._rooms: dict[str, threading.Condition] = {}

    def wait(
        self, subscriber: str, ready: Callable[[], bool], *, timeout_s: float
    ) -> bool:
        """Waits until `ready` holds for a subscriber; whether it does."""
        with self._lock:
            room = self._rooms.setdefault(subscriber, threading.Condition())
        end_s = time.monotonic() + timeout_s
        with room:
            while not ready():
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    return False
                room.wait(left_s)
        return True

    def wake(self, subscribers: Iterable[str]) -> None:
        """Wakes some subscribers, if they wait here."""
        with self._lock:
            rooms = [self._rooms.get(name) for name in subscribers]
        _notify(room for room in rooms if room is not None)

    def wake_all(self) -> None:
        """Wakes every subscriber."""
        with self._lock:
            rooms = list(self._rooms.values())
        _notify(rooms)


def _notify(rooms: Iterable[threading.Condition]) -> None:
    for room in rooms:
        with room:
            room.notify_all()
