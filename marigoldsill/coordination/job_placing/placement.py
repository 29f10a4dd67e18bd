"""Chooses workers for waiting tasks, at a cost proportional to what changed.

Tasks with equal requirements share one heap of candidates. A worker is scored again
only after it changed, so tasks that do not fit cost nothing until a change could make
them fit.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from marigoldsill.coordination.job_locality import locality as locality_module
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import (
    candidates as candidates_module,
)
from marigoldsill.coordination.job_placing import capacity_index
from marigoldsill.coordination.job_placing import crash_isolation
from marigoldsill.coordination.job_placing import (
    exploration as exploration_module,
)
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import gangs
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import step_placement
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import trials as trials_module
from marigoldsill.coordination.job_placing import worker_choice
from marigoldsill.coordination.learning import worker_health
from marigoldsill.coordination.learning import worker_restarts
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Maximum number of grants in one round, which bounds the size of a command.
_GRANTS_LIMIT = 300
_DEFAULT_LOCALITY = locality_settings.LocalitySettings()


class Placement:
    """Places tasks in one term; used by one thread.

    Attributes:
        index: Workers on which tasks may start.
    """

    def __init__(
        self,
        *,
        interference: interference_model.InterferenceModel,
        health: worker_health.WorkerHealth,
        tickets: tickets_module.Tickets,
        is_live: Callable[[str], bool] = lambda agent: True,
        admits: Callable[[str, backlog_module.WaitingStep], bool] = (
            lambda agent, waiting: True
        ),
        locality: locality_settings.LocalitySettings = _DEFAULT_LOCALITY,
        predict_run_ms: Callable[[str, float], float] = (
            lambda queue, estimated_ms: estimated_ms
        ),
    ):
        """Creates a placement without workers.

        Args:
            interference: The learnt interference between images.
            health: The workers on which tasks failed.
            tickets: The adviser's tickets.
            is_live: Whether an agent's lease is live and was renewed recently; checked
                before each grant.
            admits: Whether a step may use an agent's worker, as its capacity is
                not promised to others.
            locality: Whether tasks wait for racks and workers are filled step by
                step.
            predict_run_ms: Predicts a run time from a queue and an estimate.
        """
        self.index = capacity_index.CapacityIndex(
            interleaves_racks=locality.spreads_racks
        )
        self._locality = locality_module.Locality(
            settings=locality,
            workers=self.index.workers.values,
            workers_of=self.index.rack_workers,
            predict_run_ms=predict_run_ms,
        )
        self._interference = interference
        self._health = health
        exploration = exploration_module.Exploration(interference)
        self._candidate_cache = candidates_module.CandidateCache(
            self.index, interference
        )
        self._restarts = worker_restarts.WorkerRestarts()
        self._isolation = crash_isolation.CrashIsolation(
            restarts=self._restarts
        )
        self._chooser = worker_choice.WorkerChooser(
            index=self.index,
            interference=interference,
            health=health,
            tickets=tickets,
            isolation=self._isolation,
            exploration=exploration,
            is_live=is_live,
            admits=admits,
            spread=self._locality.spread,
        )
        self._pending = agents_module.PendingGrants()
        self._gang_selector = gangs.GangSelector()
        self._waits = trials_module.Waits()
        self._trials = trials_module.Trials(
            health=health,
            index=self.index,
            interference=interference,
            chooser=self._chooser,
        )
        self._step_placement = step_placement.StepPlacement(
            index=self.index,
            interference=interference,
            candidate_cache=self._candidate_cache,
            chooser=self._chooser,
            isolation=self._isolation,
            exploration=exploration,
            locality=self._locality,
            trials=self._trials,
            waits=self._waits,
        )

    def refresh(
        self,
        jobs: job_tables.JobTables,
        view: agents_module.AgentView,
        *,
        is_eligible: bool,
        is_withheld: bool = False,
        now_s: float = 0.0,
    ) -> None:
        """Recomputes the free capacity of one agent's worker.

        Args:
            jobs: The jobs, with the runs that may be alive.
            view: The agent.
            is_eligible: Whether tasks may start on its worker.
            is_withheld: Whether only the health of its worker excludes that.
            now_s: The time of the round.
        """
        self._trials.discard(view.name)
        if not is_eligible or view.worker is None:
            self._locality.observe_absence(view.name, now_s=now_s)
            self.index.remove(view.name)
            if is_withheld:
                self._trials.put(self._compute_free(jobs, view, now_s))
            return
        self._restarts.observe(view.name, view.worker.worker_id, now_s=now_s)
        free = self._compute_free(jobs, view, now_s)
        if self._health.is_on_probation(view.worker.worker_id):
            # One run shows whether the worker is healthy.
            free.starts_limit = 1
            self._trials.put(free)
        free.ramp_starts_left = self._locality.observe_worker(
            view.name, view.worker, now_s=now_s
        )
        self.index.put(free)

    def _compute_free(
        self,
        jobs: job_tables.JobTables,
        view: agents_module.AgentView,
        now_s: float,
    ) -> free_capacity.FreeCapacity:
        pending = self._pending.of_agent(view.name)
        free = free_capacity.compute_for_agent(
            jobs, view, self._interference, pending=pending
        )
        if self._locality.awaits_racks:
            before = self.index.workers.get(view.name)
            free.expected_ends = free_capacity.expect_run_ends(
                jobs,
                view,
                pending=pending,
                before={} if before is None else before.expected_ends,
                predict_run_s=self._locality.affinity.predict_run_s,
                now_s=now_s,
            )
        return free

    def take_wanted(self) -> set[str]:
        """Returns, once, the quarantined workers that steps without another need."""
        return self._trials.take_wanted()

    def workers_to_advise(self) -> list[free_capacity.FreeCapacity]:
        """Returns the workers for which a waiting step may need a ticket."""
        return list((self._trials.due_workers | self.index.workers).values())

    def due_agents(self, *, now_s: float) -> list[str]:
        """Returns agents to refresh, as their workers may take more tasks by now."""
        return self._locality.due_agents(now_s=now_s)

    def place(
        self, steps: Sequence[backlog_module.WaitingStep], *, now_s: float
    ) -> list[ttypes.RunGrant]:
        """Returns grants for waiting tasks, in order, as far as they fit.

        Their resources stay reserved until `update_pending_grants` is called.
        """
        self._isolation.begin_round(
            suspects_count=sum(waiting.suspects_count for waiting in steps),
            workers_count=len(self.index.workers),
            now_s=now_s,
        )
        self._waits.begin_round(steps, now_s=now_s)
        self._trials.begin_round()
        gang_keys = self._gang_selector.choose(
            step.key for step in steps if step.step.gang
        )
        grants: list[ttypes.RunGrant] = []
        for waiting in steps:
            if len(grants) >= _GRANTS_LIMIT:
                break
            if waiting.step.gang and waiting.key not in gang_keys:
                continue
            grants += self._step_placement.place(waiting, now_s)
        self._candidate_cache.end_round()
        self._locality.end_round(now_s=now_s)
        return grants

    def update_pending_grants(
        self, grants: Iterable[ttypes.RunGrant], *, is_decided: bool
    ) -> set[str]:
        """Records whether the outcome of some grants is known.

        Args:
            grants: Grants that `place` returned.
            is_decided: Whether they have been applied or never will be. Until then
                their resources stay reserved.

        Returns:
            The agents to refresh.
        """
        return self._pending.update(grants, is_decided=is_decided)

    def find_other_worker(
        self,
        key: task_names.StepKey,
        step: ttypes.Step,
        pool: str,
        *,
        agent: str,
        now_s: float,
    ) -> free_capacity.FreeCapacity | None:
        """Returns the best worker for a running task, other than its current one.

        Args:
            key: The step of the task.
            step: The requirements of the task.
            pool: The pool of the step's queue.
            agent: The agent of its current worker.
            now_s: The time of the round.
        """
        candidates = self._candidate_cache.get_candidates(step, pool)
        return self._chooser.find_other(
            key, step, candidates, agent=agent, now_s=now_s
        )

    def accepts(
        self,
        waiting: backlog_module.WaitingStep,
        free: free_capacity.FreeCapacity,
        *,
        now_s: float,
    ) -> bool:
        """Returns whether a step may start on a worker, apart from its capacity."""
        return self._chooser.acceptance_for(waiting, now_s)(free)

    def reserve(
        self,
        free: free_capacity.FreeCapacity,
        key: task_names.StepKey,
        step: ttypes.Step,
    ) -> None:
        """Reserves the resources of one task until its worker is refreshed."""
        self._step_placement.reserve(free, key, step)
