"""Handles reports of agents: records run ends and workers, and renews leases.

A lease is granted only to the newest incarnation of an agent, for its newest report,
while its worker responds and all of its lost runs have been recorded.
"""

from collections.abc import Callable

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


class ReportHandler:
    """Handles reports of agents while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        agents: agents_module.Agents,
        leases: leases_module.LeaseTable,
        orders: orders_module.Orders,
        lease_ms: int,
        propose: Callable[..., ttypes.CommandResult],
        on_change: Callable[[], None],
    ):
        """Initializes the handler.

        Args:
            replica: The replicated state.
            agents: The agents that reported in this term.
            leases: The leases that this leader granted.
            orders: The orders of this term.
            lease_ms: The duration of a lease.
            propose: Proposes a command; its body is passed by the name of its field.
            on_change: Called when the scheduler may have something to decide.
        """
        self._replica = replica
        self._agents = agents
        self._leases = leases
        self._orders = orders
        self._lease_ms = lease_ms
        self._propose = propose
        self._on_change = on_change

    def handle(self, report: ttypes.AgentReport) -> ttypes.AgentReply:
        """Records a report, and grants the agent a lease if that is allowed."""
        reply = ttypes.AgentReply(term=self._replica.term)
        reply.replaced_by = self._agents.find_newer_incarnation(report)
        if reply.replaced_by:
            return reply
        if report.ends:
            self._propose(
                record_run_ends=ttypes.RecordRunEnds(ends=report.ends)
            )
        with self._replica.lock:
            if not self._leads_in(reply.term):
                return reply
            reply.ends_recorded = True
            reply.orders_version = self._orders.version(report.agent)
        if not self._agents.record_report(report, now_s=clock.now_s()):
            return reply
        view = self._agents.get(report.agent)
        reply.resend_worker = view is not None and view.worker is None
        if not report.worker_silent and not reply.resend_worker:
            self._record_responsive(report.agent)
            self._grant_lease(report.agent, reply)
        if report.worker is not None:
            self._on_change()
        return reply

    def _record_responsive(self, agent: str) -> None:
        """Records that an agent reports again, after which it may get a lease."""
        with self._replica.lock:
            is_unresponsive = (
                agent in self._replica.tables.jobs.unresponsive_agents
            )
            suspension = self._leases.suspension_number(agent)
        if self._leases.is_closed(agent) or not (is_unresponsive or suspension):
            return
        self._propose(
            note_unresponsive=ttypes.NoteUnresponsive(
                unresponsive=[], responsive=[agent]
            )
        )
        # Has no effect if the agent was recorded as unresponsive again since then.
        self._leases.resume(agent, suspension_number=suspension)
        logs.event("agent_responsive", agent=agent)

    def _grant_lease(self, agent: str, reply: ttypes.AgentReply) -> None:
        """Grants a lease in a reply; an expired one only if no runs are recorded."""
        with self._replica.lock:
            if not self._leads_in(reply.term):
                return
            if not self._leases.renew(agent, lease_ms=self._lease_ms):
                if self._replica.tables.jobs.runs_by_agent.get(agent):
                    return
                self._leases.reopen(agent)
                self._leases.renew(agent, lease_ms=self._lease_ms)
            reply.lease_ms = self._lease_ms
            reply.orders_version = self._orders.version(agent)

    def _leads_in(self, term: int) -> bool:
        """Whether this process leads in a term, and the orders are those of it."""
        return (
            self._replica.is_leader
            and self._replica.term == term
            and self._orders.term == term
        )
