"""Incarnations of a machine's worker: the one that is held, and others announced.

Whoever reaches an agent may announce an incarnation. Only the worker itself knows which
incarnation it is, and refuses calls that mean another. So an incarnation that is announced is
asked once, beside the held one, which stays held until another one has answered.
"""

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes

# Announced incarnations that wait for a call. Of real ones there is one at a time; each
# waits for at most as many calls to the held one, of about a second.
_CANDIDATES_LIMIT = 8
# A heartbeat of an incarnation that is over may come late, but not a thousand incarnations late;
# one that is forgotten is asked again, and refused again.
_GONE_LIMIT = 1_000
# So many heartbeats in a row, without one as before between them, are the worker's
# own: another writer's may have come first, before an agent knew its worker.
_BELIEVED_COUNT = 3
# Largest gap in sequence numbers across which a heartbeat is accepted at once. It
# allows for lost heartbeats; a larger gap suggests another writer.
_SEQUENCE_GAP_LIMIT = 100


class Incarnations:
    """What was announced; guarded by the lock of its owner.

    Attributes:
        held: The newest announcement of the incarnation that answers, or None.
    """

    def __init__(self):
        self.held: run_worker.Announcement | None = None
        # Both with the oldest first.
        self._candidates: dict[str, run_worker.Announcement] = {}
        self._gone_ids: dict[str, None] = {}
        self._held_was_called = True
        self._doubted: run_worker.Announcement | None = None
        self._doubts_count = 0

    @property
    def held_id(self) -> str:
        """The incarnation that answers, or empty."""
        return "" if self.held is None else self.held.worker.worker_id

    @property
    def newest(self) -> run_worker.Announcement | None:
        """The newest announcement of another incarnation, or else of the held one."""
        if self._candidates:
            return next(reversed(self._candidates.values()))
        return self.held

    @property
    def knows_gone(self) -> bool:
        """Whether any incarnation is known to be over."""
        return bool(self._gone_ids)

    @property
    def remembered_count(self) -> int:
        """How many incarnations other than the held one are remembered."""
        return len(self._candidates) + len(self._gone_ids)

    def take(self, announcement: run_worker.Announcement) -> bool:
        """Takes what is said of an incarnation; False if it is late or over.

        Raises:
            ConflictError: It is not what the held incarnation has said of itself.
        """
        worker_id = announcement.worker.worker_id
        if self.is_gone(worker_id):
            return False
        if worker_id == self.held_id:
            return self._take_held(announcement)
        known = self._candidates.get(worker_id)
        if known is not None and known.sequence >= announcement.sequence:
            return False
        self._candidates[worker_id] = announcement
        if len(self._candidates) > _CANDIDATES_LIMIT:
            del self._candidates[next(iter(self._candidates))]
        return True

    def next_id(self) -> str:
        """The incarnation to call next, or empty: others and the held one in turn."""
        held_turn = self.held is not None and not self._held_was_called
        if held_turn or not self._candidates:
            self._held_was_called = True
            return self.held_id
        self._held_was_called = False
        # It goes to the end, in case that it does not answer.
        worker_id = next(iter(self._candidates))
        self._candidates[worker_id] = self._candidates.pop(worker_id)
        return worker_id

    def hold(self, worker_id: str) -> bool:
        """Holds an announced incarnation that answered; whether it is another one."""
        announcement = self._candidates.pop(worker_id, None)
        if announcement is None:
            return False
        self.end(self.held_id)
        self._believe(announcement)
        return True

    def end(self, worker_id: str) -> None:
        """Notes that an incarnation is over for good."""
        if not worker_id:
            return
        self._candidates.pop(worker_id, None)
        if worker_id == self.held_id:
            self.held = None
        self._gone_ids.pop(worker_id, None)
        self._gone_ids[worker_id] = None
        if len(self._gone_ids) > _GONE_LIMIT:
            del self._gone_ids[next(iter(self._gone_ids))]

    def is_gone(self, worker_id: str) -> bool:
        """Whether an incarnation is known to be over."""
        return worker_id in self._gone_ids

    def _take_held(self, announcement: run_worker.Announcement) -> bool:
        gap = announcement.sequence - self.held.sequence
        is_same = _is_same(announcement, self.held)
        if is_same and gap <= 0:
            self._doubted, self._doubts_count = None, 0
            return False
        is_near = 0 < gap <= _SEQUENCE_GAP_LIMIT
        if not is_near or not _agrees(announcement, self.held):
            self._doubt(announcement)
        self._believe(announcement)
        return True

    def _doubt(self, announcement: run_worker.Announcement) -> None:
        """Refuses what contradicts the held incarnation, until it is said again."""
        said_before = (
            self._doubted is not None
            and _is_same(announcement, self._doubted)
            and announcement.sequence > self._doubted.sequence
        )
        self._doubts_count = self._doubts_count + 1 if said_before else 1
        self._doubted = announcement
        if self._doubts_count < _BELIEVED_COUNT:
            worker = announcement.worker
            raise errors.ConflictError(
                f"incarnation {worker.worker_id} is of pool {self.held.worker.pool!r} "
                f"and was announced as of {worker.pool[:40]!r}, with "
                f"labels {worker.labels[:2]!r} and sequence "
                f"{announcement.sequence} after {self.held.sequence}; an "
                "incarnation's pool, data centre and labels do not change, and "
                "its capacity changes only in subsequent heartbeats"
            )

    def _believe(self, announcement: run_worker.Announcement) -> None:
        self.held = announcement
        self._doubted, self._doubts_count = None, 0


def _is_same(
    one: run_worker.Announcement, other: run_worker.Announcement
) -> bool:
    """Whether two announcements agree on the capacity and all fixed properties."""
    has_same_capacity = one.worker.capacity == other.worker.capacity
    return has_same_capacity and _agrees(one, other)


def _agrees(
    one: run_worker.Announcement, other: run_worker.Announcement
) -> bool:
    """Whether two announcements agree on all fixed properties."""
    return _lasting(one.worker) == _lasting(other.worker)


def _lasting(worker: ttypes.PoolWorker) -> tuple:
    """The properties of a worker that are fixed for an incarnation."""
    return worker.pool, worker.data_centre, worker.labels
