"""Simulated workers and the true behaviour of tasks, hidden from the decisions.

A latency-critical task has a tail latency of tail / (1 - x), where x is its own
utilization plus the interference of best-effort tasks. A sampled tail latency
is noisy, smoothed and rounded to whole milliseconds; sampled processor time lags
by `_CPU_USAGE_DELAY_S`.
"""

import collections
import dataclasses
import math

import numpy

from experiments import loads
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

STEP_S = 0.05
_TAIL_SMOOTHING_S = 0.4
_CPU_USAGE_DELAY_S = 0.3
_QUOTA_DELAY_S = 0.1
_RESTORE_DELAY_S = 0.5
_SAMPLE_NOISE = 0.05
# Standard deviation, in logarithms, of how the tasks of a job share its load.
_LOAD_FACTOR_SPREAD = 0.1
_UTILIZATION_LIMIT = 0.97
_CHECKPOINT_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class SimulatedRun:
    """A run of a task on a simulated worker.

    Attributes:
        key: Task name and run number.
        step: The step that the task belongs to.
        job_id: Id of the job.
        work_s: Run time at full speed; infinite for a long-running task.
        done_s: Completed part of `work_s`.
        checkpoint_s: Part of `work_s` that the last checkpoint holds.
        start_s: Time at which it starts.
        load_phase: Phase of its job's load.
        load_factor: Its load relative to the mean of its job.
        used_cores: Cores that it used in the last step.
        quota_percent: CPU quota in force.
        next_quota_percent: CPU quota last ordered.
        quota_change_s: Time at which that quota takes effect.
        tail_ms: Current tail latency, for a latency-critical task.
        smoothed_tail_ms: The same, exponentially smoothed.
        recent_millicores: CPU use of the last steps, newest last.
    """

    key: task_names.RunKey
    step: ttypes.Step
    job_id: str
    work_s: float
    done_s: float
    checkpoint_s: float
    start_s: float
    load_phase: float
    load_factor: float = 1.0
    used_cores: float = 0.0
    quota_percent: int = 100
    next_quota_percent: int = 100
    quota_change_s: float = math.inf
    tail_ms: float = 0.0
    smoothed_tail_ms: float = 0.0
    recent_millicores: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=int(_CPU_USAGE_DELAY_S / STEP_S)
        )
    )

    @property
    def cores(self) -> float:
        """Cores that the task declares."""
        return self.step.resources.cpu_millicores / 1000


class GroundTruth:
    """True interference and load of a day, hidden from the decisions."""

    def __init__(self, load: loads.Load, random: numpy.random.Generator):
        self._load = load
        heavy = random.random((100, 100)) < load.heavy_share
        scale = random.uniform(0.7, 1.3, size=(100, 100))
        whole_worker = numpy.where(heavy, load.heavy_press, load.light_press)
        self._interference = whole_worker * scale

    def interference(
        self, latency_critical_image: str, best_effort_image: str
    ) -> float:
        """Returns the utilization that a fully used worker adds to a task."""
        return self._interference[
            int(latency_critical_image[1:]), int(best_effort_image[1:])
        ]

    def own_utilization(self, run: SimulatedRun, now_s: float) -> float:
        """Returns a latency-critical task's utilization by its own users."""
        angle = 2 * math.pi * (now_s / self._load.swing_s + run.load_phase)
        swing = self._load.swing_share * math.sin(angle)
        return self._load.load_ratio * run.load_factor * (1 + swing)

    def tail_ms(self, utilization: float) -> float:
        """Returns the tail latency at a utilization."""
        return self._load.tail_ms / (1 - min(utilization, _UTILIZATION_LIMIT))


@dataclasses.dataclass(slots=True)
class CoreSeconds:
    """Core-seconds of all workers, by use."""

    served: float = 0.0
    batch: float = 0.0
    filled: float = 0.0
    paced_away: float = 0.0
    contended: float = 0.0
    idle: float = 0.0
    thrown_away: float = 0.0


