"""The leader's leases: which agents may still have runs alive.

Renewals are not in the log. A new leader therefore takes every lease as live
for one full lease from its election. Clocks are monotonic; the agent counts
from when it sent, the leader from when it received, plus a margin for drift.
"""

import threading
import time

_DRIFT_RATIO = 1.1
_MARGIN_S = 0.2


class LeaseTable:
    """Until when each agent's lease may be live, as the leader sees it."""

    def __init__(self):
        self._lock = threading.Lock()
        self._end_s: dict[str, float] = {}
        self._floor_s = 0.0

    def reset(self, *, lease_ms: int) -> None:
        """Starts over as a new leader: all leases count as just renewed."""
        with self._lock:
            self._end_s.clear()
            self._floor_s = _end_of(lease_ms)

    def renew(self, agent: str, *, lease_ms: int) -> None:
        """Notes a heartbeat that was answered with a lease."""
        with self._lock:
            self._end_s[agent] = _end_of(lease_ms)

    def expired(self, agent: str) -> bool:
        """Whether the agent's lease is surely over."""
        with self._lock:
            end_s = max(self._end_s.get(agent, 0.0), self._floor_s)
        return time.monotonic() > end_s

    def live(self) -> set[str]:
        """Agents that renewed under this leader and have not run out."""
        now_s = time.monotonic()
        with self._lock:
            return {a for a, end_s in self._end_s.items() if end_s >= now_s}


def _end_of(lease_ms: int) -> float:
    return time.monotonic() + lease_ms / 1000 * _DRIFT_RATIO + _MARGIN_S
