"""Late measurements that agents sent to the leader."""

import dataclasses
import threading
import time

from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """One run's usage and when it was true.

    Attributes:
        worker: Where the run was.
        usage: What was measured.
        measured_s: When, by this process's monotonic clock.
    """

    worker: str
    usage: ttypes.Usage
    measured_s: float


class UsageTable:
    """The last measurement of each task."""

    def __init__(self):
        self._lock = threading.Lock()
        self._last: dict[str, Measurement] = {}

    def put(self, worker: str, usage: list[ttypes.Usage]) -> None:
        """Keeps what a heartbeat brought."""
        now_s = time.monotonic()
        with self._lock:
            for item in usage:
                self._last[item.task] = Measurement(
                    worker, item, now_s - item.age_ms / 1000
                )

    def last(self) -> dict[str, Measurement]:
        """The last measurement of each task, by name."""
        with self._lock:
            return dict(self._last)

    def largest_by_owner(self) -> dict[str, ttypes.Resources]:
        """The largest use last seen among the tasks of each owner."""
        sizes: dict[str, ttypes.Resources] = {}
        for task, seen in self.last().items():
            size = sizes.setdefault(task.rpartition("/")[0], ttypes.Resources())
            size.cpu_millicores = max(
                size.cpu_millicores, seen.usage.cpu_millicores
            )
            size.memory_bytes = max(size.memory_bytes, seen.usage.memory_bytes)
        return sizes
