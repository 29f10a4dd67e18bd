"""Tests of the decision whether a job is accepted."""

import math

import pytest

from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import causes
from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_admission import waiting_jobs
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_TERM = 1
_NOW_S = 100.0
_QUEUE = builders.queue()
# Three times 1.5 * 1 s + 250 ms.
_USEFUL_MS = 14_250
_Outcome = waiting_jobs.ProposalOutcome
_Reason = causes.Reason


class _Admission:
    """An admission with the calls of a service, on a simulated clock."""

    def __init__(self, **settings: object):
        self.now_s = _NOW_S
        self.term = _TERM
        self.decider = admission_module.Admission(
            admission_settings.AdmissionSettings(**settings),
            urgency=urgency_module.Urgency(),
        )
        self.decider.begin_term(_TERM)

    def judge(
        self,
        job_id: str = "new",
        *steps: ttypes.Step,
        queue: ttypes.Queue = _QUEUE,
        **fields: object,
    ) -> admission_module.Rejection | None:
        steps = steps or (_step(),)
        return self.decider.judge(
            builders.job(job_id, *steps, **fields),
            queue,
            term=self.term,
            now_s=self.now_s,
        )

    def submit(self, job_id: str) -> bool:
        """Submits a job; returns whether it is accepted."""
        if self.judge(job_id) is not None:
            return False
        self.decider.end_proposal(
            job_id, term=self.term, outcome=_Outcome.DECIDED
        )
        return True

    def start_jobs(self, *job_ids: str) -> None:
        """Observes that jobs have started."""
        state = builders.State()
        for job_id in job_ids:
            state.submit(builders.job(job_id))
            state.grant(builders.grant(builders.task_name(job_id=job_id)))
        self.decider.observe_jobs(state.tables.jobs, job_ids)

    def publish(
        self,
        *,
        waiting_s: float = 0.0,
        no_worker_since_s: float = math.inf,
        term_begun_s: float = 0.0,
        term: int = _TERM,
    ) -> None:
        """Publishes so many seconds of work ahead on a pool of 10 cores."""
        work = load_module.WaitingWork(
            last_key=(urgency_module.Rank(0, False, 0.1), ("w", 0, 0)),
            queue=_QUEUE.name,
            is_best_effort=False,
            cpu_millicores=1_000,
            memory_bytes=1 << 20,
            core_ms=waiting_s * 10_000,
            run_ms=0.0,
            latest_start_unix_ms=math.inf,
            priority=0,
        )
        has_workers = no_worker_since_s == math.inf
        pool = load_module.PoolLoad(
            capacity_millicores=10_000 if has_workers else 0,
            no_worker_since_s=no_worker_since_s,
            work=[work] if waiting_s else [],
        )
        self.decider.publish(
            load_module.LoadSummary(
                term=term,
                term_begun_s=term_begun_s,
                published_s=self.now_s,
                published_unix_ms=builders.NOW_UNIX_MS,
                pools={builders.POOL: pool},
                mean_core_times_ms={},
            )
        )


def _step(**fields: object) -> ttypes.Step:
    return builders.step(**({"estimated_ms": 3_000} | fields))


def test_a_job_is_accepted_as_long_as_it_may_be_of_use() -> None:
    admission = _Admission()
    admission.publish(waiting_s=16.0)
    assert admission.judge() is None


def test_a_job_that_surely_would_be_of_no_use_is_rejected_with_the_reason() -> (
    None
):
    admission = _Admission()
    admission.publish(waiting_s=60.0)
    rejection = admission.judge()
    assert rejection.reason is _Reason.TOO_LATE
    assert (rejection.predicted_end_ms, rejection.limit) == (63_000, _USEFUL_MS)
    # It can be in time once the rest of the work takes no longer than it may wait.
    assert 48_750 <= rejection.retry_after_ms <= 48_750 * 1.5 + 1
    assert "63000 ms" in rejection.message
    assert str(_USEFUL_MS) in rejection.message


@pytest.mark.parametrize(
    ("steps", "fields"),
    [
        ([_step(long_running=True)], {}),
        ([_step()], {"repeat_count": 2, "interval_ms": 1_000}),
    ],
    ids=["long-running", "timed"],
)
def test_long_running_and_timed_jobs_are_never_rejected(steps, fields) -> None:
    admission = _Admission(waiting_jobs_limit=1)
    admission.publish(waiting_s=1_000.0)
    assert admission.submit("j1") is False
    assert admission.judge("new", *steps, **fields) is None
    assert admission.decider.waiting_count == 0


