"""Tests of the count of jobs that wait, including those being proposed."""

import tracemalloc

import pytest

from marigoldsill.coordination.job_admission import waiting_jobs
from tests.coordination.jobs import builders

_Outcome = waiting_jobs.ProposalOutcome


@pytest.fixture
def state() -> builders.State:
    return builders.State()


def _refresh(waiting: waiting_jobs.WaitingJobs, state: builders.State) -> None:
    jobs = state.tables.jobs
    waiting.refresh(jobs, jobs.pop_changed_jobs())


def test_a_job_waits_until_its_first_run(state: builders.State) -> None:
    waiting = waiting_jobs.WaitingJobs()
    state.submit(builders.job("j1"))
    state.submit(builders.job("j2"))
    _refresh(waiting, state)
    assert waiting.count == 2
    assert waiting.total_bytes == 2 * waiting_jobs.size_of(builders.job("j1"))
    state.grant(builders.grant(builders.task_name()))
    state.cancel("j2")
    _refresh(waiting, state)
    assert (waiting.count, waiting.total_bytes) == (0, 0)


@pytest.mark.parametrize(
    "job",
    [
        builders.job("j1", builders.step(long_running=True)),
        builders.job("j1", repeat_count=3, interval_ms=1_000),
    ],
    ids=["long-running", "timed"],
)
def test_jobs_that_are_never_rejected_do_not_count(
    state: builders.State, job
) -> None:
    waiting = waiting_jobs.WaitingJobs()
    state.submit(job)
    _refresh(waiting, state)
    assert waiting.count == 0


def test_a_submission_counts_once_until_a_round_sees_it(
    state: builders.State,
) -> None:
    waiting = waiting_jobs.WaitingJobs()
    job = builders.job("j1")
    for _ in range(2):
        waiting.begin_proposal(job)
    assert waiting.count == 1
    state.submit(job)
    waiting.end_proposal("j1", term=1, outcome=_Outcome.DECIDED)
    assert waiting.count == 1
    _refresh(waiting, state)
    assert waiting.count == 1
    waiting.end_proposal("j1", term=1, outcome=_Outcome.DECIDED)
    assert waiting.count == 1
    assert not waiting.is_submitted("j1")


def test_a_submission_that_failed_no_longer_counts() -> None:
    waiting = waiting_jobs.WaitingJobs()
    waiting.begin_proposal(builders.job("j1"))
    waiting.end_proposal("j1", term=1, outcome=_Outcome.FAILED)
    assert (waiting.count, waiting.total_bytes) == (0, 0)
    assert not waiting.is_submitted("j1")


def test_a_submission_is_not_forgotten_while_another_attempt_may_be_logged() -> (
    None
):
    waiting = waiting_jobs.WaitingJobs()
    for _ in range(2):
        waiting.begin_proposal(builders.job("j1"))
    waiting.end_proposal("j1", term=1, outcome=_Outcome.UNKNOWN)
    waiting.end_proposal("j1", term=1, outcome=_Outcome.FAILED)
    assert waiting.is_submitted("j1")


def test_a_new_term_forgets_what_earlier_terms_may_have_logged() -> None:
    waiting = waiting_jobs.WaitingJobs()
    for job_id, term in (("old", 1), ("new", 2)):
        waiting.begin_proposal(builders.job(job_id))
        waiting.end_proposal(job_id, term=term, outcome=_Outcome.UNKNOWN)
    waiting.begin_proposal(builders.job("being proposed"))
    waiting.begin_term(2)
    assert not waiting.is_submitted("old")
    assert waiting.is_submitted("new")
    assert waiting.is_submitted("being proposed")
    assert waiting.total_bytes == sum(
        waiting_jobs.size_of(builders.job(job_id))
        for job_id in ("new", "being proposed")
    )


@pytest.mark.parametrize(
    ("tasks_count", "steps_count"), [(1, 1), (1, 3), (90, 1)]
)
def test_the_size_of_a_job_is_about_its_memory(
    state: builders.State, tasks_count: int, steps_count: int
) -> None:
    jobs_count = 300
    jobs = [
        builders.job(
            f"j{number}",
            *[builders.step(tasks_count) for _ in range(steps_count)],
        )
        for number in range(jobs_count)
    ]
    command = "x" * 400
    tracemalloc.start()
    try:
        for job in jobs:
            job.command = command + job.job_id
            state.submit(job)
        memory_bytes = tracemalloc.get_traced_memory()[0] / jobs_count
    finally:
        tracemalloc.stop()
    size_bytes = waiting_jobs.size_of(jobs[0])
    # The jobs themselves were created before.
    assert memory_bytes <= size_bytes <= 3 * memory_bytes
