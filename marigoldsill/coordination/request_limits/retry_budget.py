"""Limits retries to a share of the traffic, so that they cannot amplify overload."""

import threading

_SHARE = 0.1
_BURST_COUNT = 10.0
_BACKOFF_BASE_S = 0.005
_BACKOFF_LIMIT_S = 0.1


class RetryBudget:
    """A token bucket: each request adds a share of a token, each retry takes one.

    Args:
        share: Number of retries allowed for each request.
        burst_count: Maximum number of retries that are saved up.
    """

    def __init__(
        self, *, share: float = _SHARE, burst_count: float = _BURST_COUNT
    ):
        self._share = share
        self._burst_count = burst_count
        self._tokens = burst_count
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Adds the share of a request."""
        with self._lock:
            self._tokens = min(self._burst_count, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
