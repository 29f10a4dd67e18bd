"""What an entry knows of an outage of control, and whether waiting for a leader pays.

This answers the load of callers that submit jobs while no leader is elected. At the
beginning of an outage a submission waits, as most elections end within the time that a
caller accepts. Once an outage has lasted longer, waiting rarely pays: submissions are
rejected at once with a time to return, while the entry itself searches for a leader.
"""

import threading
import zlib

from marigoldsill.transport import logs

# Twice the shortest election timeout, within which an ordinary election completes.
ELECTION_LIMIT_S = 1.4
# An outage of this age is more than a lost leader and an election that had to be
# repeated. Only then is a leader less likely to come within `ELECTION_LIMIT_S` than not
# to come for several times as long.
_LONG_OUTAGE_S = 4.0
# Interval of the entry's own attempts in an outage, which bounds how late it notices a
# new leader.
SEARCH_INTERVAL_S = 0.25
# A failed attempt proves nothing after this time, which covers an interval of the search
# and one attempt.
_EVIDENCE_VALIDITY_S = 1.5
# Callers retry a few times only. A job that runs for long is of use for long, so its
# caller may return later and cover a longer outage with its retries; to one that runs for
# a short time each second counts. The delay is half of the run time within these bounds.
_RUN_TIME_SHARE = 0.5
_MIN_RETRY_AFTER_MS = 1_000
_MAX_RETRY_AFTER_MS = 4_000
# Callers that were rejected together return spread over this share of their delay.
_SPREAD_SHARE = 0.3


class LeaderOutage:
    """Follows which calls found a leader; may be used by any thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self._since_s: float | None = None
        self._last_failure_s = 0.0

    @property
    def is_ongoing(self) -> bool:
        """Whether no leader has answered since an attempt failed."""
        return self._since_s is not None

    def record_answer(self, *, now_s: float) -> None:
        """Records that a leader answered, which ends an outage."""
        if self._since_s is None:
            return
        with self._lock:
            since_s, self._since_s = self._since_s, None
        if since_s is not None:
            logs.event(
                "leader_outage_ended", lasted_ms=round(1000 * (now_s - since_s))
            )

    def record_failure(self, *, now_s: float) -> bool:
        """Records that an attempt found no leader; returns whether an outage began."""
        with self._lock:
            began = self._since_s is None
            if began:
                self._since_s = now_s
            self._last_failure_s = now_s
        if began:
            logs.event("leader_outage_began", level="WARNING")
        return began

    def abandon(self) -> None:
        """Drops what is known of an outage that nobody follows any more."""
        with self._lock:
            self._since_s = None

    def is_long(self, *, now_s: float) -> bool:
        """Returns whether an outage is known to have outlasted an election."""
        with self._lock:
            return (
                self._since_s is not None
                and now_s - self._since_s > _LONG_OUTAGE_S
                and now_s - self._last_failure_s <= _EVIDENCE_VALIDITY_S
            )

    def age_s(self, *, now_s: float) -> float:
        """Returns how long the outage has lasted; 0 if there is none."""
        with self._lock:
            return 0.0 if self._since_s is None else now_s - self._since_s


def retry_after_ms(subject: str, *, run_time_ms: float) -> int:
    """Returns when a caller that found no leader should return.

    Args:
        subject: Names the rejected work; spreads the callers' returns.
        run_time_ms: The estimated run time of the job; 0 for other calls.
    """
    delay_ms = min(
        max(_RUN_TIME_SHARE * run_time_ms, _MIN_RETRY_AFTER_MS),
        _MAX_RETRY_AFTER_MS,
    )
    position = zlib.crc32(subject.encode()) / (1 << 32)
    return int(delay_ms * (1 + _SPREAD_SHARE * position))
