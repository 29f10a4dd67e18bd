"""Decides between announcements of one incarnation that contradict each other."""

from marigoldsill import errors
from marigoldsill.coordination.worker_incarnations import known_pools
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes

# This number of contradicting heartbeats in a row, with no heartbeat that repeats the
# accepted properties between them, comes from the worker itself: a heartbeat of another
# writer may have come first, before the agent knew its worker.
_CONTRADICTIONS_LIMIT = 3


class Contradictions:
    """Announcements that contradict the accepted one, since the last one that did not."""

    def __init__(self, pools: known_pools.KnownPools):
        """Initializes without contradictions.

        Args:
            pools: The pools that an announcement may name.
        """
        self._pools = pools
        self._last: run_worker.Announcement | None = None
        self._count = 0

    def clear(self) -> None:
        """Forgets the contradictions, as an announcement was accepted."""
        self._last, self._count = None, 0

    def check(
        self,
        announcement: run_worker.Announcement,
        current: run_worker.Announcement,
    ) -> None:
        """Refuses an announcement that contradicts the current one, until repeated.

        One with a pool that does not exist is refused however often it is repeated,
        and one with a pool that exists replaces it at once.

        Raises:
            ConflictError: It names a pool that does not exist, or was not repeated
                often enough yet.
        """
        pool, current_pool = announcement.worker.pool, current.worker.pool
        self._pools.check(pool, instead_of=current_pool)
        if self._pools.only_has(pool, not_pool=current_pool):
            return
        is_repeated = (
            self._last is not None
            and has_same_properties(announcement, self._last)
            and announcement.sequence > self._last.sequence
        )
        self._count = self._count + 1 if is_repeated else 1
        self._last = announcement
        if self._count < _CONTRADICTIONS_LIMIT:
            worker = announcement.worker
            raise errors.ConflictError(
                f"incarnation {worker.worker_id} belongs to pool {current_pool!r} but "
                f"was announced with pool {pool[:40]!r}, labels {worker.labels[:2]!r} "
                f"and sequence {announcement.sequence} after {current.sequence}; "
                "expected the same pool, data centre and labels in all heartbeats of "
                "an incarnation, and capacity changes only in subsequent heartbeats"
            )


def has_same_properties(
    one: run_worker.Announcement, other: run_worker.Announcement
) -> bool:
    """Whether two announcements agree on the capacity and all fixed properties."""
    has_same_capacity = one.worker.capacity == other.worker.capacity
    return has_same_capacity and has_same_fixed_properties(one, other)


def has_same_fixed_properties(
    one: run_worker.Announcement, other: run_worker.Announcement
) -> bool:
    """Whether two announcements agree on all fixed properties."""
    return _fixed_properties(one.worker) == _fixed_properties(other.worker)


def _fixed_properties(worker: ttypes.PoolWorker) -> tuple:
    """Returns the properties of a worker that never change in an incarnation."""
    return worker.pool, worker.data_centre, worker.labels
