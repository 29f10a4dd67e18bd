"""Predicts for plans where a task would be placed if it were added now."""

import dataclasses

from marigoldsill.coordination.placement import capacity_index
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import tables as tables_module

_WORKERS_LIMIT = 200


@dataclasses.dataclass(slots=True, frozen=True)
class PredictedPlacement:
    """The predicted placement of one task.

    Attributes:
        verb: START, EVICT (it starts after others are evicted), WAIT or
            NEVER_RUNS.
        worker: The worker it would start on, or empty.
        evicted: The tasks that would be evicted for it.
        reason: The reason for the prediction.
    """

    verb: ttypes.EffectVerb
    worker: str
    evicted: list[str]
    reason: str


class PlacementSimulator:
    """Places tasks one after another on a copy of the free capacity.

    It uses declared sizes and a bounded number of workers, so that a plan stays
    cheap. The leader may decide differently later, by what it has learnt.
    """

    def __init__(self, tables: tables_module.Tables):
        self._tables = tables
        active = [
            worker
            for worker in tables.workers.values()
            if worker.state == ttypes.WorkerState.ACTIVE
        ]
        step = max(1, len(active) // _WORKERS_LIMIT)
        self._free = {
            worker.name: capacity_index.free_capacity(tables, worker)
            for worker in active[::step]
        }
        self._evicted: set[str] = set()
        capacities = {
            (c.cpu_millicores, c.memory_bytes, c.accelerators_count): c
            for c in (w.capacity for w in tables.workers.values())
        }
        self._capacities = list(capacities.values())
        self._by_team: dict[str, ttypes.Resources] = {}

    def add_task(
        self,
        owner: ttypes.Service | ttypes.BatchJob | ttypes.Watcher,
    ) -> PredictedPlacement:
        """Predicts the placement of one more task of an owner."""
        demand = owner.resources
        if not any(amounts.fits(demand, c) for c in self._capacities):
            reason = (
                f"asks for {amounts.describe(demand)}, larger than every "
                "worker known"
            )
            return PredictedPlacement(
                ttypes.EffectVerb.NEVER_RUNS, "", [], reason
            )
        team = self._tables.teams.get(owner.team)
        if team is not None and not amounts.within_quota(demand, team.quota):
            reason = f"larger than the whole quota of team {owner.team!r}"
            return PredictedPlacement(
                ttypes.EffectVerb.NEVER_RUNS, "", [], reason
            )
        if team is not None and not amounts.within_quota(
            self._team_total(team.name), team.quota, demand=demand
        ):
            reason = f"team {owner.team!r} holds its quota"
            return PredictedPlacement(ttypes.EffectVerb.WAIT, "", [], reason)
        return self._place(owner, demand)

    def _place(
        self, owner: object, demand: ttypes.Resources
    ) -> PredictedPlacement:
        fitting = [n for n, f in self._free.items() if amounts.fits(demand, f)]
        if fitting:
            best = max(fitting, key=lambda n: self._free[n].cpu_millicores)
            self._reserve(best, owner.team, demand)
            return PredictedPlacement(
                ttypes.EffectVerb.START,
                best,
                [],
                f"{best} has room",
            )
        choices = (
            (name, self._find_victims(name, owner, demand))
            for name in self._free
        )
        choices = [(name, tasks) for name, tasks in choices if tasks]
        if not choices:
            reason = "no worker has enough free now"
            return PredictedPlacement(ttypes.EffectVerb.WAIT, "", [], reason)
        best, victims = min(choices, key=lambda choice: len(choice[1]))
        for victim in victims:
            self._evicted.add(victim.name)
            self._free[best] = amounts.add(self._free[best], victim.reserved)
        self._reserve(best, owner.team, demand)
        return PredictedPlacement(
            ttypes.EffectVerb.EVICT,
            best,
            [victim.name for victim in victims],
            f"more urgent than what runs on {best}",
        )

    def _find_victims(
        self, worker: str, owner: object, demand: ttypes.Resources
    ) -> list[ttypes.Task]:
        """Batch runs of lower urgency that together free enough capacity."""
        running = [
            task
            for task in self._tables.tasks_on(worker)
            if task.kind == ttypes.Kind.BATCH_JOB
            and task.name not in self._evicted
            and self._urgency(task) < owner.urgency
        ]
        running.sort(key=self._urgency)
        free = self._free[worker]
        victims = []
        for task in running:
            victims.append(task)
            free = amounts.add(free, task.reserved)
            if amounts.fits(demand, free):
                return victims
        return []

    def _urgency(self, task: ttypes.Task) -> int:
        return getattr(self._tables.owner_record(task), "urgency", 0)

    def _team_total(self, team: str) -> ttypes.Resources:
        """Resources of a team's runs and of the tasks placed so far."""
        if team not in self._by_team:
            total = amounts.ZERO
            for names in self._tables.tasks_by_worker.values():
                for name in names:
                    task = self._tables.tasks[name]
                    owner = self._tables.owner_record(task)
                    if getattr(owner, "team", "") == team:
                        total = amounts.add(total, task.reserved)
            self._by_team[team] = total
        return self._by_team[team]

    def _reserve(
        self, worker: str, team: str, demand: ttypes.Resources
    ) -> None:
        self._free[worker] = amounts.subtract(self._free[worker], demand)
        if team in self._tables.teams:
            self._by_team[team] = amounts.add(self._team_total(team), demand)
