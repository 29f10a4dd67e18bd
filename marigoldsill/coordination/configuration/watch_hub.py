"""Wakes waiting subscribers, but only those that a change concerns."""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time

from marigoldsill.protocol.generated import ttypes


class _WaitGroup:
    """The waiting threads of one subscriber.

    Attributes:
        wakes_count: Incremented by each wake. A waiter compares it before and after
            its check, so that it need not hold a lock during the check.
        waiters_count: How many threads wait; the group is removed with the last.
    """

    __slots__ = ("condition", "role", "waiters_count", "wakes_count")

    def __init__(self, role: ttypes.Role):
        self.condition = threading.Condition()
        self.role = role
        self.wakes_count = 0
        self.waiters_count = 0


class WatchHub:
    """Wait groups of the subscribers that currently wait.

    Attributes:
        wakes_count: How many times a subscriber was woken.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._groups: dict[str, _WaitGroup] = {}
        self._is_closed = False
        self.wakes_count = 0

    @property
    def waiting_count(self) -> int:
        """How many subscribers currently wait."""
        return len(self._groups)

    def wait(
        self,
        subscriber: str,
        is_ready: Callable[[], bool],
        *,
        role: ttypes.Role,
        timeout_s: float,
    ) -> bool:
        """Waits until a condition holds for a subscriber, or the timeout is over.

        Args:
            subscriber: The subscriber's name, by which it is woken.
            is_ready: The condition; called without any lock held.
            role: The subscriber's role, by which it is woken as well.
            timeout_s: The longest wait.

        Returns:
            Whether the condition holds, or the hub is closed.
        """
        group = self._join_group(subscriber, role)
        try:
            return _wait_in(
                group, lambda: self._is_closed or is_ready(), timeout_s
            )
        finally:
            self._leave_group(subscriber, group)

    def wake(self, subscribers: Iterable[str]) -> None:
        """Wakes those of the given subscribers that wait."""
        with self._lock:
            groups = [self._groups.get(name) for name in subscribers]
        self._notify([group for group in groups if group is not None])

    def wake_role(self, role: ttypes.Role) -> None:
        """Wakes all subscribers of a role."""
        with self._lock:
            groups = [g for g in self._groups.values() if g.role == role]
        self._notify(groups)

    def wake_all(self) -> None:
        """Wakes all subscribers."""
        with self._lock:
            groups = list(self._groups.values())
        self._notify(groups)

    def close(self) -> None:
        """Ends all waits, and makes later ones return at once."""
        self._is_closed = True
        self.wake_all()

    def _join_group(self, subscriber: str, role: ttypes.Role) -> _WaitGroup:
        with self._lock:
            group = self._groups.setdefault(subscriber, _WaitGroup(role))
            group.waiters_count += 1
            return group

    def _leave_group(self, subscriber: str, group: _WaitGroup) -> None:
        with self._lock:
            group.waiters_count -= 1
            if not group.waiters_count:
                del self._groups[subscriber]

    def _notify(self, groups: list[_WaitGroup]) -> None:
        self.wakes_count += len(groups)
        for group in groups:
            with group.condition:
                group.wakes_count += 1
                group.condition.notify_all()


def _wait_in(
    group: _WaitGroup, is_ready: Callable[[], bool], timeout_s: float
) -> bool:
    end_s = time.monotonic() + timeout_s
    while True:
        seen_count = group.wakes_count
        if is_ready():
            return True
        remaining_s = end_s - time.monotonic()
        if remaining_s <= 0:
            return False
        with group.condition:
            if group.wakes_count == seen_count:
                group.condition.wait(remaining_s)
