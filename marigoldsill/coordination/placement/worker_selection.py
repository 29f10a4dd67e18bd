"""Selects the best worker for one task."""

import dataclasses
import math

from marigoldsill.coordination.placement import allocations
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import sharing as sharing_module
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts

_CANDIDATES_COUNT = 10
# Maximum number of workers that a task avoids.
_AVOIDED_COUNT = 4
_INTERFERENCE_COST = 4.0
_PACKING_COST = 0.5
_NO_SERVICES_COST = 1.0
# Added latency, in units of the target, from which on a batch run may use a worker
# without services at no cost.
_INTERFERING_RATIO = 0.1
_SAME_WORKER_COST = 8.0
_SAME_RACK_COST = 2.0
_UTILIZATION_COST = 0.5
_DISALLOWED_SHARING_COST = 4.0
_AVOIDED_COST = 100.0
_UNMEASURED_WINDOW_MS = 15_000
# Declarations may be too small by this factor.
_UNMEASURED_SIZE_FACTOR = 10


@dataclasses.dataclass(slots=True, frozen=True)
class ScoredWorker:
    """A worker that a task may start on.

    Attributes:
        worker: Its name.
        sharing: The expected effect of sharing it.
        cost: Its cost; the lowest is selected.
    """

    worker: str
    sharing: sharing_module.SharingAssessment
    cost: float


