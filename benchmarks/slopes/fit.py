"""Straight lines through measured points."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import statistics

from benchmarks import table
from marigoldsill import errors

_SIZES_LEAST_COUNT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """A figure that grows with a size.

    Attributes:
        name: What was measured; the page looks it up by this.
        unit: Unit of the figure.
        per: What the size counts.
        sizes: The sizes measured at.
        values: The figure at each size.
        slope: Growth for each one of `per`.
        intercept: The figure at size 0, by the line.
        residual_ratio: Largest distance of a point from the line, as a share
            of the largest value.
        bound: Most that the slope may be; None where it is only recorded.
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

    def at(self, size: float) -> float:
        """The figure at a size, by the line."""
        return self.intercept + self.slope * size

    def row(self) -> table.Row:
        """The slope as a row of the benchmark table."""
        return table.Row(
            f"capacity: {self.name}",
            self.slope,
            f"{self.unit} a {self.per}",
            self.bound,
            None if self.bound is None else "max",
        )


def line(
    name: str,
    points: Iterable[tuple[float, float]],
    *,
    unit: str,
    per: str,
    bound: float | None = None,
) -> Slope:
    """Fits a line by least squares.

    Raises:
        BadInputError: There are fewer than three sizes.
    """
    sizes, values = zip(*sorted(points), strict=True)
    if len(set(sizes)) < _SIZES_LEAST_COUNT:
        raise errors.BadInputError(
            f"slope {name!r} has {len(set(sizes))} sizes; at least "
            f"{_SIZES_LEAST_COUNT} are accepted"
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


def over(
    name: str,
    sizes: Iterable[int],
    measure: Callable[[int], float],
    *,
    unit: str,
    per: str,
    bound: float | None = None,
) -> Slope:
    """Measures at each size and fits a line."""
    return line(
        name,
        [(size, measure(size)) for size in sizes],
        unit=unit,
        per=per,
        bound=bound,
    )


def show(slopes: Iterable[Slope]) -> None:
    """Prints slopes with their points and residuals."""
    for item in slopes:
        points = ", ".join(
            f"{table.number(size)}: {table.number(value)}"
            for size, value in zip(item.sizes, item.values, strict=True)
        )
        print(
            f"{item.name}: {table.number(item.slope)} {item.unit} a "
            f"{item.per}, {table.number(item.intercept)} at 0, residual "
            f"{item.residual_ratio:.1%} [{points}]"
        )
