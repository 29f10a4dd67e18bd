"""Generates the jobs that are submitted in the course of a simulated day."""

from collections.abc import Iterator
import dataclasses
import itertools

import numpy

from experiments import loads
from marigoldsill.protocol.generated import ttypes

POOL = "pool"
LATENCY_CRITICAL, BEST_EFFORT, BATCH = "lasting", "filling", "batch"
QUEUES = (
    ttypes.Queue(
        name=LATENCY_CRITICAL,
        pool=POOL,
        stretch_ratio=2.0,
        latency_target_ms=2_500,
    ),
    ttypes.Queue(
        name=BEST_EFFORT,
        pool=POOL,
        priority=2,
        attempts_limit=4,
        stretch_ratio=2.0,
        latency_target_ms=1_000,
    ),
    ttypes.Queue(
        name=BATCH, pool=POOL, stretch_ratio=1.5, latency_target_ms=250
    ),
)
_MEMORY_BYTES = 1 << 28
# Most latency-critical jobs arrive within the first seconds of the day.
_EARLY_JOBS_SHARE = 0.75
_EARLY_ARRIVAL_LIMIT_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A job and when it is submitted.

    Attributes:
        arrival_s: Time of submission, in seconds of virtual time.
        job: The submitted job.
        run_times_s: True run time of each task, by step.
        load_phase: Phase of the load of its latency-critical tasks, from 0
            to 1.
    """

    arrival_s: float
    job: ttypes.Job
    run_times_s: tuple[tuple[float, ...], ...]
    load_phase: float


def generate(load: loads.Load, random: numpy.random.Generator) -> list[Arrival]:
    """Returns all jobs of a day in order of arrival."""
    job_numbers = itertools.count(1)
    generated = itertools.chain(
        _latency_critical_jobs(load, random, job_numbers),
        _best_effort_jobs(load, random, job_numbers),
        _batch_jobs(load, random, job_numbers),
    )
    return sorted(generated, key=lambda arrival: arrival.arrival_s)


def _latency_critical_jobs(load, random, job_numbers) -> Iterator[Arrival]:
    for number in range(load.lasting_jobs_count):
        is_early = number < _EARLY_JOBS_SHARE * load.lasting_jobs_count
        arrival_s = random.uniform(
            0, _EARLY_ARRIVAL_LIMIT_S if is_early else load.length_s
        )
        is_spread = random.random() < load.lasting_spread_share
        step = ttypes.Step(
            tasks_count=_draw_count(random, load.lasting_width, 0.3),
            resources=_draw_resources(random, load.lasting_cores),
            after=[],
            spread_limit=2 if is_spread else 0,
            long_running=True,
            image=f"s{random.integers(load.serving_images_count)}",
            tail_target_ms=int(load.target_ms),
        )
        yield _make_arrival(
            arrival_s, LATENCY_CRITICAL, job_numbers, [step], [()], random
        )


def _best_effort_jobs(load, random, job_numbers) -> Iterator[Arrival]:
    begin_s, end_s = load.filling_burst_s
    arrival_s = 0.0
    while True:
        in_burst = begin_s <= arrival_s < end_s
        rate_factor = load.filling_burst_factor if in_burst else 1.0
        rate_per_s = max(1e-9, load.filling_jobs_per_s * rate_factor)
        arrival_s += random.exponential(1 / rate_per_s)
        if arrival_s >= load.length_s:
            return
        steps, run_times_s = [], []
        steps_count = 1 + random.poisson(max(0, load.filling_steps_mean - 1))
        for number in range(steps_count):
            mean_run_s = load.filling_run_s * random.lognormal(-0.1, 0.45)
            tasks_count = _draw_count(random, load.filling_width, 0.6)
            steps.append(
                ttypes.Step(
                    tasks_count=tasks_count,
                    resources=_draw_resources(random, load.filling_cores),
                    estimated_ms=_draw_estimate_ms(load, random, mean_run_s),
                    after=[number - 1] if number else [],
                    checkpointing=random.random() < 0.8,
                    image=f"f{random.integers(load.filling_images_count)}",
                    best_effort=True,
                )
            )
            run_times_s.append(
                tuple(mean_run_s * random.lognormal(0, 0.2, size=tasks_count))
            )
        yield _make_arrival(
            arrival_s, BEST_EFFORT, job_numbers, steps, run_times_s, random
        )


def _batch_jobs(load, random, job_numbers) -> Iterator[Arrival]:
    arrival_s = 0.0
    while True:
        arrival_s += random.exponential(1 / max(1e-9, load.batch_jobs_per_s))
        if arrival_s >= load.length_s:
            return
        mean_run_s = load.batch_run_s * random.lognormal(-0.1, 0.45)
        tasks_count = _draw_count(random, load.batch_width, 0.6)
        step = ttypes.Step(
            tasks_count=tasks_count,
            resources=_draw_resources(random, load.batch_cores),
            estimated_ms=_draw_estimate_ms(load, random, mean_run_s),
            after=[],
        )
        run_times_s = tuple(
            mean_run_s * random.lognormal(0, 0.2, size=tasks_count)
        )
        yield _make_arrival(
            arrival_s, BATCH, job_numbers, [step], [run_times_s], random
        )


def _make_arrival(
    arrival_s, queue, job_numbers, steps, run_times_s, random
) -> Arrival:
    job = ttypes.Job(
        job_id=f"{queue[0]}{next(job_numbers)}",
        queue=queue,
        command="",
        steps=steps,
    )
    return Arrival(arrival_s, job, tuple(run_times_s), random.random())


def _draw_count(random, mean: float, spread: float) -> int:
    return max(1, round(mean * random.lognormal(-(spread**2) / 2, spread)))


def _draw_resources(random, cores: float) -> ttypes.Resources:
    millicores = int(1000 * cores * random.lognormal(-0.03, 0.25))
    return ttypes.Resources(
        cpu_millicores=max(50, millicores), memory_bytes=_MEMORY_BYTES
    )


def _draw_estimate_ms(load, random, mean_run_s: float) -> int:
    error_ratio = random.lognormal(0.0, load.estimate_spread)
    return max(10, int(1000 * mean_run_s * error_ratio))
