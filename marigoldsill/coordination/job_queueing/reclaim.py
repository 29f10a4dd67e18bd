"""Chooses runs to evict for shares that are below their guarantee.

Answers a queue that borrows the whole pool with long runs: when the callers of a
guaranteed queue come back, no capacity becomes free by itself in the time that they
can wait.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import reclaim_fleet as fleet_module
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# Maximum number of evictions in one round, which bounds the load of agents that have to
# checkpoint, and what a wrong decision costs.
_EVICTIONS_LIMIT = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Reclaim:
    """The runs to evict on one worker for one task.

    Attributes:
        claim: The capacity that is reclaimed.
        evicted: The runs; none if those that are ending leave enough.
    """

    claim: claims_module.Claim
    evicted: list[fleet_module.RunningTask]


def choose_reclaims(
    due_steps: Iterable[fleet_module.DueStep], fleet: fleet_module.Fleet
) -> list[Reclaim]:
    """Returns the runs to evict now, as few as the waiting tasks need.

    Args:
        due_steps: The steps for which capacity may be reclaimed, in order.
        fleet: The workers, their runs and the shares.
    """
    return _Chooser(fleet).choose(due_steps)


class _Chooser:
    """Chooses evictions task by task; each choice counts for the next ones."""

    def __init__(self, fleet: fleet_module.Fleet):
        self._fleet = fleet
        # What shares reserve once the claimed tasks run and the evicted runs ended.
        self._claimants = dict(fleet.statuses)
        self._givers = dict(fleet.statuses)
        self._evicted_keys: set[task_names.RunKey] = set()
        self._spares: dict[str, fleet_module.SpareCapacity] = {}
        for key, status in fleet.statuses.items():
            for claim in fleet.claims.of_share(key):
                status = status.add(claim.step.resources)
            self._claimants[key] = status
        for key, resources in fleet.ending.items():
            self._givers[key] = self._givers[key].subtract(resources)

    def choose(
        self, due_steps: Iterable[fleet_module.DueStep]
    ) -> list[Reclaim]:
        """Returns the runs to evict for tasks that wait."""
        chosen: list[Reclaim] = []
        unmet: set[tuple] = set()
        for due in due_steps:
            if _class_of(due) in unmet:
                continue
            for _ in range(self._unclaimed_count(due)):
                if len(self._evicted_keys) >= _EVICTIONS_LIMIT:
                    return chosen
                reclaim = self._choose_for_task(due)
                if reclaim is None:
                    unmet.add(_class_of(due))
                    break
                chosen.append(reclaim)
        return chosen

    def _unclaimed_count(self, due: fleet_module.DueStep) -> int:
        claimed_count = sum(
            claim.step_key == due.waiting.key
            for claim in self._fleet.claims.of_share(due.key)
        )
        return len(due.waiting.waiting_indexes) - claimed_count

    def _choose_for_task(self, due: fleet_module.DueStep) -> Reclaim | None:
        resources = due.waiting.step.resources
        if not self._claimants[due.key].may_reclaim(resources):
            return None
        options = [
            (_cost_of(evicted), free.agent, evicted)
            for free in self._fleet.workers
            if (evicted := self._evictions_on(free, due)) is not None
        ]
        if not options:
            return None
        _, agent, evicted = min(options, key=lambda option: option[:2])
        self._evicted_keys.update(run.key for run in evicted)
        for run in evicted:
            self._give_back(run)
            self._spares[agent].change_by_eviction(
                run.step, step=due.waiting.step, sign=1
            )
        self._spares[agent].change(due.waiting.step, sign=-1)
        status = self._claimants[due.key]
        self._claimants[due.key] = status.add(resources)
        claim = claims_module.Claim(
            due.key, due.waiting.key, due.waiting.step, agent
        )
        return Reclaim(claim, evicted)

    def _evictions_on(
        self, free: free_capacity.FreeCapacity, due: fleet_module.DueStep
    ) -> list[fleet_module.RunningTask] | None:
        """Returns the runs to evict on a worker so that a task fits, or None."""
        step = due.waiting.step
        if not self._may_use(free, due):
            return None
        spare = self._spare_of(free)
        if spare.fits(step):
            # Either runs that end make it fit, or something else than capacity keeps
            # the task from this worker.
            return None if _fits_now(free, step) else []
        spare = dataclasses.replace(spare)
        givers: dict[shares_module.ShareKey, shares_module.ShareStatus] = {}
        evicted: list[fleet_module.RunningTask] = []
        runs = self._fleet.runs.get(free.agent, ())
        for run in sorted(runs, key=lambda run: run.eviction_order):
            if run.share == due.key or not self._is_available(run):
                continue
            giver = givers.get(run.share, self._givers.get(run.share))
            if giver is None or not giver.may_give_back(run.step.resources):
                continue
            givers[run.share] = giver.subtract(run.step.resources)
            evicted.append(run)
            spare.change_by_eviction(run.step, step=step, sign=1)
            if spare.fits(step):
                return _drop_needless(evicted, spare, step)
        return None

    def _may_use(
        self, free: free_capacity.FreeCapacity, due: fleet_module.DueStep
    ) -> bool:
        step, worker = due.waiting.step, free.worker
        return (
            worker.pool == due.key.pool
            and not worker.draining
            and free.starts_limit is None
            and (
                not step.required_label or step.required_label in worker.labels
            )
            and not self._fleet.claims.avoids(
                free.agent, now_s=self._fleet.now_s
            )
            and self._fleet.accepts(due.waiting, free)
        )

    def _is_available(self, run: fleet_module.RunningTask) -> bool:
        return run.is_evictable and run.key not in self._evicted_keys

    def _spare_of(
        self, free: free_capacity.FreeCapacity
    ) -> fleet_module.SpareCapacity:
        spare = self._spares.get(free.agent)
        if spare is None:
            spare = fleet_module.SpareCapacity(
                free.cpu_millicores,
                free.idle_millicores,
                free.memory_bytes,
                free.accelerators_count,
            )
            for run in self._fleet.runs.get(free.agent, ()):
                if run.is_ending:
                    spare.change(run.step, sign=1)
            for claim in self._fleet.claims.on_agent(free.agent):
                spare.change(claim.step, sign=-1)
            self._spares[free.agent] = spare
        return spare

    def _give_back(self, run: fleet_module.RunningTask) -> None:
        giver = self._givers.get(run.share)
        if giver is not None:
            self._givers[run.share] = giver.subtract(run.step.resources)


def _class_of(due: fleet_module.DueStep) -> tuple:
    """Returns all that decides on which workers a task could start."""
    waiting = due.waiting
    needs_own_class = waiting.step.spread_limit or waiting.queue.advised
    return (
        due.key,
        waiting.step.resources.cpu_millicores,
        waiting.step.resources.memory_bytes,
        waiting.step.resources.accelerators_count,
        waiting.step.best_effort,
        waiting.step.required_label,
        waiting.key if needs_own_class else None,
    )


def _fits_now(free: free_capacity.FreeCapacity, step: ttypes.Step) -> bool:
    if not free.fits(step):
        return False
    return (
        not step.best_effort
        or step.resources.cpu_millicores <= free.idle_millicores
    )


def _drop_needless(
    evicted: Sequence[fleet_module.RunningTask],
    spare: fleet_module.SpareCapacity,
    step: ttypes.Step,
) -> list[fleet_module.RunningTask]:
    """Returns the evictions without those that the task does not need.

    The most expensive ones are dropped first.
    """
    needed = list(evicted)
    for run in reversed(evicted):
        spare.change_by_eviction(run.step, step=step, sign=-1)
        if spare.fits(step):
            needed.remove(run)
        else:
            spare.change_by_eviction(run.step, step=step, sign=1)
    return needed


def _cost_of(evicted: Sequence[fleet_module.RunningTask]) -> tuple:
    """Returns what evictions cost; they are compared item by item."""
    return (
        sum(not run.step.best_effort for run in evicted),
        sum(not run.step.checkpointing for run in evicted),
        len(evicted),
        sum(run.lost_core_ms for run in evicted),
    )
