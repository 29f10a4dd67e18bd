"""Retries as a share of traffic, so that they never multiply an overload."""

import threading

_SHARE = 0.1
_BURST_COUNT = 10.0
_BACKOFF_BASE_S = 0.005
_BACKOFF_LIMIT_S = 0.1


class RetryBudget:
    """A token bucket: each request adds a share, each retry takes one.

    Args:
        share: Retries that each request pays for.
        burst_count: The most retries that are saved up.
    """

    def __init__(
        self, *, share: float = _SHARE, burst_count: float = _BURST_COUNT
    ):
        self._share = share
        self._burst_count = burst_count
        self._tokens = burst_count
        self._lock = threading.Lock()

    def note_request(self) -> None:
        """Adds a request's share."""
        with self._lock:
            self._tokens = min(self._burst_count, self._tokens + self._share)

    def take(self) -> bool:
        """Takes one retry; whether there was one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
