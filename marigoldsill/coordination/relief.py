"""Helps services that wait: throttle a neighbour, then move it away.

A step is judged only by what was measured after it took effect, so that late
measurements of the time before don't cause a second one.
"""

import dataclasses
import math

from marigoldsill.coordination import eviction as eviction_module
from marigoldsill.coordination import fleet as fleet_module
from marigoldsill.coordination import latency as latency_module
from marigoldsill.coordination import residents as residents_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_SETTLE_S = 2.0
_SAMPLES_COUNT = 2
_RESTORE_BELOW = 0.8
_RESTORE_AFTER_S = 10.0
_FADING = 0.5


@dataclasses.dataclass(slots=True)
class _Trouble:
    """How a worker's services did since the last step there."""

    stepped_s: float = -math.inf
    ratio: float = 0.0
    samples_count: int = 0


@dataclasses.dataclass(slots=True)
class Steps:
    """What one round decided."""

    throttles: list[ttypes.Throttle] = dataclasses.field(default_factory=list)
    evictions: list[ttypes.Eviction] = dataclasses.field(default_factory=list)


class Relief:
    """Watches the workers on which services and batch runs share."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        evictions: eviction_module.Evictions,
    ):
        self._fleet = fleet
        self._evictions = evictions
        self._troubles: dict[str, _Trouble] = {}
        self._to_judge: set[str] = set()

    def observe(
        self, worker: str, *, latency_ratio: float, measured_s: float
    ) -> None:
        """Takes a measurement of a service on a worker in."""
        trouble = self._troubles.setdefault(worker, _Trouble())
        if measured_s < trouble.stepped_s + _SETTLE_S:
            return
        trouble.samples_count += 1
        share = _FADING if trouble.samples_count > 1 else 1.0
        trouble.ratio += share * (latency_ratio - trouble.ratio)
        self._to_judge.add(worker)

    def forget(self, worker: str) -> None:
        """Drops what was kept about a worker without services."""
        self._troubles.pop(worker, None)

    def decide(
        self, tables: tables_module.Tables, *, now: fleet_module.Now
    ) -> Steps:
        """The steps that new measurements ask for."""
        steps = Steps()
        for worker in sorted(self._to_judge):
            self._judge(tables, worker, now, steps)
        self._to_judge.clear()
        return steps

    def _judge(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
        steps: Steps,
    ) -> None:
        residents = self._fleet.residents(worker)
        trouble = self._troubles[worker]
        if not residents.services or not residents.batch:
            return
        if trouble.samples_count < _SAMPLES_COUNT:
            return
        limit = max(
            latency_module.limit_of(
                tables.policy, self._fleet.predict(run.service, residents.batch)
            )
            for run in residents.services
        )
        guarded = any(
            self._fleet.latencies.suspended(run.service, now_s=now.monotonic_s)
            for run in residents.services
        )
        if guarded or trouble.ratio > limit:
            stepped = self._force(tables, worker, now, steps, guarded)
        else:
            stepped = self._restore(tables, worker, now, steps, limit)
        if stepped:
            self._troubles[worker] = _Trouble(stepped_s=now.monotonic_s)

    def _force(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
        steps: Steps,
        guarded: bool,
    ) -> bool:
        residents = self._fleet.residents(worker)
        running = [
            n for n in residents.batch if self._may_step(tables, n.task, worker)
        ]
        if not running:
            return False
        full = [n for n in running if n.share == 1.0]
        if full:
            chosen = full if guarded else [self._worst(worker, full)]
            steps.throttles += [
                _throttle(tables, n.task, throttled=True) for n in chosen
            ]
            return True
        worst = self._worst_for_cost(tables, worker, running, now)
        task = tables.tasks[worst.task]
        if not self._evictions.has_stayed(task, now=now):
            return False
        if not self._evictions.budget.take():
            return False
        waits = ", ".join(sorted(r.service for r in residents.services))
        steps.evictions.append(
            self._evictions.choose(
                task, f"disturbed {waits} on {worker}, throttled too"
            )
        )
        return True

    def _restore(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
        steps: Steps,
        limit: float,
    ) -> bool:
        trouble = self._troubles[worker]
        if now.monotonic_s < trouble.stepped_s + _RESTORE_AFTER_S:
            return False
        residents = self._fleet.residents(worker)
        slowed = [
            n
            for n in residents.batch
            if n.share < 1.0 and self._may_step(tables, n.task, worker)
        ]
        if not slowed:
            return False
        mildest = min(slowed, key=lambda n: self._harm(worker, n))
        freed = dataclasses.replace(mildest, share=1.0)
        then = [n for n in residents.batch if n is not mildest] + [freed]
        if trouble.ratio <= _RESTORE_BELOW * limit and all(
            self._stays_within(tables.policy, run.service, then)
            for run in residents.services
        ):
            steps.throttles.append(
                _throttle(tables, mildest.task, throttled=False)
            )
            return True
        return False

    def _stays_within(
        self,
        policy: ttypes.Policy,
        service: str,
        neighbours: list[residents_module.Neighbour],
    ) -> bool:
        prediction = self._fleet.predict(service, neighbours)
        limit = latency_module.limit_of(policy, prediction)
        return prediction.mean <= limit

    def _worst(
        self, worker: str, neighbours: list[residents_module.Neighbour]
    ) -> residents_module.Neighbour:
        return max(neighbours, key=lambda n: (self._harm(worker, n), n.task))

    def _worst_for_cost(
        self,
        tables: tables_module.Tables,
        worker: str,
        neighbours: list[residents_module.Neighbour],
        now: fleet_module.Now,
    ) -> residents_module.Neighbour:
        def gain(neighbour: residents_module.Neighbour) -> float:
            task = tables.tasks[neighbour.task]
            cost_s = self._evictions.cost_s(tables, task, now=now)
            return self._harm(worker, neighbour) / (1 + cost_s)

        return max(neighbours, key=lambda n: (gain(n), n.task))

    def _may_step(
        self, tables: tables_module.Tables, name: str, worker: str
    ) -> bool:
        task = tables.tasks.get(name)
        if task is None or task.worker != worker:
            return False
        return self._evictions.is_open(task)

    def _harm(
        self, worker: str, neighbour: residents_module.Neighbour
    ) -> float:
        return neighbour.share * sum(
            self._fleet.interference.added_by(
                run.service,
                neighbour.family,
                load=self._fleet.latencies.load(run.service),
            )
            for run in self._fleet.residents(worker).services
        )


def _throttle(
    tables: tables_module.Tables, name: str, *, throttled: bool
) -> ttypes.Throttle:
    return ttypes.Throttle(
        task=name, epoch=tables.tasks[name].epoch, throttled=throttled
    )
