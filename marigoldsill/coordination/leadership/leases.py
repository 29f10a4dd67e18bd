"""Leases of agents, as granted by the leader.

While an agent's lease may be live, its runs may be alive.

Renewals are not in the log. A new leader therefore regards every lease as live
for one full lease time from its election, except for leases that no leader has
renewed since, according to the log. The clocks continue while a machine is
suspended. An agent counts the lease time from when it sent its request, and the
leader from when it received the request, plus a margin for clock drift.
"""

from collections.abc import Iterable
import math
import threading

from marigoldsill.transport import clock
from marigoldsill.transport import logs

DRIFT_RATIO = 1.1
MARGIN_S = 0.2


class LeaseTable:
    """The latest time at which each agent's lease may be live."""

    def __init__(self):
        self._lock = threading.Lock()
        self._suspensions_recorded = threading.Condition(self._lock)
        self._end_s: dict[str, float] = {}
        self._closed: set[str] = set()
        self._suspension_numbers: dict[str, int] = {}
        self._suspensions_count = self._recorded_suspensions_count = 0
        self._renewed_s: dict[str, float] = {}
        self._min_end_s = self._reset_s = 0.0

    def reset(self, *, lease_ms: int) -> None:
        """Resets the table for a new leader: every lease counts as just renewed."""
        with self._lock:
            self._end_s.clear()
            self._closed.clear()
            self._suspension_numbers.clear()
            self._renewed_s.clear()
            self._reset_s = clock.now_s()
            self._min_end_s = latest_end_s(lease_ms)

    def renew(self, agent: str, *, lease_ms: int) -> bool:
        """Renews a lease, unless it is closed or suspended.

        A renewal for a shorter time does not shorten the lease.

        Returns:
            Whether the lease was renewed.
        """
        with self._lock:
            if agent in self._closed or agent in self._suspension_numbers:
                return False
            end_s = max(self._end_s.get(agent, 0.0), latest_end_s(lease_ms))
            self._end_s[agent] = end_s
            self._renewed_s[agent] = clock.now_s()
            return True

    def is_closed(self, agent: str) -> bool:
        """Whether `close_if_expired` has closed the agent's lease."""
        with self._lock:
            return agent in self._closed

    def suspend_unrenewed(
        self,
        agents: Iterable[str],
        *,
        unrenewed_s: float,
        unrenewed_in_term_s: float = math.inf,
    ) -> list[str]:
        """Suspends the renewal of leases that were not renewed recently.

        A suspended lease is not renewed until `resume`. The caller proposes the
        record of the suspension and then calls `confirm_suspensions_recorded`.

        Args:
            agents: Whose leases to check.
            unrenewed_s: Time without a renewal after which a lease is suspended.
            unrenewed_in_term_s: The same, from the begin of the term, for leases that
                this leader has not renewed yet.

        Returns:
            Those of `agents` whose lease is suspended.
        """
        now_s = clock.now_s()
        limit_in_term_s = min(unrenewed_s, unrenewed_in_term_s)
        with self._lock:
            suspended = [
                agent
                for agent in agents
                if agent in self._suspension_numbers
                or (
                    now_s - self._renewed_s[agent] > unrenewed_s
                    if agent in self._renewed_s
                    else now_s - self._reset_s > limit_in_term_s
                )
            ]
            self._suspensions_count += 1
            self._suspension_numbers |= dict.fromkeys(
                suspended, self._suspensions_count
            )
            return suspended

    def confirm_suspensions_recorded(self) -> None:
        """Confirms that the records of all suspensions were proposed.

        They need not be committed: each has its position in the log, or is not in
        the log and never will be.
        """
        with self._lock:
            self._recorded_suspensions_count = self._suspensions_count
            self._suspensions_recorded.notify_all()

    def wait_until_recorded(
        self, suspension_number: int, *, timeout_s: float
    ) -> bool:
        """Waits until the record of a suspension was proposed.

        Only a record that is proposed afterwards follows it in the log.

        Returns:
            Whether it was proposed in time.
        """
        with self._lock:
            return self._suspensions_recorded.wait_for(
                lambda: self._recorded_suspensions_count >= suspension_number,
                timeout_s,
            )

    def suspension_number(self, agent: str) -> int:
        """Returns the number of the agent's last suspension, 0 if not suspended."""
        with self._lock:
            return self._suspension_numbers.get(agent, 0)

    def resume(self, agent: str, *, suspension_number: int) -> None:
        """Allows renewals again, unless the lease was suspended again since.

        Args:
            agent: Whose lease.
            suspension_number: The number of the suspension to end. The log records
                its end after its begin.
        """
        with self._lock:
            if self._suspension_numbers.get(agent) == suspension_number:
                del self._suspension_numbers[agent]

    def has_expired(self, agent: str, *, bound_s: float = math.inf) -> bool:
        """Whether an agent's lease has certainly expired.

        Args:
            agent: Whose lease.
            bound_s: The latest end of the lease, if known for another reason.
        """
        with self._lock:
            return self._has_expired(agent, bound_s)

    def close_if_expired(
        self, agent: str, *, bound_s: float = math.inf
    ) -> bool:
        """Closes an agent's lease if it has certainly expired.

        A closed lease stays closed until `reopen`: a heartbeat that arrives while
        the loss is being recorded does not renew it.

        Args:
            agent: Whose lease.
            bound_s: The latest end of the lease, if known for another reason.

        Returns:
            Whether the lease is closed.
        """
        with self._lock:
            if not self._has_expired(agent, bound_s):
                return False
            if agent not in self._closed:
                self._close(agent, bound_s)
            return True

    def end_s(self, agent: str) -> float:
        """Returns when an agent's lease has ended at the latest."""
        with self._lock:
            return self._own_end_s(agent)

    def reopen(self, agent: str) -> None:
        """Allows an agent a lease again, once no run on it is recorded any more.

        A suspended lease remains suspended.
        """
        with self._lock:
            self._closed.discard(agent)

    def is_live(self, agent: str) -> bool:
        """Whether an agent's lease was renewed by this leader and is not over."""
        return self._end_s.get(agent, 0.0) >= clock.now_s()

    def was_renewed_within(self, agent: str, seconds: float) -> bool:
        """Whether this leader has renewed an agent's lease in the last seconds."""
        renewed_s = self._renewed_s.get(agent, -math.inf)
        return clock.now_s() - renewed_s <= seconds

    def live_agents(self) -> set[str]:
        """Returns agents whose lease was renewed by this leader and is not over."""
        now_s = clock.now_s()
        with self._lock:
            return {a for a, end_s in self._end_s.items() if end_s >= now_s}

    def _has_expired(self, agent: str, bound_s: float) -> bool:
        return agent in self._closed or clock.now_s() > min(
            self._own_end_s(agent), bound_s
        )

    def _close(self, agent: str, bound_s: float) -> None:
        renewed_s = self._renewed_s.get(agent)
        since_s = self._reset_s if renewed_s is None else renewed_s
        logs.event(
            "lease_expired",
            level="WARNING",
            agent=agent,
            unrenewed_ms=int(1000 * (clock.now_s() - since_s)),
            renewed_in_term=renewed_s is not None,
            limited_by="log" if bound_s < self._own_end_s(agent) else "leader",
        )
        self._closed.add(agent)
        self._end_s.pop(agent, None)

    def _own_end_s(self, agent: str) -> float:
        return max(self._end_s.get(agent, 0.0), self._min_end_s)


def latest_end_s(lease_ms: int) -> float:
    """Returns when a lease that was renewed now or earlier has certainly expired."""
    return clock.now_s() + lease_ms / 1000 * DRIFT_RATIO + MARGIN_S
