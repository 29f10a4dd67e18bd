"""Tests the arithmetic that team quotas and queue shares have in common."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts

_ONE = ttypes.Resources(cpu_millicores=1_000, memory_bytes=1)


def test_totals_of_zero_are_dropped() -> None:
    totals: dict[str, ttypes.Resources] = {}
    amounts.add_to(totals, "a", _ONE)
    amounts.add_to(totals, "a", _ONE)
    assert totals == {"a": amounts.multiply(_ONE, 2)}
    amounts.subtract_from(totals, "a", amounts.multiply(_ONE, 2))
    assert totals == {}


def test_a_demand_counts_against_the_quota() -> None:
    quota = ttypes.Resources(cpu_millicores=2_000)
    assert amounts.within_quota(_ONE, quota, demand=_ONE)
    assert not amounts.within_quota(
        amounts.multiply(_ONE, 2), quota, demand=_ONE
    )
    assert amounts.within_quota(_ONE, amounts.ZERO, demand=_ONE)


def test_ratios_are_compared_with_a_tolerance() -> None:
    assert amounts.is_at_least(0.3, 0.1 + 0.2)
    assert not amounts.is_at_least(0.3, 0.301)
