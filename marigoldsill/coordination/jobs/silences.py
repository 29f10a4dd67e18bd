"""Agents that fell silent, noted in the log for the leaders to come.

A new leader knows nothing of renewals and would take every lease as live for a
whole lease, so tasks of a lost worker stayed away as long as leaders changed and
a lease more. Once a silence is in the log, nobody renews that lease before it has
recorded that the agent is heard again: it was renewed before the note was
proposed, and so before any process applied it.
"""

import math

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.transport import logs

# Longer than an agent takes to find another leader: its reports are 1 s apart,
# and one to a leader that is gone without a word is given up after 1 s.
SILENT_S = 2.5


class Silences:
    """Follows what the log says of silent agents; hold the replica's lock."""

    def __init__(self, *, replica: replica_module.Replica, lease_ms: int):
        self._replica = replica
        self._lease_ms = lease_ms
        self._bounds_s: dict[str, float] = {}
        # What came in a snapshot may have ended and begun anew meanwhile.
        replica.on_replaced(self._bounds_s.clear)

    def take(self, command: ttypes.Command) -> None:
        """Takes an applied command in."""
        silent_agents = self._replica.tables.jobs.silent_agents
        for agent in [a for a in self._bounds_s if a not in silent_agents]:
            # The next silence is another one, with a later bound.
            del self._bounds_s[agent]
        if command.note_silence is not None:
            for agent in silent_agents.intersection(
                command.note_silence.silent
            ):
                self.bound_s(agent)

    def bound_s(self, agent: str) -> float:
        """When a silent agent's lease is over; infinite if it is not silent."""
        if agent not in self._replica.tables.jobs.silent_agents:
            return math.inf
        return self._bounds_s.setdefault(
            agent, leases_module.end_of(self._lease_ms)
        )


def due(
    leases: leases_module.LeaseTable, jobs: job_tables.JobTables
) -> ttypes.NoteSilence | None:
    """Suspends leases of agents with runs that are not renewed; the note."""
    agents = [a for a in jobs.runs_by_agent if a not in jobs.silent_agents]
    silent = leases.suspend_unrenewed(agents, unrenewed_s=SILENT_S)
    if not silent:
        return None
    logs.event("agents_silent", level="WARNING", agents=",".join(silent))
    return ttypes.NoteSilence(silent=silent, heard=[])
