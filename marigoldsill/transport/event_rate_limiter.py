"""Limits how many lines of one event are logged in a second."""

from collections.abc import Callable
import threading

# More lines of one event in a second add no information. Under the highest load, 60 to
# 150 runs are granted in a second.
LINES_PER_S = 200


class EventRateLimiter:
    """Counts the lines of each event in the current second."""

    def __init__(
        self,
        *,
        clock_s: Callable[[], float],
        lines_per_s: int = LINES_PER_S,
    ):
        self._clock_s = clock_s
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._second = 0
        self._counts: dict[str, int] = {}

    def acquire(self, event: str) -> tuple[bool, dict[str, int]]:
        """Counts a line and decides whether it may be written.

        Returns:
            Whether the line may be written, and the number of suppressed lines of
            each event in the last second that has ended.
        """
        with self._lock:
            suppressed = self._roll_over(int(self._clock_s()))
            count = self._counts.get(event, 0) + 1
            self._counts[event] = count
            return count <= self._lines_per_s, suppressed

    def _roll_over(self, second: int) -> dict[str, int]:
        if second == self._second:
            return {}
        self._second = second
        counts, self._counts = self._counts, {}
        return {
            event: count - self._lines_per_s
            for event, count in counts.items()
            if count > self._lines_per_s
        }
