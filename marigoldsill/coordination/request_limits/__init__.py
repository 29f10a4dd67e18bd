"""Limits on callers' requests: how many are in flight, wait or are retried.

They decide without a network. Other packages use only the modules listed here.
"""

__all__ = [
    "concurrency_limits",
    "retry_budget",
    "service_queue",
]
