"""Benchmark rows and the table that they form."""

from collections.abc import Iterable
import dataclasses
import enum
import json
import math

from marigoldsill import errors

_BOUND_KINDS = ("max", "min", None)
_HEADINGS = ("name", "value", "unit", "bound", "verdict")


class Verdict(enum.Enum):
    """Result of comparing a value with its bound."""

    OK = "ok"
    PAST_BOUND = "PAST BOUND"
    UNBOUNDED = "-"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One measured figure.

    Attributes:
        name: Stable name, "module: figure", by which runs are compared.
        value: The measured value.
        unit: Unit of the value, for example "bytes" or "ratio".
        bound: Limit of the value; None if it is only recorded.
        bound_kind: "max" or "min"; None without a bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    bound_kind: str | None = None

    def __post_init__(self):
        """Checks that bound and kind are both given or both omitted."""
        if self.bound_kind not in _BOUND_KINDS:
            raise errors.BadInputError(
                f"invalid kind of bound {self.bound_kind!r}: expected "
                "'max', 'min' or None"
            )
        if (self.bound is None) != (self.bound_kind is None):
            raise errors.BadInputError(
                f"row {self.name!r} has bound {self.bound!r} of kind "
                f"{self.bound_kind!r}: expected both or neither"
            )

    @property
    def verdict(self) -> Verdict:
        """The verdict on the value; NaN is past every bound."""
        match self.bound_kind:
            case None:
                return Verdict.UNBOUNDED
            case "max":
                is_within_bound = self.value <= self.bound
            case _:
                is_within_bound = self.value >= self.bound
        return Verdict.OK if is_within_bound else Verdict.PAST_BOUND


def render(rows: Iterable[Row]) -> str:
    """Formats the rows as a text table."""
    cells = [_HEADINGS, *(_format_cells(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]
    return "\n".join(lines) + "\n"


def to_json(rows: Iterable[Row], *, verdicts: bool = True) -> str:
    """Formats the rows as JSON, for comparison between runs."""
    records = [
        dataclasses.asdict(row)
        | ({"verdict": row.verdict.value} if verdicts else {})
        for row in rows
    ]
    return json.dumps(records, indent=2) + "\n"


def rows_past_bound(rows: Iterable[Row]) -> list[Row]:
    """Returns the rows whose values are past their bounds."""
    return [row for row in rows if row.verdict is Verdict.PAST_BOUND]


def format_number(value: float) -> str:
    """Formats a figure with three significant digits, or integers in full."""
    if not math.isfinite(value):
        return str(value)
    if value == int(value) and abs(value) < 1e15:
        return f"{int(value):,}"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _format_cells(row: Row) -> tuple[str, ...]:
    bound = ""
    if row.bound is not None:
        sign = "<=" if row.bound_kind == "max" else ">="
        bound = f"{sign} {format_number(row.bound)}"
    return (
        row.name,
        format_number(row.value),
        row.unit,
        bound,
        row.verdict.value,
    )
