"""A small fake of workers that drives the real decisions by a virtual clock.

Each service waits longer beside batch runs, by factors that are hidden from
the decisions, differ by pair and grow with load. Measurements come late.
"""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import math
import random
from typing import Protocol

from hdrh import histogram

from marigoldsill.coordination import changes as changes_module
from marigoldsill.coordination import fleet
from marigoldsill.coordination import usage as usage_module
from marigoldsill.coordination.placement import amounts
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import machine
from marigoldsill.state import tables as tables_module

GB = 1 << 30
START_UNIX_MS = 1_800_000_000_000
_SPREAD = 0.35  # of one request's latency, in logarithms
_P99_OVER_MEDIAN = math.exp(2.326 * _SPREAD)
_REQUESTS_PER_STEP = 6
_MEASURE_EVERY_S = 2
_THROTTLED_RATE = 0.35
_BODY_NAMES = {
    ttypes.AssignRuns: "assign_runs",
    ttypes.EvictRuns: "evict_runs",
    ttypes.ThrottleRuns: "throttle_runs",
    ttypes.MarkTasks: "mark_tasks",
    ttypes.PutWorker: "put_worker",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Family:
    """A kind of batch job: what is declared and what is true."""

    name: str
    cores: float
    declared_ratio: float
    run_time_s: float
    share: float
    checkpointable: bool = True
    noisy: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service, and how much one run of each family really adds."""

    name: str
    instances_count: int
    cores: int
    median_ms: float
    target_ms: int
    added: dict[str, float]
    phase: float


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """What is tried.

    Attributes:
        lag_s: How late measurements come.
        wave_factor: What noisy families' disturbance is multiplied with in
            waves.
        offered_cores: Batch work that arrives, on average.
    """

    families: tuple[Family, ...]
    services: tuple[ServiceSpec, ...]
    workers_count: int = 14
    cores: int = 30
    duration_s: int = 1200
    lag_s: float = 5.0
    wave_factor: float = 1.0
    offered_cores: float = 230.0
    deadline_share: float = 0.3
    seed: int = 7


class Decider(Protocol):
    """What is measured: the real decisions, or a baseline."""

    def take_changes(self, tables, changes, *, live, now) -> None:
        """Takes in what changed."""

    def measure(self, tables, measurements, *, now) -> None:
        """Takes in late measurements."""

    def round(self, tables, *, now) -> list:
        """Gives commands to apply."""


@dataclasses.dataclass(slots=True)
class Result:
    """What came out.

    Attributes:
        latency: Of single requests, over the targets, in thousandths.
        done_core_s: Batch work done and kept.
        violations_count: Steps at which reservations exceeded a capacity.
        overused_count: Worker steps at which true use exceeded a capacity.
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
        """A percentile of the latency, in units of the target."""
        return self.latency.get_value_at_percentile(percentile) / 1000


class FakeFleet:
    """Workers, services and arriving batch jobs."""

    def __init__(self, scenario: Scenario, policy: ttypes.Policy):
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._families = {f.name: f for f in scenario.families}
        self._services = {s.name: s for s in scenario.services}
        self._progress_s: dict[tuple[str, int], float] = {}
        self._late: list[tuple[float, int, usage_module.Measurement]] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self.changes = changes_module.Changes()
        self.tables = tables_module.Tables()
        self.tables.policy = policy
        self.live = set()
        self.result = Result(histogram.HdrHistogram(1, 1_000_000, 3))
        self._add_workers()
        self._arrivals = self._plan_arrivals()

    def run(self, decider: Decider) -> Result:
        """Runs the scenario through."""
        self._declare(
            ttypes.Change(
                verb=ttypes.ChangeVerb.ADD,
                subject=f"service/{spec.name}",
                service_after=_service(spec),
            )
            for spec in self._scenario.services
        )
        for step in range(self._scenario.duration_s):
            self._now_s = float(step)
            self._arrive()
            now = fleet.Now(self._now_s, self._unix_ms())
            changes, self.changes = self.changes, changes_module.Changes()
            decider.take_changes(self.tables, changes, live=self.live, now=now)
            decider.measure(self.tables, self._due(), now=now)
            for body in decider.round(self.tables, now=now):
                self._count(body)
                self._apply(**{_BODY_NAMES[type(body)]: body})
            self._step_workers()
        return self.result

    def _unix_ms(self) -> int:
        return START_UNIX_MS + int(self._now_s * 1000)

    def _apply(self, **body: object) -> None:
        command = ttypes.Command(proposed_unix_ms=self._unix_ms(), **body)
        machine.apply(self.tables, command)
        self.changes.add(
            command,
            workers=self.tables.take_touched(),
            tasks=self.tables.take_touched_tasks(),
        )

    def _count(self, body: object) -> None:
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
                    self._scenario.cores * 1000, 130 * GB, 0
                ),
                agent_address="",
            )
            self.live.add(worker.name)
            self._apply(put_worker=ttypes.PutWorker(worker=worker))

    def _plan_arrivals(self) -> list[tuple[float, Family, ttypes.BatchJob]]:
        """The same jobs at the same times for every decider."""
        families = self._scenario.families
        work_s = sum(f.share * f.cores * f.run_time_s for f in families)
        rate = self._scenario.offered_cores / work_s
        arrivals, at_s = [], 0.0
        while at_s < self._scenario.duration_s:
            family = self._random.choices(
                families, [f.share for f in families]
            )[0]
            deadline_s = 0.0
            if self._random.random() < self._scenario.deadline_share:
                deadline_s = at_s + self._random.uniform(2, 4) * (
                    family.run_time_s
                )
            arrivals.append(
                (at_s, family, _job(family, len(arrivals), deadline_s))
            )
            # A backlog at the start, then a steady stream.
            if len(arrivals) > 60:
                at_s += self._random.expovariate(rate)
        return arrivals[::-1]

    def _arrive(self) -> None:
        due = []
        while self._arrivals and self._arrivals[-1][0] <= self._now_s:
            due.append(self._arrivals.pop()[2])
        self._declare(
            ttypes.Change(
                verb=ttypes.ChangeVerb.ADD,
                subject=f"batch_job/{job.name}",
                batch_job_after=job,
            )
            for job in due
        )

    def _declare(self, changes: Iterator[ttypes.Change]) -> None:
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

    def _due(self) -> list[usage_module.Measurement]:
        due = []
        while self._late and self._late[0][0] <= self._now_s:
            due.append(heapq.heappop(self._late)[2])
        return due

    def _step_workers(self) -> None:
        events: list[ttypes.RunEvent] = []
        for worker in self.tables.workers.values():
            tasks = self.tables.tasks_on(worker.name)
            self._check_capacity(worker, tasks)
            use = self._use(tasks)
            crowding = max(1.0, use / worker.capacity.cpu_millicores)
            self.result.overused_count += crowding > 1
            for task in tasks:
                self._step_task(task, tasks, worker.name, crowding, events)
        if events:
            self._apply(record_run_events=ttypes.RecordRunEvents(events=events))

    def _check_capacity(
        self, worker: ttypes.Worker, tasks: list[ttypes.Task]
    ) -> None:
        held = amounts.ZERO
        for task in tasks:
            held = amounts.add(held, task.reserved)
        if not amounts.fits(held, worker.capacity):
            self.result.violations_count += 1

    def _use(self, tasks: list[ttypes.Task]) -> float:
        return sum(self._cpu(task) for task in tasks)

    def _cpu(self, task: ttypes.Task) -> float:
        if task.state == ttypes.TaskState.ASSIGNED:
            return 0.0
        if task.kind == ttypes.Kind.SERVICE:
            spec = self._services[task.owner]
            return 1000 * spec.cores * self._load(spec)
        rate = _THROTTLED_RATE if task.throttled else 1.0
        return 1000 * rate * self._family(task).cores

    def _family(self, task: ttypes.Task) -> Family:
        return self._families[task.owner.partition("-")[0]]

    def _load(self, spec: ServiceSpec) -> float:
        wave = math.sin(2 * math.pi * (self._now_s / 600 + spec.phase))
        return 0.5 + 0.4 * wave

    def _step_task(
        self,
        task: ttypes.Task,
        tasks: list[ttypes.Task],
        worker: str,
        crowding: float,
        events: list[ttypes.RunEvent],
    ) -> None:
        kind = ttypes.RunEventKind
        if task.state == ttypes.TaskState.ASSIGNED:
            start_s = task.worked_ms / 1000
            self._progress_s[task.name, task.epoch] = start_s
            events.append(ttypes.RunEvent(task.name, task.epoch, kind.STARTED))
            return
        if task.state == ttypes.TaskState.STOPPING:
            events.append(self._stopped(task))
            return
        latency_us = 0
        if task.kind == ttypes.Kind.SERVICE:
            latency_us = self._serve(task, tasks, crowding)
        else:
            rate = _THROTTLED_RATE if task.throttled else 1.0
            family = self._family(task)
            key = (task.name, task.epoch)
            self._progress_s[key] += rate / crowding
            self.result.done_core_s += family.cores * rate / crowding
            if self._progress_s[key] >= family.run_time_s:
                self._complete(task, events)
                return
        if int(self._now_s) % _MEASURE_EVERY_S == 0:
            self._measure(task, worker, latency_us, crowding)

    def _stopped(self, task: ttypes.Task) -> ttypes.RunEvent:
        event = ttypes.RunEvent(
            task.name, task.epoch, ttypes.RunEventKind.STOPPED
        )
        if task.kind != ttypes.Kind.BATCH_JOB:
            return event
        family = self._family(task)
        progress_s = self._progress_s.pop((task.name, task.epoch))
        if family.checkpointable:
            event.checkpoint_id = f"c{task.epoch}"
            event.worked_ms = int(progress_s * 1000)
            return event
        lost = family.cores * (progress_s - task.worked_ms / 1000)
        self.result.lost_core_s += lost
        self.result.done_core_s -= lost
        return event

    def _complete(
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
                self._unix_ms() <= deadline_unix_ms
            )

    def _serve(
        self, task: ttypes.Task, tasks: list[ttypes.Task], crowding: float
    ) -> int:
        """Serves some requests; their true tail latency, in microseconds."""
        spec = self._services[task.owner]
        load = self._load(spec)
        added = sum(
            spec.added[self._family(other).name] * self._noise(other)
            for other in tasks
            if other.kind == ttypes.Kind.BATCH_JOB
            and other.state != ttypes.TaskState.ASSIGNED
        )
        median_ms = spec.median_ms * (1 + 0.8 * load**2)
        median_ms *= (1 + added * (0.4 + 1.2 * load**2)) * crowding**3
        for _ in range(_REQUESTS_PER_STEP):
            latency_ms = median_ms * math.exp(self._random.gauss(0, _SPREAD))
            ratio = latency_ms / spec.target_ms
            self.result.latency.record_value(max(1, int(1000 * ratio)))
        return int(1000 * median_ms * _P99_OVER_MEDIAN)

    def _noise(self, other: ttypes.Task) -> float:
        rate = _THROTTLED_RATE if other.throttled else 1.0
        in_wave = int(self._now_s / 120) % 3 == 2
        if in_wave and self._family(other).noisy:
            return rate * self._scenario.wave_factor
        return rate

    def _measure(
        self, task: ttypes.Task, worker: str, latency_us: int, crowding: float
    ) -> None:
        noise = self._random.gauss(0, 0.12)
        measurement = usage_module.Measurement(
            worker,
            ttypes.Usage(
                task=task.name,
                cpu_millicores=int(
                    self._cpu(task) / crowding * self._random.uniform(0.9, 1.0)
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
        heapq.heappush(self._late, (due_s, next(self._numbers), measurement))


def _service(spec: ServiceSpec) -> ttypes.Service:
    return ttypes.Service(
        name=spec.name,
        resources=ttypes.Resources(spec.cores * 1000, 8 * GB, 0),
        instances_count=spec.instances_count,
        latency_target_ms=spec.target_ms,
    )


def _job(family: Family, number: int, deadline_s: float) -> ttypes.BatchJob:
    deadline_unix_ms = 0
    if deadline_s:
        deadline_unix_ms = START_UNIX_MS + int(deadline_s * 1000)
    return ttypes.BatchJob(
        name=f"{family.name}-{number}",
        resources=ttypes.Resources(
            int(1000 * family.cores * family.declared_ratio), 2 * GB, 0
        ),
        run_time_ms=int(1000 * family.run_time_s * family.declared_ratio),
        deadline_unix_ms=deadline_unix_ms,
        checkpointable=family.checkpointable,
    )
