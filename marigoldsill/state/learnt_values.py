"""Values that leaders have learnt from tasks, replicated for later leaders."""

from marigoldsill.protocol.generated import ttypes

# The same limits as a leader has in memory. The entry recorded least recently is
# dropped first.
PAIRS_LIMIT = 10_000
QUEUES_LIMIT = 10_000

Pair = tuple[str, str]


class LearntValues:
    """The newest record of each pair of images and of each queue.

    Attributes:
        interference: Interference by latency-critical and best-effort image.
        run_times: Run time statistics by queue.
    """

    def __init__(self):
        self.interference: dict[Pair, ttypes.PairInterference] = {}
        self.run_times: dict[str, ttypes.RunTimesLine] = {}

    def update(self, record: ttypes.RecordLearnt) -> None:
        """Adds the entries of a record and replaces those of the same keys."""
        for entry in record.interference:
            pair = (entry.latency_critical_image, entry.best_effort_image)
            _put_newest(self.interference, pair, entry, PAIRS_LIMIT)
        for entry in record.run_times:
            _put_newest(self.run_times, entry.queue, entry, QUEUES_LIMIT)

    def to_record(self) -> ttypes.RecordLearnt:
        """Returns all entries as one record."""
        return ttypes.RecordLearnt(
            interference=list(self.interference.values()),
            run_times=list(self.run_times.values()),
        )


def _put_newest(table: dict, key: object, value: object, limit: int) -> None:
    """Sets an entry as the newest one; drops the oldest one over the limit."""
    table.pop(key, None)
    table[key] = value
    if len(table) > limit:
        del table[next(iter(table))]
