"""Check by the agent that its worker has the resources for a start."""

import enum
import threading
import time

from marigoldsill.coordination.runs import run_events
from marigoldsill.coordination.runs import run_operations
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_REFRESH_INTERVAL_S = 10.0
_RESOURCE_NAMES = ("cpu_millicores", "memory_bytes", "accelerators_count")


class FitResult(enum.Enum):
    """Result of the check whether a run fits on the worker."""

    FITS = enum.auto()
    WAITS = enum.auto()  # fits once runs that are being stopped have ended
    TOO_LARGE = enum.auto()


class WorkerCapacity:
    """A worker's total resources and the part of them that runs reserve."""

    def __init__(self, *, worker: worker_interface.WorkerInterface):
        self._worker = worker
        self._lock = threading.Lock()
        self._total: ttypes.Resources | None = None
        self._read_s = 0.0
        self._reserved = dict.fromkeys(_RESOURCE_NAMES, 0)
        self._reserved_by_stopping = dict.fromkeys(_RESOURCE_NAMES, 0)

    @property
    def total(self) -> ttypes.Resources | None:
        """Total resources of the worker; None until they are first read."""
        return self._total

    def refresh(self, *, force: bool = False) -> None:
        """Reads the total resources if `force` or if the last reading is old."""
        now_s = time.monotonic()
        is_fresh = (
            self._total is not None
            and now_s < self._read_s + _REFRESH_INTERVAL_S
        )
        if is_fresh and not force:
            return
        answer = self._worker.capacity()
        total = ttypes.Resources(
            **{name: getattr(answer, name) for name in _RESOURCE_NAMES}
        )
        if total != self._total:
            logs.event(
                "capacity_read",
                **{name: getattr(total, name) for name in _RESOURCE_NAMES},
            )
        self._total, self._read_s = total, now_s

    def update_reserved(
        self,
        listed: dict[run_events.RunId, worker_interface.PlatformTask],
        starts: dict[run_events.RunId, run_operations.StartAttempt],
        *,
        ordered: set[run_events.RunId],
    ) -> None:
        """Computes the reserved resources anew.

        Args:
            listed: The runs that the worker lists.
            starts: Starts that may still take effect.
            ordered: Runs in the orders; other running ones are being stopped.
        """
        running = {r: t for r, t in listed.items() if t.state == "running"}
        pending = [a.resources for r, a in starts.items() if r not in listed]
        stopping = [t for r, t in running.items() if r not in ordered]
        self._reserved = _sum_resources([*running.values(), *pending])
        self._reserved_by_stopping = _sum_resources(stopping)

    def reserve(self, resources: ttypes.Resources) -> None:
        """Reserves resources for a start that is about to be sent."""
        for name in _RESOURCE_NAMES:
            self._reserved[name] += getattr(resources, name)

    def check_fit(self, resources: ttypes.Resources) -> FitResult:
        """Checks whether a run fits into the free resources."""
        if self._fits(resources, self._reserved):
            return FitResult.FITS
        remaining = {
            n: self._reserved[n] - self._reserved_by_stopping[n]
            for n in _RESOURCE_NAMES
        }
        if self._fits(resources, remaining):
            return FitResult.WAITS
        # The capacity may have changed: control should receive the new one with
        # the refusal, or it would place the run here again.
        self.refresh(force=True)
        fits = self._fits(resources, self._reserved)
        return FitResult.FITS if fits else FitResult.TOO_LARGE

    def describe_reserved(self) -> str:
        """Describes the reserved and the total resources, for a message."""
        return ", ".join(
            f"{name} {self._reserved[name]} of {getattr(self._total, name)}"
            for name in _RESOURCE_NAMES
        )

    def _fits(
        self, resources: ttypes.Resources, reserved: dict[str, int]
    ) -> bool:
        return all(
            reserved[name] + getattr(resources, name)
            <= getattr(self._total, name)
            for name in _RESOURCE_NAMES
        )


def _sum_resources(items: list) -> dict[str, int]:
    return {n: sum(getattr(item, n) for item in items) for n in _RESOURCE_NAMES}
