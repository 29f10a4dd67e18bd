"""Gangs as the stand-ins of the users' platform hold them.

The members of one run of a gang wait for each other, work together and end
together, on whatever workers they are.
"""

import threading


class Gang:
    """One run of all members of a gang.

    Attributes:
        whole: Whether all members have been there at one time.
        end: How its members have to end; None as long as they may work.
    """

    def __init__(self, size: int):
        self.whole = False
        self.end: str | None = None
        self._size = size
        self._lock = threading.Lock()
        self._present: set[str] = set()

    def join(self, task: str) -> None:
        """Takes note that a member has come."""
        with self._lock:
            self._present.add(task)
            self.whole = self.whole or len(self._present) >= self._size

    def leave(self, task: str, how: str) -> None:
        """Takes note that a member has ended; the others then end too."""
        with self._lock:
            self._present.discard(task)
            if self.whole and self.end is None:
                self.end = "done" if how == "done" else "broken"


class Gangs:
    """The gangs of all workers of one system."""

    def __init__(self):
        self._lock = threading.Lock()
        self._by_run: dict[tuple[str, int], Gang] = {}

    def of(self, task: str, run: int, size: int) -> Gang:
        """The gang that a member's run belongs to."""
        step = task.rpartition(".")[0]
        with self._lock:
            return self._by_run.setdefault((step, run), Gang(size))
