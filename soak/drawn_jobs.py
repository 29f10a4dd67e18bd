"""Draws the jobs of a soak that are not plain batch jobs."""

from collections.abc import Callable
import random
import time

from soak import history
from tests.platform import system as system_module

# Draws a job with its id and its body.
DrawJob = Callable[[str, random.Random], tuple[history.SubmittedJob, dict]]
# The range of the time from a start to the crash of the worker.
_CRASH_DELAYS_MS = (1, 300)
# Timed jobs: the number of occurrences, the delay of the first one, and the interval.
_OCCURRENCES_COUNTS = (1, 3)
_DELAYS_MS = (0, 2_500)
_INTERVALS_MS = (100, 900)


def draw_long_running_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job whose tasks run until it is cancelled."""
    step = system_module.step(numbers.randint(1, 2), long_running=True)
    job = history.SubmittedJob(job_id, [step["count"]], long_running=True)
    return job, {"spec": "last", "steps": [step]}


def draw_gang_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job whose tasks work only together."""
    step = system_module.step(numbers.randint(2, 4), gang=True)
    job = history.SubmittedJob(job_id, [step["count"]], gang=True)
    spec = f"gang {step['count']} {numbers.randint(100, 1_000)}"
    return job, {"spec": spec, "steps": [step]}


def draw_timed_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job with occurrences of two steps."""
    steps = [system_module.step(), system_module.step(after=[0])]
    delay_ms = numbers.randint(*_DELAYS_MS)
    interval_ms = numbers.randint(*_INTERVALS_MS)
    now_ns, now_unix_ms = time.monotonic_ns(), time.time_ns() // 1_000_000
    due_ns = [
        now_ns + (delay_ms + number * interval_ms) * 1_000_000
        for number in range(numbers.randint(*_OCCURRENCES_COUNTS))
    ]
    job = history.SubmittedJob(job_id, [1, 1], due_ns=due_ns)
    return job, {
        "spec": f"work {numbers.randint(20, 400)}",
        "steps": steps,
        "repeat_count": len(due_ns),
        "initial_delay_ms": now_unix_ms + delay_ms,
        "interval_ms": interval_ms,
    }


def draw_crashing_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job with a task that crashes every worker that starts it."""
    body = {
        "spec": f"crash {numbers.randint(*_CRASH_DELAYS_MS)}",
        "steps": [system_module.step()],
    }
    return history.SubmittedJob(job_id, [1]), body


# The draws of jobs that are neither plain nor crash their workers.
SPECIAL_DRAWS = (
    draw_long_running_job,
    draw_long_running_job,
    draw_gang_job,
    draw_timed_job,
)
