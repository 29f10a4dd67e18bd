"""The target size, the limits, and how a figure worked out is written."""

from collections.abc import Mapping
import dataclasses

from benchmarks import table
from benchmarks.slopes import fit
from benchmarks.slopes import messages

WORKERS_COUNT = 5_400
TASKS_COUNT = 81_000
LATENCY_TASKS_COUNT = 17_000
TEAMS_COUNT = 450
DATA_CENTRES_COUNT = 6
STARTS_PEAK_PER_S = 740
JOBS_PER_DAY = 68_000
CHANGES_PER_DAY = 17_000
VM_FAILURES_PER_DAY = 99
VM_RESTARTS_PER_DAY = 410
WORKERS_PER_RACK = 3
CONTROL_VMS_COUNT = 22
ENTRIES_COUNT = 12
"""Assumed: two entry VMs a data centre; the letter names no number."""

PROCESSOR_LIMIT_PERCENT = 2.3
MEMORY_LIMIT_BYTES = 64e6
NETWORK_LIMIT_BYTES_PER_S = 3_000
CHANGE_LIMIT_S = 4.0
URGENT_LIMIT_S = 4.3
CORE_LIMIT_PERCENT = 100
"""One interpreter runs on one core at a time, however many threads it has."""

HEARTBEATS_PER_S = 2
MEASUREMENTS_PER_HEARTBEAT_COUNT = 2
"""An agent reads once a second and sends at most four of what changed."""

WATCH_PERIOD_S = 2
LEASE_OVER_S = 3.0 * 1.1 + 0.2
"""After this long without a heartbeat the leader takes a lease as over."""

DAY_S = 86_400
GROUP_WORKERS_COUNT = WORKERS_COUNT // DATA_CENTRES_COUNT
GROUP_TASKS_COUNT = TASKS_COUNT // DATA_CENTRES_COUNT
WORKER_TASKS_COUNT = TASKS_COUNT / WORKERS_COUNT
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
GROUP_STARTS_PER_S = STARTS_PEAK_PER_S / DATA_CENTRES_COUNT


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a role's table.

    Attributes:
        what: What is worked out.
        working: How, with the figures used.
        value: The result.
        unit: Its unit.
        limit: What it may be at most; None where nothing is asked.
    """

    what: str
    working: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Holds, or the factor by which it misses."""
        if self.limit is None:
            return ""
        share = self.value / self.limit
        if share > 1:
            return f"misses by {table.number(share)} times"
        return f"holds, at {share:.0%}"


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """What was measured.

    Attributes:
        slopes: By name.
        rows: Single figures by name, without "capacity: ".
    """

    slopes: Mapping[str, fit.Slope]
    rows: Mapping[str, float]

    def slope(self, name: str) -> float:
        """The growth of a figure."""
        return self.slopes[name].slope

    def at(self, name: str, size: float) -> float:
        """A figure at a size."""
        return self.slopes[name].at(size)


def heartbeat_bytes(figures: Figures) -> float:
    """An agent's usual heartbeat, with what its transport adds."""
    return messages.on_the_wire(
        figures.at("heartbeat bytes", MEASUREMENTS_PER_HEARTBEAT_COUNT)
    )


def amount(value: float) -> str:
    """A figure as it is written in a working."""
    return table.number(value) if value < 100 else f"{value:,.0f}"
