"""Resources reserved by runs that may be alive, by job and by queue."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import job_tables


@dataclasses.dataclass(slots=True, frozen=True)
class JobUsage:
    """What the runs of one open job reserve.

    Attributes:
        queue: The name of its queue.
        pool: The pool whose workers run it.
        resources: The resources of its runs that may be alive.
        runs_count: Number of these runs.
        is_started: Whether any run of it has ever been granted.
    """

    queue: str
    pool: str
    resources: ttypes.Resources
    runs_count: int
    is_started: bool


@dataclasses.dataclass(slots=True, frozen=True)
class OpenJob:
    """An open job; applied commands may change its occurrences meanwhile.

    Attributes:
        job: The job as submitted.
        queue: Its queue.
        occurrences: Its open occurrences at its last change.
    """

    job: ttypes.Job
    queue: ttypes.Queue
    occurrences: tuple[ttypes.Occurrence, ...]


class Usage:
    """The usage of all open jobs; only `refresh` reads the tables.

    Attributes:
        by_job: The usage of each open job.
        by_queue: The resources that runs of each queue reserve.
        open_jobs: The jobs of `by_job`.
    """

    def __init__(self):
        self.by_job: dict[str, JobUsage] = {}
        self.by_queue: dict[str, ttypes.Resources] = {}
        self.open_jobs: dict[str, OpenJob] = {}

    def refresh(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Updates the usage of some jobs; called with the replica's lock held."""
        for job_id in job_ids:
            before = self.by_job.pop(job_id, None)
            self.open_jobs.pop(job_id, None)
            if before is not None:
                self._change(before.queue, amounts.subtract, before.resources)
            record = jobs.jobs.get(job_id)
            if record is None or not record.open:
                continue
            queue = jobs.queue_of(record)
            after = _usage_of(record, queue)
            self.by_job[job_id] = after
            self.open_jobs[job_id] = OpenJob(
                record.job, queue, tuple(record.open)
            )
            self._change(after.queue, amounts.add, after.resources)

    def _change(
        self,
        queue: str,
        operation: Callable[
            [ttypes.Resources, ttypes.Resources], ttypes.Resources
        ],
        resources: ttypes.Resources,
    ) -> None:
        total = operation(self.by_queue.get(queue, amounts.ZERO), resources)
        if total == amounts.ZERO:
            self.by_queue.pop(queue, None)
        else:
            self.by_queue[queue] = total


def _usage_of(record: ttypes.JobRecord, queue: ttypes.Queue) -> JobUsage:
    cpu_millicores = memory_bytes = accelerators_count = runs_count = 0
    is_started = False
    for occurrence in record.open:
        for step, step_tasks in zip(
            record.job.steps, occurrence.steps, strict=True
        ):
            count = sum(len(task.runs) for task in step_tasks.tasks)
            is_started = is_started or any(
                task.last_run for task in step_tasks.tasks
            )
            runs_count += count
            required = step.resources
            cpu_millicores += count * required.cpu_millicores
            memory_bytes += count * required.memory_bytes
            accelerators_count += count * required.accelerators_count
    return JobUsage(
        queue=queue.name,
        pool=queue.pool,
        resources=ttypes.Resources(
            cpu_millicores=cpu_millicores,
            memory_bytes=memory_bytes,
            accelerators_count=accelerators_count,
        ),
        runs_count=runs_count,
        is_started=is_started,
    )
