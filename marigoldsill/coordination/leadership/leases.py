"""The leader's leases: which agents may still have runs alive.

Renewals are not in the log. A new leader therefore takes every lease as live
for one full lease from its election. Clocks go on while a machine is suspended;
the agent counts from when it sent, the leader from when it received, plus a
margin for drift.
"""

import threading

from marigoldsill.transport import clock

DRIFT_RATIO = 1.1
MARGIN_S = 0.2


class LeaseTable:
    """Until when each agent's lease may be live, as the leader sees it."""

    def __init__(self):
        self._lock = threading.Lock()
        self._end_s: dict[str, float] = {}
        self._closed: set[str] = set()
        self._floor_s = 0.0

    def reset(self, *, lease_ms: int) -> None:
        """Starts over as a new leader: all leases count as just renewed."""
        with self._lock:
            self._end_s.clear()
            self._closed.clear()
            self._floor_s = _end_of(lease_ms)

    def renew(self, agent: str, *, lease_ms: int) -> bool:
        """Renews a lease; False if `expired` has said that it is over.

        A shorter lease than the last never shortens what was granted.
        """
        with self._lock:
            if agent in self._closed:
                return False
            end_s = max(self._end_s.get(agent, 0.0), _end_of(lease_ms))
            self._end_s[agent] = end_s
            return True

    def expired(self, agent: str) -> bool:
        """Whether the agent's lease is surely over.

        Once it is, it stays so until `reopen`: a heartbeat that comes while
        the loss is being recorded renews nothing.
        """
        with self._lock:
            if agent in self._closed:
                return True
            end_s = max(self._end_s.get(agent, 0.0), self._floor_s)
            if clock.now_s() <= end_s:
                return False
            self._closed.add(agent)
            self._end_s.pop(agent, None)
            return True

    def reopen(self, agent: str) -> None:
        """Lets an agent have a lease again, once no run of it is recorded."""
        with self._lock:
            self._closed.discard(agent)

    def live(self) -> set[str]:
        """Agents that renewed under this leader and have not run out."""
        now_s = clock.now_s()
        with self._lock:
            return {a for a, end_s in self._end_s.items() if end_s >= now_s}


def _end_of(lease_ms: int) -> float:
    return clock.now_s() + lease_ms / 1000 * DRIFT_RATIO + MARGIN_S
