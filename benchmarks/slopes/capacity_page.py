"""Formats the tables of docs/CAPACITY.md and replaces them in the page."""

from collections.abc import Iterable
import pathlib
import re

from benchmarks import table
from benchmarks.slopes import fit
from benchmarks.slopes import sizing
from marigoldsill import errors

PAGE = pathlib.Path("docs/CAPACITY.md")
_START_MARKER = "<!-- table {name} -->"
_END_MARKER = "<!-- end -->"


def format_slopes(slopes: Iterable[fit.Slope], command: str) -> str:
    """Returns the table of the slopes that one command measures."""
    lines = [
        f"Measured by `{command}`.",
        "",
        "| slope | growth | at 0 | sizes | residual |",
        "|---|---:|---:|---|---:|",
    ]
    lines += [
        f"| {s.name} | {table.format_number(s.slope)} {s.unit} a {s.per} "
        f"| {table.format_number(s.intercept)} "
        f"| {', '.join(map(table.format_number, s.sizes))} "
        f"| {s.residual_ratio:.1%} |"
        for s in slopes
    ]
    return "\n".join(lines)


def format_rows(rows: Iterable[table.Row]) -> str:
    """Returns the table of single figures."""
    lines = ["| figure | value |", "|---|---:|"]
    lines += [
        f"| {row.name.removeprefix('capacity: ')} "
        f"| {table.format_number(row.value)} {row.unit} |"
        for row in rows
    ]
    return "\n".join(lines)


def format_estimates(estimates: Iterable[sizing.Estimate]) -> str:
    """Returns the table of the estimates for one role."""
    lines = [
        "| what | worked out from | result | limit | |",
        "|---|---|---:|---:|---|",
    ]
    lines += [
        f"| {estimate.name} | {estimate.derivation} "
        f"| {table.format_number(estimate.value)} {estimate.unit} "
        f"| {'' if estimate.limit is None else table.format_number(estimate.limit)} "
        f"| {estimate.verdict} |"
        for estimate in estimates
    ]
    return "\n".join(lines)


def replace_table(text: str, name: str, content: str) -> str:
    """Returns the text of the page with one marked table replaced.

    Raises:
        NotFoundError: If the page has no such marker.
    """
    start = re.escape(_START_MARKER.format(name=name))
    pattern = re.compile(
        rf"({start}\n).*?({re.escape(_END_MARKER)})", re.DOTALL
    )
    if not pattern.search(text):
        raise errors.NotFoundError(
            f"the page has no marker {_START_MARKER.format(name=name)!r} "
            f"with {_END_MARKER!r} after it"
        )
    return pattern.sub(lambda m: f"{m[1]}\n{content}\n\n{m[2]}", text)
