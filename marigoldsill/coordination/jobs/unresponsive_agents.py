"""Agents that stopped renewing their lease, as recorded in the replicated log.

Renewals are not in the log, so a new leader has to treat every lease as live for its
whole duration. Without these records, tasks of a lost worker would not be restarted
during an election and for one lease after it. Once an agent is recorded as
unresponsive, no leader renews its lease before it has recorded that the agent responds
again, at a later position of the log. So the last renewal was before the record was
proposed, and thus before any process applied it.
"""

from collections.abc import Iterable
import math

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# How long a lease is not renewed before its agent counts as unresponsive. Longer than an
# agent takes to find a new leader: its reports are 1 s apart, and a report to a leader
# that does not answer times out after 1 s.
UNRENEWED_S = 2.5
# The same from the begin of a term for an agent that has not reported in it. Agents look
# for a leader during the election. A leader that ends before this time leaves no record,
# so that the next one counts a whole lease.
UNRENEWED_IN_TERM_S = 1.5
_NOTE_INTERVAL_S = 1.0


class UnresponsiveAgents:
    """Bounds on the ends of the leases of unresponsive agents.

    Called with the replica's lock held.
    """

    def __init__(self, *, replica: replica_module.Replica, lease_ms: int):
        self._replica = replica
        self._lease_ms = lease_ms
        self._bounds_s: dict[str, float] = {}
        self._noted_s = -math.inf
        # An agent in a snapshot may have responded and become unresponsive again since
        # its bound was set.
        replica.on_tables_replaced(self._bounds_s.clear)

    def observe_command(self, command: ttypes.Command) -> None:
        """Updates the bounds by an applied command."""
        unresponsive_agents = self._replica.tables.jobs.unresponsive_agents
        for agent in [
            a for a in self._bounds_s if a not in unresponsive_agents
        ]:
            # A later unresponsive period of the agent has a later bound.
            del self._bounds_s[agent]
        note = command.note_unresponsive
        if note is None:
            return
        bound_s = leases_module.latest_end_s(
            note.remaining_ms or self._lease_ms
        )
        for agent in unresponsive_agents.intersection(note.unresponsive):
            old_bound_s = self._bounds_s.get(agent, math.inf)
            self._bounds_s[agent] = min(old_bound_s, bound_s)

    def bound_s(self, agent: str) -> float:
        """Returns when an agent's lease has ended at the latest.

        The result is infinite for agents that are not recorded as unresponsive.
        """
        if agent not in self._replica.tables.jobs.unresponsive_agents:
            return math.inf
        return self._bounds_s.setdefault(
            agent, leases_module.latest_end_s(self._lease_ms)
        )

    def remaining_time_note(
        self, leases: leases_module.LeaseTable, *, now_s: float
    ) -> ttypes.NoteUnresponsive | None:
        """Returns a note of how long leases may still be live, if it is due.

        The note is for members that have restarted, which know that an agent is
        unresponsive but not since when. The leases are suspended first, as in
        `suspend_unresponsive`: if one were renewed before the note is committed, the
        note would bound it too early.

        Args:
            leases: The leases of this leader.
            now_s: The time now.
        """
        if now_s - self._noted_s < _NOTE_INTERVAL_S:
            return None
        agents = self._replica.tables.jobs.unresponsive_agents
        live = [agent for agent in agents if self.bound_s(agent) > now_s]
        suspended = _suspend_unrenewed(leases, live)
        if not suspended:
            return None
        self._noted_s = now_s
        end_s = max(
            min(leases.end_s(agent), self.bound_s(agent)) for agent in suspended
        )
        return _build_note(suspended, left_s=end_s - now_s)


def suspend_unresponsive(
    leases: leases_module.LeaseTable, jobs: job_tables.JobTables
) -> ttypes.NoteUnresponsive | None:
    """Suspends the unrenewed leases of agents with runs.

    Returns:
        The note that records these agents as unresponsive and how long their leases
        may still be live, or None.
    """
    agents = [
        a for a in jobs.runs_by_agent if a not in jobs.unresponsive_agents
    ]
    suspended = _suspend_unrenewed(leases, agents)
    if not suspended:
        return None
    logs.event(
        "agents_unresponsive", level="WARNING", agents=",".join(suspended)
    )
    end_s = max(leases.end_s(agent) for agent in suspended)
    return _build_note(suspended, left_s=end_s - clock.now_s())


def _suspend_unrenewed(
    leases: leases_module.LeaseTable, agents: Iterable[str]
) -> list[str]:
    return leases.suspend_unrenewed(
        agents,
        unrenewed_s=UNRENEWED_S,
        unrenewed_in_term_s=UNRENEWED_IN_TERM_S,
    )


def _build_note(agents: list[str], *, left_s: float) -> ttypes.NoteUnresponsive:
    return ttypes.NoteUnresponsive(
        unresponsive=sorted(agents),
        responsive=[],
        # Without a remaining time, the note stands for a whole lease.
        remaining_ms=max(1, math.ceil(left_s * 1000)),
    )
