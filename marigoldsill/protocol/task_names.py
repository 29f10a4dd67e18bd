"""Names of jobs' tasks: "job.occurrence.step.index"."""

import dataclasses

from marigoldsill import errors

_PARTS_COUNT = 4

# A task's name and the number of its start.
RunKey = tuple[str, int]
# Job, occurrence and number of a step.
StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True, frozen=True)
class TaskAddress:
    """Which task of which job a name means.

    Attributes:
        job_id: The job.
        occurrence: Which time that its steps run, from 0.
        step: The step's number, from 0.
        index: The task's number in its step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Which step of which occurrence of its job it belongs to."""
        return self.job_id, self.occurrence, self.step


def name_of(job_id: str, occurrence: int, step: int, index: int) -> str:
    """The name of one task of a job."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def name_of_step(key: StepKey) -> str:
    """The name of one step of a job: "job.occurrence.step"."""
    job_id, occurrence, step = key
    return f"{job_id}.{occurrence}.{step}"


def parse(name: str) -> TaskAddress:
    """The address that a task's name stands for.

    Raises:
        BadInputError: The text is no name of a job's task.
    """
    parts = name.rsplit(".", _PARTS_COUNT - 1)
    if len(parts) == _PARTS_COUNT and all(p.isdigit() for p in parts[1:]):
        occurrence, step, index = map(int, parts[1:])
        return TaskAddress(parts[0], occurrence, step, index)
    raise errors.BadInputError(
        f"{name[:80]!r} is no task; accepted is job.occurrence.step.index"
    )
