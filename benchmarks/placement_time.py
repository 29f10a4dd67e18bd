"""Measures the time of placement by the number of workers and queued tasks.

The workers are nearly full, and 74 runs end and start in each round of 0.1 s,
which gives the 740 starts per second of the target size.
"""

import random
import time

from benchmarks import table
from marigoldsill.coordination.deciding import decision_engine
from marigoldsill.coordination.leadership import change_set
from marigoldsill.coordination.learning import usage as usage_module
from marigoldsill.coordination.placement import fleet
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

_SIZES = (
    (10, 1_000),
    (100, 1_000),
    (1000, 1_000),
    (5400, 1_000),
    (5400, 17_000),
)
_RUNS_PER_WORKER = 12
_STARTS_PER_ROUND = 74
_ROUNDS_COUNT = 10
_ROUND_S = 0.1
_FAMILIES_COUNT = 40
_GIB = 1 << 30
_START_UNIX_MS = 1_800_000_000_000
_GROWTH_LIMIT_RATIO = 4.0


class _SimulatedLeader:
    """A leader's decisions for workers that are full of runs, and a queue."""

    def __init__(self, workers_count: int, queued_count: int):
        self._random = random.Random(5)
        self._now_s = 0.0
        self._job_numbers = iter(range(1 << 40))
        self.tables = tables_module.Tables()
        self.decisions = decision_engine.DecisionEngine()
        self._changes = change_set.ChangeSet()
        for i in range(workers_count):
            self._apply(put_worker=ttypes.PutWorker(worker=_make_worker(i)))
        self._live_workers = set(self.tables.workers)
        running_count = workers_count * _RUNS_PER_WORKER
        for _ in range(running_count + queued_count):
            self._queue_job()
        self._start_runs(running_count)

    def run_round(self) -> tuple[float, float, int]:
        """Ends some runs and runs one round.

        Returns:
            Seconds of deciding and of applying, and the number of starts.
        """
        self._now_s += _ROUND_S
        running = self._running
        ended = [
            running.pop(self._random.randrange(len(running)))
            for _ in range(min(_STARTS_PER_ROUND, len(running)))
        ]
        self._report_events(ended, ttypes.RunEventKind.COMPLETED)
        for _ in ended:
            self._queue_job()
        begin_s = time.perf_counter()
        changes, self._changes = self._changes, change_set.ChangeSet()
        now = self._now()
        self.decisions.apply_changes(
            self.tables, changes, live=self._live_workers, now=now
        )
        bodies = self.decisions.run_round(self.tables, now=now)
        decided_s = time.perf_counter()
        grants = [
            grant
            for body in bodies
            if isinstance(body, ttypes.AssignRuns)
            for grant in body.assignments
        ]
        self._apply(assign_runs=ttypes.AssignRuns(assignments=grants))
        applied_s = time.perf_counter()
        names = [grant.task for grant in grants]
        self._report_events(names, ttypes.RunEventKind.STARTED)
        running += names
        return decided_s - begin_s, applied_s - decided_s, len(grants)

    def measure_rebuild(self) -> list[float]:
        """Rebuilds the soft state; returns the seconds of each round."""
        engine = decision_engine.DecisionEngine()
        rounds_s = []
        begin_s = time.perf_counter()
        engine.rebuild(self.tables, live=self._live_workers, now=self._now())
        while not engine.is_up_to_date:
            rounds_s.append(time.perf_counter() - begin_s)
            begin_s = time.perf_counter()
            engine.apply_changes(
                self.tables,
                change_set.ChangeSet(),
                live=self._live_workers,
                now=self._now(),
            )
        return [*rounds_s, time.perf_counter() - begin_s]

    def measure_learning_us(self) -> float:
        """Returns the microseconds to learn from one measurement."""
        self._now_s += 5.0
        usage = usage_module.UsageTable()
        begin_s = time.perf_counter()
        for name in self.tables.workers:
            usage.add(
                name,
                [
                    ttypes.Usage(task, 900, _GIB, 100)
                    for task in self.tables.tasks_by_worker.get(name, ())
                ],
                now_s=self._now_s,
            )
        measurements = usage.take_measurements()
        self.decisions.observe(self.tables, measurements, now=self._now())
        return (time.perf_counter() - begin_s) / len(measurements) * 1e6

    def _start_runs(self, running_count: int) -> None:
        names = list(self.tables.queued)[:running_count]
        workers = list(self.tables.workers)
        grants = [
            ttypes.Assignment(
                name,
                1,
                workers[i % len(workers)],
                self.tables.owner_record(self.tables.tasks[name]).resources,
            )
            for i, name in enumerate(names)
        ]
        self._apply(assign_runs=ttypes.AssignRuns(assignments=grants))
        self._running = [
            name for name in names if self.tables.tasks[name].epoch
        ]
        self._report_events(self._running, ttypes.RunEventKind.STARTED)
        self._changes = change_set.ChangeSet()
        self.decisions.rebuild(
            self.tables, live=self._live_workers, now=self._now()
        )
        while not self.decisions.is_up_to_date:
            self.decisions.apply_changes(
                self.tables,
                change_set.ChangeSet(),
                live=self._live_workers,
                now=self._now(),
            )
        estimates = self.decisions.fleet.estimates
        for i in range(_FAMILIES_COUNT):
            name = f"kind{i}x"
            task = ttypes.Task(name=name, owner=name)
            resources = _family_resources(i)
            usage = ttypes.Usage(
                name, resources.cpu_millicores, resources.memory_bytes
            )
            estimates.observe(task, resources, usage, measured_s=0.0)

    def _queue_job(self) -> None:
        """Adds a queued job in the way that the confirmation of a plan does."""
        number = next(self._job_numbers)
        family = self._random.randrange(_FAMILIES_COUNT)
        job = ttypes.BatchJob(
            name=f"kind{family}x-{number}", resources=_family_resources(family)
        )
        self.tables.batch_jobs[job.name] = job
        self.tables.put_task(
            ttypes.Task(
                name=f"{job.name}/0",
                owner=job.name,
                kind=ttypes.Kind.BATCH_JOB,
                queued_unix_ms=self._now().unix_ms,
                reserved=ttypes.Resources(),
            )
        )

    def _report_events(
        self, names: list[str], kind: ttypes.RunEventKind
    ) -> None:
        events = [
            ttypes.RunEvent(name, self.tables.tasks[name].epoch, kind)
            for name in names
        ]
        self._apply(record_run_events=ttypes.RecordRunEvents(events=events))

    def _now(self) -> fleet.Now:
        return fleet.Now(self._now_s, _START_UNIX_MS + int(1000 * self._now_s))

    def _apply(self, **body: object) -> None:
        command = ttypes.Command(proposed_unix_ms=self._now().unix_ms, **body)
        state_machine.apply(self.tables, command)
        self._changes.add(
            command,
            workers=self.tables.pop_changed_workers(),
            tasks=self.tables.pop_changed_tasks(),
        )


