"""Arithmetic on amounts of processors, memory and accelerators (resources)."""

from collections.abc import Hashable
import math
from typing import TypeVar

from marigoldsill.protocol.generated import ttypes

ZERO = ttypes.Resources()
_RATIO_TOLERANCE = 1e-9

_Key = TypeVar("_Key", bound=Hashable)


def fits(demand: ttypes.Resources, free: ttypes.Resources) -> bool:
    """Whether a demand fits into the free resources."""
    return (
        demand.cpu_millicores <= free.cpu_millicores
        and demand.memory_bytes <= free.memory_bytes
        and demand.accelerators_count <= free.accelerators_count
    )


def add(left: ttypes.Resources, right: ttypes.Resources) -> ttypes.Resources:
    """Returns the sum of two amounts."""
    return ttypes.Resources(
        left.cpu_millicores + right.cpu_millicores,
        left.memory_bytes + right.memory_bytes,
        left.accelerators_count + right.accelerators_count,
    )


def subtract(
    left: ttypes.Resources, right: ttypes.Resources
) -> ttypes.Resources:
    """Returns the difference of two amounts, which may be negative."""
    return ttypes.Resources(
        left.cpu_millicores - right.cpu_millicores,
        left.memory_bytes - right.memory_bytes,
        left.accelerators_count - right.accelerators_count,
    )


def maximum(
    left: ttypes.Resources, right: ttypes.Resources
) -> ttypes.Resources:
    """Returns the element-wise maximum of two amounts."""
    return ttypes.Resources(
        max(left.cpu_millicores, right.cpu_millicores),
        max(left.memory_bytes, right.memory_bytes),
        max(left.accelerators_count, right.accelerators_count),
    )


def multiply(amount: ttypes.Resources, count: int) -> ttypes.Resources:
    """Returns an amount taken several times."""
    return ttypes.Resources(
        amount.cpu_millicores * count,
        amount.memory_bytes * count,
        amount.accelerators_count * count,
    )


def scale(
    amount: ttypes.Resources, *, cpu_ratio: float, memory_ratio: float
) -> ttypes.Resources:
    """Returns an amount with processors and memory multiplied and rounded up."""
    return ttypes.Resources(
        math.ceil(amount.cpu_millicores * cpu_ratio),
        math.ceil(amount.memory_bytes * memory_ratio),
        amount.accelerators_count,
    )


def add_to(
    totals: dict[_Key, ttypes.Resources], key: _Key, amount: ttypes.Resources
) -> None:
    """Adds an amount to the total of a key."""
    _set_total(totals, key, add(totals.get(key, ZERO), amount))


def subtract_from(
    totals: dict[_Key, ttypes.Resources], key: _Key, amount: ttypes.Resources
) -> None:
    """Subtracts an amount from the total of a key; drops a total of zero."""
    _set_total(totals, key, subtract(totals.get(key, ZERO), amount))


def within_quota(
    allocated: ttypes.Resources,
    quota: ttypes.Resources,
    *,
    demand: ttypes.Resources = ZERO,
) -> bool:
    """Whether resources are within a team's quota (0: no limit).

    Args:
        allocated: The resources that the team has.
        quota: Its quota.
        demand: Further resources that it asks for.
    """
    allocated = add(allocated, demand)
    return (
        _is_within(allocated.cpu_millicores, quota.cpu_millicores)
        and _is_within(allocated.memory_bytes, quota.memory_bytes)
        and _is_within(allocated.accelerators_count, quota.accelerators_count)
    )


def dominant_share(amount: ttypes.Resources, total: ttypes.Resources) -> float:
    """Returns the largest share of a total that an amount has in any resource."""
    return max(
        amount.cpu_millicores / max(total.cpu_millicores, 1),
        amount.memory_bytes / max(total.memory_bytes, 1),
        amount.accelerators_count / max(total.accelerators_count, 1),
    )


def is_at_least(ratio: float, limit: float) -> bool:
    """Whether a ratio reaches a limit, with a tolerance for rounding."""
    return ratio >= limit - _RATIO_TOLERANCE


def describe(amount: ttypes.Resources) -> str:
    """Formats an amount for people, in the units of intent files."""
    parts = [
        f"{amount.cpu_millicores}m cores",
        f"{amount.memory_bytes / (1 << 20):.0f} MB",
    ]
    if amount.accelerators_count:
        parts.append(f"{amount.accelerators_count} accelerators")
    return ", ".join(parts)


def _set_total(
    totals: dict[_Key, ttypes.Resources], key: _Key, total: ttypes.Resources
) -> None:
    if total == ZERO:
        totals.pop(key, None)
    else:
        totals[key] = total


def _is_within(allocated: int, limit: int) -> bool:
    return not limit or allocated <= limit
