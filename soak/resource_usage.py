"""Measures how many processes a soak runs and their peak memory."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import os
import pathlib
import re
import threading

_SAMPLE_INTERVAL_S = 1.0
_PSS = re.compile(r"^Pss:\s+(\d+) kB", re.MULTILINE)


class ResourceMonitor:
    """Samples the memory of processes and of this one until it is stopped.

    Attributes:
        processes_count: The maximum number of processes.
        peak_bytes: Their maximum total memory; memory shared by several processes
            counts once.
    """

    def __init__(self, pids: Callable[[], Iterable[int]]):
        self.processes_count = 0
        self.peak_bytes = 0
        self._pids = pids
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts sampling."""
        self._thread.start()

    def stop(self) -> None:
        """Stops sampling."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(_SAMPLE_INTERVAL_S):
            sizes_bytes = [_size_bytes(p) for p in (*self._pids(), os.getpid())]
            alive_count = sum(size > 0 for size in sizes_bytes)
            self.processes_count = max(self.processes_count, alive_count)
            self.peak_bytes = max(self.peak_bytes, sum(sizes_bytes))


def _size_bytes(pid: int) -> int:
    """Returns the memory of a process; 0 if it has ended."""
    with contextlib.suppress(OSError):
        text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
        found = _PSS.search(text)
        return int(found[1]) * 1024 if found else 0
    return 0
