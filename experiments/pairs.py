"""Differences of figures that are paired by seed."""

from collections.abc import Sequence
import math
import statistics

# In standard errors. At two, about one in twenty comparisons of equals is marked
# as a difference.
_SIGNIFICANT_ERRORS = 2.0


def paired_difference(
    before: Sequence[float], after: Sequence[float]
) -> tuple[float, float]:
    """Returns the mean difference by seed and its standard error."""
    differences = [b - a for a, b in zip(before, after, strict=True)]
    if len(differences) < 2:
        return differences[0], math.inf
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return statistics.fmean(differences), error


def is_significant(difference: float, error: float) -> bool:
    """Whether a difference is more than chance at two standard errors."""
    return difference != 0 and abs(difference) > _SIGNIFICANT_ERRORS * error
