"""Tasks of jobs that wait for a worker, by step, in the order to try them."""

from collections.abc import Iterable
import dataclasses

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class WaitingStep:
    """A step whose turn has come and that has tasks without a run.

    Attributes:
        key: Job, occurrence and number of the step.
        step: What its tasks ask for.
        queue: The job's queue.
        waiting: Indexes of the tasks without a run.
        tasks: All tasks of the step.
        accepted_unix_ms: When its job was taken in.
    """

    key: StepKey
    step: ttypes.Step
    queue: ttypes.Queue
    waiting: list[int]
    tasks: list[ttypes.JobTask]
    accepted_unix_ms: int

    def task_name(self, index: int) -> str:
        """The name of one of its tasks."""
        return task_names.name_of(*self.key, index)


class Backlog:
    """The waiting steps of all jobs."""

    def __init__(self):
        self._by_job: dict[str, list[WaitingStep]] = {}

    def refresh(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Looks at some jobs again."""
        for job_id in job_ids:
            steps = _waiting_steps(jobs, job_id)
            if steps:
                self._by_job[job_id] = steps
            else:
                self._by_job.pop(job_id, None)

    def in_order(self) -> list[WaitingStep]:
        """The waiting steps, the most urgent first."""
        steps = [s for steps in self._by_job.values() for s in steps]
        steps.sort(key=lambda s: (s.queue.priority, s.accepted_unix_ms, s.key))
        return steps


def _waiting_steps(
    jobs: job_tables.JobTables, job_id: str
) -> list[WaitingStep]:
    record = jobs.jobs.get(job_id)
    if record is None or record.state in job_tables.ENDED:
        return []
    queue = jobs.queue_of(record)
    waiting = (
        _waiting_step(record, queue, occurrence, number)
        for occurrence in record.open
        for number in range(len(occurrence.steps))
        if _is_ready(record.job, occurrence, number)
    )
    return [step for step in waiting if step.waiting]


def _is_ready(
    job: ttypes.Job, occurrence: ttypes.Occurrence, number: int
) -> bool:
    return all(
        task.done
        for earlier in job.steps[number].after
        for task in occurrence.steps[earlier].tasks
    )


def _waiting_step(
    record: ttypes.JobRecord,
    queue: ttypes.Queue,
    occurrence: ttypes.Occurrence,
    number: int,
) -> WaitingStep:
    tasks = occurrence.steps[number].tasks
    return WaitingStep(
        key=(record.job.job_id, occurrence.number, number),
        step=record.job.steps[number],
        queue=queue,
        waiting=[
            index
            for index, task in enumerate(tasks)
            if not task.done and not task.runs
        ],
        tasks=tasks,
        accepted_unix_ms=record.job.accepted_unix_ms,
    )
