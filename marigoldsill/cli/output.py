"""Prints answers: JSON for programs, tables for people."""

from collections.abc import Iterable
import itertools
import json

import click

_GAP = "  "


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
        return _text(value)
    scalars = [
        f"{name}: {_text(item)}"
        for name, item in value.items()
        if not _is_list(item)
    ]
    tables = [
        f"\n{name}\n{_rows(item)}"
        for name, item in value.items()
        if _is_list(item)
    ]
    return "\n".join(scalars + tables)


def _is_list(value: object) -> bool:
    return isinstance(value, list) and any(
        isinstance(item, dict) for item in value
    )


def _rows(records: list) -> str:
    if not records:
        return "(none)"
    if not all(isinstance(record, dict) for record in records):
        return "\n".join(_text(record) for record in records)
    names = list(
        dict.fromkeys(itertools.chain.from_iterable(map(dict.keys, records)))
    )
    cells = [[_text(r.get(name, "")) for name in names] for r in records]
    lines = [names, *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_line(line, widths) for line in lines)


def _line(cells: Iterable[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return _GAP.join(padded).rstrip()


def _text(value: object) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case dict():
            return " ".join(f"{k}={_text(v)}" for k, v in value.items())
        case list():
            return ", ".join(map(_text, value)) or "-"
        case None | "":
            return "-"
        case _:
            return str(value)
