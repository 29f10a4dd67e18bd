"""Parses log lines that were written by `marigoldsill.transport.logs`."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import re

from marigoldsill.transport import logs

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED = re.compile(r"\\(.)")
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"
_STANDARD_FIELDS = frozenset({"time", "level", "event", "role", "name", "pid"})


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """One event of a log.

    Attributes:
        time: When it was written, on the clock of its process.
        level: Its level.
        event: The event's name.
        process: The name of the process that wrote it.
        fields: Its other fields, as text.
    """

    time: datetime.datetime
    level: str
    event: str
    process: str
    fields: dict[str, str]

    def format(self) -> str:
        """Formats the line for operators: time, process, event and fields."""
        pairs = " ".join(f"{k}={logs.quote(v)}" for k, v in self.fields.items())
        formatted_time = self.time.isoformat(timespec="milliseconds")
        return f"{formatted_time} {self.process} {self.event} {pairs}".rstrip()


def read(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the events among some lines and skips other lines.

    A prefix before `time=`, as added by log collectors, is ignored.
    """
    for line in lines:
        start = line.find("time=")
        if start >= 0 and "event=" in line:
            parsed = _parse(line[start:])
            if parsed is not None:
                yield parsed


def _parse(text: str) -> LogLine | None:
    pairs = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    try:
        time = datetime.datetime.strptime(pairs["time"], _TIME_FORMAT)
        event = pairs["event"]
    except (KeyError, ValueError):
        return None
    return LogLine(
        time=time,
        level=pairs.get("level", ""),
        event=event,
        process=pairs.get("name", ""),
        fields={k: v for k, v in pairs.items() if k not in _STANDARD_FIELDS},
    )


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPED.sub(_unescape, value[1:-1])


def _unescape(match: re.Match) -> str:
    return {"n": "\n", "r": "\r"}.get(match[1], match[1])
