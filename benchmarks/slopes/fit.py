"""Fits straight lines to measured points."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import statistics

from benchmarks import table
from marigoldsill import errors

_SIZES_MIN_COUNT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """A straight line fitted to a figure measured at several sizes.

    Attributes:
        name: Name of the figure, by which the capacity page finds it.
        unit: Unit of the figure.
        per: What the size counts.
        sizes: The sizes at which the figure was measured.
        values: The figure at each size.
        slope: Growth per unit of `per`.
        intercept: Value of the line at size 0.
        residual_ratio: Largest distance of a point from the line, relative to
            the largest value.
        bound: Maximum of the slope; None if it is only recorded.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual_ratio: float
    bound: float | None = None

    def value_at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size

    def to_row(self) -> table.Row:
        """Returns the slope as a row of the benchmark table."""
        return table.Row(
            f"capacity: {self.name}",
            self.slope,
            f"{self.unit} a {self.per}",
            self.bound,
            None if self.bound is None else "max",
        )


def fit_line(
    name: str,
    points: Iterable[tuple[float, float]],
    *,
    unit: str,
    per: str,
    bound: float | None = None,
) -> Slope:
    """Fits a line to (size, value) points by least squares.

    Raises:
        BadInputError: If there are fewer than three different sizes.
    """
    sizes, values = zip(*sorted(points), strict=True)
    if len(set(sizes)) < _SIZES_MIN_COUNT:
        raise errors.BadInputError(
            f"slope {name!r} has {len(set(sizes))} sizes: expected at least "
            f"{_SIZES_MIN_COUNT}"
        )
    slope, intercept = statistics.linear_regression(sizes, values)
    distances = (
        abs(value - intercept - slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return Slope(
        name=name,
        unit=unit,
        per=per,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=slope,
        intercept=intercept,
        residual_ratio=max(distances) / max(map(abs, values)),
        bound=bound,
    )


def measure_line(
    name: str,
    sizes: Iterable[int],
    measure: Callable[[int], float],
    *,
    unit: str,
    per: str,
    bound: float | None = None,
) -> Slope:
    """Measures a figure at each size and fits a line to it."""
    return fit_line(
        name,
        [(size, measure(size)) for size in sizes],
        unit=unit,
        per=per,
        bound=bound,
    )


def print_slopes(slopes: Iterable[Slope]) -> None:
    """Prints each slope with its points and residual."""
    for slope in slopes:
        points = ", ".join(
            f"{table.format_number(size)}: {table.format_number(value)}"
            for size, value in zip(slope.sizes, slope.values, strict=True)
        )
        print(
            f"{slope.name}: {table.format_number(slope.slope)} {slope.unit} a "
            f"{slope.per}, {table.format_number(slope.intercept)} at 0, residual "
            f"{slope.residual_ratio:.1%} [{points}]"
        )
