"""Intent files: TOML that declares services, batch jobs, watchers and teams.

Sizes and times are written with units ("500m", "4GB", "200ms", "2h"), so that a
wrong unit is noticed.
"""

from collections.abc import Callable
import difflib
import re
from typing import Any

from marigoldsill import errors
from marigoldsill.protocol import toml_document
from marigoldsill.protocol.generated import ttypes

RECORDS_LIMIT = 5_000
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_COUNT_LIMIT = 100_000
_URGENCY_LIMIT = 9
_MEMORY_UNITS = {"KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30, "TB": 1 << 40}
_TIME_UNITS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
_MILLICORES_LIMIT = 10_000_000
_MEMORY_LIMIT_BYTES = 1 << 50
_TIME_LIMIT_MS = 366 * 24 * 3_600_000
_ERRORS_LIMIT = 50


def parse(data: bytes) -> ttypes.Intent:
    """Parses an intent file.

    Raises:
        IntentError: It is not valid TOML or has invalid contents; the message
            lists all errors.
        TooLargeError: It is larger than `toml_document.SIZE_LIMIT_BYTES`.
    """
    document = toml_document.parse(data, description="the intent file")
    return _Parser().parse(document)


class _Parser:
    """Parses tables and collects all errors before it raises one."""

    def __init__(self):
        self._errors: list[str] = []
        self._omitted_count = 0

    def parse(self, document: dict) -> ttypes.Intent:
        self._check_fields("the file", document, FIELDS)
        intent = ttypes.Intent(
            services=self._parse_section(document, "service", ttypes.Service),
            batch_jobs=self._parse_section(
                document, "batch_job", ttypes.BatchJob
            ),
            watchers=self._parse_section(document, "watcher", ttypes.Watcher),
            teams=self._parse_section(document, "team", ttypes.Team),
        )
        self._check_names(intent)
        if self._omitted_count:
            self._errors.append(f"and {self._omitted_count} more errors")
        if self._errors:
            raise errors.IntentError("\n".join(self._errors))
        return intent

    def _add_error(self, text: str) -> None:
        if len(self._errors) < _ERRORS_LIMIT:
            self._errors.append(text)
        else:
            self._omitted_count += 1

    def _parse_section(
        self, document: dict, name: str, record_class: type
    ) -> list:
        tables = document.get(name, [])
        if not isinstance(tables, list):
            self._add_error(f"{name}: expected [[{name}]], one table for each")
            return []
        if len(tables) > RECORDS_LIMIT:
            self._add_error(
                f"{name}: {len(tables)} tables; expected at most "
                f"{RECORDS_LIMIT} in one file"
            )
            return []
        return [
            self._parse_record(
                f"{name}[{index}]", table, record_class, FIELDS[name]
            )
            for index, table in enumerate(tables)
        ]

    def _parse_record(
        self, where: str, table: object, record_class: type, fields: dict
    ) -> object:
        if not isinstance(table, dict):
            self._add_error(
                f"{where}: expected a table, not {toml_document.short_repr(table)}"
            )
            return record_class(name="")
        where = f"{where} {toml_document.short_repr(table.get('name', ''))}"
        self._check_fields(where, table, fields)
        if "name" not in table:
            self._add_error(f"{where}: name is missing")
        values: dict[str, object] = {}
        resources: dict[str, object] = {}
        for key, (target, parse_value) in fields.items():
            if key not in table:
                continue
            try:
                value = parse_value(table[key])
            except errors.IntentError as error:
                self._add_error(f"{where}: {key}: {error.message}")
                continue
            fields_of_target = resources if target in _RESOURCES else values
            fields_of_target[target] = value
        resources_name = "quota" if record_class is ttypes.Team else "resources"
        values[resources_name] = ttypes.Resources(**resources)
        return record_class(**values)

    def _check_fields(self, where: str, table: dict, known: dict) -> None:
        for key in table:
            if key in known:
                continue
            similar = difflib.get_close_matches(key, known, n=1)
            hint = f"; did you mean {similar[0]!r}?" if similar else "."
            self._add_error(
                f"{where}: unknown field {toml_document.short_repr(key)}{hint} Expected one of: "
                f"{', '.join(known)}"
            )

    def _check_names(self, intent: ttypes.Intent) -> None:
        seen: set[str] = set()
        for record in intent.services + intent.batch_jobs + intent.watchers:
            if record.name in seen:
                self._add_error(
                    f"the name {toml_document.short_repr(record.name)} is used more than once; names of "
                    "services, batch jobs and watchers must be unique"
                )
            seen.add(record.name)


def _parse_name(value: object) -> str:
    if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
        raise errors.IntentError(
            f"invalid name {toml_document.short_repr(value)}: expected 1 to 63 letters, digits, "
            "'.', '_' and '-', starting with a letter or digit"
        )
    return value


def _parse_text(value: object) -> str:
    if not isinstance(value, str):
        raise errors.IntentError(
            f"invalid value {toml_document.short_repr(value)}: expected a string"
        )
    return value


def _parse_flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise errors.IntentError(
            f"invalid value {toml_document.short_repr(value)}: expected true or false"
        )
    return value


def _integer_parser(low: int, high: int) -> Callable[[object], int]:
    def parse_value(value: object) -> int:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not low <= value <= high:
            raise errors.IntentError(
                f"invalid value {toml_document.short_repr(value)}: expected an integer from {low} to "
                f"{high}"
            )
        return value

    return parse_value


def _parse_cores(value: object) -> int:
    """Parses processor time: 2, 1.5 or "500m" (thousandths of a core)."""
    millicores = None
    if isinstance(value, str) and re.fullmatch(r"[0-9]{1,9}m", value):
        millicores = int(value[:-1])
    elif _is_number(value) and 0 <= value <= _MILLICORES_LIMIT:
        millicores = round(value * 1000)
    if millicores is None or not 0 < millicores <= _MILLICORES_LIMIT:
        raise errors.IntentError(
            f"invalid processor time {toml_document.short_repr(value)}: expected cores such as 2 "
            "or 1.5, or thousandths of a core such as '500m'"
        )
    return millicores


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _quantity_parser(
    units: dict[str, int], limit: int, example: str
) -> Callable[[object], int]:
    pattern = re.compile(r"([0-9]{1,12})\s*(" + "|".join(units) + ")")

    def parse_value(value: object) -> int:
        match = pattern.fullmatch(value) if isinstance(value, str) else None
        amount = int(match[1]) * units[match[2]] if match else -1
        if not 0 < amount <= limit:
            raise errors.IntentError(
                f"invalid value {toml_document.short_repr(value)}: expected a positive number with one "
                f"of the units {', '.join(units)}, such as {example!r}"
            )
        return amount

    return parse_value


def _parse_time(value: object) -> int:
    """Converts a time with a UTC offset to milliseconds since 1970."""
    offset = getattr(value, "utcoffset", lambda: None)()
    if offset is None:
        raise errors.IntentError(
            f"invalid time {toml_document.short_repr(value)}: expected a time with its UTC offset, "
            "such as 2026-12-02T18:00:00Z"
        )
    return int(value.timestamp() * 1000)


_RESOURCES = frozenset(ttypes.Resources.__slots__)
_parse_memory = _quantity_parser(_MEMORY_UNITS, _MEMORY_LIMIT_BYTES, "4GB")
_parse_duration = _quantity_parser(_TIME_UNITS, _TIME_LIMIT_MS, "200ms")
_Fields = dict[str, tuple[str, Callable[[Any], object]]]
_SIZES: _Fields = {
    "cores": ("cpu_millicores", _parse_cores),
    "memory": ("memory_bytes", _parse_memory),
    "accelerators": ("accelerators_count", _integer_parser(0, 64)),
}
_COMMON: _Fields = {
    "name": ("name", _parse_name),
    "team": ("team", _parse_name),
    "command": ("command", _parse_text),
    "urgency": ("urgency", _integer_parser(0, _URGENCY_LIMIT)),
} | _SIZES
FIELDS: dict[str, _Fields] = {
    "service": _COMMON
    | {
        "instances": ("instances_count", _integer_parser(1, _COUNT_LIMIT)),
        "slots": ("slots_count", _integer_parser(1, 10_000)),
        "connections": ("connections_count", _integer_parser(1, 10_000)),
        "latency_target": ("latency_target_ms", _parse_duration),
        "timeout": ("timeout_ms", _parse_duration),
    },
    "batch_job": _COMMON
    | {
        "run_time": ("run_time_ms", _parse_duration),
        "deadline": ("deadline_unix_ms", _parse_time),
        "checkpointable": ("checkpointable", _parse_flag),
        "idempotent": ("idempotent", _parse_flag),
        "attempts": ("attempts_limit", _integer_parser(1, 1000)),
    },
    "watcher": _COMMON
    | {"absence_limit": ("absence_limit_ms", _parse_duration)},
    "team": {
        "name": ("name", _parse_name),
        "cores": ("cpu_millicores", _parse_cores),
        "memory": ("memory_bytes", _parse_memory),
        "accelerators": ("accelerators_count", _integer_parser(0, 100_000)),
    },
}
