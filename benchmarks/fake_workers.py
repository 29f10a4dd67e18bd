"""Simulates workers in virtual time for the real placement decisions.

Each service has a higher latency beside batch runs, by factors that are hidden
from the decisions, differ by pair and grow with load. Measurements are delayed.
"""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import math
import random
from typing import Protocol

from hdrh import histogram

from benchmarks import arrivals
from benchmarks import scenarios
from benchmarks import true_behaviour
from marigoldsill.coordination.leadership import change_set
from marigoldsill.coordination.learning import usage as usage_module
from marigoldsill.coordination.placement import fleet
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

_MEASUREMENT_INTERVAL_S = 2
_COMMAND_FIELDS = {
    ttypes.AssignRuns: "assign_runs",
    ttypes.EvictRuns: "evict_runs",
    ttypes.ThrottleRuns: "throttle_runs",
    ttypes.MarkTasks: "mark_tasks",
    ttypes.PutWorker: "put_worker",
}


class PlacementPolicy(Protocol):
    """A placement policy: the decision engine or a baseline."""

    def apply_changes(self, tables, changes, *, live, now) -> None:
        """Processes the changes of the tables."""

    def observe(self, tables, measurements, *, now) -> None:
        """Processes delayed measurements."""

    def run_round(self, tables, *, now) -> list:
        """Returns the commands to apply."""


@dataclasses.dataclass(slots=True)
class SimulationResult:
    """Figures of one simulation.

    Attributes:
        latency: Latencies of requests relative to their targets, in
            thousandths.
        done_core_s: Batch work that was done and not lost.
        violations_count: Worker steps in which reservations exceeded the
            capacity.
        overused_count: Worker steps in which true use exceeded the capacity.
    """

    latency: histogram.HdrHistogram
    done_core_s: float = 0.0
    lost_core_s: float = 0.0
    completed_count: int = 0
    deadlines_met_count: int = 0
    evictions_count: int = 0
    throttles_count: int = 0
    violations_count: int = 0
    overused_count: int = 0

    def latency_ratio(self, percentile: float) -> float:
        """Returns a percentile of the latency relative to the target."""
        return self.latency.get_value_at_percentile(percentile) / 1000


