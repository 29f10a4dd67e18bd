"""Resources reserved by runs that may be alive, by job and by queue."""

from collections.abc import Iterable
import dataclasses

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import job_tables


@dataclasses.dataclass(slots=True, frozen=True)
class QueueKey:
    """A queue as it was when one of its jobs last changed.

    Attributes:
        pool: The pool whose workers run its jobs.
        name: Its name.
        priority: Its priority.
    """

    pool: str
    name: str
    priority: int


@dataclasses.dataclass(slots=True, frozen=True)
class JobUsage:
    """What the runs of one open job reserve.

    Attributes:
        queue: The name of its queue.
        pool: The pool whose workers run it.
        priority: The priority of its queue.
        resources: The resources of its runs that may be alive.
        runs_count: Number of these runs.
        is_started: Whether any run of it has ever been granted.
    """

    queue: str
    pool: str
    priority: int
    resources: ttypes.Resources
    runs_count: int
    is_started: bool

    @property
    def queue_key(self) -> QueueKey:
        """The queue of the job, with its pool and priority."""
        return QueueKey(self.pool, self.queue, self.priority)


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
        by_queue_key: The same by pool, name and priority of the queue.
        open_jobs: The jobs of `by_job`.
    """

    def __init__(self):
        self.by_job: dict[str, JobUsage] = {}
        self.by_queue: dict[str, ttypes.Resources] = {}
        self.by_queue_key: dict[QueueKey, ttypes.Resources] = {}
        self.open_jobs: dict[str, OpenJob] = {}

    def refresh(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Updates the usage of some jobs; called with the replica's lock held."""
        for job_id in job_ids:
            before = self.by_job.pop(job_id, None)
            self.open_jobs.pop(job_id, None)
            if before is not None:
                amounts.subtract_from(
                    self.by_queue, before.queue, before.resources
                )
                amounts.subtract_from(
                    self.by_queue_key, before.queue_key, before.resources
                )
            record = jobs.jobs.get(job_id)
            if record is None or not record.open:
                continue
            queue = jobs.queue_of(record)
            after = _usage_of(record, queue)
            self.by_job[job_id] = after
            amounts.add_to(self.by_queue, after.queue, after.resources)
            amounts.add_to(self.by_queue_key, after.queue_key, after.resources)
            self.open_jobs[job_id] = OpenJob(
                record.job, queue, tuple(record.open)
            )


def _usage_of(record: ttypes.JobRecord, queue: ttypes.Queue) -> JobUsage:
    resources, runs_count = amounts.ZERO, 0
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
            if count:
                used = amounts.multiply(step.resources, count)
                resources = amounts.add(resources, used)
    return JobUsage(
        queue=queue.name,
        pool=queue.pool,
        priority=queue.priority,
        resources=resources,
        runs_count=runs_count,
        is_started=is_started,
    )
