"""Chooses workers for the tasks of one step, under limits that relax as it waits."""

import math

from marigoldsill.coordination.job_locality import locality as locality_module
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
from marigoldsill.coordination.job_placing import rack_queue
from marigoldsill.coordination.job_placing import trials as trials_module
from marigoldsill.coordination.job_placing import worker_choice
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state.run_outcomes import crash_attribution

# A job without a running task for this long gets one regardless of interference: no
# job may be idle for 3 s while less than half of a pool is in use.
_IDLE_LIMIT_S = 2.0
# Such a start costs the users of the disturbed tasks about as much as it gains. While
# more than this share of a pool is reserved, which is that half plus a margin, a job
# therefore waits for about the run time of large jobs.
_FULL_POOL_SHARE = 0.6
_FULL_POOL_IDLE_LIMIT_S = 20.0


class StepPlacement:
    """Places the steps of a round one by one; used by one thread."""

    def __init__(
        self,
        *,
        index: capacity_index.CapacityIndex,
        interference: interference_model.InterferenceModel,
        candidate_cache: candidates_module.CandidateCache,
        chooser: worker_choice.WorkerChooser,
        isolation: crash_isolation.CrashIsolation,
        exploration: exploration_module.Exploration,
        locality: locality_module.Locality,
        trials: trials_module.Trials,
        waits: trials_module.Waits,
    ):
        """Initializes the placement.

        Args:
            index: Workers on which tasks may start.
            interference: The learnt interference between images.
            candidate_cache: The candidates of each class of tasks.
            chooser: Chooses workers for single tasks.
            isolation: The workers reserved for crash suspects.
            exploration: The trials of pairs of images.
            locality: Whether tasks wait for racks.
            trials: Workers on probation or in quarantine.
            waits: How long steps have waited for a start.
        """
        self._index = index
        self._interference = interference
        self._candidate_cache = candidate_cache
        self._chooser = chooser
        self._isolation = isolation
        self._exploration = exploration
        self._locality = locality
        self._rack_queue = rack_queue.RackQueue(
            index=index, chooser=chooser, affinity=locality.affinity
        )
        self._trials = trials
        self._waits = waits

    def place(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> list[ttypes.RunGrant]:
        """Returns grants for tasks of a step, as far as they fit.

        Args:
            waiting: The step.
            now_s: The time of the round.
        """
        if waiting.step.gang:
            granted = self._place_gang(waiting, now_s)
        else:
            granted = self._place_step(waiting, now_s)
            if not granted and self._is_idle_too_long(waiting, now_s):
                granted = self._place_ignoring_limits(waiting, now_s)
        if not granted and self._needs_trial(waiting, now_s):
            granted = self._place_on_trial(waiting, now_s)
        if granted:
            self._waits.record_start(waiting.key, now_s=now_s)
        return granted

    def reserve(
        self,
        free: free_capacity.FreeCapacity,
        key: task_names.StepKey,
        step: ttypes.Step,
    ) -> None:
        """Reserves the resources of one task until its worker is refreshed."""
        free.reserve(key, step, self._interference)
        self._index.record_change(free.agent)
        self._trials.discard(free.agent)

    def _needs_trial(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> bool:
        """Returns whether no healthy worker has taken a step for too long."""
        if not self._trials.has_workers:
            return False
        limit_s = _IDLE_LIMIT_S
        if not waiting.step.long_running:
            limit_s = max_idle_s(
                reserved_share=self._index.reserved_share(waiting.queue.pool)
            )
        if self._waits.wait_s(waiting.key, now_s=now_s) < limit_s:
            return False
        return not self._waits_for_rack(waiting, now_s)

    def _waits_for_rack(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> bool:
        """Returns whether a step could start, and prefers to wait for its rack."""
        if waiting.step.gang or not self._rack_queue.may_wait(waiting.step):
            return False
        candidates = self._candidate_cache.get_candidates(
            waiting.step, waiting.queue.pool
        )
        accepts = self._chooser.acceptance_for(waiting, now_s)
        return candidates.find_best(accepts) is not None

    def _place_on_trial(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> list[ttypes.RunGrant]:
        run = None
        if waiting.step.gang:
            if _has_begun(waiting):
                return []
            run = _gang_run(waiting)
        chosen = self._trials.choose(
            waiting,
            ignores_limits=self._is_idle_too_long(waiting, now_s),
            now_s=now_s,
        )
        return [
            self._grant_task(waiting, index, free, now_s, run=run)
            for index, free in chosen
        ]

    def _place_step(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> list[ttypes.RunGrant]:
        grants = []
        has_candidates = True
        may_wait = self._rack_queue.may_wait(waiting.step)
        for index in waiting.waiting_indexes:
            if self._chooser.is_isolated(waiting, index, now_s):
                free = self._chooser.choose_for_suspect(waiting, index, now_s)
            elif not has_candidates or (
                may_wait
                and self._rack_queue.waits_unchanged(waiting, index, now_s)
            ):
                continue
            else:
                candidates = self._candidate_cache.get_candidates(
                    waiting.step, waiting.queue.pool
                )
                free = self._chooser.choose(waiting, index, candidates, now_s)
                has_candidates = (
                    free is not None
                    or crash_attribution.is_suspect(waiting.tasks[index])
                )
                if may_wait and free is not None:
                    limit_s = max_idle_s(
                        reserved_share=self._index.reserved_share(
                            waiting.queue.pool
                        )
                    )
                    # A job is not idle any more once one of its tasks starts.
                    if self._rack_queue.must_wait(
                        waiting,
                        index,
                        free,
                        idle_limit_s=math.inf if grants else limit_s,
                        now_s=now_s,
                    ):
                        continue
            if free is not None:
                grants.append(self._grant_task(waiting, index, free, now_s))
            elif not waiting.suspects_count:
                break
        return grants

    def _place_ignoring_limits(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> list[ttypes.RunGrant]:
        """Starts one task of an idle job without limits on interference.

        It starts where it interferes least, and the agent throttles it to the speed
        that is left. This way every job makes progress, even if slowly.
        """
        index = self._chooser.find_not_isolated(waiting, now_s)
        if index is None:
            return []
        candidates = self._candidate_cache.get_candidates(
            waiting.step, waiting.queue.pool, ignores_limits=True
        )
        free = candidates.find_best(
            self._chooser.acceptance_of_task(waiting, index, now_s)
        )
        if free is None:
            return []
        return [self._grant_task(waiting, index, free, now_s)]

    def _place_gang(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> list[ttypes.RunGrant]:
        """Starts all members with the same run number, or none."""
        if _has_begun(waiting):
            return []
        agents = gangs.choose_agents(
            waiting,
            chooser=self._chooser,
            index=self._index,
            interference=self._interference,
            now_s=now_s,
        )
        run = _gang_run(waiting)
        return [
            self._grant_task(
                waiting, index, self._index.workers[agent], now_s, run=run
            )
            for index, agent in enumerate(agents)
        ]

    def _grant_task(
        self,
        waiting: backlog_module.WaitingStep,
        index: int,
        free: free_capacity.FreeCapacity,
        now_s: float,
        *,
        run: int | None = None,
    ) -> ttypes.RunGrant:
        self._exploration.record_start(free, waiting.step, now_s=now_s)
        self._isolation.record_start(
            waiting.task_name(index),
            waiting.tasks[index],
            free.agent,
            now_s=now_s,
        )
        run = run or waiting.tasks[index].last_run + 1
        self._locality.record_start(
            waiting.rack_task(index), free.agent, free, run=run, now_s=now_s
        )
        self.reserve(free, waiting.key, waiting.step)
        return ttypes.RunGrant(
            task=waiting.task_name(index),
            run=run,
            agent=free.agent,
            worker_id=free.worker.worker_id,
        )

    def _is_idle_too_long(
        self, waiting: backlog_module.WaitingStep, now_s: float
    ) -> bool:
        """Returns whether a best-effort job has been idle for too long."""
        idle_s = now_s - waiting.idle_since_s
        if not waiting.step.best_effort or idle_s <= _IDLE_LIMIT_S:
            return False
        return idle_s > max_idle_s(
            reserved_share=self._index.reserved_share(waiting.queue.pool)
        )


def _has_begun(waiting: backlog_module.WaitingStep) -> bool:
    return any(task.runs or task.done for task in waiting.tasks)


def _gang_run(waiting: backlog_module.WaitingStep) -> int:
    """Returns the next run number of all members of a gang."""
    return 1 + max(task.last_run for task in waiting.tasks)


def max_idle_s(*, reserved_share: float) -> float:
    """Returns after which time a best-effort job gets a run despite interference.

    Args:
        reserved_share: The reserved share of its pool's processor time.
    """
    if reserved_share <= _FULL_POOL_SHARE:
        return _IDLE_LIMIT_S
    return _FULL_POOL_IDLE_LIMIT_S
