"""The calls that were refused for overload and told when to return.

A call that returns with its idempotency key goes before calls that were never
refused. Not all callers return, so capacity is kept only for the share that did so far.
"""

from collections.abc import Iterator
import itertools
import time

# How long after the time that it was told a call is still expected.
_GRACE_S = 1.0
_KEYS_LIMIT = 1_000
# Weight of a new value in the moving average of the share of calls that return.
_RETURNED_WEIGHT = 0.05


class ExpectedReturns:
    """Keys of refused calls, the one that was refused first before others.

    It has no lock of its own; the lock of its limit protects it.
    """

    def __init__(self):
        # When each call was told to return, on the monotonic clock.
        self._due_s: dict[str, float] = {}
        self._returned_share = 1.0

    def record_refusal(self, key: str, *, retry_after_s: float) -> None:
        """Records when a call is to return; it keeps its place among others."""
        if key and (key in self._due_s or len(self._due_s) < _KEYS_LIMIT):
            self._due_s[key] = time.monotonic() + retry_after_s

    def record_arrival(self, key: str) -> None:
        """Records that a call has come, for the first time or again."""
        self._drop_overdue()
        if key in self._due_s:
            self._update_share(1.0)

    def remove(self, key: str) -> None:
        """Removes a call that was admitted."""
        self._due_s.pop(key, None)

    def count_before(self, key: str) -> float:
        """Returns how many calls are expected that were refused before this one."""
        return self._returned_share * sum(1 for _ in self._before(key))

    def due_count_before(self, key: str) -> float:
        """Returns how many of these should come now."""
        now_s = time.monotonic()
        due = (k for k in self._before(key) if self._due_s[k] <= now_s)
        return self._returned_share * sum(1 for _ in due)

    def _before(self, key: str) -> Iterator[str]:
        return itertools.takewhile(lambda k: k != key, self._due_s)

    def _drop_overdue(self) -> None:
        oldest_s = time.monotonic() - _GRACE_S
        overdue = [k for k, due_s in self._due_s.items() if due_s < oldest_s]
        for key in overdue:
            del self._due_s[key]
            self._update_share(0.0)

    def _update_share(self, value: float) -> None:
        self._returned_share += _RETURNED_WEIGHT * (
            value - self._returned_share
        )
