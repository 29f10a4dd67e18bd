"""Decides whether a submitted job is accepted.

Answers arrivals beyond the capacity of a pool: callers whose job would surely be of no
use once it ends are told so at once and when to try again, and what waits is bounded.
In doubt a job is accepted. A job is never rejected while it may be in the log, and a
rejected one stays so until the time that its caller was told.
"""

from collections.abc import Iterable
import dataclasses
import threading

from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import causes
from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_admission import rejections
from marigoldsill.coordination.job_admission import waiting_bounds
from marigoldsill.coordination.job_admission import waiting_jobs
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# A summary that is older says nothing about the present load.
_SUMMARY_VALIDITY_S = 10.0
_MAX_WINDOW_S = 30.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rejection:
    """The rejection of a job.

    Attributes:
        reason: The kind of reason.
        message: The reason for the caller, with the values that led to it.
        retry_after_ms: When another submission makes sense.
        predicted_end_ms: The predicted time until the job's end; 0 if the reason
            does not depend on it.
        limit: What was exceeded: milliseconds, jobs or bytes.
    """

    reason: causes.Reason
    message: str
    retry_after_ms: int
    predicted_end_ms: int = 0
    limit: int = 0


class Admission:
    """Decides on submissions in the order in which they come; thread-safe.

    Attributes:
        settings: The bounds.
    """

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        *,
        urgency: urgency_module.Urgency,
    ):
        """Creates an admission that knows no load.

        Args:
            settings: The bounds.
            urgency: The learnt run times.
        """
        self.settings = settings
        self._urgency = urgency
        self._lock = threading.Lock()
        self._term = 0
        self._waiting = waiting_jobs.WaitingJobs()
        self._rejections = rejections.RejectionTable()
        self._summary: load_module.LoadSummary | None = None

    @property
    def waiting_count(self) -> int:
        """Number of jobs that wait, of those that may be rejected."""
        return self._waiting.count

    @property
    def waiting_bytes(self) -> int:
        """The size of their records, in bytes."""
        return self._waiting.total_bytes

    def begin_term(self, term: int) -> None:
        """Forgets the load and the rejections of earlier terms."""
        with self._lock:
            self._begin_term(term)

    def observe_jobs(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Updates the count of waiting jobs; called with the replica's lock held."""
        with self._lock:
            self._waiting.refresh(jobs, job_ids)

    def publish(self, summary: load_module.LoadSummary) -> None:
        """Replaces the summary of the load."""
        with self._lock:
            self._summary = summary

    def judge(
        self,
        job: ttypes.Job,
        queue: ttypes.Queue,
        *,
        term: int,
        now_s: float,
        call_age_s: float = 0.0,
    ) -> Rejection | None:
        """Decides on a job that the tables lack.

        Called with the replica's lock held, so that a job that is being applied is
        known either to the tables or here.

        Args:
            job: The submitted job.
            queue: Its queue.
            term: The term in which it would be proposed.
            now_s: The current time.
            call_age_s: How long the caller's entry has been repeating this call. An
                entry that does not know the outcome goes on after the caller was
                rejected through another one.

        Returns:
            The rejection, or None if the job is accepted. It then has to be proposed
            in this term, and `end_proposal` has to be called.
        """
        with self._lock:
            self._begin_term(term)
            rejection = None
            if self._may_reject(job):
                self._rejections.expire(now_s=now_s)
                rejection = self._judge_rejected(
                    job.job_id, now_s=now_s, begun_s=now_s - call_age_s
                ) or self._judge_load(job, queue, term, now_s)
            if rejection is None:
                self._rejections.remove(job.job_id)
                if waiting_jobs.may_reject(job):
                    self._waiting.begin_proposal(job)
            return rejection

    def end_proposal(
        self, job_id: str, *, term: int, outcome: waiting_jobs.ProposalOutcome
    ) -> None:
        """Records how the proposal of an accepted job ended."""
        with self._lock:
            self._waiting.end_proposal(job_id, term=term, outcome=outcome)

    def _begin_term(self, term: int) -> None:
        if term <= self._term:
            return
        self._term = term
        self._summary = None
        self._rejections = rejections.RejectionTable()
        self._waiting.begin_term(term)

    def _may_reject(self, job: ttypes.Job) -> bool:
        return (
            self.settings.is_enabled
            and waiting_jobs.may_reject(job)
            and not self._waiting.is_submitted(job.job_id)
        )

    def _judge_rejected(
        self, job_id: str, *, now_s: float, begun_s: float
    ) -> Rejection | None:
        """Rejects an attempt that came early, or began before the last rejection."""
        earlier = self._rejections.find(job_id)
        if earlier is None:
            return None
        if now_s >= earlier.return_s and begun_s >= earlier.rejected_s:
            return None
        return self._repeat_rejection(job_id, now_s)

    def _judge_load(
        self, job: ttypes.Job, queue: ttypes.Queue, term: int, now_s: float
    ) -> Rejection | None:
        summary = self._current_summary(term, now_s)
        cause = waiting_bounds.find_reached(
            job,
            queue,
            settings=self.settings,
            waiting=self._waiting,
            rejected=self._rejections,
            summary=summary,
            now_s=now_s,
        )
        if cause is None and summary is not None:
            cause = causes.find_hopelessness(
                job, queue, summary, self._urgency, now_s=now_s
            )
        return None if cause is None else self._reject(job, cause, now_s)

    def _current_summary(
        self, term: int, now_s: float
    ) -> load_module.LoadSummary | None:
        """Returns the summary, or None if it says nothing about the present."""
        summary = self._summary
        if summary is None or summary.term != term:
            return None
        is_old = now_s - summary.published_s > _SUMMARY_VALIDITY_S
        return None if is_old else summary

    def _repeat_rejection(self, job_id: str, now_s: float) -> Rejection:
        """Rejects a late or early attempt at a rejected job, for the same time."""
        earlier = self._rejections.defer(job_id, now_s=now_s)
        left_s = max(rejections.MIN_RETRY_S, earlier.return_s - now_s)
        return Rejection(
            reason=causes.Reason.TOO_EARLY,
            message=f"the job was rejected before its time to return: "
            f"{earlier.reason}",
            retry_after_ms=int(left_s * 1_000) + 1,
        )

    def _reject(
        self, job: ttypes.Job, cause: causes.Cause, now_s: float
    ) -> Rejection:
        retry_s = rejections.spread_s(
            job.job_id,
            earliest_s=cause.earliest_s,
            window_s=min(cause.window_s, _MAX_WINDOW_S),
        )
        self._rejections.add(
            job.job_id,
            return_s=now_s + retry_s,
            is_bound_reached=cause.reason
            in (causes.Reason.JOBS_LIMIT, causes.Reason.BYTES_LIMIT),
            reason=cause.message,
            now_s=now_s,
        )
        return Rejection(
            reason=cause.reason,
            message=cause.message,
            retry_after_ms=int(retry_s * 1_000) + 1,
            predicted_end_ms=round(cause.predicted_end_ms),
            limit=round(cause.limit),
        )
