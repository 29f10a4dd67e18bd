"""Handles reports of agents: records run ends and workers, and renews leases.

A lease is granted only to the newest incarnation of an agent, for its newest report,
while its worker responds and all of its lost runs have been recorded.
"""

from collections.abc import Callable
import threading

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_admission import (
    begun_jobs as begun_jobs_module,
)
from marigoldsill.coordination.job_admission import (
    begun_runs as begun_runs_module,
)
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.coordination.leadership import (
    late_start_bounds as bounds_module,
)
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# Maximum wait for the record of a suspension. An agent waits 1 s for its reply.
_RECORD_WAIT_S = 0.8


class ReportHandler:
    """Handles reports of agents while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        agents: agents_module.Agents,
        leases: leases_module.LeaseTable,
        late_start_bounds: bounds_module.LateStartBounds,
        begun_jobs: begun_jobs_module.BegunJobs,
        begun_runs: begun_runs_module.BegunRuns,
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
            late_start_bounds: Runs that may be alive after these leases.
            begun_jobs: The jobs that have begun.
            begun_runs: The live runs that have begun.
            orders: The orders of this term.
            lease_ms: The duration of a lease.
            propose: Proposes a command; its body is passed by the name of its field.
            on_change: Called when the scheduler may have something to decide.
        """
        self._replica = replica
        self._agents = agents
        self._leases = leases
        self._late_start_bounds = late_start_bounds
        self._begun_jobs = begun_jobs
        self._begun_runs = begun_runs
        self._orders = orders
        self._lease_ms = lease_ms
        self._propose = propose
        self._on_change = on_change
        # The first incarnation of each agent that reported to this process, or the last
        # one for which all that earlier ones reported is applied.
        self._settled_incarnations: dict[str, int] = {}
        self._lock = threading.Lock()
        self._agent_locks_term = 0
        self._agent_locks: dict[str, threading.Lock] = {}

    def handle(self, report: ttypes.AgentReport) -> ttypes.AgentReply:
        """Records a report, and grants the agent a lease if that is allowed."""
        reply = ttypes.AgentReply(term=self._replica.term)
        with self._agent_lock(report.agent, reply.term):
            if not self._record(report, reply):
                return reply
        view = self._agents.get(report.agent)
        reply.resend_worker = view is not None and view.worker is None
        if not report.worker_silent and not reply.resend_worker:
            self._record_responsive(report.agent, report.incarnation)
            self._grant_lease(report.agent, reply)
        if report.worker is not None:
            self._on_change()
        return reply

    def _agent_lock(self, agent: str, term: int) -> threading.Lock:
        """Returns the lock for recording an agent's reports.

        It is held from the check that no later incarnation has reported until the ends
        are applied or their outcome is unknown. It is another one in each term, as
        ends are proposed only in the term of their report.
        """
        with self._lock:
            if term > self._agent_locks_term:
                self._agent_locks_term, self._agent_locks = term, {}
            return self._agent_locks.setdefault(agent, threading.Lock())

    def _record(
        self, report: ttypes.AgentReport, reply: ttypes.AgentReply
    ) -> bool:
        """Records a report; returns False if it allows no lease."""
        reply.replaced_by = self._agents.find_newer_incarnation(report)
        if reply.replaced_by:
            return False
        self._settled_incarnations.setdefault(report.agent, report.incarnation)
        are_ends_recorded = self._record_ends(report, reply.term)
        with self._replica.lock:
            if not self._leads_in(reply.term):
                return False
            reply.ends_recorded = are_ends_recorded
            reply.orders_version = self._orders.version(report.agent)
            now_s = clock.now_s()
            if not self._agents.record_report(report, now_s=now_s):
                return False
            self._late_start_bounds.record_report(report, now_s=now_s)
            self._begun_jobs.record_listed(
                self._replica.tables.jobs, report.running or ()
            )
            self._begun_runs.record_report(self._replica.tables.jobs, report)
        return True

    def _record_ends(self, report: ttypes.AgentReport, term: int) -> bool:
        """Records the ends in a report; returns False if they have to be sent again.

        A later process of the agent may already have started a run whose end an earlier
        one reports late. If so, it got its lease from this leader in this term, or in a
        term before, when the earlier process did not know this term.
        """
        if not report.ends:
            return True
        if report.known_term not in (0, term):
            return False
        with self._replica.lock:
            self._begun_runs.complete_ends(report.agent, report.ends)
        self._propose(
            term=term, record_run_ends=ttypes.RecordRunEnds(ends=report.ends)
        )
        return True

    def _record_responsive(self, agent: str, incarnation: int) -> None:
        """Records that an agent reports again, after which it may get a lease.

        This is also recorded of a new incarnation of the agent. Ends that an earlier
        one reported are applied before, so the new one starts none of these runs.
        """
        with self._replica.lock:
            is_unresponsive = (
                agent in self._replica.tables.jobs.unresponsive_agents
            )
            suspension = self._leases.suspension_number(agent)
            has_runs = agent in self._replica.tables.jobs.runs_by_agent
        is_settled = self._settled_incarnations[agent] == incarnation
        if self._leases.is_closed(agent) and has_runs:
            return
        if is_settled and not is_unresponsive and not suspension:
            return
        # If the record of the suspension came after the one below, it would bound the
        # lease that is renewed then.
        if not self._leases.wait_until_recorded(
            suspension, timeout_s=_RECORD_WAIT_S
        ):
            return
        self._propose(
            note_unresponsive=ttypes.NoteUnresponsive(
                unresponsive=[], responsive=[agent]
            )
        )
        self._settled_incarnations[agent] = incarnation
        # Has no effect if the agent was recorded as unresponsive again since then.
        self._leases.resume(agent, suspension_number=suspension)
        if is_unresponsive or suspension:
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
                if not self._leases.renew(agent, lease_ms=self._lease_ms):
                    return
            reply.lease_ms = self._lease_ms
            reply.orders_version = self._orders.version(agent)

    def _leads_in(self, term: int) -> bool:
        """Whether this process leads in a term, and the orders are those of it."""
        return (
            self._replica.is_leader
            and self._replica.term == term
            and self._orders.term == term
        )
