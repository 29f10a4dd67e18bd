"""The target size, its limits, and estimates derived from measurements."""

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
"""Assumed: two entry VMs per data centre; the requirements give no number."""

PROCESSOR_LIMIT_PERCENT = 2.3
MEMORY_LIMIT_BYTES = 64e6
NETWORK_LIMIT_BYTES_PER_S = 3_000
CHANGE_LIMIT_S = 4.0
URGENT_LIMIT_S = 4.3
CORE_LIMIT_PERCENT = 100
"""One interpreter runs on one core at a time, however many threads it has."""

HEARTBEATS_PER_S = 2
MEASUREMENTS_PER_HEARTBEAT_COUNT = 2
"""An agent reads usage once a second and sends at most four changed values."""

WATCH_PERIOD_S = 2
LEASE_EXPIRY_S = 3.0 * 1.1 + 0.2
"""Time without a heartbeat after which the leader considers a lease expired."""

DAY_S = 86_400
GROUP_WORKERS_COUNT = WORKERS_COUNT // DATA_CENTRES_COUNT
GROUP_TASKS_COUNT = TASKS_COUNT // DATA_CENTRES_COUNT
WORKER_TASKS_COUNT = TASKS_COUNT / WORKERS_COUNT
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
GROUP_STARTS_PER_S = STARTS_PEAK_PER_S / DATA_CENTRES_COUNT


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """One estimate in a role's table.

    Attributes:
        name: Name of the estimated quantity.
        derivation: How the value is derived, with the figures used.
        value: The estimated value.
        unit: Unit of the value.
        limit: Maximum of the value; None if there is no requirement.
    """

    name: str
    derivation: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Whether the limit holds, or the factor by which it is exceeded."""
        if self.limit is None:
            return ""
        share = self.value / self.limit
        if share > 1:
            return f"misses by {table.format_number(share)} times"
        return f"holds, at {share:.0%}"


@dataclasses.dataclass(slots=True, frozen=True)
class Measurements:
    """Measured slopes and single figures.

    Attributes:
        slopes: Slopes by name.
        rows: Single figures by name, without "capacity: ".
    """

    slopes: Mapping[str, fit.Slope]
    rows: Mapping[str, float]

    def slope(self, name: str) -> float:
        """Returns the slope of a figure."""
        return self.slopes[name].slope

    def value_at(self, name: str, size: float) -> float:
        """Returns the value of a figure at a size."""
        return self.slopes[name].value_at(size)


def heartbeat_bytes(figures: Measurements) -> float:
    """Returns the network bytes of an agent's usual heartbeat."""
    return messages.network_bytes(
        figures.value_at("heartbeat bytes", MEASUREMENTS_PER_HEARTBEAT_COUNT)
    )


def format_amount(value: float) -> str:
    """Formats a figure for a derivation."""
    return table.format_number(value) if value < 100 else f"{value:,.0f}"
