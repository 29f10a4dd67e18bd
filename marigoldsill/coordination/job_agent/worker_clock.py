"""Deadlines on the worker's clock, which is not this machine's."""

import threading


class WorkerClock:
    """Turns times of this machine into times of the worker's clock.

    Each answer of the worker shows its clock at some moment between the call
    and its answer. It is taken as read when the answer came, so that a
    deadline on the worker never is later than it was meant.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._read: tuple[float, int] | None = None

    def note(self, clock_ms: int, *, received_s: float) -> None:
        """Takes the worker's clock out of an answer."""
        with self._lock:
            self._read = (received_s, clock_ms)

    def reset(self) -> None:
        """Forgets what was read: another worker has another clock."""
        with self._lock:
            self._read = None

    def at(self, local_s: float) -> int | None:
        """The worker's clock at a time of this machine, in milliseconds.

        None until an answer has shown the clock.
        """
        with self._lock:
            if self._read is None:
                return None
            received_s, clock_ms = self._read
        return clock_ms + int((local_s - received_s) * 1000)