def _make_worker(number: int) -> ttypes.Worker:
    return ttypes.Worker(
        name=f"w{number}",
        data_centre=f"d{number % 6}",
        rack=f"r{number // 60}",
        capacity=ttypes.Resources(32_000, 128 * _GIB, 0),
        agent_address="",
    )


def _family_resources(kind: int) -> ttypes.Resources:
    return ttypes.Resources(1000 + 75 * kind, (1 + kind % 5) * _GIB, 0)


def measure_rebuild(workers_count: int, queued_count: int) -> list[float]:
    """Returns the seconds of each round of a new leader's rebuild."""
    leader = _SimulatedLeader(workers_count, queued_count)
    return leader.measure_rebuild()


def measure_starts(
    workers_count: int, queued_count: int
) -> tuple[float, float, int]:
    """Returns microseconds of deciding and applying a start, and the starts."""
    leader = _SimulatedLeader(workers_count, queued_count)
    leader.run_round()
    rounds = [leader.run_round() for _ in range(_ROUNDS_COUNT)]
    starts = sum(count for _, _, count in rounds)
    decide_s = sum(decided_s for decided_s, _, _ in rounds)
    apply_s = sum(applied_s for _, applied_s, _ in rounds)
    return decide_s / starts * 1e6, apply_s / starts * 1e6, starts


def run() -> list[table.Row]:
    """Measures placement time; only its growth is bounded."""
    rows = []
    decide_us = {}
    for workers_count, queued_count in _SIZES:
        decide_one_us, apply_us, starts = measure_starts(
            workers_count, queued_count
        )
        decide_us[workers_count, queued_count] = decide_one_us
        size = f"{workers_count} workers, {queued_count} queued"
        rows += [
            table.Row(f"placement_time: a start, {size}", decide_one_us, "us"),
            table.Row(f"placement_time: applied, {size}", apply_us, "us"),
            table.Row(
                f"placement_time: share of a core at 740/s, {size}",
                740 * decide_one_us / 1e6,
                "ratio",
            ),
            table.Row(f"placement_time: starts, {size}", starts, "count"),
        ]
    leader = _SimulatedLeader(1000, 1000)
    leader.run_round()
    leader.measure_learning_us()
    rows.append(
        table.Row(
            "placement_time: learning from a measurement",
            leader.measure_learning_us(),
            "us",
        )
    )
    rounds_s = measure_rebuild(5400, 17_000)
    new_leader = "placement_time: soft state of a new leader, 5400 workers"
    rows += [
        table.Row(f"{new_leader}, in all", sum(rounds_s), "s"),
        table.Row(f"{new_leader}, longest round", max(rounds_s), "s"),
        table.Row(f"{new_leader}, rounds", len(rounds_s), "count"),
    ]
    growths = [
        ("5400 workers over 100", decide_us[5400, 1000] / decide_us[100, 1000]),
        (
            "17000 queued over 1000",
            decide_us[5400, 17_000] / decide_us[5400, 1000],
        ),
    ]
    rows += [
        table.Row(
            f"placement_time: a start, {what}",
            growth,
            "ratio",
            _GROWTH_LIMIT_RATIO,
            "max",
        )
        for what, growth in growths
    ]
    return rows


if __name__ == "__main__":
    print(table.render(run()))
