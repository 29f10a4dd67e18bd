"""The rows that benchmarks give, and the table made of them."""

from collections.abc import Iterable
import dataclasses
import enum
import json
import math

from marigoldsill import errors

_BOUND_KINDS = ("max", "min", None)
_HEADINGS = ("name", "value", "unit", "bound", "verdict")


class Verdict(enum.Enum):
    """How a value stands to its bound."""

    OK = "ok"
    PAST_BOUND = "PAST BOUND"
    UNBOUNDED = "-"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One measured figure.

    Attributes:
        name: Stable name, "module: what"; a later run finds it by this.
        value: The figure.
        unit: Its unit, for example "bytes" or "ratio".
        bound: What it may reach; None where it is only recorded.
        bound_kind: "max" or "min"; None without a bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    bound_kind: str | None = None

    def __post_init__(self):
        """Refuses a bound that is given by half."""
        if self.bound_kind not in _BOUND_KINDS:
            raise errors.BadInputError(
                f"{self.bound_kind!r} is no kind of bound; accepted are "
                "'max', 'min' and None"
            )
        if (self.bound is None) != (self.bound_kind is None):
            raise errors.BadInputError(
                f"row {self.name!r} has bound {self.bound!r} of kind "
                f"{self.bound_kind!r}; both or neither are accepted"
            )

    @property
    def verdict(self) -> Verdict:
        """How the value stands to the bound; no number is past any bound."""
        match self.bound_kind:
            case None:
                return Verdict.UNBOUNDED
            case "max":
                holds = self.value <= self.bound
            case _:
                holds = self.value >= self.bound
        return Verdict.OK if holds else Verdict.PAST_BOUND


def render(rows: Iterable[Row]) -> str:
    """The rows as one table of text."""
    cells = [_HEADINGS, *(_cells(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]
    return "\n".join(lines) + "\n"


def to_json(rows: Iterable[Row], *, verdicts: bool = True) -> str:
    """The rows as JSON, for comparing one run with another."""
    records = [
        dataclasses.asdict(row)
        | ({"verdict": row.verdict.value} if verdicts else {})
        for row in rows
    ]
    return json.dumps(records, indent=2) + "\n"


def past_bound(rows: Iterable[Row]) -> list[Row]:
    """The rows whose value is past their bound."""
    return [row for row in rows if row.verdict is Verdict.PAST_BOUND]


def number(value: float) -> str:
    """A figure with three significant digits, whole numbers in full."""
    if not math.isfinite(value):
        return str(value)
    if value == int(value) and abs(value) < 1e15:
        return f"{int(value):,}"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _cells(row: Row) -> tuple[str, ...]:
    bound = ""
    if row.bound is not None:
        sign = "<=" if row.bound_kind == "max" else ">="
        bound = f"{sign} {number(row.bound)}"
    return row.name, number(row.value), row.unit, bound, row.verdict.value
