"""Mitigates interference: throttles a service's neighbour, then evicts it.

An action is judged only by measurements from after it took effect, so that late
measurements from before it don't cause a second action.
"""

import dataclasses
import math

from marigoldsill.coordination.learning import colocation
from marigoldsill.coordination.placement import eviction as eviction_module
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

# How long measurements are ignored after an action, until it has taken effect.
_SETTLE_S = 2.0
_MIN_SAMPLES_COUNT = 2
_UNTHROTTLE_AFTER_S = 10.0
_SMOOTHING = 0.5
# Limits in units of the latency limit: of the accumulated excess, and the excess of
# one measurement that is tolerated.
_EXCESS_LIMIT = 0.3
_TOLERATED_EXCESS = 0.05
# Added latency, in units of the target, below which a neighbour is not acted on.
_MIN_ADDED_LATENCY_RATIO = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class _LatencyLimits:
    """Limits on the tail latency on a worker, in units of the target.

    Attributes:
        limit: The tail latency that sharing may cause.
        unthrottle_limit: The tail latency up to which a run may be unthrottled.
    """

    limit: float
    unthrottle_limit: float


@dataclasses.dataclass(slots=True)
class _LatencyTracker:
    """The tail latency of a worker's services since the last action there.

    Attributes:
        acted_s: When a neighbour was last throttled, evicted or unthrottled.
        ratio: Smoothed ratio of tail latency to target.
        excess: Accumulated excess over the limit, in units of the limit. A
            large excess counts at once, small ones only if they continue.
        samples_count: The number of measurements since the action.
    """

    acted_s: float = -math.inf
    ratio: float = 0.0
    excess: float = 0.0
    samples_count: int = 0


@dataclasses.dataclass(slots=True)
class Actions:
    """The actions of one round."""

    throttles: list[ttypes.Throttle] = dataclasses.field(default_factory=list)
    evictions: list[ttypes.Eviction] = dataclasses.field(default_factory=list)


