"""Forecasts when a rack has capacity for each of the tasks that wait for it.

Answers many tasks that want one rack: each waiting task books the capacity that is
expected to come free first, so the next one learns that its own turn comes later.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import math

# Maximum number of tasks that wait for one rack in a round, which bounds the cost of a
# round. It is several times what a rack runs at once.
_BOOKINGS_LIMIT = 256


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectedEnd:
    """The expected end of a run.

    Attributes:
        end_s: When it is expected; infinite for a run without an end.
        cpu_millicores: The processor time that comes free then.
        is_best_effort: Whether the run only uses processor time, which others may
            reserve.
    """

    end_s: float
    cpu_millicores: int
    is_best_effort: bool = False


class RackForecast:
    """The capacity of one rack that comes free, as seen at one moment.

    It adds up the processor time of all workers of the rack, so the turn of a task
    that needs most of a worker may come later than forecast.

    Attributes:
        made_s: When it was made.
    """

    def __init__(self, ends: Iterable[ExpectedEnd], *, now_s: float):
        """Creates a forecast from the runs in a rack.

        Args:
            ends: The expected ends of the runs.
            now_s: The time of the round.
        """
        self.made_s = now_s
        self._heap = [
            (_corrected_end_s(end.end_s, now_s), end.cpu_millicores)
            for end in ends
            if end.end_s < math.inf
        ]
        heapq.heapify(self._heap)
        self._bookings_count = 0

    def start(self, end: ExpectedEnd, *, now_s: float) -> None:
        """Adds a run that is granted without a booking.

        It takes what has come free by now, or capacity that was free before.
        """
        run_s = end.end_s - now_s
        if (
            self.book(end.cpu_millicores, run_s=run_s, latest_start_s=now_s)
            is None
        ):
            heapq.heappush(self._heap, (end.end_s, end.cpu_millicores))

    def book(
        self, cpu_millicores: int, *, run_s: float, latest_start_s: float
    ) -> float | None:
        """Books the first capacity that comes free for one more task.

        Args:
            cpu_millicores: The processor time that the task needs.
            run_s: Its expected run time in the rack.
            latest_start_s: The latest start for which it waits.

        Returns:
            When the task is expected to start, or None without a booking if that
            would be too late.
        """
        if self._bookings_count >= _BOOKINGS_LIMIT:
            return None
        taken: list[tuple[float, int]] = []
        freed_millicores = 0
        while freed_millicores < cpu_millicores or not taken:
            if not self._heap or self._heap[0][0] > latest_start_s:
                for entry in taken:
                    heapq.heappush(self._heap, entry)
                return None
            taken.append(heapq.heappop(self._heap))
            freed_millicores += taken[-1][1]
        start_s = taken[-1][0]
        if freed_millicores > cpu_millicores:
            unused_millicores = freed_millicores - cpu_millicores
            heapq.heappush(self._heap, (start_s, unused_millicores))
        heapq.heappush(self._heap, (start_s + run_s, cpu_millicores))
        self._bookings_count += 1
        return start_s


def _corrected_end_s(end_s: float, now_s: float) -> float:
    """Returns the expected end of a run that may be overdue.

    A run that is overdue by some time is expected to take as long again, so a run that
    hangs makes nobody wait for it at every round.
    """
    return max(end_s, 2 * now_s - end_s)
