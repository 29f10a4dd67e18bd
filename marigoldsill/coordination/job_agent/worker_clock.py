"""Conversion of deadlines to the worker's clock, which differs from this machine's."""

import threading


class WorkerClock:
    """Converts times of this machine's clock to the worker's clock.

    Each answer of the worker contains the time of its clock at some moment between
    the call and the answer. That time is treated as read when the answer arrived, so
    that a deadline on the worker's clock is never later than intended.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._worker_id = ""
        self._reading: tuple[float, int] | None = None

    def record_reading(
        self, clock_ms: int, *, worker_id: str, received_s: float
    ) -> None:
        """Records the worker's clock as read from an answer.

        Args:
            clock_ms: The time of the worker's clock.
            worker_id: The incarnation that was called. An answer of another one than
                the current one may be handled late, and has no effect.
            received_s: When the answer arrived, on this machine's clock.
        """
        with self._lock:
            if worker_id == self._worker_id:
                self._reading = (received_s, clock_ms)

    def reset(self, worker_id: str = "") -> None:
        """Removes the last reading, as another incarnation has another clock.

        Args:
            worker_id: The incarnation that is current now, or empty.
        """
        with self._lock:
            self._worker_id = worker_id
            self._reading = None

    def to_worker_ms(self, local_s: float) -> int | None:
        """Converts a time of this machine's clock to the worker's clock.

        Args:
            local_s: The time on this machine's clock.

        Returns:
            The time on the worker's clock, or None before the first reading.
        """
        with self._lock:
            if self._reading is None:
                return None
            received_s, clock_ms = self._reading
        return clock_ms + int((local_s - received_s) * 1000)
