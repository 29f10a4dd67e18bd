"""Names of the tasks of jobs: "job.occurrence.step.index"."""

from collections.abc import Iterable
import dataclasses

from marigoldsill import errors

_PARTS_COUNT = 4

# Name of a task and number of the run.
RunKey = tuple[str, int]
# Job, number of the occurrence and number of the step.
StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True, frozen=True)
class TaskAddress:
    """The task of a job that a name refers to.

    Attributes:
        job_id: The job's id.
        occurrence: Number of the occurrence, which runs all steps once, from 0.
        step: The step's number, from 0.
        index: The task's number in its step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """The key of the step that the task belongs to."""
        return self.job_id, self.occurrence, self.step


def name_of(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Returns the name of a task of a job."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def name_of_step(key: StepKey) -> str:
    """Returns the name of a step of a job: "job.occurrence.step"."""
    job_id, occurrence, step = key
    return f"{job_id}.{occurrence}.{step}"


def step_name_of(task: str) -> str:
    """Returns the name of the step that a task belongs to, by the task's name."""
    return task.rpartition(".")[0]


def count_of_step(task: str, keys: Iterable[RunKey]) -> int:
    """Returns how many of some runs are of a task's step."""
    step_name = step_name_of(task)
    return sum(step_name_of(other) == step_name for other, _ in keys)


def parse(name: str) -> TaskAddress:
    """Parses the name of a task.

    Raises:
        BadInputError: The text is not the name of a task of a job.
    """
    parts = name.rsplit(".", _PARTS_COUNT - 1)
    if len(parts) == _PARTS_COUNT and all(p.isdigit() for p in parts[1:]):
        occurrence, step, index = map(int, parts[1:])
        return TaskAddress(parts[0], occurrence, step, index)
    raise errors.BadInputError(
        f"invalid task name {name[:80]!r}: expected job.occurrence.step.index"
    )
