"""The leader's soft state: workers, the runs on them and learnt estimates.

A new leader builds it from the tables. Its estimates start anew and stay near
the declarations until measurements arrive.
"""

import dataclasses

from marigoldsill.coordination.learning import colocation
from marigoldsill.coordination.learning import estimates as estimates_module
from marigoldsill.coordination.learning import (
    interference as interference_module,
)
from marigoldsill.coordination.learning import latency as latency_module
from marigoldsill.coordination.learning import quarantine as quarantine_module
from marigoldsill.coordination.placement import (
    allocations as allocations_module,
)
from marigoldsill.coordination.placement import capacity_index
from marigoldsill.coordination.placement import task_view as task_view_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_NO_RUNS = colocation.ColocatedRuns([], [], frozenset())


@dataclasses.dataclass(slots=True, frozen=True)
class Now:
    """The time of one round; decisions read no clock themselves.

    Attributes:
        monotonic_s: Time on the clock of measurements and leases.
        unix_ms: Time since 1970, as in deadlines.
    """

    monotonic_s: float
    unix_ms: int


class Fleet:
    """The input of decisions beside the tables.

    Attributes:
        capacity_index: The workers by free capacity.
        allocations: Resources by team and instances by location.
        history: Which batch runs were on each worker when.
        estimates: Learnt sizes and run times.
        interference: Learnt interference of batch runs with services.
        latencies: Load and tail latency of the services.
        quarantine: The workers that fail runs.
        batch_runs_count: The number of batch runs on all workers.
        live_workers: The workers whose agents hold a live lease.
    """

    def __init__(self, *, seed: int = 1):
        self.capacity_index = capacity_index.CapacityIndex(seed=seed)
        self.allocations = allocations_module.Allocations()
        self.history = colocation.ColocationHistory()
        self.estimates = estimates_module.Estimates()
        self.interference = interference_module.ServiceInterference()
        self.latencies = latency_module.ServiceLatencies()
        self.quarantine = quarantine_module.Quarantine()
        self.batch_runs_count = 0
        self.live_workers: set[str] = set()
        self._colocated: dict[str, colocation.ColocatedRuns] = {}

    def refresh_worker(
        self, tables: tables_module.Tables, worker: str, *, now: Now
    ) -> capacity_index.WorkerView | None:
        """Updates one worker from its record and runs."""
        old = self.capacity_index.views.get(worker)
        view = self.capacity_index.refresh(
            tables,
            worker,
            is_available=worker in self.live_workers
            and self._may_start(tables, worker),
            charge=self.estimates.charged_resources,
        )
        self.allocations.update(tables, worker, old, view)
        before = self.colocated_runs(worker)
        runs = colocation.runs_on_worker(tables, worker)
        self._colocated[worker] = runs
        self.batch_runs_count += len(runs.batch) - len(before.batch)
        self.history.record(worker, runs.started, now_s=now.monotonic_s)
        return view

    def colocated_runs(self, worker: str) -> colocation.ColocatedRuns:
        """The runs on a worker, including grants of this round."""
        return self._colocated.get(worker, _NO_RUNS)

    def record_grant(
        self, worker: str, task_view: task_view_module.TaskView, *, now: Now
    ) -> None:
        """Records a grant that is not in the state yet.

        The next `refresh_worker` undoes it.
        """
        self.capacity_index.subtract_free(worker, task_view.demand)
        record = self.capacity_index.views[worker].record
        self.allocations.record_grant(
            task_view.task.owner, task_view.team, record, task_view.demand
        )
        runs = self.colocated_runs(worker)
        name = task_view.task.name
        match task_view.task.kind:
            case ttypes.Kind.BATCH_JOB:
                neighbour = colocation.Neighbour(
                    name,
                    task_view.family,
                    cpu_millicores=task_view.demand.cpu_millicores,
                    granted_unix_ms=now.unix_ms,
                )
                runs.batch.append(neighbour)
                self.batch_runs_count += 1
            case ttypes.Kind.SERVICE:
                run = colocation.ServiceRun(name, task_view.task.owner)
                runs.services.append(run)

    def predict_latency(
        self,
        service: str,
        neighbours: list[colocation.Neighbour],
        *,
        now: Now,
        ahead_s: float = 0.0,
    ) -> interference_module.Prediction:
        """Predicts a service's tail latency beside neighbours.

        Args:
            service: The service.
            neighbours: The batch runs that share the worker.
            now: The time of the round.
            ahead_s: How far ahead the highest expected load counts.
        """
        load = self.latencies.peak_load(
            service, ahead_s=ahead_s, now_s=now.monotonic_s
        )
        return self.interference.predict(service, neighbours, load=load)

    def latency_limit(
        self,
        policy: ttypes.Policy,
        service: str,
        prediction: interference_module.Prediction,
        *,
        now: Now,
    ) -> float:
        """The highest tail latency that sharing may cause a service."""
        is_guarded = self.latencies.is_suspended(service, now_s=now.monotonic_s)
        return latency_module.latency_limit(
            policy, prediction, guarded=is_guarded
        )

    def _may_start(self, tables: tables_module.Tables, worker: str) -> bool:
        """Whether a worker's health status allows new runs.

        On probation it may have one run at a time.
        """
        match self.quarantine.status_of(worker):
            case quarantine_module.HealthStatus.GOOD:
                return True
            case quarantine_module.HealthStatus.PROBATION:
                return not tables.tasks_by_worker.get(worker)
            case _:
                return False
