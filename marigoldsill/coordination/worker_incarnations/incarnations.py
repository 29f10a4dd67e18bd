"""Incarnations of a machine's worker: the current one and other announced ones.

Anyone who can reach an agent may announce an incarnation. Only the worker knows which
incarnation it is, and it refuses calls to any other. An announced incarnation is
therefore called to check it, in turn with the current one, which remains current until
another one answers.
"""

from marigoldsill import errors
from marigoldsill.coordination.worker_incarnations import contradictions
from marigoldsill.coordination.worker_incarnations import known_pools
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# Maximum number of announced incarnations that wait for a call; only one at a time is
# real. Each waits for at most this many calls to the current one, of about a second
# each.
_CANDIDATES_LIMIT = 8
# Number of ended incarnations to remember. A heartbeat of an ended incarnation may arrive
# late, but not a thousand incarnations late; an incarnation that is no longer remembered
# is called again, and the worker refuses the call again.
_ENDED_LIMIT = 1_000
# Largest gap in sequence numbers across which a heartbeat is accepted at once. It
# allows for lost heartbeats; a larger gap suggests another writer.
_SEQUENCE_GAP_LIMIT = 100


class Incarnations:
    """Announced incarnations of a worker; the owner's lock must be held for every call.

    Attributes:
        current: The newest accepted announcement of the incarnation that answers, or
            None.
        last_announcement_s: When the current incarnation was announced last.
        pools: The pools that an announcement may name.
    """

    def __init__(self):
        self.pools = known_pools.KnownPools()
        self.current: run_worker.Announcement | None = None
        self.last_announcement_s = clock.now_s()
        # Both with the oldest first.
        self._candidates: dict[str, run_worker.Announcement] = {}
        self._ended_ids: dict[str, None] = {}
        # The last incarnation that was current; it may have ended.
        self._last_current_id = ""
        # An incarnation that answered without having been announced.
        self._answering_id = ""
        self._was_current_called_last = True
        self._contradictions = contradictions.Contradictions(self.pools)

    @property
    def current_id(self) -> str:
        """The incarnation that answers, or empty."""
        return "" if self.current is None else self.current.worker.worker_id

    @property
    def last_current_id(self) -> str:
        """The last incarnation that was current, or empty; it may have ended."""
        return self._last_current_id

    @property
    def newest_announcement(self) -> run_worker.Announcement | None:
        """The newest announcement of another incarnation, or else of the current one."""
        if self._candidates:
            return next(reversed(self._candidates.values()))
        return self.current

    @property
    def candidate_ids(self) -> list[str]:
        """The announced incarnations other than the current one."""
        return list(self._candidates)

    @property
    def remembered_count(self) -> int:
        """How many incarnations other than the current one are remembered."""
        return len(self._candidates) + len(self._ended_ids)

    def record_announcement(
        self, announcement: run_worker.Announcement
    ) -> bool:
        """Records an announcement, unless it is late or its incarnation has ended.

        Returns:
            Whether the announcement was recorded.

        Raises:
            ConflictError: It contradicts what the current incarnation has announced.
        """
        worker_id = announcement.worker.worker_id
        if self.has_ended(worker_id) or self._is_late(worker_id):
            return False
        if worker_id == self.current_id:
            return self._record_current(announcement)
        known = self._candidates.get(worker_id)
        if known is not None and not self._is_newer(announcement, known):
            return False
        self._candidates[worker_id] = announcement
        if len(self._candidates) > _CANDIDATES_LIMIT:
            del self._candidates[next(iter(self._candidates))]
        return True

    def has_successor(self, worker_id: str) -> bool:
        """Whether a later incarnation of the same name has been announced."""
        return any(
            incarnation_ids.share_name(worker_id, candidate_id)
            for candidate_id in self._candidates
            if candidate_id != worker_id
        )

    def record_answering(self, worker_id: str) -> None:
        """Records an incarnation that answered a call to another one."""
        self._answering_id = worker_id

    def next_id_to_call(self) -> str:
        """Returns the incarnation to call next, or empty if there is none.

        Candidates and the current incarnation take turns.
        """
        is_current_next = (
            self.current is not None and not self._was_current_called_last
        )
        if is_current_next or not self._candidates:
            self._was_current_called_last = True
            return self.current_id
        self._was_current_called_last = False
        # The candidate becomes the last one, in case it does not answer.
        worker_id = next(iter(self._candidates))
        self._candidates[worker_id] = self._candidates.pop(worker_id)
        return worker_id

    def set_current(self, worker_id: str) -> bool:
        """Makes an announced incarnation that has answered the current one.

        Returns:
            Whether it was not the current one before.
        """
        announcement = self._candidates.pop(worker_id, None)
        if announcement is None:
            return False
        self.record_end(self.current_id)
        self._accept(announcement)
        self._last_current_id = worker_id
        return True

    def record_end(self, worker_id: str) -> None:
        """Records that an incarnation has ended for good."""
        if not worker_id:
            return
        self._candidates.pop(worker_id, None)
        if worker_id == self.current_id:
            self.current = None
        self._ended_ids.pop(worker_id, None)
        self._ended_ids[worker_id] = None
        if len(self._ended_ids) > _ENDED_LIMIT:
            del self._ended_ids[next(iter(self._ended_ids))]

    def has_ended(self, worker_id: str) -> bool:
        """Whether an incarnation is known to have ended."""
        return worker_id in self._ended_ids

    def is_replaced(self, worker_id: str, *, current_id: str) -> bool:
        """Whether an incarnation that was current before has certainly ended.

        Args:
            worker_id: The incarnation.
            current_id: The one that answers, or empty.
        """
        if current_id:
            return worker_id != current_id
        return self.has_ended(worker_id)

    def _is_late(self, worker_id: str) -> bool:
        """Whether an announcement is by an earlier start than the last known one.

        Only the worker's answers tell which start is the last one. They are trusted
        also where the machine's time was set back between two starts.

        Raises:
            ConflictError: It tells a start time although its worker does not, or none
                although it does.
        """
        last_id = self._last_current_id
        if not incarnation_ids.share_name(worker_id, last_id):
            return False
        started_ms = incarnation_ids.started_unix_ms_of(worker_id)
        last_started_ms = incarnation_ids.started_unix_ms_of(last_id)
        if last_started_ms is None:
            if last_id == self.current_id:
                raise errors.ConflictError(
                    f"worker {last_id} was announced with the time of its start as "
                    f"{worker_id}, but it answers without; expected no start time"
                )
            return False
        if started_ms is None:
            raise errors.ConflictError(
                f"worker {worker_id} was announced without the time of its start, but "
                f"it answered as {last_id}; expected the start time in all its "
                "heartbeats"
            )
        return started_ms < last_started_ms and worker_id != self._answering_id

    def _is_newer(
        self,
        announcement: run_worker.Announcement,
        known: run_worker.Announcement,
    ) -> bool:
        """Whether an announcement replaces a known one of the same candidate.

        Raises:
            ConflictError: It names another pool, which does not exist.
        """
        pool, known_pool = announcement.worker.pool, known.worker.pool
        self.pools.check(pool, instead_of=known_pool)
        return (
            self.pools.only_has(pool, not_pool=known_pool)
            or announcement.sequence > known.sequence
        )

    def _record_current(self, announcement: run_worker.Announcement) -> bool:
        gap = announcement.sequence - self.current.sequence
        has_same_properties = contradictions.has_same_properties(
            announcement, self.current
        )
        if has_same_properties and gap <= 0:
            # Confirms the known capacity although the sequence is not higher.
            self._accept(self.current)
            return False
        is_subsequent = 0 < gap <= _SEQUENCE_GAP_LIMIT
        if not is_subsequent or not contradictions.has_same_fixed_properties(
            announcement, self.current
        ):
            self._contradictions.check(announcement, self.current)
        self._accept(announcement)
        return True

    def _accept(self, announcement: run_worker.Announcement) -> None:
        self.current = announcement
        self.last_announcement_s = clock.now_s()
        self._contradictions.clear()


def log_changes(before: ttypes.PoolWorker, after: ttypes.PoolWorker) -> None:
    """Logs what an announcement of the current incarnation changes."""
    if after.draining != before.draining:
        logs.event(
            "worker_drains",
            worker_id=after.worker_id,
            draining=after.draining,
            remaining_ms=after.remaining_ms,
        )
    if after.capacity != before.capacity:
        logs.event(
            "worker_capacity_changed",
            worker_id=after.worker_id,
            before=amounts.describe(before.capacity),
            after=amounts.describe(after.capacity),
        )
