"""Starts steps that have no other worker on workers that recently failed runs.

A worker on probation gets one run at a time, and one in quarantine none. That keeps tasks
from a worker that would fail them, but a task, or a gang, may fit nowhere else. A step
that has waited too long may therefore start beside the run that probes a worker, and a
gang with all its members. Such trials of one worker are spaced out in time.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import (
    candidates as candidates_module,
)
from marigoldsill.coordination.job_placing import capacity_index
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import gangs
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import scoring
from marigoldsill.coordination.job_placing import worker_choice
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# A start of one task of a step, and its worker.
Choice = tuple[int, free_capacity.FreeCapacity]


class Waits:
    """Since when nothing of each waiting step could start; used by one thread."""

    def __init__(self):
        self._since_s: dict[task_names.StepKey, float] = {}

    def begin_round(
        self, steps: Iterable[backlog_module.WaitingStep], *, now_s: float
    ) -> None:
        """Updates the waits to the steps of a round."""
        since_s = self._since_s
        self._since_s = {
            step.key: since_s.get(step.key, now_s) for step in steps
        }

    def record_start(self, key: task_names.StepKey, *, now_s: float) -> None:
        """Begins the wait of a step anew, as one of its tasks starts."""
        self._since_s[key] = now_s

    def wait_s(self, key: task_names.StepKey, *, now_s: float) -> float:
        """Returns how long a step of the round has waited."""
        return now_s - self._since_s[key]


class Trials:
    """Workers that their health excludes from usual starts; used by one thread."""

    def __init__(
        self,
        *,
        health: worker_health.WorkerHealth,
        index: capacity_index.CapacityIndex,
        interference: interference_model.InterferenceModel,
        chooser: worker_choice.WorkerChooser,
    ):
        """Initializes it without workers.

        Args:
            health: Tells which workers may be tried.
            index: Workers on which tasks may start.
            interference: The learnt interference between images.
            chooser: Knows which workers a step may use.
        """
        self._health = health
        self._index = index
        self._interference = interference
        self._chooser = chooser
        self._on_probation: dict[str, free_capacity.FreeCapacity] = {}
        self._quarantined: dict[str, free_capacity.FreeCapacity] = {}
        # Of these in a round: the ones to try now, and the ones nobody wants yet.
        self._due: dict[str, free_capacity.FreeCapacity] = {}
        self._unwanted: dict[str, free_capacity.FreeCapacity] = {}
        self._wanted: set[str] = set()

    def begin_round(self) -> None:
        """Determines the workers that may be tried in a round."""
        self._due = {
            agent: free
            for agent, free in self._on_probation.items()
            if self._health.may_try_run(free.worker.worker_id)
        }
        self._unwanted = dict(self._quarantined)

    @property
    def has_workers(self) -> bool:
        """Whether a step could find a worker to try, now or later."""
        return bool(self._due or self._unwanted)

    @property
    def due_workers(self) -> dict[str, free_capacity.FreeCapacity]:
        """The workers, by agent, that may be tried in this round."""
        return dict(self._due)

    def put(self, free: free_capacity.FreeCapacity) -> None:
        """Adds a worker if it is on probation or in quarantine."""
        self.discard(free.agent)
        worker_id = free.worker.worker_id
        if self._health.is_quarantined(worker_id):
            self._quarantined[free.agent] = free
        elif self._health.is_on_probation(worker_id):
            self._on_probation[free.agent] = dataclasses.replace(
                free.copy(), starts_limit=None
            )

    def discard(self, agent: str) -> None:
        """Removes a worker until it is put again."""
        self._on_probation.pop(agent, None)
        self._quarantined.pop(agent, None)
        self._due.pop(agent, None)

    def take_wanted(self) -> set[str]:
        """Returns and forgets the quarantined workers that steps wait for."""
        wanted, self._wanted = self._wanted, set()
        return wanted

    def choose(
        self,
        waiting: backlog_module.WaitingStep,
        *,
        ignores_limits: bool,
        now_s: float,
    ) -> list[Choice]:
        """Returns starts for a step that has no other worker; none if there is none.

        Without any, quarantined workers that it could use are wanted.

        Args:
            waiting: The step.
            ignores_limits: Whether interference does not limit where it starts.
            now_s: The time of the round.
        """
        chosen: list[Choice] = []
        if self._due and waiting.step.gang:
            chosen = self._choose_for_gang(waiting, now_s)
        elif self._due:
            chosen = self._choose_for_task(waiting, ignores_limits, now_s)
        if not chosen:
            self._want(waiting, now_s)
        return chosen

    def _choose_for_task(
        self,
        waiting: backlog_module.WaitingStep,
        ignores_limits: bool,
        now_s: float,
    ) -> list[Choice]:
        index = self._chooser.find_not_isolated(waiting, now_s)
        if index is None:
            return []
        step, pool = waiting.step, waiting.queue.pool
        scorer = (
            scoring.score_without_limits
            if ignores_limits
            else scoring.score_within_limits
        )
        candidates = candidates_module.Candidates(
            lambda free: scorer(free, step, pool, self._interference)
        )
        for free in self._due.values():
            candidates.update(free, self._index.ordinal(free.agent))
        free = self._chooser.choose(
            waiting, index, candidates, now_s, may_spread=False
        )
        return [] if free is None else [(index, self._resolve(free.agent))]

    def _choose_for_gang(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> list[Choice]:
        agents = gangs.choose_agents(
            waiting,
            chooser=self._chooser,
            index=self._index,
            fallback=self._due,
            interference=self._interference,
            now_s=now_s,
        )
        return [
            (index, self._resolve(agent)) for index, agent in enumerate(agents)
        ]

    def _resolve(self, agent: str) -> free_capacity.FreeCapacity:
        """Returns the record of a worker on which its starts are reserved."""
        return self._index.workers.get(agent) or self._due[agent]

    def _want(self, waiting: backlog_module.WaitingStep, now_s: float) -> None:
        step, pool = waiting.step, waiting.queue.pool
        # Tickets are requested once the worker is on probation.
        accepts = self._chooser.acceptance_for(
            waiting, now_s, needs_ticket=False
        )
        for agent, free in list(self._unwanted.items()):
            if free.admits(step, pool) and accepts(free):
                self._wanted.add(free.worker.worker_id)
                del self._unwanted[agent]


def count_conclusive_runs(
    jobs: job_tables.JobTables,
    view: agents_module.AgentView,
    health: worker_health.WorkerHealth,
) -> int:
    """Counts the runs on a worker that will show whether it is healthy.

    These were granted while it was on probation. Long-running tasks never end, and tasks
    throttled to 0 make no progress. If they counted, a worker on probation would never
    get another run, while long-running tasks wait for its capacity.
    """
    return sum(
        health.is_probe(key)
        and _is_conclusive(jobs.step_of(key[0]), view.samples.get(key))
        for key in jobs.runs_by_agent.get(view.name, ())
    )


def _is_conclusive(
    step: ttypes.Step | None, sample: ttypes.RunSample | None
) -> bool:
    if step is None or step.long_running:
        return False
    return sample is None or sample.quota_percent > 0
