"""Prints answers: JSON for programs, tables for people.

JSON holds everything. A table leaves out what is empty throughout and what is
hidden below, shows times as dates, and puts long texts last or beneath a row.
"""

import datetime
import itertools
import json

import click

_GAP = "  "
_INDENT = "    "
_TIME_SUFFIX = "_unix_ms"
_LONG = ("reason", "message")
_BENEATH = ("before", "after")
_HIDDEN = frozenset({"final_stop", "reserved", "checkpoint_id", *_BENEATH})
_HIDDEN_SUFFIX = "_after"
_EMPTY = "-"


def show(value: object, output: str) -> None:
    """Prints an answer as "json" or "table"."""
    if output == "json":
        click.echo(json.dumps(value, indent=2))
    else:
        click.echo(table(value))


def table(value: object) -> str:
    """An answer for people: scalars first, then a table for each list."""
    if isinstance(value, list):
        return _rows(value)
    if not isinstance(value, dict):
        return _text("", value)
    scalars = [
        f"{_heading(name)}: {_text(name, item)}"
        for name, item in value.items()
        if not isinstance(item, list) or not item
    ]
    tables = [
        f"\n{name}\n{_rows(item, beneath=name == 'changes')}"
        for name, item in value.items()
        if isinstance(item, list) and item
    ]
    return "\n".join(scalars + tables)


def _rows(records: list, *, beneath: bool = False) -> str:
    if not records:
        return "(none)"
    if not all(isinstance(record, dict) for record in records):
        return "\n".join(_text("", record) for record in records)
    names = _columns(records)
    cells = [[_text(n, r.get(n)) for n in names] for r in records]
    lines = [[_heading(name) for name in names], *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    heading, *rows = [_line(line, widths) for line in lines]
    details = [_details(r) if beneath else [] for r in records]
    body = [
        line
        for row, more in zip(rows, details, strict=True)
        for line in (row, *more)
    ]
    return "\n".join([heading, *body])


def _columns(records: list[dict]) -> list[str]:
    """The names to show, long texts last."""
    names = dict.fromkeys(itertools.chain.from_iterable(records))
    shown = [
        name
        for name in names
        if name not in _HIDDEN
        and not name.endswith(_HIDDEN_SUFFIX)
        and any(_text(name, r.get(name)) != _EMPTY for r in records)
    ]
    return sorted(shown, key=lambda name: name in _LONG)


def _details(record: dict) -> list[str]:
    return [
        f"{_INDENT}{name}: {record[name]}"
        for name in _BENEATH
        if record.get(name)
    ]


def _line(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return _GAP.join(padded).rstrip()


def _heading(name: str) -> str:
    return name.removesuffix(_TIME_SUFFIX)


def _text(name: str, value: object) -> str:
    if name.endswith(_TIME_SUFFIX) and isinstance(value, int):
        return _time(value)
    match value:
        case bool():
            return "yes" if value else "no"
        case dict():
            return " ".join(f"{k}={_text(k, v)}" for k, v in value.items())
        case list():
            return ", ".join(_text("", item) for item in value) or _EMPTY
        case None | "":
            return _EMPTY
        case _:
            return str(value)


def _time(unix_ms: int) -> str:
    if unix_ms <= 0:
        return _EMPTY
    try:
        time = datetime.datetime.fromtimestamp(unix_ms / 1000, tz=datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(unix_ms)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")
