"""Late measurements that agents sent to the leader."""

import dataclasses
import threading

from marigoldsill.protocol.generated import ttypes

_NEW_LIMIT = 200_000


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
    """The last measurement of each task, and those not yet learnt from."""

    def __init__(self):
        self._lock = threading.Lock()
        self._last: dict[str, Measurement] = {}
        self._new: list[Measurement] = []

    def put(
        self, worker: str, usage: list[ttypes.Usage], *, now_s: float
    ) -> None:
        """Keeps what a heartbeat brought at `now_s`."""
        with self._lock:
            for item in usage:
                measurement = Measurement(
                    worker, item, now_s - item.age_ms / 1000
                )
                self._last[item.task] = measurement
                if len(self._new) < _NEW_LIMIT:
                    self._new.append(measurement)

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

    def take_new(self) -> list[Measurement]:
        """The measurements that came since the last call."""
        with self._lock:
            taken, self._new = self._new, []
        return taken

    def forget(self, task: str) -> None:
        """Drops the measurements of a task that ended."""
        with self._lock:
            self._last.pop(task, None)
