"""Evicts runs from draining workers and from workers over their capacity."""

from marigoldsill.coordination.placement import eviction as eviction_module
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import (
    task_placer as task_placer_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module


class Descheduler:
    """The workers that drain or exceed their capacity, and their evictions."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        evictor: eviction_module.Evictor,
        placer: task_placer_module.TaskPlacer,
    ):
        self._fleet = fleet
        self._evictor = evictor
        self._placer = placer
        self._draining: set[str] = set()
        self._overloaded: set[str] = set()

    def update_worker(self, worker: str) -> None:
        """Updates whether a refreshed worker drains or exceeds its capacity."""
        view = self._fleet.capacity_index.views.get(worker)
        self._draining.discard(worker)
        self._overloaded.discard(worker)
        if view is None or not view.charges:
            return
        if view.record.state == ttypes.WorkerState.DRAINING:
            self._draining.add(worker)
        used = amounts.ZERO
        for amount in view.charges.values():
            used = amounts.add(used, amount)
        if not amounts.fits(used, view.record.capacity):
            self._overloaded.add(worker)

    def choose_evictions(
        self, tables: tables_module.Tables, *, now: fleet_module.Now
    ) -> list[ttypes.Eviction]:
        """Returns the evictions of one round."""
        return [
            *(
                e
                for w in sorted(self._draining)
                for e in self._evict_from_draining(tables, w, now)
            ),
            *(
                e
                for w in sorted(self._overloaded)
                for e in self._evict_excess(tables, w, now)
            ),
        ]

    def _evict_from_draining(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
    ) -> list[ttypes.Eviction]:
        """Evicts all runs at once, except for services.

        An instance of a service is evicted only while all other instances run
        and capacity for it is held elsewhere, so that most of the service stays
        available.
        """
        reason = f"{worker} drains"
        evictions = []
        for name in sorted(self._fleet.capacity_index.views[worker].charges):
            task = tables.tasks.get(name)
            if task is None or not self._evictor.will_continue(task):
                continue
            is_service = task.kind == ttypes.Kind.SERVICE
            if is_service and not self._may_evict_instance(tables, task, now):
                continue
            evictions.append(self._evictor.evict(task, reason))
        return evictions

    def _may_evict_instance(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        now: fleet_module.Now,
    ) -> bool:
        others = [t for t in tables.tasks_of(task.owner) if t is not task]
        down = [
            t
            for t in others
            if t.state != ttypes.TaskState.IMPOSSIBLE
            and not self._keeps_running(t)
        ]
        if down:
            return False
        return self._placer.hold_elsewhere(tables, task, now=now)

    def _keeps_running(self, task: ttypes.Task) -> bool:
        is_running = task.state == ttypes.TaskState.RUNNING
        return is_running and self._evictor.will_continue(task)

    def _evict_excess(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
    ) -> list[ttypes.Eviction]:
        """Evicts runs until the rest fits, those of the lowest cost first.

        While the reservations exceed the capacity, evictions are not limited.
        If runs only use more than they reserved, evictions are taken from the
        budget.
        """
        view = self._fleet.capacity_index.views[worker]
        capacity = view.record.capacity
        tasks = [tables.tasks[n] for n in view.charges if n in tables.tasks]
        remaining = [
            task for task in tasks if self._evictor.will_continue(task)
        ]
        remaining.sort(key=lambda task: self._eviction_rank(tables, task, now))
        evictions = []
        while remaining:
            reserved, used = self._sum_resources(remaining)
            if amounts.fits(used, capacity):
                break
            is_required = not amounts.fits(reserved, capacity)
            if not is_required and not self._evictor.budget.try_consume():
                break
            evictions.append(
                self._evictor.evict(
                    remaining.pop(0), f"{worker} holds more than its capacity"
                )
            )
        return evictions

    def _eviction_rank(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        now: fleet_module.Now,
    ) -> tuple:
        """Sort key of the order of eviction: batch runs of low urgency first."""
        urgency = getattr(tables.owner_record(task), "urgency", 0)
        is_batch = task.kind == ttypes.Kind.BATCH_JOB
        cost_s = self._evictor.cost_s(tables, task, now=now)
        return (not is_batch, urgency, cost_s, task.name)

    def _sum_resources(
        self, tasks: list[ttypes.Task]
    ) -> tuple[ttypes.Resources, ttypes.Resources]:
        """The sums of what the runs have reserved and of what they use."""
        reserved = used = amounts.ZERO
        for task in tasks:
            reserved = amounts.add(reserved, task.reserved)
            used = amounts.add(
                used, self._fleet.estimates.charged_resources(task)
            )
        return reserved, used
