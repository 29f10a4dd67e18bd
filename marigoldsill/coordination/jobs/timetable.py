"""Tracks when occurrences of repeated jobs are due, by the wall clock."""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


class Timetable:
    """The next due time of each repeated job that has occurrences left."""

    def __init__(self):
        # The due time and the number of the next occurrence, by job id.
        self._next_by_job: dict[str, tuple[int, int]] = {}

    def observe_jobs(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Updates the due times of jobs that changed."""
        for job_id in job_ids:
            self._next_by_job.pop(job_id, None)
            record = jobs.jobs.get(job_id)
            if record is None or record.state in job_tables.ENDED:
                continue
            job, number = record.job, record.begun_count
            if number < job.repeat_count:
                due_unix_ms = job.first_due_unix_ms + number * job.interval_ms
                self._next_by_job[job_id] = (due_unix_ms, number)

    def due_occurrences(
        self, *, now_unix_ms: int
    ) -> list[ttypes.OccurrenceDue]:
        """Returns the occurrences to begin now, at most one of each job."""
        return [
            ttypes.OccurrenceDue(job_id=job_id, number=number)
            for job_id, (due_unix_ms, number) in self._next_by_job.items()
            if due_unix_ms <= now_unix_ms
        ]

    def wait_s(self, *, now_unix_ms: int, limit_s: float) -> float:
        """Returns the time until the next occurrence is due, at most the limit."""
        first_unix_ms = min(
            (due_unix_ms for due_unix_ms, _ in self._next_by_job.values()),
            default=None,
        )
        if first_unix_ms is None:
            return limit_s
        return min(limit_s, max(0.0, (first_unix_ms - now_unix_ms) / 1000))
