"""Records runs as lost once the lease of their agent has expired."""

from collections.abc import Mapping
import math

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.jobs import unresponsive_agents
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.transport import logs

_INTERVAL_S = 0.1


class LeaseMonitor:
    """Checks the leases of agents at intervals while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        service: service_module.JobService,
    ):
        self._replica = replica
        self._service = service
        self._checked_s = -math.inf
        self._awaited_agents: set[str] = set()

    def check(self, *, now_s: float) -> None:
        """Records unresponsive agents, and runs whose lease has expired as lost.

        Raises:
            NotLeader: Another process leads; nothing was done.
            NoQuorum: No majority answers; nothing was done.
            UnknownOutcomeError: The records may still be committed.
        """
        if now_s - self._checked_s < _INTERVAL_S:
            return
        self._checked_s = now_s
        with self._replica.lock:
            term = self._service.led_term
            jobs = self._replica.tables.jobs
            note = unresponsive_agents.suspend_unresponsive(
                self._service.leases, jobs
            )
            if note is None:
                note = self._service.unresponsive_agents.remaining_time_note(
                    self._service.leases, now_s=now_s
                )
            lost = self._lost_runs(now_s)
        if note is not None:
            self._propose_note(note, term)
        if not lost:
            return
        logs.event(
            "runs_lost", level="WARNING", term=term, runs_count=len(lost)
        )
        self._service.propose(
            record_run_ends=ttypes.RecordRunEnds(ends=lost, decided_term=term)
        )

    def _propose_note(self, note: ttypes.NoteUnresponsive, term: int) -> None:
        """Proposes a note in its own term only, as a later leader renews leases."""
        try:
            self._service.propose(term=term, note_unresponsive=note)
        finally:
            self._service.leases.confirm_suspensions_recorded()

    def _lost_runs(self, now_s: float) -> list[ttypes.RunEnd]:
        """The ends of all runs that are over as their agent's lease has expired."""
        lost = []
        awaited = set()
        leases = self._service.leases
        for agent, runs in self._replica.tables.jobs.runs_by_agent.items():
            bound_s = self._service.unresponsive_agents.bound_s(agent)
            if not leases.has_expired(agent, bound_s=bound_s):
                continue
            over = self._runs_over(agent, runs, now_s)
            if len(over) < len(runs):
                awaited.add(agent)
            # As long as no loss is recorded, the agent may continue its runs.
            if over and leases.close_if_expired(agent, bound_s=bound_s):
                lost += [_lost(agent, key) for key in over]
        self._log_awaited(awaited)
        return lost

    def _runs_over(
        self,
        agent: str,
        runs: Mapping[task_names.RunKey, job_tables.LiveRun],
        now_s: float,
    ) -> list[task_names.RunKey]:
        """Returns the runs of an expired lease that no late call may begin."""
        bounds = self._service.late_start_bounds
        return [
            key
            for key, live in runs.items()
            if not bounds.may_be_alive(agent, live, now_s=now_s)
        ]

    def _log_awaited(self, awaited: set[str]) -> None:
        """Logs agents some of whose runs may be alive after their lease."""
        for agent in sorted(awaited - self._awaited_agents):
            logs.event("late_starts_awaited", level="WARNING", agent=agent)
        self._awaited_agents = awaited


def _lost(agent: str, key: task_names.RunKey) -> ttypes.RunEnd:
    task, run = key
    return ttypes.RunEnd(
        task=task,
        run=run,
        kind=ttypes.RunEndKind.LOST,
        detail=f"the lease of {agent} ran out",
    )
