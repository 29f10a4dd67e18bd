"""Exponentially growing pauses of workers that refuse starts."""

from collections.abc import Callable
import dataclasses

from marigoldsill.protocol import run_worker
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# The backoff after a refusal, which doubles with each further one. A refused start costs
# a commit and a call, and the task waits for both.
_BACKOFF_S = 0.5
_BACKOFF_LIMIT_S = 4.0
# A refusal this long after the last one restarts the backoff.
_REFUSALS_APART_S = 10.0
_WORKERS_LIMIT = 20_000
# Refusals that say nothing about the worker's health: they concern one run, or an order
# that the leader knows.
_REASONS_WITHOUT_BACKOFF = frozenset(
    {
        run_worker.RefusalReason.OUTDATED,
        run_worker.RefusalReason.NO_TICKET,
        run_worker.RefusalReason.EVACUATED,
    }
)


@dataclasses.dataclass(slots=True)
class _Refusals:
    """The recent refusals of a worker, and the end of its backoff."""

    count: int = 0
    last_s: float = 0.0
    until_s: float = 0.0


class RefusalBackoff:
    """The refusals of workers.

    Called with the replica's lock held.
    """

    def __init__(self, *, is_leader: Callable[[], bool]):
        """Creates a record without refusals.

        Args:
            is_leader: Whether this process leads, so that a backoff has an effect
                and is logged.
        """
        self._is_leader = is_leader
        self._refusals: dict[str, _Refusals] = {}

    def is_active(self, worker_id: str) -> bool:
        """Returns whether a worker gets no run now because of a refusal."""
        refusals = self._refusals.get(worker_id)
        return refusals is not None and clock.now_s() < refusals.until_s

    def record_success(self, worker_id: str, *, granted_s: float) -> None:
        """Ends the backoff of a worker if a run succeeded that was granted since."""
        refusals = self._refusals.get(worker_id)
        # The end of an earlier run does not show that starts succeed again.
        if refusals is not None and granted_s > refusals.last_s:
            del self._refusals[worker_id]

    def record_refusal(self, worker_id: str, reason: str) -> None:
        """Begins or extends the backoff of a worker that refused a start."""
        if reason in _REASONS_WITHOUT_BACKOFF:
            return
        now_s = clock.now_s()
        refusals = self._refusals.setdefault(worker_id, _Refusals())
        if now_s < refusals.until_s:
            # A refusal of the same batch of starts.
            return
        if now_s - refusals.last_s > _REFUSALS_APART_S:
            refusals.count = 0
        backoff_s = min(_BACKOFF_S * 2**refusals.count, _BACKOFF_LIMIT_S)
        refusals.count += 1
        refusals.last_s = now_s
        refusals.until_s = now_s + backoff_s
        while len(self._refusals) > _WORKERS_LIMIT:
            del self._refusals[next(iter(self._refusals))]
        if not self._is_leader():
            return
        logs.event(
            "worker_backoff",
            level="WARNING",
            worker_id=worker_id,
            backoff_s=backoff_s,
            refusals_count=refusals.count,
            reason=reason,
        )
