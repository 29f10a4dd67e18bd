"""Gangs of runs on the stand-ins of the platform's workers.

The members of one run of a gang wait for each other, work at the same time and end
together, on any workers.
"""

import threading


class Gang:
    """One run of all members of a gang.

    Attributes:
        is_complete: Whether all members have run at the same time.
        outcome: How the remaining members end; None while they may work.
    """

    def __init__(self, size: int):
        self.is_complete = False
        self.outcome: str | None = None
        self._size = size
        self._lock = threading.Lock()
        self._present: set[str] = set()

    def join(self, task: str) -> None:
        """Records the start of a member."""
        with self._lock:
            self._present.add(task)
            self.is_complete = (
                self.is_complete or len(self._present) >= self._size
            )

    def leave(self, task: str, outcome: str) -> None:
        """Records the end of a member, which ends a complete gang."""
        with self._lock:
            self._present.discard(task)
            if self.is_complete and self.outcome is None:
                self.outcome = "done" if outcome == "done" else "broken"


class Gangs:
    """The gangs of all workers of one system."""

    def __init__(self):
        self._lock = threading.Lock()
        self._by_run: dict[tuple[str, int], Gang] = {}

    def get(self, task: str, run: int, size: int) -> Gang:
        """Returns the gang of a member's run, and creates it for the first member."""
        step = task.rpartition(".")[0]
        with self._lock:
            return self._by_run.setdefault((step, run), Gang(size))
