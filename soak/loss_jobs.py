"""Jobs for soaks in which workers are lost repeatedly."""

import random

from soak import history
from tests.platform import system as system_module

# Tasks that outlast the intervals between the crashes of flapping workers.
_LONG_TASKS_COUNTS = (1, 2)
_LONG_TASK_MS = (2_000, 5_000)
# The ages at which a task crashes its workers, in turn.
_CRASH_AGES_MS = (200, 2_000, 6_000)


def draw_long_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job whose tasks work for seconds."""
    step = system_module.step(numbers.randint(*_LONG_TASKS_COUNTS))
    return history.SubmittedJob(job_id, [step["count"]]), {
        "spec": f"work {numbers.randint(*_LONG_TASK_MS)}",
        "steps": [step],
    }


def draw_crashing_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job with a task that crashes its workers at different ages."""
    ages_ms = numbers.sample(_CRASH_AGES_MS, len(_CRASH_AGES_MS))
    return history.SubmittedJob(job_id, [1]), {
        "spec": f"crash {' '.join(map(str, ages_ms))}",
        "steps": [system_module.step()],
    }


# The time from one job to the next, in seconds, and what draws a job.
SOURCES = ((1.0, draw_long_job), (10.0, draw_crashing_job))
