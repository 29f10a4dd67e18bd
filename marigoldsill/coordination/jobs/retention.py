"""Determines which ended jobs are past their retention time."""

import collections
from collections.abc import Iterable
import itertools

from marigoldsill.state import job_tables

# Maximum number of jobs removed by one command, which bounds how long it holds the
# lock.
_BATCH_LIMIT = 500


class Retention:
    """Tracks ended jobs until their retention time is over.

    The time is measured by this process's monotonic clock, since the wall clock may
    jump, and counts from when this process saw the end. A new leader starts to count
    anew, which only retains jobs longer.
    """

    def __init__(self, *, retention_s: float):
        """Initializes the retention without any job.

        Args:
            retention_s: How long the state of an ended job must be available.
        """
        self._retention_s = retention_s
        self._ended: collections.deque[tuple[float, str]] = collections.deque()
        self._tracked: set[str] = set()

    def observe_jobs(
        self,
        jobs: job_tables.JobTables,
        job_ids: Iterable[str],
        *,
        now_s: float,
    ) -> None:
        """Adds those of some changed jobs that have ended and have no runs left."""
        for job_id in job_ids:
            record = jobs.jobs.get(job_id)
            if record is None or job_id in self._tracked:
                continue
            if record.state in job_tables.ENDED and not record.open:
                self._tracked.add(job_id)
                self._ended.append((now_s, job_id))

    def due_jobs(self, *, now_s: float) -> list[str]:
        """Returns the jobs to remove now, oldest first, until `drop_due` drops them."""
        expired = itertools.takewhile(
            lambda item: now_s - item[0] > self._retention_s, self._ended
        )
        return [job_id for _, job_id in itertools.islice(expired, _BATCH_LIMIT)]

    def drop_due(self, jobs_count: int) -> None:
        """Stops tracking the first due jobs, once they are removed from the state."""
        for _ in range(jobs_count):
            _, job_id = self._ended.popleft()
            self._tracked.discard(job_id)
