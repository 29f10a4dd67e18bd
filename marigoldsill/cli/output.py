"""Prints answers as JSON for programs or as tables for people.

JSON is complete. A table omits columns that are empty in all rows and the hidden
columns below, shows times as dates, and puts long texts last or below their row.
"""

import datetime
import itertools
import json

import click

_COLUMN_GAP = "  "
_INDENT = "    "
_TIME_SUFFIX = "_unix_ms"
_LAST_COLUMNS = ("reason", "message")
# Shown below the row, not as columns.
_DETAILS = ("before", "after")
_HIDDEN = frozenset({"final_stop", "reserved", "checkpoint_id", *_DETAILS})
_HIDDEN_SUFFIX = "_after"
_EMPTY = "-"


def print_answer(value: object, output: str) -> None:
    """Prints an answer as "json" or as a "table"."""
    if output == "json":
        click.echo(json.dumps(value, indent=2))
    else:
        click.echo(format_table(value))


def format_table(value: object) -> str:
    """Formats an answer for people: scalars first, then a table for each list."""
    if isinstance(value, list):
        return _format_rows(value)
    if not isinstance(value, dict):
        return _format_value("", value)
    scalars = [
        f"{_heading(name)}: {_format_value(name, item)}"
        for name, item in value.items()
        if not isinstance(item, list) or not item
    ]
    tables = [
        f"\n{name}\n{_format_rows(item, with_details=name == 'changes')}"
        for name, item in value.items()
        if isinstance(item, list) and item
    ]
    return "\n".join(scalars + tables)


def _format_rows(records: list, *, with_details: bool = False) -> str:
    if not records:
        return "(none)"
    if not all(isinstance(record, dict) for record in records):
        return "\n".join(_format_value("", record) for record in records)
    names = _columns(records)
    cells = [[_format_value(n, r.get(n)) for n in names] for r in records]
    lines = [[_heading(name) for name in names], *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    heading, *rows = [_format_line(line, widths) for line in lines]
    details = [_format_details(r) if with_details else [] for r in records]
    body = [
        line
        for row, more in zip(rows, details, strict=True)
        for line in (row, *more)
    ]
    return "\n".join([heading, *body])


def _columns(records: list[dict]) -> list[str]:
    """Returns the names of the columns to show, those with long texts last."""
    names = dict.fromkeys(itertools.chain.from_iterable(records))
    shown = [
        name
        for name in names
        if name not in _HIDDEN
        and not name.endswith(_HIDDEN_SUFFIX)
        and any(_format_value(name, r.get(name)) != _EMPTY for r in records)
    ]
    return sorted(shown, key=lambda name: name in _LAST_COLUMNS)


def _format_details(record: dict) -> list[str]:
    return [
        f"{_INDENT}{name}: {record[name]}"
        for name in _DETAILS
        if record.get(name)
    ]


def _format_line(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return _COLUMN_GAP.join(padded).rstrip()


def _heading(name: str) -> str:
    return name.removesuffix(_TIME_SUFFIX)


def _format_value(name: str, value: object) -> str:
    if name.endswith(_TIME_SUFFIX) and isinstance(value, int):
        return _format_time(value)
    match value:
        case bool():
            return "yes" if value else "no"
        case dict():
            return " ".join(
                f"{k}={_format_value(k, v)}" for k, v in value.items()
            )
        case list():
            return (
                ", ".join(_format_value("", item) for item in value) or _EMPTY
            )
        case None | "":
            return _EMPTY
        case _:
            return str(value)


def _format_time(unix_ms: int) -> str:
    if unix_ms <= 0:
        return _EMPTY
    try:
        time = datetime.datetime.fromtimestamp(unix_ms / 1000, tz=datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(unix_ms)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")
