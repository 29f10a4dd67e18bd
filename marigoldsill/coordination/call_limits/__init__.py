"""An entry's limits on calls in flight and on retries, and who is admitted next."""

__all__ = [
    "concurrency_limits",
    "expected_returns",
    "retry_budget",
]
