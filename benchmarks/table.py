"""Rows of benchmark results, with their regression bounds."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One measured value.

    Attributes:
        bound: What the value may not pass, or None.
        bound_kind: "max" or "min", or None without a bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    bound_kind: str | None = None

    @property
    def holds(self) -> bool:
        """Whether the value is within its bound."""
        match self.bound_kind:
            case "max":
                return self.value <= self.bound
            case "min":
                return self.value >= self.bound
            case _:
                return True


def show(rows: Iterable[Row]) -> bool:
    """Prints rows; returns whether all bounds hold."""
    held = True
    for row in rows:
        bound = f"{row.bound_kind} {row.bound:g}" if row.bound_kind else ""
        verdict = "" if row.holds else "  PAST ITS BOUND"
        line = f"{row.name:58} {row.value:12.4g} {row.unit:16} {bound}"
        print(line.rstrip() + verdict)
        held = held and row.holds
    return held
