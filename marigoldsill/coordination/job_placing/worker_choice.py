"""Chooses the worker of one task among candidates that its class allows.

The task class covers what a step requires. The conditions here depend on the single task
or on the moment: leases, tickets, spread limits, workers on which the task failed, crash
suspects, and pairs of images that are tried on one worker first.
"""

from collections.abc import Callable
from collections.abc import Set

from marigoldsill.coordination.job_locality import rack_spread
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
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import scoring
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state.run_outcomes import crash_attribution

# Maximum number of almost equally suited workers to choose from. They stand in as many
# racks where racks are equally loaded.
_SIMILAR_LIMIT = 16


class WorkerChooser:
    """Chooses workers for single tasks; used by one thread."""

    def __init__(
        self,
        *,
        index: capacity_index.CapacityIndex,
        interference: interference_model.InterferenceModel,
        health: worker_health.WorkerHealth,
        tickets: tickets_module.Tickets,
        isolation: crash_isolation.CrashIsolation,
        exploration: exploration_module.Exploration,
        is_live: Callable[[str], bool],
        admits: Callable[[str, backlog_module.WaitingStep], bool],
        spread: rack_spread.RackSpread | None = None,
    ):
        """Initializes the chooser.

        Args:
            index: Workers on which tasks may start.
            interference: The learnt interference between images.
            health: The workers on which tasks failed.
            tickets: The adviser's tickets.
            isolation: The workers reserved for crash suspects.
            exploration: The trials of pairs of images.
            is_live: Whether an agent's lease is live and was renewed recently.
            admits: Whether a step may use an agent's worker, as its capacity is
                not promised to others.
            spread: Chooses among almost equally suited workers; None for the best.
        """
        self._index = index
        self._interference = interference
        self._health = health
        self._tickets = tickets
        self._isolation = isolation
        self._exploration = exploration
        self._is_live = is_live
        self._admits = admits
        self._spread = spread

    def find_other(
        self,
        key: task_names.StepKey,
        step: ttypes.Step,
        candidates: candidates_module.Candidates,
        *,
        agent: str,
        now_s: float,
    ) -> free_capacity.FreeCapacity | None:
        """Returns the best worker for a running task, other than its current one."""
        return candidates.find_best(
            lambda free: (
                free.agent != agent
                and free.is_within_spread_limit(key, step)
                and self._isolation.admits(free.agent)
                and self._is_live(free.agent)
                and self._exploration.allows(free, step, now_s=now_s)
            )
        )

    def is_isolated(
        self, waiting: backlog_module.WaitingStep, index: int, now_s: float
    ) -> bool:
        """Returns whether a task is a suspect that may start only in isolation."""
        task = waiting.tasks[index]
        if not crash_attribution.is_suspect(task):
            return False
        name = waiting.task_name(index)
        return not self._isolation.is_overdue(name, task, now_s=now_s)

    def choose_for_suspect(
        self, waiting: backlog_module.WaitingStep, index: int, now_s: float
    ) -> free_capacity.FreeCapacity | None:
        """Returns a worker reserved for suspects where a task may start, or None."""
        is_acceptable = self.acceptance_for(
            waiting, now_s, allows_reserved=True
        )
        step, pool = waiting.step, waiting.queue.pool
        avoided = self._lost_agents_to_avoid(waiting, index)

        def accepts(free: free_capacity.FreeCapacity) -> bool:
            if free.agent in avoided:
                return False
            score = scoring.score_within_limits(
                free, step, pool, self._interference
            )
            return score is not None and is_acceptable(free)

        return self._isolation.choose(
            waiting.tasks[index],
            self._index.workers,
            accepts,
            now_s=now_s,
        )

    def choose(
        self,
        waiting: backlog_module.WaitingStep,
        index: int,
        candidates: candidates_module.Candidates,
        now_s: float,
        *,
        may_spread: bool = True,
    ) -> free_capacity.FreeCapacity | None:
        """Returns the best worker for a task, if possible one where it has not failed.

        Args:
            waiting: The step of the task.
            index: The index of the task.
            candidates: The workers for its class.
            now_s: The time of the round.
            may_spread: Whether an almost equally suited worker may be returned; all
                candidates have to be in the index then.
        """
        is_acceptable = self.acceptance_of_task(waiting, index, now_s)

        def accepts(free: free_capacity.FreeCapacity) -> bool:
            return is_acceptable(free) and self._exploration.allows(
                free, waiting.step, now_s=now_s
            )

        failed_ids = self._failed_ids(waiting, index)
        lost_agents = crash_attribution.early_loss_agents(waiting.tasks[index])
        if failed_ids or lost_agents:
            other = candidates.find_best(
                _excluding(accepts, failed_ids, lost_agents)
            )
            if other is not None:
                return other
        may_spread = may_spread and rack_spread.may_be_spread(waiting.step)
        if self._spread is None or not may_spread:
            return candidates.find_best(accepts)
        similar = candidates.find_similar(
            accepts,
            limit=_SIMILAR_LIMIT,
            tolerance_of=lambda best: _tolerance(waiting.step, best),
        )
        if not similar:
            return None
        position = self._spread.choose(waiting.key, waiting.step, similar)
        return similar[position]

    def prefers(
        self, waiting: backlog_module.WaitingStep, index: int, now_s: float
    ) -> Callable[[free_capacity.FreeCapacity], bool]:
        """Returns whether a task may use a worker, and has neither failed nor been lost there."""
        return _excluding(
            self.acceptance_for(waiting, now_s),
            self._failed_ids(waiting, index),
            crash_attribution.early_loss_agents(waiting.tasks[index]),
        )

    def find_not_isolated(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> int | None:
        """Returns the first task of a step that is not isolated, or None."""
        for index in waiting.waiting_indexes:
            if not self.is_isolated(waiting, index, now_s):
                return index
        return None

    def acceptance_of_task(
        self, waiting: backlog_module.WaitingStep, index: int, now_s: float
    ) -> Callable[[free_capacity.FreeCapacity], bool]:
        """Returns the conditions of a task that isolation does not delay."""
        is_acceptable = self.acceptance_for(waiting, now_s)
        task = waiting.tasks[index]

        def accepts(free: free_capacity.FreeCapacity) -> bool:
            return is_acceptable(free) and self._isolation.may_start_overdue(
                task, free.agent, now_s=now_s
            )

        return accepts

    def acceptance_for(
        self,
        waiting: backlog_module.WaitingStep,
        now_s: float,
        *,
        allows_reserved: bool = False,
        needs_ticket: bool = True,
    ) -> Callable[[free_capacity.FreeCapacity], bool]:
        """Returns the conditions of a step on a worker that its class does not cover.

        Args:
            waiting: The step.
            now_s: The time of the round.
            allows_reserved: Whether workers reserved for crash suspects are
                accepted.
            needs_ticket: Whether the adviser's ticket is required, if the queue has
                an adviser.
        """

        def accepts(free: free_capacity.FreeCapacity) -> bool:
            if not allows_reserved and not self._isolation.admits(free.agent):
                return False
            if not free.is_within_spread_limit(waiting.key, waiting.step):
                return False
            if not self._is_live(free.agent):
                return False
            if not self._admits(free.agent, waiting):
                return False
            if not (needs_ticket and waiting.queue.advised):
                return True
            worker_id = free.worker.worker_id
            return bool(
                self._tickets.find_ticket(waiting.key, worker_id, now_s=now_s)
            )

        return accepts

    def _lost_agents_to_avoid(
        self, waiting: backlog_module.WaitingStep, index: int
    ) -> Set[str]:
        """Returns the agents where a task was lost, if it could run elsewhere."""
        agents = crash_attribution.early_loss_agents(waiting.tasks[index])
        pool = waiting.queue.pool
        could_run_elsewhere = any(
            free.agent not in agents
            and free.worker.pool == pool
            and free.could_run(waiting.step)
            and self._is_live(free.agent)
            for free in self._index.workers.values()
        )
        return agents if could_run_elsewhere else frozenset()

    def _failed_ids(
        self, waiting: backlog_module.WaitingStep, index: int
    ) -> Set[str]:
        """Returns the workers on which a task has failed."""
        if not waiting.tasks[index].failures_count:
            return frozenset()
        return self._health.workers_to_avoid(waiting.task_name(index))


def _excluding(
    accepts: Callable[[free_capacity.FreeCapacity], bool],
    failed_ids: Set[str],
    lost_agents: Set[str],
) -> Callable[[free_capacity.FreeCapacity], bool]:
    """Returns a condition without workers where a task has failed or was lost."""
    return lambda free: (
        free.worker.worker_id not in failed_ids
        and free.agent not in lost_agents
        and accepts(free)
    )


def _tolerance(step: ttypes.Step, best: free_capacity.FreeCapacity) -> float:
    """Returns how much less idle a worker may be than the best one.

    It is the share that one task takes. The scores of best-effort tasks contain
    interference, which spreading must not increase.
    """
    if step.best_effort:
        return 0.0
    return step.resources.cpu_millicores / best.capacity_millicores