class SimulatedFleet:
    """Simulated workers with services and arriving batch jobs."""

    def __init__(self, scenario: scenarios.Scenario, policy: ttypes.Policy):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._ground_truth = true_behaviour.GroundTruth(scenario, self._random)
        self._progress_s: dict[tuple[str, int], float] = {}
        self._pending_measurements: list[
            tuple[float, int, usage_module.Measurement]
        ] = []
        self._measurement_numbers = itertools.count()
        self._now_s = 0.0
        self.changes = change_set.ChangeSet()
        self.tables = tables_module.Tables()
        self.tables.policy = policy
        self.live = set()
        self.result = SimulationResult(histogram.HdrHistogram(1, 1_000_000, 3))
        self._add_workers()
        self._arrivals = arrivals.generate(scenario, self._random)

    def run(self, policy: PlacementPolicy) -> SimulationResult:
        """Simulates the whole scenario with a policy and returns the result."""
        self._confirm_changes(
            ttypes.Change(
                verb=ttypes.ChangeVerb.ADD,
                subject=f"service/{spec.name}",
                service_after=arrivals.make_service(spec),
            )
            for spec in self._scenario.services
        )
        for step in range(self._scenario.duration_s):
            self._now_s = float(step)
            self._submit_due_jobs()
            now = fleet.Now(self._now_s, self._now_unix_ms())
            changes, self.changes = self.changes, change_set.ChangeSet()
            policy.apply_changes(self.tables, changes, live=self.live, now=now)
            policy.observe(self.tables, self._take_due_measurements(), now=now)
            for body in policy.run_round(self.tables, now=now):
                self._count_actions(body)
                self._apply(**{_COMMAND_FIELDS[type(body)]: body})
            self._advance_workers()
        return self.result

    def _now_unix_ms(self) -> int:
        return arrivals.START_UNIX_MS + int(self._now_s * 1000)

    def _apply(self, **body: object) -> None:
        command = ttypes.Command(proposed_unix_ms=self._now_unix_ms(), **body)
        state_machine.apply(self.tables, command)
        self.changes.add(
            command,
            workers=self.tables.pop_changed_workers(),
            tasks=self.tables.pop_changed_tasks(),
        )

    def _count_actions(self, body: object) -> None:
        match body:
            case ttypes.EvictRuns(evictions=evictions):
                self.result.evictions_count += len(evictions)
            case ttypes.ThrottleRuns(throttles=throttles):
                self.result.throttles_count += len(throttles)

    def _add_workers(self) -> None:
        for i in range(self._scenario.workers_count):
            worker = ttypes.Worker(
                name=f"w{i}",
                data_centre=f"d{i % 3}",
                rack=f"r{i // 9}",
                capacity=ttypes.Resources(
                    self._scenario.cores * 1000, 130 * arrivals.GIB, 0
                ),
                agent_address="",
            )
            self.live.add(worker.name)
            self._apply(put_worker=ttypes.PutWorker(worker=worker))

    def _submit_due_jobs(self) -> None:
        due = []
        while self._arrivals and self._arrivals[-1][0] <= self._now_s:
            due.append(self._arrivals.pop()[1])
        self._confirm_changes(
            ttypes.Change(
                verb=ttypes.ChangeVerb.ADD,
                subject=f"batch_job/{job.name}",
                batch_job_after=job,
            )
            for job in due
        )

    def _confirm_changes(self, changes: Iterator[ttypes.Change]) -> None:
        plan = ttypes.Plan(
            operator_name="bench",
            state_version=self.tables.state_version,
            changes=list(changes),
        )
        if not plan.changes:
            return
        plan_id = self.tables.next_plan_id
        self._apply(record_plan=ttypes.RecordPlan(plan=plan))
        self._apply(
            confirm_plan=ttypes.ConfirmPlan(
                plan_id=plan_id, operator_name="bench"
            )
        )

    def _take_due_measurements(self) -> list[usage_module.Measurement]:
        due = []
        while (
            self._pending_measurements
            and self._pending_measurements[0][0] <= self._now_s
        ):
            due.append(heapq.heappop(self._pending_measurements)[2])
        return due

    def _advance_workers(self) -> None:
        events: list[ttypes.RunEvent] = []
        for worker in self.tables.workers.values():
            tasks = self.tables.tasks_on(worker.name)
            self._check_reservations(worker, tasks)
            used_millicores = self._cpu_use_millicores(tasks)
            overload_ratio = max(
                1.0, used_millicores / worker.capacity.cpu_millicores
            )
            self.result.overused_count += overload_ratio > 1
            for task in tasks:
                self._advance_task(
                    task, tasks, worker.name, overload_ratio, events
                )
        if events:
            self._apply(record_run_events=ttypes.RecordRunEvents(events=events))

    def _check_reservations(
        self, worker: ttypes.Worker, tasks: list[ttypes.Task]
    ) -> None:
        reserved = amounts.ZERO
        for task in tasks:
            reserved = amounts.add(reserved, task.reserved)
        if not amounts.fits(reserved, worker.capacity):
            self.result.violations_count += 1

    def _cpu_use_millicores(self, tasks: list[ttypes.Task]) -> float:
        return sum(
            self._ground_truth.cpu_millicores(task, now_s=self._now_s)
            for task in tasks
        )

    def _advance_task(
        self,
        task: ttypes.Task,
        tasks: list[ttypes.Task],
        worker: str,
        overload_ratio: float,
        events: list[ttypes.RunEvent],
    ) -> None:
        kind = ttypes.RunEventKind
        if task.state == ttypes.TaskState.ASSIGNED:
            start_s = task.worked_ms / 1000
            self._progress_s[task.name, task.epoch] = start_s
            events.append(ttypes.RunEvent(task.name, task.epoch, kind.STARTED))
            return
        if task.state == ttypes.TaskState.STOPPING:
            events.append(self._make_stop_event(task))
            return
        latency_us = 0
        if task.kind == ttypes.Kind.SERVICE:
            latency_us = self._ground_truth.serve_requests(
                task,
                tasks,
                overload_ratio=overload_ratio,
                now_s=self._now_s,
                latency=self.result.latency,
            )
        else:
            rate = true_behaviour.work_rate(task)
            family = self._ground_truth.family(task)
            key = (task.name, task.epoch)
            self._progress_s[key] += rate / overload_ratio
            self.result.done_core_s += family.cores * rate / overload_ratio
            if self._progress_s[key] >= family.run_time_s:
                self._complete_task(task, events)
                return
        if int(self._now_s) % _MEASUREMENT_INTERVAL_S == 0:
            self._add_measurement(task, worker, latency_us, overload_ratio)

    def _make_stop_event(self, task: ttypes.Task) -> ttypes.RunEvent:
        event = ttypes.RunEvent(
            task.name, task.epoch, ttypes.RunEventKind.STOPPED
        )
        if task.kind != ttypes.Kind.BATCH_JOB:
            return event
        family = self._ground_truth.family(task)
        progress_s = self._progress_s.pop((task.name, task.epoch))
        if family.checkpointable:
            event.checkpoint_id = f"c{task.epoch}"
            event.worked_ms = int(progress_s * 1000)
            return event
        lost_core_s = family.cores * (progress_s - task.worked_ms / 1000)
        self.result.lost_core_s += lost_core_s
        self.result.done_core_s -= lost_core_s
        return event

    def _complete_task(
        self, task: ttypes.Task, events: list[ttypes.RunEvent]
    ) -> None:
        events.append(
            ttypes.RunEvent(
                task.name, task.epoch, ttypes.RunEventKind.COMPLETED
            )
        )
        self.result.completed_count += 1
        deadline_unix_ms = self.tables.batch_jobs[task.owner].deadline_unix_ms
        if deadline_unix_ms:
            self.result.deadlines_met_count += (
                self._now_unix_ms() <= deadline_unix_ms
            )

    def _add_measurement(
        self,
        task: ttypes.Task,
        worker: str,
        latency_us: int,
        overload_ratio: float,
    ) -> None:
        noise = self._random.gauss(0, 0.12)
        measurement = usage_module.Measurement(
            worker,
            ttypes.Usage(
                task=task.name,
                cpu_millicores=int(
                    self._ground_truth.cpu_millicores(task, now_s=self._now_s)
                    / overload_ratio
                    * self._random.uniform(0.9, 1.0)
                ),
                memory_bytes=task.reserved.memory_bytes // 2,
                age_ms=int(self._scenario.lag_s * 1000),
                latency_p99_us=int(latency_us * math.exp(noise)),
                progress_ms=int(
                    1000 * self._progress_s.get((task.name, task.epoch), 0)
                ),
            ),
            self._now_s,
        )
        due_s = self._now_s + self._scenario.lag_s
        heapq.heappush(
            self._pending_measurements,
            (due_s, next(self._measurement_numbers), measurement),
        )