class WorkerSelector:
    """Scores candidate workers by fit, interference and spread."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        sharing: sharing_module.SharingEvaluator,
    ):
        self._fleet = fleet
        self._sharing = sharing
        self._avoided: dict[str, list[str]] = {}

    def avoid_worker(self, task: str, worker: str) -> None:
        """Makes a task prefer other workers after it failed on this one."""
        avoided = self._avoided.setdefault(task, [])
        if worker not in avoided:
            avoided.append(worker)
        del avoided[:-_AVOIDED_COUNT]

    def remove_task(self, task: str) -> None:
        """Removes the workers that a task avoids, after it ended."""
        self._avoided.pop(task, None)

    def select(
        self,
        policy: ttypes.Policy,
        task_view: task_view_module.TaskView,
        *,
        now: fleet_module.Now,
    ) -> ScoredWorker | None:
        """Returns the best worker with enough free capacity, or None."""
        scored_workers = [
            scored
            for name in self._find_candidates(task_view)
            if (scored := self._score(policy, task_view, name, now)) is not None
        ]
        return min(
            scored_workers, key=lambda s: (s.cost, s.worker), default=None
        )

    def _find_candidates(
        self, task_view: task_view_module.TaskView
    ) -> list[str]:
        """Workers to score.

        For a service, they are in the data centre with the fewest instances of it
        that has any candidates.
        """
        index = self._fleet.capacity_index
        if task_view.task.kind != ttypes.Kind.SERVICE:
            return index.schedulable.find(
                task_view.demand, limit=_CANDIDATES_COUNT
            )
        centres = sorted(
            index.schedulable.data_centres(),
            key=lambda centre: self._fleet.allocations.count_instances(
                task_view.task.owner, allocations.data_centre_location(centre)
            ),
        )
        found = (
            index.schedulable.find(
                task_view.demand, limit=_CANDIDATES_COUNT, data_centre=centre
            )
            for centre in centres
        )
        return next((names for names in found if names), [])

    def _score(
        self,
        policy: ttypes.Policy,
        task_view: task_view_module.TaskView,
        worker: str,
        now: fleet_module.Now,
    ) -> ScoredWorker | None:
        match task_view.task.kind:
            case ttypes.Kind.BATCH_JOB:
                scored = self._score_for_batch(policy, task_view, worker, now)
            case ttypes.Kind.SERVICE:
                scored = self._score_for_service(policy, task_view, worker, now)
            case _:
                sharing = sharing_module.SharingAssessment(is_allowed=True)
                cost = self._spread_cost(task_view, worker)
                scored = ScoredWorker(worker, sharing, cost)
        if scored is None:
            return None
        if worker in self._avoided.get(task_view.task.name, ()):
            return dataclasses.replace(scored, cost=scored.cost + _AVOIDED_COST)
        return scored

    def _score_for_batch(
        self,
        policy: ttypes.Policy,
        task_view: task_view_module.TaskView,
        worker: str,
        now: fleet_module.Now,
    ) -> ScoredWorker | None:
        if not self._tolerates_size_error(task_view, worker, now):
            return None
        sharing = self._sharing.assess_batch(
            policy,
            worker,
            task_view.family,
            now=now,
            ahead_s=task_view.remaining_ms / 1000,
        )
        if not sharing.is_allowed:
            return None
        cost = (
            self._packing_cost(task_view, worker)
            + _INTERFERENCE_COST * sharing.added_latency_ratio
            + self._no_services_cost(task_view, worker)
        )
        return ScoredWorker(worker, sharing, cost)

    def _score_for_service(
        self,
        policy: ttypes.Policy,
        task_view: task_view_module.TaskView,
        worker: str,
        now: fleet_module.Now,
    ) -> ScoredWorker | None:
        sharing = self._sharing.assess_service(
            policy, worker, task_view.task.owner, now=now
        )
        if not sharing.is_allowed and not policy.sharing_allowed:
            return None
        cost = self._spread_cost(task_view, worker)
        cost += _DISALLOWED_SHARING_COST * (not sharing.is_allowed)
        if math.isfinite(sharing.added_latency_ratio):
            cost += (
                _INTERFERENCE_COST
                * policy.latency_weight
                * sharing.added_latency_ratio
            )
        return ScoredWorker(worker, sharing, cost)

    def _tolerates_size_error(
        self,
        task_view: task_view_module.TaskView,
        worker: str,
        now: fleet_module.Now,
    ) -> bool:
        """Whether a run's size is known, or an error in it would do no harm.

        A declaration may be ten times too small. To prevent an overload before
        the first measurements arrive, runs that have not been measured share a
        worker only while ten times their sizes would fit. A run counts as not
        measured for a limited time, as its measurement may never arrive.
        """
        is_known = self._fleet.estimates.is_known
        if is_known(task_view.family):
            return True
        recent_unix_ms = now.unix_ms - _UNMEASURED_WINDOW_MS
        unmeasured = [
            neighbour.cpu_millicores
            for neighbour in self._fleet.colocated_runs(worker).batch
            if neighbour.granted_unix_ms > recent_unix_ms
            and not is_known(neighbour.family)
        ]
        if not unmeasured:
            return True
        free = self._fleet.capacity_index.views[worker].free.cpu_millicores
        demand = sum(unmeasured) + task_view.demand.cpu_millicores
        return _UNMEASURED_SIZE_FACTOR * demand <= free + sum(unmeasured)

    def _packing_cost(
        self, task_view: task_view_module.TaskView, worker: str
    ) -> float:
        """Cost of the capacity left over.

        It is low where little is left, so that large free capacities remain
        for large runs.
        """
        view = self._fleet.capacity_index.views[worker]
        left = amounts.subtract(view.free, task_view.demand)
        return _PACKING_COST * amounts.dominant_share(
            left, view.record.capacity
        )

    def _no_services_cost(
        self, task_view: task_view_module.TaskView, worker: str
    ) -> float:
        """Cost of a worker without services.

        It reserves these workers for families that interfere with services.
        """
        if self._fleet.colocated_runs(worker).services:
            return 0.0
        added = self._fleet.interference.family_latency_ratio(task_view.family)
        return _NO_SERVICES_COST * max(0.0, 1 - added / _INTERFERING_RATIO)

    def _spread_cost(
        self, task_view: task_view_module.TaskView, worker: str
    ) -> float:
        """Cost of instances of the same owner nearby, and of a busy worker."""
        view = self._fleet.capacity_index.views[worker]
        counts = self._fleet.allocations
        owner = task_view.task.owner
        _, _, rack, here = allocations.locations_of(view.record)
        free = amounts.dominant_share(view.free, view.record.capacity)
        return (
            _SAME_WORKER_COST * counts.count_instances(owner, here)
            + _SAME_RACK_COST * counts.count_instances(owner, rack)
            + _UTILIZATION_COST * (1 - free)
        )
