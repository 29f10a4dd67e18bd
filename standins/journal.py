"""A journal of the events of a stand-in, one JSON object per line.

Times are from the machine's monotonic clock, which all processes share, so that
journals of several stand-ins can be compared.
"""

import json
import pathlib
import threading
import time


class Journal:
    """Appends events to a file; does nothing without a path."""

    def __init__(self, path: str | None):
        self._lock = threading.Lock()
        self._file = open(path, "a") if path else None  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with the current time in nanoseconds."""
        if self._file is None:
            return
        line = {"event": event, "at_ns": time.monotonic_ns(), **fields}
        with self._lock:
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()


def read(path: pathlib.Path) -> list[dict]:
    """Returns a journal's events in order, without an incomplete last line."""
    if not path.exists():
        return []
    text = path.read_text()
    lines = text[: text.rfind("\n") + 1].splitlines()
    return [json.loads(line) for line in lines if line]
