"""Tests of the order of waiting jobs."""

import pytest

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_QUEUE = builders.queue(stretch_ratio=2.0, latency_target_ms=1_000)
_OBJECTIVE_MS = 3_000
# Jobs that end after this time are of no use; a task takes about a second.
_TOO_LATE_MS = 3 * _OBJECTIVE_MS


class _WaitingJobs:
    """Waiting jobs that were all accepted at the same time."""

    def __init__(self):
        self.state = builders.State(_QUEUE)
        self.backlog = backlog_module.Backlog()

    def submit(self, job_id: str, tasks_count: int, **fields: object) -> None:
        step = builders.step(tasks_count, estimated_ms=1_000, **fields)
        self.state.submit(builders.job(job_id, step))

    def rank_jobs(self, *, after_ms: int = 0) -> list[str]:
        """Returns the job ids, the most urgent job first."""
        jobs = self.state.tables.jobs
        self.backlog.refresh(jobs, jobs.pop_changed_jobs(), now_s=0.0)
        steps = self.backlog.rank_steps(
            urgency_module.Urgency(),
            now_unix_ms=builders.NOW_UNIX_MS + after_ms,
        )
        return [step.record.job.job_id for step in steps]


@pytest.fixture
def backlog() -> _WaitingJobs:
    return _WaitingJobs()


def test_the_lowest_cost_ratio_comes_first(
    backlog: _WaitingJobs,
) -> None:
    for job_id, tasks_count in (("j1", 12), ("j2", 2), ("j3", 5)):
        backlog.submit(job_id, tasks_count)
    assert backlog.rank_jobs() == ["j2", "j3", "j1"]


def test_a_large_job_that_is_almost_done_comes_before_a_small_one(
    backlog: _WaitingJobs,
) -> None:
    backlog.submit("j1", 12)
    backlog.submit("j2", 4)
    for number in range(11):
        backlog.state.grant_and_end(
            builders.task_name(number), ttypes.RunEndKind.DONE
        )
    assert backlog.rank_jobs() == ["j1", "j2"]


@pytest.mark.parametrize(
    ("age_ms", "expected"),
    [
        (_OBJECTIVE_MS, ["j1", "j2"]),
        (_TOO_LATE_MS - 1_100, ["j1", "j2"]),
        (_TOO_LATE_MS - 900, ["j2", "j1"]),
    ],
    ids=["late", "still of use", "too late"],
)
def test_a_late_job_keeps_its_place_while_it_is_of_use(
    backlog: _WaitingJobs, age_ms: int, expected: list[str]
) -> None:
    """Guards against late jobs that never end because others keep coming.

    In an overload there is always a job that can still be in time. When every such job
    came before every late one, late jobs that needed one more task were never served.
    """
    backlog.submit("j1", 1)
    later = builders.job("j2", builders.step(9, estimated_ms=1_000))
    submit = ttypes.SubmitJob(job=later)
    at_unix_ms = builders.NOW_UNIX_MS + age_ms
    backlog.state.apply(at_unix_ms=at_unix_ms, submit_job=submit)
    assert backlog.rank_jobs(after_ms=age_ms) == expected


def test_a_long_running_job_comes_first_within_its_priority(
    backlog: _WaitingJobs,
) -> None:
    backlog.submit("j1", 1)
    backlog.submit("j2", 9, long_running=True)
    assert backlog.rank_jobs() == ["j2", "j1"]


def test_the_longest_path_from_each_step_follows_the_steps_after_it() -> None:
    steps = [
        builders.step(estimated_ms=100),
        builders.step(estimated_ms=20, after=[0]),
        builders.step(estimated_ms=300, after=[0]),
        builders.step(estimated_ms=40, after=[1]),
    ]
    job = builders.job("j1", *steps)
    urgency = urgency_module.Urgency()
    assert urgency.longest_paths_ms(job, _QUEUE) == [400, 60, 300, 40]
    assert urgency.useful_ms(job, _QUEUE) == 3 * (2 * 400 + 1_000)


def test_a_new_job_has_the_rank_that_it_gets_once_it_is_accepted(
    backlog: _WaitingJobs,
) -> None:
    for job_id, tasks_count in (("j1", 3), ("j2", 7), ("j3", 5)):
        backlog.submit(job_id, tasks_count)
    backlog.rank_jobs()
    urgency = urgency_module.Urgency()
    waiting = backlog.backlog.rank_steps(
        urgency, now_unix_ms=builders.NOW_UNIX_MS
    )
    means_ms = backlog.backlog.mean_core_times_ms
    for step in waiting:
        new_rank = urgency.rank_new(
            step.job, _QUEUE, mean_core_time_ms=means_ms[_QUEUE.name]
        )
        assert new_rank == backlog.backlog.rank_of(step)
