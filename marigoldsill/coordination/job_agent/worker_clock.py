"""Conversion of deadlines to the worker's clock, which differs from this machine's."""

import math
import threading

from marigoldsill.coordination.leadership import leases


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
        self._first_received_s = math.inf
        self._last_deadline_ms = 0

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
            if worker_id != self._worker_id:
                return
            if self._reading is None:
                self._first_received_s = received_s
            self._reading = (received_s, clock_ms)

    def reset(self, worker_id: str = "") -> None:
        """Removes the last reading, as another incarnation has another clock.

        Args:
            worker_id: The incarnation that is current now, or empty.
        """
        with self._lock:
            self._worker_id = worker_id
            self._reading = None
            self._first_received_s = math.inf
            self._last_deadline_ms = 0

    def to_worker_ms(self, local_s: float) -> int | None:
        """Converts a time of this machine's clock to the worker's clock.

        Args:
            local_s: The time on this machine's clock.

        Returns:
            The time on the worker's clock, or None before the first reading.
        """
        with self._lock:
            return self._convert(local_s)

    def earliest_ms(self, local_s: float) -> int:
        """Returns the lowest time that the worker's clock may show at a time.

        The clock of a later incarnation starts anew and shows less.

        Args:
            local_s: The time on this machine's clock.
        """
        with self._lock:
            if self._reading is None:
                return 0
            received_s, clock_ms = self._reading
            elapsed_s = max(0.0, local_s - received_s)
            return clock_ms + int(1000 * elapsed_s / leases.DRIFT_RATIO)

    def issue_deadline_ms(self, local_s: float) -> int | None:
        """Converts a time like `to_worker_ms` and records it as sent to the worker."""
        with self._lock:
            deadline_ms = self._convert(local_s)
            if deadline_ms is not None:
                self._last_deadline_ms = max(
                    self._last_deadline_ms, deadline_ms
                )
            return deadline_ms

    def lease_end_s(self, limit_s: float) -> float:
        """Returns when the worker's lease has certainly expired.

        Args:
            limit_s: The longest lease that the worker accepts. An earlier process of
                the agent may have renewed it before the first reading.

        Returns:
            The time on this machine's clock; infinity before the first reading.
        """
        with self._lock:
            if self._reading is None:
                return math.inf
            received_s, clock_ms = self._reading
            remaining_s = max(0.0, (self._last_deadline_ms - clock_ms) / 1000)
            return leases.MARGIN_S + max(
                received_s + remaining_s * leases.DRIFT_RATIO,
                self._first_received_s + limit_s * leases.DRIFT_RATIO,
            )

    def _convert(self, local_s: float) -> int | None:
        if self._reading is None:
            return None
        received_s, clock_ms = self._reading
        return clock_ms + int((local_s - received_s) * 1000)
