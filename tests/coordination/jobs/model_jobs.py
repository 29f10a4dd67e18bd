"""Jobs of the cluster model, each of one step."""

import math

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes


def resources_of(cores: int) -> ttypes.Resources:
    """Returns what a run with a number of cores reserves."""
    return ttypes.Resources(cpu_millicores=cores * 1_000, memory_bytes=1 << 20)


class ModelJobs:
    """The steps of jobs, and how long their runs take."""

    def __init__(self):
        self._steps: dict[str, ttypes.Step] = {}
        self._work_s: dict[str, float] = {}

    def add(self, step: ttypes.Step, *, work_s: float) -> str:
        """Adds a job; returns its id."""
        job_id = f"j{len(self._steps)}"
        self._steps[job_id] = step
        is_endless = step.long_running or step.gang
        self._work_s[job_id] = math.inf if is_endless else work_s
        return job_id

    def step_of(self, task: str) -> ttypes.Step:
        """Returns the step of a task."""
        return self._steps[task_names.parse(task).job_id]

    def work_s_of(self, task: str) -> float:
        """Returns how long the runs of a task take."""
        return self._work_s[task_names.parse(task).job_id]
