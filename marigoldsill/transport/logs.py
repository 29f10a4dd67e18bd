"""Structured logs: one line of key=value pairs for each event.

Roles write to standard output without waiting for its reader; commands write to
standard error.
"""

import logging
import os
import sys
import time

from loguru import logger

from marigoldsill.transport import event_rate_limiter
from marigoldsill.transport import line_writer

_URGENT_LEVELS = frozenset({"ERROR", "CRITICAL"})
_FLUSH_LIMIT_S = 0.5

_rate_limiter = event_rate_limiter.EventRateLimiter(clock_s=time.monotonic)
_writer: line_writer.LineWriter | None = None


class _LibraryHandler(logging.Handler):
    """Writes log messages of libraries as events, one line each."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one message, with its exception if it has one."""
        error = record.exc_info[1] if record.exc_info else None
        event(
            "library_message",
            level=record.levelname,
            library=record.name,
            text=record.getMessage(),
            reason="" if error is None else repr(error),
        )


def set_up(
    *, role: str, name: str, level: str = "INFO", serves: bool = False
) -> None:
    """Configures the logging of this process.

    Args:
        role: The process's role, for example "agent".
        name: The process's own name.
        level: The lowest level that is logged.
        serves: Whether the process is a role, which must not wait for the reader
            of its log. Its events go to standard output, otherwise to standard
            error.
    """
    global _writer
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )
    logger.remove()
    logger.configure(extra={"pairs": f"role={role} name={name}"})
    base = f"role={role} name={name} pid={os.getpid()}"
    sink = sys.stderr
    if serves:
        _writer = line_writer.LineWriter(
            sys.stdout.fileno(),
            on_dropped=_log_dropped_lines,
        )
        sink = _queue_line
    logger.add(
        sink,
        format=lambda record: _line(record, base),
        level=level,
        backtrace=False,
        diagnose=False,
    )


def event(name: str, *, level: str = "INFO", **pairs: object) -> None:
    """Logs one event, unless the limit of its lines in this second is exceeded.

    Args:
        name: Stable event name, for example "lease_lost".
        level: The event's level.
        **pairs: Its fields; values with spaces are quoted.
    """
    may_write, suppressed = _rate_limiter.acquire(name)
    for other, count in suppressed.items():
        event("log_suppressed", level="WARNING", of=other, count=count)
    if may_write:
        text = " ".join(f"{k}={quote(v)}" for k, v in pairs.items())
        logger.bind(pairs=text).log(level, name)


def quote(value: object) -> str:
    """Formats the value of a field, in quotes if it needs them."""
    text = str(value)
    if text and not any(char.isspace() or char in '"=' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def flush() -> None:
    """Waits for a short time until all lines are written, before the process ends."""
    if _writer is not None:
        _writer.flush(timeout_s=_FLUSH_LIMIT_S)


def _queue_line(message) -> None:
    is_urgent = message.record["level"].name in _URGENT_LEVELS
    _writer.write(str(message), is_urgent=is_urgent)


def _log_dropped_lines(count: int) -> None:
    event("log_dropped", level="WARNING", count=count)


def _line(record: dict, base: str) -> str:
    record["extra"]["line"] = (
        f"time={record['time']:YYYY-MM-DDTHH:mm:ss.SSSZZ} "
        f"level={record['level'].name} event={record['message']} {base} "
        f"{record['extra'].get('pairs', '')}".rstrip()
    )
    return "{extra[line]}\n"
