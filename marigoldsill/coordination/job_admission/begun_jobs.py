"""Which jobs have begun: a worker has begun at least one of their runs.

A grant does not begin a job, as its worker may begin the run seconds later or never.
What the log tells is known to each leader. That a run was listed is known only to the
leader that received the report, so a later one counts the job as waiting until the
worker's agent has reported to it.
"""

from collections.abc import Iterable

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Ended jobs are dropped once so many more jobs than after the last time are remembered.
_FORGET_INTERVAL = 1_000


class BegunJobs:
    """Jobs of which a worker has listed a run in this term.

    Not thread-safe: the replica's lock must be held for every call.
    """

    def __init__(self):
        self._job_ids: set[str] = set()
        self._forget_count = _FORGET_INTERVAL

    @property
    def remembered_count(self) -> int:
        """How many jobs are remembered, among them some that have ended."""
        return len(self._job_ids)

    def reset(self) -> None:
        """Drops all jobs at the start of a term."""
        self._job_ids = set()

    def record_listed(
        self,
        jobs: job_tables.JobTables,
        samples: Iterable[ttypes.RunSample],
    ) -> None:
        """Records the runs that a worker lists."""
        self._job_ids.update(
            job_id
            for job_id in {
                task_names.parse(sample.task).job_id for sample in samples
            }
            if _is_running(jobs.jobs.get(job_id))
        )
        if len(self._job_ids) >= self._forget_count:
            self._forget_ended(jobs)

    def count_waiting(self, jobs: job_tables.JobTables, queue: str) -> int:
        """Returns how many jobs of a queue wait to begin; timed ones do not count."""
        return sum(
            record.job.queue == queue
            and record.state not in job_tables.ENDED
            and not record.job.repeat_count
            and not self._has_begun(record)
            for record in jobs.jobs.values()
        )

    def _forget_ended(self, jobs: job_tables.JobTables) -> None:
        self._job_ids = {
            job_id
            for job_id in self._job_ids
            if _is_running(jobs.jobs.get(job_id))
        }
        self._forget_count = 2 * len(self._job_ids) + _FORGET_INTERVAL

    def _has_begun(self, record: ttypes.JobRecord) -> bool:
        if record.state == ttypes.JobState.QUEUED:
            return False
        return record.job.job_id in self._job_ids or any(
            _was_run(task) for _, _, task in job_tables.tasks_of(record)
        )


def _is_running(record: ttypes.JobRecord | None) -> bool:
    return record is not None and record.state == ttypes.JobState.RUNNING


def _was_run(task: ttypes.JobTask) -> bool:
    """Whether the log tells that a worker has begun a run of a task."""
    return bool(
        task.done
        or task.failures_count
        or task.checkpoint_id
        or any(loss.has_begun for loss in task.losses)
    )
