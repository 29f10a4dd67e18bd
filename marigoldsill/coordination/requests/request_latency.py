"""Tail latency of the services on an agent's worker.

The platform measures processors and memory; only the agent can measure latency.
The time at the endpoint is measured, without the wait for a slot: this wait is
caused by the service's own load, not by its neighbours on the worker.
"""

import threading

from hdrh import histogram

_MIN_US = 1
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILE = 99.0
_MIN_COUNT = 20


class RequestLatency:
    """Latencies of answered requests since the last measurement, by task."""

    def __init__(self):
        self._lock = threading.Lock()
        self._latencies_us: dict[str, histogram.HdrHistogram] = {}

    def record(self, task: str, latency_s: float) -> None:
        """Records how long a task's endpoint took for a complete answer."""
        latency_us = min(max(int(latency_s * 1e6), _MIN_US), _MAX_US)
        with self._lock:
            latencies = self._latencies_us.get(task)
            if latencies is None:
                latencies = histogram.HdrHistogram(
                    _MIN_US, _MAX_US, _SIGNIFICANT_DIGITS
                )
                self._latencies_us[task] = latencies
            latencies.record_value(latency_us)

    def take_p99_us(self, task: str) -> int:
        """Returns the 99th percentile since the last call that returned one.

        Returns:
            The latency in microseconds, or 0 if there are fewer than 20 answers;
            these are kept for the next call.
        """
        with self._lock:
            latencies = self._latencies_us.get(task)
            if latencies is None or latencies.get_total_count() < _MIN_COUNT:
                return 0
            del self._latencies_us[task]
        return latencies.get_value_at_percentile(_PERCENTILE)

    def retain_tasks(self, tasks: set[str]) -> None:
        """Drops the latencies of all tasks except the given ones."""
        with self._lock:
            for task in self._latencies_us.keys() - tasks:
                del self._latencies_us[task]
