"""The ids of rejected jobs, and when each of them may be submitted again.

A late attempt of a submission that was rejected must not be accepted after its caller
was told so, and a caller that returns in its time goes before new arrivals. The table
is kept in memory for one term and bounded in size and age.
"""

import collections
import dataclasses
import zlib

_ENTRIES_LIMIT = 10_000
# How long after the told time a caller still goes before new arrivals.
_RETURN_WINDOW_S = 30.0
# Callers that fail again and again are new arrivals after this time.
_AGE_LIMIT_S = 180.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
_HASHES_COUNT = 1 << 32


@dataclasses.dataclass(slots=True, frozen=True)
class RememberedRejection:
    """One rejected job.

    Attributes:
        first_s: When it was first rejected.
        rejected_s: When it was last rejected.
        return_s: When it may be submitted again.
        last_return_s: The latest time to which attempts before `return_s` move it.
        is_bound_reached: Whether a bound on waiting jobs was the reason.
        reason: The reason as told to the caller.
    """

    first_s: float
    rejected_s: float
    return_s: float
    last_return_s: float
    is_bound_reached: bool
    reason: str


class RejectionTable:
    """Remembers rejected jobs."""

    def __init__(self):
        self._entries: collections.OrderedDict[str, RememberedRejection] = (
            collections.OrderedDict()
        )
        self._awaited_count = 0

    @property
    def awaited_count(self) -> int:
        """Number of callers that may return after a bound had rejected them."""
        return self._awaited_count

    @property
    def count(self) -> int:
        """Number of remembered rejections."""
        return len(self._entries)

    def find(self, job_id: str) -> RememberedRejection | None:
        """Returns the rejection of a job, or None."""
        return self._entries.get(job_id)

    def add(
        self,
        job_id: str,
        *,
        return_s: float,
        is_bound_reached: bool,
        reason: str,
        now_s: float,
    ) -> None:
        """Remembers a rejection, in place of an earlier one of the same job."""
        before = self._pop(job_id)
        self._entries[job_id] = RememberedRejection(
            first_s=now_s if before is None else before.first_s,
            rejected_s=now_s,
            return_s=return_s,
            last_return_s=return_s + MIN_RETRY_S,
            is_bound_reached=is_bound_reached,
            reason=reason,
        )
        self._awaited_count += is_bound_reached
        if len(self._entries) > _ENTRIES_LIMIT:
            self._pop(next(iter(self._entries)))

    def defer(self, job_id: str, *, now_s: float) -> RememberedRejection:
        """Returns the rejection of a job that was submitted before its time.

        The caller is told the least time again, so its time to return moves as well,
        but not for ever: a caller that repeats its attempts more often is accepted too.
        """
        entry = self._entries[job_id]
        return_s = min(
            max(entry.return_s, now_s + MIN_RETRY_S), entry.last_return_s
        )
        deferred = dataclasses.replace(
            entry, rejected_s=now_s, return_s=return_s
        )
        self._entries[job_id] = deferred
        return deferred

    def remove(self, job_id: str) -> None:
        """Removes the rejection of a job that was accepted."""
        self._pop(job_id)

    def expire(self, *, now_s: float) -> None:
        """Removes entries whose time to return is over, the oldest ones first."""
        while self._entries:
            job_id, oldest = next(iter(self._entries.items()))
            is_over = now_s > oldest.return_s + _RETURN_WINDOW_S
            if not is_over and now_s - oldest.first_s <= _AGE_LIMIT_S:
                return
            self._pop(job_id)

    def is_returning(self, job_id: str, *, now_s: float) -> bool:
        """Whether a job is submitted again in the time that its caller was told."""
        entry = self._entries.get(job_id)
        return (
            entry is not None
            and entry.is_bound_reached
            and entry.return_s <= now_s <= entry.return_s + _RETURN_WINDOW_S
            and now_s - entry.first_s <= _AGE_LIMIT_S
        )

    def _pop(self, job_id: str) -> RememberedRejection | None:
        entry = self._entries.pop(job_id, None)
        if entry is not None:
            self._awaited_count -= entry.is_bound_reached
        return entry


def spread_s(job_id: str, *, earliest_s: float, window_s: float) -> float:
    """Returns after which time a rejected job may be submitted again.

    Args:
        job_id: Places the job in the window, always at the same point of it.
        earliest_s: The earliest time that makes sense.
        window_s: The length of the window in which callers return.
    """
    share = zlib.crc32(job_id.encode()) / _HASHES_COUNT
    bounded_s = min(max(earliest_s, MIN_RETRY_S), MAX_RETRY_S)
    return bounded_s + share * window_s
