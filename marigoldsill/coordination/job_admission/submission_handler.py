"""Handles submissions on the leader: judges a job, then rejects or proposes it.

Answers callers that send one job through several entries, and leaders that are frozen
or replaced meanwhile: a job whose caller is told that it was rejected is in no log, or
was refused there for an earlier cancellation.
"""

from collections.abc import Callable

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import causes
from marigoldsill.coordination.job_admission import decision_log
from marigoldsill.coordination.job_admission import waiting_jobs
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock

_Outcome = waiting_jobs.ProposalOutcome
_NOTHING_DONE = (
    ttypes.NotLeader,
    ttypes.NoQuorum,
    errors.OverloadedError,
    errors.TooLargeError,
)


class SubmissionHandler:
    """Judges and proposes jobs."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        admission: admission_module.Admission,
        propose: Callable[..., ttypes.CommandResult],
        require_leader: Callable[..., None],
    ):
        """Initializes the handler.

        Args:
            replica: The replicated state.
            admission: Decides which jobs are accepted.
            propose: Proposes a command as `JobService.propose` does.
            require_leader: Raises an error unless this process leads; with
                `require_settled` also while the group waits for members.
        """
        self._replica = replica
        self._admission = admission
        self._propose = propose
        self._require_leader = require_leader

    def handle(
        self,
        job: ttypes.Job,
        *,
        find_queue: Callable[[], ttypes.Queue | ttypes.JobReply],
        call_age_s: float = 0.0,
    ) -> ttypes.JobReply:
        """Accepts or rejects a job.

        Args:
            job: The job, without its queue.
            find_queue: Returns its queue, or the reply if there is none; called with
                the replica's lock held.
            call_age_s: How long the caller's entry has been repeating this call.
        """
        term = self._replica.term
        self._require_leader(require_settled=True)
        with self._replica.lock:
            if job.job_id in self._replica.tables.jobs.jobs:
                return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED)
            queue = find_queue()
            if isinstance(queue, ttypes.JobReply):
                return queue
            job.queue = queue.name
            with decision_log.measure():
                rejection = self._admission.judge(
                    job,
                    queue,
                    term=term,
                    now_s=clock.now_s(),
                    call_age_s=call_age_s,
                )
        if rejection is None:
            return self._propose_job(job, term)
        # Another leader may have accepted the job while this process was frozen. One that
        # leads the same term before and after the judgement has led it all the time.
        self._require_leader()
        if self._replica.term != term:
            raise ttypes.NoQuorum()
        return _reject(job, rejection)

    def _propose_job(self, job: ttypes.Job, term: int) -> ttypes.JobReply:
        """Proposes a job that was accepted in a term, only in that term."""
        outcome = _Outcome.UNKNOWN
        try:
            result = self._propose(
                term=term, submit_job=ttypes.SubmitJob(job=job)
            )
            outcome = _Outcome.DECIDED
            if result.outcome == ttypes.Outcome.NOT_FOUND:
                outcome = _Outcome.FAILED
                return ttypes.JobReply(outcome=ttypes.JobOutcome.NO_QUEUE)
            if result.outcome == ttypes.Outcome.CANCELLED:
                outcome = _Outcome.FAILED
                return _reject(job, _cancelled_rejection(result))
        except _NOTHING_DONE:
            outcome = _Outcome.FAILED
            raise
        finally:
            self._admission.end_proposal(job.job_id, term=term, outcome=outcome)
        return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED)


def _reject(
    job: ttypes.Job, rejection: admission_module.Rejection
) -> ttypes.JobReply:
    decision_log.record_rejection(job, rejection)
    return ttypes.JobReply(
        outcome=ttypes.JobOutcome.REJECTED,
        retry_after_ms=rejection.retry_after_ms,
        reason=rejection.message,
    )


def _cancelled_rejection(
    result: ttypes.CommandResult,
) -> admission_module.Rejection:
    return admission_module.Rejection(
        reason=causes.Reason.CANCELLED,
        message=(
            "the job was cancelled before it arrived; its id can be used again in "
            f"{result.retry_after_ms} ms"
        ),
        retry_after_ms=result.retry_after_ms,
    )
