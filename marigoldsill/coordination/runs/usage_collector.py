"""Collection of measurements of a worker's runs for its agent's heartbeats.

A heartbeat carries only a few measurements that changed or are due for a repeat,
each in turn, so that it stays small on a full worker.
"""

from collections.abc import Iterable
from concurrent import futures
import dataclasses
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.requests import request_latency
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

MEASUREMENTS_PER_HEARTBEAT_LIMIT = 4
_CHANGE_RATIO = 0.1
_REPEAT_INTERVAL_S = 10.0
_READ_INTERVAL_S = 1.0
_COMPARED_FIELDS = ("cpu_millicores", "memory_bytes", "latency_p99_us")


@dataclasses.dataclass(slots=True, frozen=True)
class _SentUsage:
    usage: worker_interface.PlatformUsage
    sent_s: float


class UsageSelector:
    """Selects measurements to send, without those that have hardly changed."""

    def __init__(self):
        self._last_sent: dict[str, _SentUsage] = {}

    def choose(
        self, measured: Iterable[worker_interface.PlatformUsage]
    ) -> list[ttypes.Usage]:
        """Returns the measurements to send now, least recently sent first."""
        now_s = time.monotonic()
        by_task = {item.task: item for item in measured}
        self._last_sent = {
            t: s for t, s in self._last_sent.items() if t in by_task
        }
        due = [u for u in by_task.values() if self._is_due(u, now_s)]
        due.sort(key=self._last_sent_s)
        chosen = due[:MEASUREMENTS_PER_HEARTBEAT_LIMIT]
        self._last_sent |= {u.task: _SentUsage(u, now_s) for u in chosen}
        return [_to_thrift(usage) for usage in chosen]

    def _last_sent_s(self, usage: worker_interface.PlatformUsage) -> float:
        last = self._last_sent.get(usage.task)
        return last.sent_s if last else 0.0

    def _is_due(
        self, usage: worker_interface.PlatformUsage, now_s: float
    ) -> bool:
        last = self._last_sent.get(usage.task)
        if last is None or now_s - last.sent_s >= _REPEAT_INTERVAL_S:
            return True
        pairs = (
            (getattr(last.usage, n), getattr(usage, n))
            for n in _COMPARED_FIELDS
        )
        return any(
            abs(new - old) > _CHANGE_RATIO * max(old, 1) for old, new in pairs
        )


class UsageCollector:
    """Reads measurements on a thread of its own, because reads may hang."""

    def __init__(
        self,
        *,
        worker: worker_interface.WorkerInterface,
        latency: request_latency.RequestLatency,
    ):
        self._worker = worker
        self._latency = latency
        self._lock = threading.Lock()
        self._new_usage: list[worker_interface.PlatformUsage] = []
        self._read_s = 0.0
        self._selector = UsageSelector()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "worker-usage")

    def start(self) -> None:
        """Starts the thread that reads measurements."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stops reading."""
        self._stopping.set()
        self._pool.shutdown(wait=False)

    def take_measurements(self) -> list[ttypes.Usage]:
        """Returns measurements for the next heartbeat; empty without a new reading."""
        with self._lock:
            new_usage, self._new_usage = self._new_usage, []
            since_read_ms = int((time.monotonic() - self._read_s) * 1000)
        if not new_usage:
            return []
        return self._selector.choose(
            dataclasses.replace(usage, age_ms=usage.age_ms + since_read_ms)
            for usage in new_usage
        )

    def _loop(self) -> None:
        while not self._stopping.wait(_READ_INTERVAL_S):
            try:
                usage = self._worker.usage()
            except errors.MarigoldsillError as error:
                logs.event(
                    "usage_missing", level="WARNING", reason=error.message
                )
                continue
            except Exception as error:  # a bad reading is skipped
                logs.event("usage_missing", level="ERROR", reason=repr(error))
                continue
            usage = [self._with_latency(item) for item in usage]
            self._latency.retain_tasks({item.task for item in usage})
            with self._lock:
                self._new_usage, self._read_s = usage, time.monotonic()

    def _with_latency(
        self, usage: worker_interface.PlatformUsage
    ) -> worker_interface.PlatformUsage:
        p99_us = self._latency.take_p99_us(usage.task)
        if not p99_us:
            return usage
        return dataclasses.replace(usage, latency_p99_us=p99_us)


def _to_thrift(usage: worker_interface.PlatformUsage) -> ttypes.Usage:
    return ttypes.Usage(
        task=usage.task,
        cpu_millicores=usage.cpu_millicores,
        memory_bytes=usage.memory_bytes,
        age_ms=usage.age_ms,
        latency_p99_us=usage.latency_p99_us,
        progress_ms=usage.progress_ms,
    )