def test_everything_is_accepted_if_admission_is_off() -> None:
    admission = _Admission(is_enabled=False, waiting_jobs_limit=1)
    admission.publish(waiting_s=1_000.0)
    assert all(admission.submit(f"j{number}") for number in range(5))


def test_nothing_is_too_late_by_a_summary_of_another_term_or_time() -> None:
    admission = _Admission()
    assert admission.judge("before any summary") is None
    admission.publish(waiting_s=60.0, term=_TERM - 1)
    assert admission.judge("of an earlier term") is None
    admission.publish(waiting_s=60.0, term_begun_s=_NOW_S - 9)
    assert admission.judge("while agents report to a new leader") is None
    admission.publish(waiting_s=60.0)
    admission.now_s += 10.1
    assert admission.judge("long after the last summary") is None


def test_a_new_term_forgets_load_and_rejections() -> None:
    admission = _Admission()
    admission.publish(waiting_s=60.0)
    assert not admission.submit("j1")
    admission.term += 1
    assert admission.submit("j1")


def test_a_rejection_outlasts_the_schedulers_begin_of_the_term() -> None:
    """Guards against a late attempt that the first round of a term lets pass."""
    admission = _Admission(waiting_jobs_limit=1)
    admission.term += 1
    assert admission.submit("j1")
    assert not admission.submit("j2")
    admission.decider.begin_term(admission.term)
    admission.start_jobs("j1")
    assert not admission.submit("j2")


def test_places_taken_in_an_earlier_term_are_free_in_the_next() -> None:
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.submit("j1")
    admission.decider.begin_term(_TERM + 1)
    assert admission.decider.waiting_count == 0


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        ({"waiting_jobs_limit": 3}, _Reason.JOBS_LIMIT),
        ({"waiting_bytes_limit": 4_500}, _Reason.BYTES_LIMIT),
    ],
)
def test_what_waits_is_bounded_between_two_summaries(limits, reason) -> None:
    admission = _Admission(**limits)
    results = [admission.submit(f"j{number}") for number in range(10)]
    assert results == [True] * 3 + [False] * 7
    rejection = admission.judge("one more")
    assert rejection.reason is reason
    assert str(rejection.limit) in rejection.message
    assert rejection.retry_after_ms >= 1_000


def test_a_job_larger_than_the_bound_is_accepted_if_nothing_waits() -> None:
    admission = _Admission(waiting_bytes_limit=1)
    assert admission.submit("j1")
    assert not admission.submit("j2")


def test_a_failed_proposal_leaves_its_place_to_the_next_job() -> None:
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.judge("j1") is None
    admission.decider.end_proposal("j1", term=_TERM, outcome=_Outcome.FAILED)
    assert admission.submit("j2")


def test_a_caller_that_returns_in_its_time_goes_before_new_arrivals_once() -> (
    None
):
    admission = _Admission(waiting_jobs_limit=4)
    assert all(admission.submit(f"j{number}") for number in range(4))
    rejection = admission.judge("returning")
    admission.start_jobs("j0")
    assert not admission.submit("new"), "the free place is kept"
    admission.now_s += rejection.retry_after_ms / 1_000
    assert admission.submit("returning")
    admission.start_jobs("j1", "returning")
    # "new" was rejected as well, so one of the two free places is its own.
    assert admission.submit("another")
    assert not admission.submit("a third")


def test_a_part_of_the_size_is_kept_for_callers_that_return() -> None:
    size_bytes = waiting_jobs.size_of(builders.job("new", _step()))
    admission = _Admission(waiting_bytes_limit=20 * size_bytes)
    results = [admission.submit(f"j{number}") for number in range(10, 32)]
    assert results == [True] * 20 + [False] * 2
    admission.start_jobs("j10", "j11")
    assert not admission.submit("new")
    admission.now_s += 5.0
    assert admission.submit("j30")
    assert admission.submit("j31")


def test_places_are_kept_for_a_bounded_time() -> None:
    admission = _Admission(waiting_jobs_limit=2)
    assert all(admission.submit(f"j{number}") for number in range(2))
    assert not admission.submit("never returns")
    admission.start_jobs("j0")
    assert not admission.submit("new")
    admission.now_s += 100.0
    assert admission.submit("later")


def test_a_limit_of_one_keeps_no_place() -> None:
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.submit("j1")
    assert not admission.submit("j2")
    admission.start_jobs("j1")
    assert admission.submit("j3")