class SimulatedWorker:
    """A simulated worker and its runs.

    Attributes:
        name: Name of its agent.
        cores: Number of cores.
        runs: Current runs by task name and run number.
        is_up: Whether the worker is running.
    """

    def __init__(self, name: str, cores: float, ground_truth: GroundTruth):
        self.name = name
        self.cores = cores
        self.runs: dict[task_names.RunKey, SimulatedRun] = {}
        self.is_up = True
        self._ground_truth = ground_truth

    def start(self, run: SimulatedRun) -> None:
        """Starts a run, from its checkpoint if it has one."""
        if run.checkpoint_s:
            run.start_s += _RESTORE_DELAY_S
        self.runs[run.key] = run

    def throttle(
        self, key: task_names.RunKey, percent: int, now_s: float
    ) -> None:
        """Orders a CPU quota, which takes effect after `_QUOTA_DELAY_S`."""
        run = self.runs[key]
        if run.next_quota_percent != percent:
            run.next_quota_percent = percent
            run.quota_change_s = now_s + _QUOTA_DELAY_S

    def advance(self, now_s: float, use: CoreSeconds) -> list[SimulatedRun]:
        """Simulates one step and returns the runs that completed."""
        for run in self.runs.values():
            if now_s >= run.quota_change_s:
                run.quota_percent, run.quota_change_s = (
                    run.next_quota_percent,
                    math.inf,
                )
        working = [r for r in self.runs.values() if now_s >= r.start_s]
        free_cores = self.cores
        for run in working:
            if run.step.best_effort:
                continue
            run.used_cores = run.cores
            if run.step.tail_target_ms:
                utilization = self._ground_truth.own_utilization(run, now_s)
                run.used_cores = run.cores * min(1.0, utilization)
                use.served += run.used_cores * STEP_S
            else:
                use.batch += run.used_cores * STEP_S
            free_cores -= run.used_cores
        free_cores = self._run_best_effort(working, max(0.0, free_cores), use)
        use.idle += free_cores * STEP_S
        self._update_latencies(working, now_s)
        return self._record_progress(working)

    def _run_best_effort(
        self, working: list[SimulatedRun], free_cores: float, use: CoreSeconds
    ) -> float:
        best_effort = [run for run in working if run.step.best_effort]
        requested_cores = sum(
            run.cores * run.quota_percent / 100 for run in best_effort
        )
        speed = (
            min(1.0, free_cores / requested_cores) if requested_cores else 0.0
        )
        for run in best_effort:
            allowed_cores = run.cores * run.quota_percent / 100
            run.used_cores = allowed_cores * speed
            use.filled += run.used_cores * STEP_S
            use.paced_away += (run.cores - allowed_cores) * STEP_S
            use.contended += (allowed_cores - run.used_cores) * STEP_S
        return free_cores - requested_cores * speed

    def _update_latencies(
        self, working: list[SimulatedRun], now_s: float
    ) -> None:
        shares: dict[str, float] = collections.defaultdict(float)
        for run in working:
            if run.step.best_effort:
                shares[run.step.image] += run.used_cores / self.cores
        for run in working:
            if not run.step.tail_target_ms:
                run.recent_millicores.append(run.used_cores * 1000)
                continue
            utilization = self._ground_truth.own_utilization(run, now_s) + sum(
                self._ground_truth.interference(run.step.image, image) * share
                for image, share in shares.items()
            )
            run.tail_ms = self._ground_truth.tail_ms(utilization)
            decay = math.exp(-STEP_S / _TAIL_SMOOTHING_S)
            previous_ms = run.smoothed_tail_ms or run.tail_ms
            run.smoothed_tail_ms = run.tail_ms + decay * (
                previous_ms - run.tail_ms
            )

    def _record_progress(
        self, working: list[SimulatedRun]
    ) -> list[SimulatedRun]:
        completed = []
        for run in working:
            run.done_s += STEP_S * run.used_cores / run.cores
            if run.step.checkpointing:
                checkpoint_s = run.done_s - run.done_s % _CHECKPOINT_INTERVAL_S
                run.checkpoint_s = max(run.checkpoint_s, checkpoint_s)
            if run.done_s >= run.work_s:
                completed.append(run)
        for run in completed:
            del self.runs[run.key]
        return completed

    def samples(self, random: numpy.random.Generator) -> list[ttypes.RunSample]:
        """Returns noisy samples of the current runs."""
        return [_sample(run, random) for run in self.runs.values()]


def draw_load_factor(random: numpy.random.Generator) -> float:
    """Draws the load of a task relative to the mean of its job."""
    return random.lognormal(0.0, _LOAD_FACTOR_SPREAD)


def _sample(
    run: SimulatedRun, random: numpy.random.Generator
) -> ttypes.RunSample:
    load = run.recent_millicores[0] if run.recent_millicores else 0.0
    if run.step.tail_target_ms:
        load = run.smoothed_tail_ms
    percent = 100
    if math.isfinite(run.work_s):
        percent = int(100 * run.done_s / run.work_s)
    return ttypes.RunSample(
        task=run.key[0],
        run=run.key[1],
        percent=percent,
        load=round(load * random.lognormal(0.0, _SAMPLE_NOISE)),
        quota_percent=run.next_quota_percent,
    )
