"""Counts the jobs that wait, including those that are being proposed.

The bound on waiting jobs has to hold at any time. Jobs in the tables are counted by
their changes in each round; a submission counts from its acceptance on until a round
has seen it in the tables.
"""

from collections.abc import Iterable
import dataclasses
import enum

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Memory of the records of a job without its texts.
_JOB_BYTES = 700
_STEP_BYTES = 350
_TASK_BYTES = 250


class ProposalOutcome(enum.Enum):
    """How the proposal of a job ended."""

    DECIDED = "decided"  # it is applied
    FAILED = "failed"  # it is not in the log and never will be
    UNKNOWN = "unknown"  # it may still be applied in this term


@dataclasses.dataclass(slots=True)
class _Submission:
    """A job that was accepted and that no round has seen yet.

    Attributes:
        size_bytes: The size of its record.
        proposals_count: Number of calls that are proposing it.
        logged_term: The last term in which it may have got into the log; 0 if it
            never did.
    """

    size_bytes: int
    proposals_count: int = 0
    logged_term: int = 0


class WaitingJobs:
    """The jobs that have not started and that could have been rejected."""

    def __init__(self):
        self._size_bytes: dict[str, int] = {}
        self._submissions: dict[str, _Submission] = {}
        self._total_bytes = 0

    @property
    def count(self) -> int:
        """Number of waiting jobs."""
        return len(self._size_bytes) + len(self._submissions)

    @property
    def total_bytes(self) -> int:
        """The size of their records, in bytes."""
        return self._total_bytes

    def begin_term(self, term: int) -> None:
        """Keeps only the submissions that may still get into the log.

        A leader has applied everything that earlier terms left in its log.
        """
        self._size_bytes = {}
        self._submissions = {
            job_id: submission
            for job_id, submission in self._submissions.items()
            if submission.proposals_count or submission.logged_term >= term
        }
        self._total_bytes = sum(
            submission.size_bytes for submission in self._submissions.values()
        )

    def refresh(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Updates some jobs by the tables."""
        for job_id in job_ids:
            record = jobs.jobs.get(job_id)
            if record is not None:
                self._drop_submission(job_id)
            self._total_bytes -= self._size_bytes.pop(job_id, 0)
            if (
                record is not None
                and record.state == ttypes.JobState.QUEUED
                and may_reject(record.job)
            ):
                size_bytes = size_of(record.job)
                self._size_bytes[job_id] = size_bytes
                self._total_bytes += size_bytes

    def is_submitted(self, job_id: str) -> bool:
        """Whether a job may be in the log although the tables lack it."""
        return job_id in self._submissions

    def begin_proposal(self, job: ttypes.Job) -> None:
        """Counts a job that is about to be proposed."""
        submission = self._submissions.get(job.job_id)
        if submission is None:
            submission = _Submission(size_of(job))
            self._submissions[job.job_id] = submission
            self._total_bytes += submission.size_bytes
        submission.proposals_count += 1

    def end_proposal(
        self, job_id: str, *, term: int, outcome: ProposalOutcome
    ) -> None:
        """Records how the proposal of a job ended."""
        submission = self._submissions.get(job_id)
        if submission is None:
            return
        submission.proposals_count -= 1
        if outcome is not ProposalOutcome.FAILED:
            submission.logged_term = max(submission.logged_term, term)
        if not submission.proposals_count and not submission.logged_term:
            self._drop_submission(job_id)

    def _drop_submission(self, job_id: str) -> None:
        submission = self._submissions.pop(job_id, None)
        if submission is not None:
            self._total_bytes -= submission.size_bytes


def may_reject(job: ttypes.Job) -> bool:
    """Whether a job may be rejected: it runs once and ends by itself."""
    return not (
        job.repeat_count or any(step.long_running for step in job.steps)
    )


def size_of(job: ttypes.Job) -> int:
    """Returns about how much memory the records of a waiting job take, in bytes."""
    texts_bytes = len(job.command) + sum(
        len(step.image) + len(step.required_label) for step in job.steps
    )
    tasks_count = sum(step.tasks_count for step in job.steps)
    return (
        _JOB_BYTES
        + _STEP_BYTES * len(job.steps)
        + _TASK_BYTES * tasks_count
        + texts_bytes
    )
