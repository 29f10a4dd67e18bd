"""Delayed usage measurements that agents send to the leader."""

import dataclasses
import threading

from marigoldsill.protocol.generated import ttypes

_MEASUREMENTS_LIMIT = 200_000
_OWNERS_LIMIT = 100_000


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """The usage of one run at a point in time.

    Attributes:
        worker: The worker that had the run.
        usage: The measured usage.
        measured_s: When it was measured, by this process's monotonic clock.
    """

    worker: str
    usage: ttypes.Usage
    measured_s: float


class UsageTable:
    """Holds unprocessed measurements and the peak usage of each owner's tasks."""

    def __init__(self):
        self._lock = threading.Lock()
        self._largest: dict[str, ttypes.Resources] = {}
        self._measurements: list[Measurement] = []

    def add(
        self, worker: str, usage: list[ttypes.Usage], *, now_s: float
    ) -> None:
        """Adds the measurements of a heartbeat; those beyond the limit are dropped.

        Args:
            worker: The worker that was measured.
            usage: The usage of its runs.
            now_s: When the heartbeat was received.
        """
        with self._lock:
            free_count = _MEASUREMENTS_LIMIT - len(self._measurements)
            self._measurements += [
                Measurement(worker, item, now_s - item.age_ms / 1000)
                for item in usage[:free_count]
            ]
            for item in usage:
                self._update_largest(item)

    def largest_by_owner(self) -> dict[str, ttypes.Resources]:
        """Returns the peak usage of a task of each owner, for a bounded number."""
        with self._lock:
            return dict(self._largest)

    def take_measurements(self) -> list[Measurement]:
        """Returns the measurements added since the last call and removes them."""
        with self._lock:
            taken, self._measurements = self._measurements, []
        return taken

    def _update_largest(self, item: ttypes.Usage) -> None:
        owner = item.task.rpartition("/")[0]
        size = self._largest.get(owner)
        if size is None:
            if len(self._largest) >= _OWNERS_LIMIT:
                del self._largest[next(iter(self._largest))]
            size = self._largest[owner] = ttypes.Resources()
        size.cpu_millicores = max(size.cpu_millicores, item.cpu_millicores)
        size.memory_bytes = max(size.memory_bytes, item.memory_bytes)
