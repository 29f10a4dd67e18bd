"""Updates free capacity by changes of reports, runs, leases, health and evacuations."""

from collections.abc import Iterable
from collections.abc import Set
import functools

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import trials
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.state import job_tables
from marigoldsill.state import tables as tables_module

# Interval of the check for expired leases of workers without runs, which no other change
# shows. A grant also checks the lease.
_LEASE_CHECK_INTERVAL_S = 1.0


class WorkerRefresher:
    """Refreshes the free capacity of workers that changed.

    Called with the replica's lock held.
    """

    def __init__(
        self,
        *,
        agents: agents_module.Agents,
        leases: leases_module.LeaseTable,
        health: worker_health.WorkerHealth,
        placement: placement_module.Placement,
    ):
        """Initializes the refresher with all agents marked as stale.

        Args:
            agents: The agents that reported in this term.
            leases: The leases that this leader granted.
            health: Decides which workers are healthy enough for new runs.
            placement: Holds the free capacity of all workers.
        """
        self._agents = agents
        self._leases = leases
        self._health = health
        self._placement = placement
        self._ineligible: set[str] = set()
        self._stale: set[str] = {view.name for view in agents.all()}
        self._leases_checked_s = 0.0
        self._evacuated: frozenset[str] = frozenset()

    def mark_stale(self, agents: Iterable[str]) -> None:
        """Marks agents whose workers have to be refreshed in the next round."""
        self._stale.update(agents)

    def refresh(self, tables: tables_module.Tables, *, now_s: float) -> None:
        """Refreshes agents that are stale, or whose worker was not eligible."""
        jobs = tables.jobs
        self._update_evacuations(tables.evacuated_data_centres)
        if now_s - self._leases_checked_s >= _LEASE_CHECK_INTERVAL_S:
            self._leases_checked_s = now_s
            workers = self._placement.index.workers
            self._stale.update(workers.keys() - self._leases.live_agents())
        self._stale.update(self._placement.due_agents(now_s=now_s))
        stale, self._stale = self._stale | self._ineligible, set()
        for name in sorted(stale):
            view = self._agents.get(name)
            if view is None:
                continue
            is_usable = self._is_usable(view, now_s)
            is_eligible = is_usable and self._is_healthy(jobs, view)
            if is_eligible:
                self._ineligible.discard(name)
            else:
                self._ineligible.add(name)
            self._placement.refresh(
                jobs,
                view,
                is_eligible=is_eligible,
                is_withheld=is_usable and not is_eligible,
                now_s=now_s,
            )

    def _update_evacuations(self, evacuated: Set[str]) -> None:
        changed = self._evacuated ^ evacuated
        if not changed:
            return
        self._evacuated = frozenset(evacuated)
        self._stale.update(
            view.name
            for view in self._agents.all()
            if view.worker is not None and view.worker.data_centre in changed
        )

    def _is_usable(self, view: agents_module.AgentView, now_s: float) -> bool:
        """Whether an agent's worker may be given tasks if it is healthy."""
        if view.worker is None or view.is_worker_unresponsive:
            return False
        if now_s < view.starts_refused_until_s:
            return False
        if view.worker.data_centre in self._evacuated:
            return False
        return self._leases.is_live(view.name)

    def _is_healthy(
        self, jobs: job_tables.JobTables, view: agents_module.AgentView
    ) -> bool:
        return self._health.may_start_run(
            view.worker.worker_id,
            count_runs=functools.partial(
                trials.count_conclusive_runs, jobs, view, self._health
            ),
        )