class InterferenceMitigation:
    """Observes the workers that services and batch runs share."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        evictor: eviction_module.Evictor,
    ):
        self._fleet = fleet
        self._evictor = evictor
        self._trackers: dict[str, _LatencyTracker] = {}
        self._measured: set[str] = set()

    def observe(
        self,
        worker: str,
        *,
        latency_ratio: float,
        limit: float,
        measured_s: float,
    ) -> None:
        """Records a measurement of a service on a worker.

        Args:
            worker: The worker.
            latency_ratio: The ratio of tail latency to target.
            limit: The highest ratio that sharing may cause at that load.
            measured_s: When it was measured.
        """
        tracker = self._trackers.setdefault(worker, _LatencyTracker())
        if measured_s < tracker.acted_s + _SETTLE_S:
            return
        tracker.samples_count += 1
        weight = _SMOOTHING if tracker.samples_count > 1 else 1.0
        tracker.ratio += weight * (latency_ratio - tracker.ratio)
        tracker.excess = max(
            tracker.excess + latency_ratio / limit - 1 - _TOLERATED_EXCESS, 0.0
        )
        self._measured.add(worker)

    def remove_worker(self, worker: str) -> None:
        """Removes the tracker of a worker without services."""
        self._trackers.pop(worker, None)

    def choose_actions(
        self, tables: tables_module.Tables, *, now: fleet_module.Now
    ) -> Actions:
        """Returns the actions for the workers with new measurements."""
        actions = Actions()
        for worker in sorted(self._measured):
            self._act_on_worker(tables, worker, now, actions)
        self._measured.clear()
        return actions

    def _act_on_worker(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
        actions: Actions,
    ) -> None:
        runs = self._fleet.colocated_runs(worker)
        tracker = self._trackers[worker]
        if not runs.services or not runs.batch:
            return
        if tracker.samples_count < _MIN_SAMPLES_COUNT:
            return
        limits = self._latency_limits(tables.policy, worker, now)
        if tracker.excess > _EXCESS_LIMIT:
            has_acted = self._restrict(tables, worker, now, actions)
        else:
            has_acted = self._unthrottle(tables, worker, now, actions, limits)
        if has_acted:
            self._trackers[worker] = _LatencyTracker(acted_s=now.monotonic_s)

    def _restrict(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
        actions: Actions,
    ) -> bool:
        """Throttles or evicts the neighbour that interferes most.

        A run is throttled first and evicted if it is throttled already.
        Neighbours known to interfere little are not acted on.

        Returns:
            Whether an action was chosen.
        """
        runs = self._fleet.colocated_runs(worker)
        running = [
            n
            for n in runs.batch
            if self._may_act_on(tables, n.task, worker)
            and self._added_latency_ratio(worker, n) >= _MIN_ADDED_LATENCY_RATIO
        ]
        if not running:
            return False
        worst = max(
            running,
            key=lambda n: (self._added_latency_ratio(worker, n), n.task),
        )
        task = tables.tasks[worst.task]
        if not task.throttled:
            actions.throttles.append(_throttle(task, throttled=True))
            return True
        if not self._evictor.has_min_run_time(task, now=now):
            return False
        if not self._evictor.budget.try_consume():
            return False
        services = ", ".join(sorted({r.service for r in runs.services}))
        actions.evictions.append(
            self._evictor.evict(
                task,
                f"disturbed {services} on {worker} even when throttled",
            )
        )
        return True

    def _unthrottle(
        self,
        tables: tables_module.Tables,
        worker: str,
        now: fleet_module.Now,
        actions: Actions,
        limits: _LatencyLimits,
    ) -> bool:
        """Unthrottles the run that interferes least, if latencies allow it.

        Returns:
            Whether a run is unthrottled.
        """
        tracker = self._trackers[worker]
        if now.monotonic_s < tracker.acted_s + _UNTHROTTLE_AFTER_S:
            return False
        runs = self._fleet.colocated_runs(worker)
        throttled = [
            n
            for n in runs.batch
            if n.share < 1.0 and self._may_act_on(tables, n.task, worker)
        ]
        if not throttled or tracker.ratio > limits.unthrottle_limit:
            return False
        mildest = min(
            throttled,
            key=lambda n: (self._added_latency_ratio(worker, n), n.task),
        )
        unthrottled = dataclasses.replace(mildest, share=1.0)
        neighbours = [n for n in runs.batch if n is not mildest] + [unthrottled]
        if not all(
            self._stays_within_limit(
                tables.policy, run.service, neighbours, now
            )
            for run in runs.services
        ):
            return False
        task = tables.tasks[mildest.task]
        actions.throttles.append(_throttle(task, throttled=False))
        return True

    def _stays_within_limit(
        self,
        policy: ttypes.Policy,
        service: str,
        neighbours: list[colocation.Neighbour],
        now: fleet_module.Now,
    ) -> bool:
        prediction = self._fleet.predict_latency(service, neighbours, now=now)
        limit = self._fleet.latency_limit(policy, service, prediction, now=now)
        return prediction.mean <= limit

    def _latency_limits(
        self, policy: ttypes.Policy, worker: str, now: fleet_module.Now
    ) -> _LatencyLimits:
        """The limits of the most tolerant service on a worker."""
        runs = self._fleet.colocated_runs(worker)
        limits, unthrottle_limits = [0.0], [0.0]
        for run in runs.services:
            prediction = self._fleet.predict_latency(
                run.service, runs.batch, now=now
            )
            limit = self._fleet.latency_limit(
                policy, run.service, prediction, now=now
            )
            limits.append(limit)
            unthrottle_limits.append((limit + prediction.alone) / 2)
        return _LatencyLimits(max(limits), max(unthrottle_limits))

    def _may_act_on(
        self, tables: tables_module.Tables, name: str, worker: str
    ) -> bool:
        """Whether a task still runs on a worker and was not evicted."""
        task = tables.tasks.get(name)
        if task is None or task.worker != worker:
            return False
        return self._evictor.will_continue(task)

    def _added_latency_ratio(
        self, worker: str, neighbour: colocation.Neighbour
    ) -> float:
        """What a neighbour adds to all services, in units of the targets."""
        return neighbour.share * sum(
            self._fleet.interference.added_latency_ratio(
                run.service,
                neighbour.family,
                load=self._fleet.latencies.current_load(run.service),
            )
            for run in self._fleet.colocated_runs(worker).services
        )


def _throttle(task: ttypes.Task, *, throttled: bool) -> ttypes.Throttle:
    return ttypes.Throttle(
        task=task.name, epoch=task.epoch, throttled=throttled
    )