def test_a_rejected_job_stays_rejected_until_its_time_to_return() -> None:
    """Guards against a late attempt that is accepted after its caller's 429.

    A caller sends a job through two entries. If the first attempt arrived late at the
    leader, after the second one was rejected and a place became free, the job ran
    although its caller was told that it was not accepted.
    """
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.submit("j1")
    rejection = admission.judge("j2")
    admission.start_jobs("j1")
    admission.now_s += 0.1
    late = admission.judge("j2")
    assert late.reason is _Reason.TOO_EARLY
    admission.now_s += max(rejection.retry_after_ms, late.retry_after_ms) / 1e3
    assert admission.submit("j2")


def test_a_caller_that_does_not_wait_is_accepted_in_the_end() -> None:
    """Guards against callers that push their own time to return ahead of them."""
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.submit("j1")
    rejection = admission.judge("j2")
    admission.start_jobs("j1")
    accepted_s = None
    while accepted_s is None:
        admission.now_s += 0.05
        if admission.submit("j2"):
            accepted_s = admission.now_s
        assert admission.now_s < _NOW_S + 60
    told_s = _NOW_S + rejection.retry_after_ms / 1_000
    assert told_s <= accepted_s <= told_s + 1.1


def test_an_attempt_that_began_before_the_rejection_is_never_accepted() -> None:
    """Guards against a job that runs although its caller was told that it never does.

    The caller's first entry was cut off from the leader, and its second one was told
    that the job is rejected. The first entry repeats its attempt for some seconds, so
    that it reached the leader after the short time to return, and was accepted.
    """
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.submit("other")
    rejection = admission.judge("new")
    begun_s = admission.now_s - 0.1
    admission.start_jobs("other")
    admission.now_s += rejection.retry_after_ms / 1000 + 0.5

    late = admission.decider.judge(
        builders.job("new"),
        _QUEUE,
        term=_TERM,
        now_s=admission.now_s,
        call_age_s=admission.now_s - begun_s,
    )
    assert late.reason == _Reason.TOO_EARLY

    admission.now_s += late.retry_after_ms / 1000
    assert admission.submit("new")


def test_a_job_that_is_being_proposed_is_not_rejected() -> None:
    """Guards against a rejection of a job that another attempt gets accepted."""
    admission = _Admission(waiting_jobs_limit=1)
    assert admission.judge("j1") is None
    admission.publish(waiting_s=1_000.0)
    assert admission.judge("j1") is None
    admission.decider.end_proposal("j1", term=_TERM, outcome=_Outcome.FAILED)
    assert admission.judge("j1") is None, "the other attempt may be in the log"


def test_a_job_whose_proposal_may_have_been_logged_is_not_rejected() -> None:
    admission = _Admission()
    assert admission.judge("j1") is None
    admission.decider.end_proposal("j1", term=_TERM, outcome=_Outcome.UNKNOWN)
    admission.publish(waiting_s=1_000.0)
    assert admission.judge("j1") is None
    assert admission.judge("j2") is not None


def test_an_outage_that_lasted_longer_than_a_job_is_of_use_rejects_it() -> None:
    admission = _Admission()
    admission.publish(no_worker_since_s=_NOW_S - 20)
    rejection = admission.judge()
    assert rejection.reason is _Reason.NO_WORKERS
    # A worker may be back at any time; a quarter of 20 s spreads the returns.
    assert 1_000 <= rejection.retry_after_ms <= 6_001
    patient = _step(estimated_ms=30_000)
    assert admission.judge("patient", patient) is None


def test_a_short_outage_rejects_nothing() -> None:
    admission = _Admission()
    quick = _step(estimated_ms=10)
    admission.publish(no_worker_since_s=_NOW_S - 9)
    assert admission.judge("quick", quick) is None
    admission.publish(no_worker_since_s=_NOW_S - 11)
    assert admission.judge("as quick", quick) is not None


def test_jobs_are_accepted_again_once_an_outage_is_over() -> None:
    admission = _Admission()
    admission.publish(no_worker_since_s=_NOW_S - 20)
    assert not admission.submit("j1")
    admission.publish()
    assert admission.submit("j2")


@pytest.mark.parametrize("outage_s", [0, 20])
def test_an_objective_that_no_pool_can_meet_rejects_nothing(
    outage_s: int,
) -> None:
    """Guards against queues whose jobs are all rejected while any work waits."""
    queue = builders.queue(stretch_ratio=0.1, latency_target_ms=0)
    admission = _Admission()
    if outage_s:
        admission.publish(no_worker_since_s=_NOW_S - outage_s)
    else:
        admission.publish(waiting_s=60.0)
    assert admission.judge(queue=queue) is None
