"""Gangs for soaks in which some workers are bad."""

from collections.abc import Sequence
import functools
import random

from soak import drawn_jobs
from soak import history
from tests.platform import system as system_module

_MEMBERS_COUNTS = (2, 6)
_WORK_MS = (100, 1_000)
# The share of gangs that only one worker may run.
_ONE_WORKER_SHARE = 0.5
_INTERVAL_S = 0.8


def draw_gang(
    job_id: str, numbers: random.Random, *, machines: Sequence[str]
) -> tuple[history.SubmittedJob, dict]:
    """Draws a gang that any worker may run, or only the one of a machine."""
    count = numbers.randint(*_MEMBERS_COUNTS)
    work_ms = numbers.randint(*_WORK_MS)
    machine = numbers.choice(machines)
    is_for_one_worker = numbers.random() < _ONE_WORKER_SHARE
    step = system_module.step(count, gang=True)
    if is_for_one_worker:
        step["requirements"] = system_module.machine_label(machine)
    job = history.SubmittedJob(
        job_id, [count], gang=True, machine=machine if is_for_one_worker else ""
    )
    return job, {"spec": f"gang {count} {work_ms}", "steps": [step]}


def source(machines: Sequence[str]) -> tuple[float, drawn_jobs.DrawJob]:
    """Returns the time from one gang to the next, in seconds, and what draws one."""
    return _INTERVAL_S, functools.partial(draw_gang, machines=tuple(machines))
