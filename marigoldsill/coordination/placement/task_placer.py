"""Places waiting tasks, and evicts runs for those that may require it."""

import dataclasses
import math

from marigoldsill.coordination.placement import (
    capacity_holds as capacity_holds_module,
)
from marigoldsill.coordination.placement import eviction as eviction_module
from marigoldsill.coordination.placement import feasibility
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import sharing as sharing_module
from marigoldsill.coordination.placement import task_queue as task_queue_module
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.coordination.placement import (
    worker_selection as worker_selection_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module

# Workers sampled in a search for victims, or for a worker to hold.
_WORKERS_LIMIT = 24
# A task is starved once it has waited for both this time and this multiple of the
# average wait.
_STARVED_MS = 60_000
_STARVED_RATIO = 3.0
# Limit on the holds for starved tasks, as a share of all workers.
_STARVED_HOLDS_SHARE = 0.01
_WAIT_SMOOTHING = 0.02
_LATE_MARGIN_RATIO = 0.2
# Precedes the reason of the last run in the stored reason of a task.
_BEFORE = " (before: "


@dataclasses.dataclass(slots=True)
class RoundResult:
    """The decisions of one round of placement.

    Attributes:
        grants: Runs to start.
        evictions: Runs to evict.
        waiting: Tasks that could not be placed and still wait.
    """

    grants: list[ttypes.Assignment] = dataclasses.field(default_factory=list)
    evictions: list[ttypes.Eviction] = dataclasses.field(default_factory=list)
    waiting: list[str] = dataclasses.field(default_factory=list)


class TaskPlacer:
    """Places the waiting tasks on workers.

    Attributes:
        queue: The waiting tasks.
        selector: Selects a worker for a task.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        sharing: sharing_module.SharingEvaluator,
        evictor: eviction_module.Evictor,
    ):
        self.queue = task_queue_module.TaskQueue()
        self.selector = worker_selection_module.WorkerSelector(fleet, sharing)
        self._holds = capacity_holds_module.CapacityHolds(fleet)
        self._fleet = fleet
        self._sharing = sharing
        self._evictor = evictor
        self._increases_count = 0
        self._average_wait_ms = 0.0

    def enqueue(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        *,
        now: fleet_module.Now,
        not_before_unix_ms: float = 0.0,
    ) -> None:
        """Queues a waiting task, or queues it again with current estimates."""
        task_view = self._view(tables, task)
        if task_view is None:
            return
        start = max(task_view.earliest_start_unix_ms, not_before_unix_ms)
        task_view = dataclasses.replace(task_view, earliest_start_unix_ms=start)
        self.queue.put(task_view, now_unix_ms=now.unix_ms)

    def remove(self, name: str) -> None:
        """Removes a task that no longer waits, and the capacity held for it."""
        self.queue.remove(name)
        self._holds.release(name)

    def place_waiting(
        self,
        tables: tables_module.Tables,
        *,
        now: fleet_module.Now,
        limit: int,
        tries_limit: int,
    ) -> RoundResult:
        """Places waiting tasks in their order.

        Args:
            tables: The state.
            now: The time of the round.
            limit: The maximum number of grants.
            tries_limit: The maximum number of tasks to try.
        """
        self._holds.release_expired(now=now)
        self._fleet.allocations.begin_round()
        if self._fleet.capacity_index.increases_count != self._increases_count:
            self._increases_count = self._fleet.capacity_index.increases_count
            self.queue.resume_if_few()
        result = RoundResult()
        heads = self.queue.begin_round(
            now_unix_ms=now.unix_ms, limit=tries_limit
        )
        for task_view in heads:
            self._place_head(tables, task_view, now, result)
            if len(result.grants) >= limit:
                break
        return result

    def hold_elsewhere(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        *,
        now: fleet_module.Now,
    ) -> bool:
        """Holds capacity on another worker for a run that has to be evicted.

        Returns:
            Whether another worker has enough free capacity.
        """
        task_view = self._view(tables, task)
        if task_view is None:
            return False
        selected = self.selector.select(tables.policy, task_view, now=now)
        if selected is None or selected.worker == task.worker:
            return False
        self._holds.put(task_view, selected.worker, now=now)
        return True

    def _view(
        self, tables: tables_module.Tables, task: ttypes.Task
    ) -> task_view_module.TaskView | None:
        """The view of a task whose demand fits on a worker, if possible."""
        task_view = task_view_module.build(tables, task, self._fleet.estimates)
        if task_view is None:
            return None
        declared = tables.owner_record(task).resources
        capacities = list(self._fleet.capacity_index.distinct_capacities())
        demand = feasibility.choose_reservation(task_view, declared, capacities)
        return dataclasses.replace(task_view, demand=demand)

    def _place_head(
        self,
        tables: tables_module.Tables,
        queued: task_view_module.TaskView,
        now: fleet_module.Now,
        result: RoundResult,
    ) -> None:
        """Tries to place the first task of a class, with current estimates.

        If these put the task into another class, it is queued there instead.
        """
        name = queued.task.name
        task_view = self._view(tables, tables.tasks[name])
        if task_view is None:
            self.remove(name)
            return
        if task_view_module.task_class(
            task_view
        ) != task_view_module.task_class(queued):
            self.queue.put(task_view, now_unix_ms=now.unix_ms)
            return
        grant, reason = self._try_place(tables, task_view, now, result)
        if grant is None:
            result.waiting.append(name)
            self.queue.pause_class(task_view, reason)
            return
        result.grants.append(grant)
        waited_ms = now.unix_ms - task_view.task.queued_unix_ms
        change_ms = waited_ms - self._average_wait_ms
        self._average_wait_ms += _WAIT_SMOOTHING * change_ms
        self.queue.remove_placed(task_view)

    def _try_place(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
        now: fleet_module.Now,
        result: RoundResult,
    ) -> tuple[ttypes.Assignment | None, str]:
        """Returns a grant, or None and the reason why the task waits.

        Evictions that free capacity for the task are added to the result.
        """
        if not self._is_within_quota(tables, task_view):
            return None, f"waits: team {task_view.team!r} holds its quota"
        selected = self._held_worker(tables, task_view)
        selected = selected or self.selector.select(
            tables.policy, task_view, now=now
        )
        if selected is not None:
            self._holds.release(task_view.task.name)
            return self._grant(task_view, selected, now), ""
        if task_view.task.name in self._holds:
            return None, "waits: room is being made for it"
        victim_set = self._find_victims(tables, task_view, now)
        if victim_set is not None:
            reason = f"gave way on {victim_set.worker} to {task_view.task.name}"
            result.evictions += [
                self._evictor.evict(task, reason) for task in victim_set.victims
            ]
            self._holds.put(task_view, victim_set.worker, now=now)
            return None, "waits: room is being made for it"
        self._hold_if_starved(task_view, now)
        declared = tables.owner_record(task_view.task).resources
        return None, (
            "waits: no worker where it may run has "
            f"{amounts.describe(declared)} free"
        )

    def _is_within_quota(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
    ) -> bool:
        team = tables.teams.get(task_view.team)
        if team is None:
            return True
        allocated = self._fleet.allocations.team_total(task_view.team)
        return amounts.within_quota(
            allocated, team.quota, demand=task_view.demand
        )

    def _grant(
        self,
        task_view: task_view_module.TaskView,
        selected: worker_selection_module.ScoredWorker,
        now: fleet_module.Now,
    ) -> ttypes.Assignment:
        if selected.sharing.is_exploration:
            self._sharing.record_exploration(selected.worker)
        self._fleet.record_grant(selected.worker, task_view, now=now)
        return ttypes.Assignment(
            task=task_view.task.name,
            epoch=task_view.task.epoch + 1,
            worker=selected.worker,
            reserved=task_view.demand,
            reason=_reason(task_view, selected),
        )

    def _held_worker(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
    ) -> worker_selection_module.ScoredWorker | None:
        """The worker held for a task, once its capacity is free."""
        worker = self._holds.find_ready_worker(task_view)
        if not worker:
            return None
        is_exclusive = _excludes_batch(tables.policy, task_view)
        if is_exclusive and self._fleet.colocated_runs(worker).batch:
            return None
        sharing = sharing_module.SharingAssessment(is_allowed=True)
        return worker_selection_module.ScoredWorker(worker, sharing, 0.0)

    def _find_victims(
        self,
        tables: tables_module.Tables,
        task_view: task_view_module.TaskView,
        now: fleet_module.Now,
    ) -> eviction_module.VictimSet | None:
        """Runs to evict for a task, if that is allowed and in the budget."""
        if not _may_evict_others(task_view, now):
            return None
        victim_set = self._evictor.find_victims(
            tables,
            task_view,
            self._fleet.capacity_index.schedulable.sample_any(_WORKERS_LIMIT),
            now=now,
            clear_batch=_excludes_batch(tables.policy, task_view),
        )
        if victim_set is None:
            return None
        if not self._evictor.budget.try_consume(len(victim_set.victims)):
            return None
        return victim_set

    def _hold_if_starved(
        self, task_view: task_view_module.TaskView, now: fleet_module.Now
    ) -> None:
        """Holds a worker for a task that has waited for very long.

        Otherwise smaller runs would use all capacity that becomes free before
        there is enough for a large one.
        """
        views = self._fleet.capacity_index.views
        waited_ms = now.unix_ms - task_view.task.queued_unix_ms
        if waited_ms < max(_STARVED_MS, _STARVED_RATIO * self._average_wait_ms):
            return
        if len(self._holds) >= 1 + len(views) * _STARVED_HOLDS_SHARE:
            return
        names = [
            name
            for name in self._fleet.capacity_index.schedulable.sample_any(
                _WORKERS_LIMIT
            )
            if not self._fleet.colocated_runs(name).services
            and amounts.fits(task_view.demand, views[name].record.capacity)
        ]
        if names:
            best = max(names, key=lambda n: views[n].free.cpu_millicores)
            self._holds.put(task_view, best, now=now)


def _may_evict_others(
    task_view: task_view_module.TaskView, now: fleet_module.Now
) -> bool:
    """Whether runs may be evicted for a task.

    They may be for services, watchers and batch jobs that are about to miss
    their deadline.
    """
    if task_view.task.kind != ttypes.Kind.BATCH_JOB:
        return True
    if not math.isfinite(task_view.latest_start_unix_ms):
        return False
    margin_ms = _LATE_MARGIN_RATIO * task_view.remaining_ms
    deadline_ms = task_view.latest_start_unix_ms + task_view.remaining_ms
    is_urgent = task_view.latest_start_unix_ms - margin_ms <= now.unix_ms
    return is_urgent and now.unix_ms < deadline_ms


def _excludes_batch(
    policy: ttypes.Policy, task_view: task_view_module.TaskView
) -> bool:
    """Whether a task may not share a worker with batch runs."""
    is_service = task_view.task.kind == ttypes.Kind.SERVICE
    return is_service and not policy.sharing_allowed


def _reason(
    task_view: task_view_module.TaskView,
    selected: worker_selection_module.ScoredWorker,
) -> str:
    """Why a task is on its worker, and why it left the one before."""
    why = "best fit"
    if selected.sharing.is_exploration:
        why = "tried there to learn how it disturbs"
    elif selected.sharing.added_latency_ratio:
        why = "least disturbance expected there"
    if not task_view.task.epoch:
        return f"placed on {selected.worker}: {why}"
    before = task_view.task.reason.partition(_BEFORE)[0]
    return f"moved to {selected.worker}: {why}{_BEFORE}{before})"
