"""Structured logs: one line of key=value pairs for each event."""

import logging
import os
import sys

from loguru import logger


class _LibraryHandler(logging.Handler):
    """Writes what libraries log as events of ours, one line each."""

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


def set_up(*, role: str, name: str, level: str = "INFO") -> None:
    """Sends the events of this process to standard error.

    Args:
        role: Which role the process has, for example "agent".
        name: The process's own name.
        level: The lowest level that is written.
    """
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )
    logger.remove()
    logger.configure(extra={"pairs": f"role={role} name={name}"})
    base = f"role={role} name={name} pid={os.getpid()}"
    logger.add(
        sys.stderr,
        format=lambda record: _line(record, base),
        level=level,
        backtrace=False,
        diagnose=False,
    )


def event(name: str, *, level: str = "INFO", **pairs: object) -> None:
    """Writes one event.

    Args:
        name: Stable event name, for example "lease_lost".
        level: The event's level.
        **pairs: Its fields; values with spaces are quoted.
    """
    text = " ".join(f"{key}={_value(value)}" for key, value in pairs.items())
    logger.bind(pairs=text).log(level, name)


def _line(record: dict, base: str) -> str:
    record["extra"]["line"] = (
        f"time={record['time']:YYYY-MM-DDTHH:mm:ss.SSSZZ} "
        f"level={record['level'].name} event={record['message']} {base} "
        f"{record['extra'].get('pairs', '')}".rstrip()
    )
    return "{extra[line]}\n"


def _value(value: object) -> str:
    text = str(value)
    if text and not any(char.isspace() or char in '"=' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
