"""A journal of what a stand-in really did, one JSON line an event.

Times are of the machine's monotonic clock, which all processes share, so that
journals of several stand-ins can be compared.
"""

import json
import pathlib
import threading
import time


class Journal:
    """Appends events to a file."""

    def __init__(self, path: str | None):
        self._lock = threading.Lock()
        self._file = open(path, "a") if path else None  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with the time of now, in nanoseconds."""
        if self._file is None:
            return
        line = {"event": event, "at_ns": time.monotonic_ns(), **fields}
        with self._lock:
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()


def read(path: pathlib.Path) -> list[dict]:
    """The events of a journal, in order; a torn last line is left out."""
    if not path.exists():
        return []
    text = path.read_text()
    lines = text[: text.rfind("\n") + 1].splitlines()
    return [json.loads(line) for line in lines if line]
