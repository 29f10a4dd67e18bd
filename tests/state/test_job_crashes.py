"""Tests of how worker crashes count against the tasks suspected of them."""

import itertools

import pytest

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state.run_outcomes import crash_attribution
from tests.coordination.jobs import builders

_CRASHED = ttypes.RunEndKind.CRASHED
_TASK = builders.task_name()
# A later process of the agent finds that the worker has ended under the run.
_GONE = {"has_worker_ended": True, "has_begun": True}


@pytest.fixture
def state() -> builders.State:
    state = builders.State()
    state.submit(builders.job("j1", builders.step(2)))
    return state


def _crash(
    state: builders.State, run: int, *, agent: str = "a1", **fields: int
) -> None:
    assert state.grant(_grant(run, agent)) == 1
    _report(state, run, **fields)


def _grant(run: int, agent: str = "a1") -> ttypes.RunGrant:
    """Builds a grant for an incarnation that has no other run of the task."""
    grant = builders.grant(_TASK, run, agent)
    grant.worker_id = f"{agent}-incarnation{run}"
    return grant


def _report(
    state: builders.State,
    run: int,
    *,
    suspects_count: int = 1,
    age_ms: int = 0,
    unseen_ms: int = 0,
) -> None:
    end = builders.run_end(_TASK, _CRASHED, run)
    end.suspects_count = suspects_count
    end.age_ms = age_ms
    end.has_begun = True
    end.unseen_ms = unseen_ms
    state.end(end)


def test_a_sole_suspect_fails_its_job_at_the_second_crash(
    state: builders.State,
) -> None:
    _crash(state, 1)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 2, agent="a2")
    assert state.state_of() == ttypes.JobState.FAILED
    assert "2 workers crashed" in state.tables.jobs.jobs["j1"].reason


def test_a_sole_suspect_on_one_worker_fails_its_job_at_the_third_crash(
    state: builders.State,
) -> None:
    _crash(state, 1)
    _crash(state, 2)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 3)
    assert state.state_of() == ttypes.JobState.FAILED


def test_one_of_several_suspects_fails_its_job_at_the_third_crash(
    state: builders.State,
) -> None:
    _crash(state, 1, suspects_count=5)
    _crash(state, 2, suspects_count=3)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 3, suspects_count=2)
    assert state.state_of() == ttypes.JobState.FAILED


def test_a_crash_that_is_reported_twice_counts_once(
    state: builders.State,
) -> None:
    _crash(state, 1, suspects_count=2)
    _report(state, 1, suspects_count=2)
    assert crash_attribution.crashes_count(state.task(_TASK)) == 1


def test_a_crash_reported_after_the_run_was_lost_counts(
    state: builders.State,
) -> None:
    _lose(state, 1)
    state.grant(_grant(2))
    _report(state, 1, suspects_count=1)
    assert crash_attribution.crashes_count(state.task(_TASK)) == 1
    assert [run.run for run in state.task(_TASK).runs] == [2]


def _lose(
    state: builders.State,
    run: int,
    *,
    at_unix_ms: int = 0,
    decided_term: int = 0,
    **fields: bool,
) -> None:
    """Grants a run and records that its worker was lost, but not why."""
    assert state.grant(_grant(run, f"a{run}")) == 1
    end = builders.run_end(_TASK, ttypes.RunEndKind.LOST, run)
    for name, value in fields.items():
        setattr(end, name, value)
    record = ttypes.RecordRunEnds(ends=[end], decided_term=decided_term)
    state.apply(
        at_unix_ms=at_unix_ms or builders.NOW_UNIX_MS, record_run_ends=record
    )


def test_task_is_not_started_again_after_each_crash_that_its_agent_did_not_see(
    state: builders.State,
) -> None:
    for run in range(1, 5):
        _lose(state, run, **_GONE)
    assert state.state_of() == ttypes.JobState.RUNNING
    _lose(state, 5, **_GONE)
    assert state.state_of() == ttypes.JobState.FAILED
    losses = "; ".join(
        f"run {run} on a{run} worker a{run}-incarnation{run} ended, as its agent "
        "found later, 0 ms after its grant"
        for run in range(1, 6)
    )
    assert state.tables.jobs.jobs["j1"].reason == (
        f"5 workers ended under task {_TASK}: {losses}"
    )


@pytest.mark.parametrize("decided_term", [0, 1])
def test_job_is_not_failed_for_losses_of_workers_that_may_not_have_crashed(
    state: builders.State, decided_term: int
) -> None:
    for run in range(1, 21):
        _lose(state, run, decided_term=decided_term)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 21, suspects_count=1)
    assert state.state_of() == ttypes.JobState.RUNNING


def test_losses_of_workers_that_live_on_do_not_count_beside_crashes(
    state: builders.State,
) -> None:
    for run in (1, 2):
        _crash(state, run, suspects_count=0)
    for run in range(3, 10):
        _lose(state, run, has_begun=True)
    assert state.state_of() == ttypes.JobState.RUNNING
    for run in range(10, 13):
        _crash(state, run, suspects_count=0)
    assert state.state_of() == ttypes.JobState.FAILED


def test_many_losses_of_workers_that_live_on_displace_no_crash(
    state: builders.State,
) -> None:
    """Guards against tasks that crash workers on and on between other losses."""
    for run in range(1, 5):
        _crash(state, run, suspects_count=0)
    for run in range(5, 30):
        _lose(state, run)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 30, suspects_count=0)
    assert state.state_of() == ttypes.JobState.FAILED


def test_run_that_had_begun_counts_for_a_worker_that_lost_two_runs(
    state: builders.State,
) -> None:
    """Guards against crashes that an earlier run on the same worker hides."""
    agents = ["a1", "a2", "a3", "a4", "a5", "a1", "a2"]
    for run, agent in enumerate(agents, 1):
        assert state.state_of() != ttypes.JobState.FAILED
        assert state.grant(builders.grant(_TASK, run, agent)) == 1
        end = builders.run_end(_TASK, _CRASHED, run)
        end.has_begun = run > 5
        state.end(end)
    assert state.state_of() == ttypes.JobState.FAILED


def test_task_is_no_suspect_for_losses_before_it_had_begun(
    state: builders.State,
) -> None:
    for run in (1, 2, 3):
        _lose(state, run)
    assert not crash_attribution.is_suspect(state.task(_TASK))
    for run in (4, 5):
        _lose(state, run, has_begun=True)
    assert crash_attribution.is_suspect(state.task(_TASK))


def test_job_is_not_failed_for_crashes_before_its_task_is_known_to_have_begun(
    state: builders.State,
) -> None:
    _crash(state, 1, suspects_count=0)
    for run in range(2, 12):
        _lose(state, run, has_worker_ended=True)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 12, suspects_count=0)
    assert state.state_of() == ttypes.JobState.FAILED


def test_crash_that_a_later_process_of_the_agent_finds_counts(
    state: builders.State,
) -> None:
    for run in range(1, 6):
        assert state.state_of() != ttypes.JobState.FAILED
        _lose(state, run, decided_term=1)
        end = builders.run_end(_TASK, ttypes.RunEndKind.LOST, run)
        end.has_worker_ended = end.has_begun = True
        state.end(end)
        state.end(end)
    assert state.state_of() == ttypes.JobState.FAILED


def test_runs_on_one_worker_count_as_one_crash(state: builders.State) -> None:
    for run in range(1, 7):
        state.grant(builders.grant(_TASK, run))
        end = builders.run_end(_TASK, ttypes.RunEndKind.LOST, run)
        state.end(end)
    for run in range(1, 7):
        _report(state, run, suspects_count=3)
    assert state.state_of() == ttypes.JobState.RUNNING


def test_suspicion_without_a_begun_run_fails_no_job(
    state: builders.State,
) -> None:
    """Guards against reports of agents that suspect unanswered starts."""
    for run in range(1, 4):
        state.grant(_grant(run, f"a{run}"))
        end = builders.run_end(_TASK, _CRASHED, run)
        end.suspects_count = 1
        end.unseen_ms = 0
        state.end(end)
    assert state.state_of() == ttypes.JobState.RUNNING


@pytest.mark.parametrize("unseen_ms", [-1, 26, 10_000])
def test_job_is_not_failed_for_few_crashes_before_which_its_runs_may_have_ended(
    state: builders.State, unseen_ms: int
) -> None:
    for run in range(1, 5):
        _crash(state, run, agent=f"a{run}", unseen_ms=unseen_ms)
    assert state.state_of() == ttypes.JobState.RUNNING
    assert crash_attribution.is_suspect(state.task(_TASK))
    _crash(state, 5, unseen_ms=unseen_ms)
    assert state.state_of() == ttypes.JobState.FAILED


@pytest.mark.parametrize("unseen_run", [1, 2])
def test_crash_before_which_a_run_may_have_ended_takes_off_no_other_crash(
    state: builders.State, unseen_run: int
) -> None:
    for run in range(1, 4):
        _crash(
            state,
            run,
            agent=f"a{run}",
            unseen_ms=500 if run == unseen_run else 25,
        )
    assert state.state_of() == ttypes.JobState.FAILED


@pytest.mark.parametrize(("at_work_count", "crashes_count"), [(1, 5), (2, 3)])
def test_one_of_several_suspects_must_have_been_at_work_at_two_crashes(
    state: builders.State, at_work_count: int, crashes_count: int
) -> None:
    """Guards against a job that fails for one crash and two unread ends."""
    for run in range(1, crashes_count + 1):
        assert state.state_of() != ttypes.JobState.FAILED
        unseen_ms = 0 if run <= at_work_count else 500
        _crash(state, run, suspects_count=6, unseen_ms=unseen_ms)
    assert state.state_of() == ttypes.JobState.FAILED


def test_crash_that_is_recorded_late_does_not_excuse_earlier_ones(
    state: builders.State,
) -> None:
    for run in range(1, 6):
        state.grant(_grant(run, f"a{run}"))
        end = builders.run_end(_TASK, _CRASHED, run)
        end.has_begun = True
        end.age_ms = 10
        late_ms = 700_000 if run in (3, 5) else 0
        state.apply(
            at_unix_ms=builders.NOW_UNIX_MS + late_ms,
            record_run_ends=ttypes.RecordRunEnds(ends=[end]),
        )
    assert state.state_of() == ttypes.JobState.FAILED


def test_end_listed_by_a_later_incarnation_takes_off_no_crash(
    state: builders.State,
) -> None:
    _lose(state, 1, **_GONE)
    state.end(builders.run_end(_TASK, ttypes.RunEndKind.STOPPED, 1))
    assert len(state.task(_TASK).losses) == 1


def test_loss_without_evidence_is_no_second_worker_of_a_sole_suspect(
    state: builders.State,
) -> None:
    _lose(state, 1)
    _crash(state, 2, agent="a2")
    _crash(state, 3, agent="a2")
    assert state.state_of() == ttypes.JobState.RUNNING


def test_reason_of_a_failed_job_names_the_crashes_that_counted(
    state: builders.State,
) -> None:
    _crash(state, 1, agent="a1", age_ms=20)
    _crash(state, 2, agent="a2", age_ms=30)
    reason = state.tables.jobs.jobs["j1"].reason
    assert reason.startswith(f"2 workers crashed as task {_TASK} started: run")
    for run in (1, 2):
        assert (
            f"run {run} on a{run} worker a{run}-incarnation{run} crashed, "
            f"age {10 + 10 * run} ms (suspects: 1)" in reason
        )


@pytest.mark.parametrize("unseen_count", [1, 2, 3, 4])
def test_losses_that_agents_saw_and_did_not_see_count_together(
    state: builders.State, unseen_count: int
) -> None:
    for run in range(1, unseen_count + 1):
        _lose(state, run, **_GONE)
    runs = itertools.count(unseen_count + 1)
    while state.state_of() == ttypes.JobState.RUNNING:
        _crash(state, next(runs), suspects_count=5)
    assert next(runs) <= 6


def test_runs_that_are_excused_or_began_long_ago_do_not_fail_a_job(
    state: builders.State,
) -> None:
    for run in range(1, 9):
        _lose(state, run, is_excused=True)
    for run in range(9, 20):
        _lose(state, run, at_unix_ms=builders.NOW_UNIX_MS + 70_000)
    for run in range(20, 31):
        _lose(
            state,
            run,
            at_unix_ms=builders.NOW_UNIX_MS + 601_000,
            **_GONE,
        )
    assert state.state_of() == ttypes.JobState.RUNNING


@pytest.mark.parametrize("age_ms", [10, 600, 6_000, 25_000])
def test_task_that_crashes_workers_without_being_suspected_fails_its_job(
    state: builders.State, age_ms: int
) -> None:
    for run in range(1, 6):
        assert state.state_of() != ttypes.JobState.FAILED
        _crash(state, run, suspects_count=0, age_ms=age_ms + 10 * run)
    assert state.state_of() == ttypes.JobState.FAILED


def test_job_fails_at_the_fifth_crash_whatever_the_ages(
    state: builders.State,
) -> None:
    for run, age_s in enumerate((20, 300, 8, 29), 1):
        _crash(state, run, suspects_count=0, age_ms=1_000 * age_s)
    assert state.state_of() == ttypes.JobState.RUNNING
    _crash(state, 5, suspects_count=0, age_ms=4_000)
    assert state.state_of() == ttypes.JobState.FAILED


@pytest.mark.parametrize("suspects_count", [1, 2])
def test_task_that_crashes_workers_early_and_late_in_turn_fails_its_job(
    state: builders.State, suspects_count: int
) -> None:
    """Guards against counts that a crash at a higher age resets."""
    for run in range(1, 6):
        assert state.state_of() != ttypes.JobState.FAILED
        is_late = run % 2 == 0
        _crash(
            state,
            run,
            agent=f"a{run}",
            suspects_count=0 if is_late else suspects_count,
            age_ms=7_000 if is_late else 2_000,
        )
    assert state.state_of() == ttypes.JobState.FAILED


@pytest.mark.parametrize(
    "kind",
    [
        ttypes.RunEndKind.LAPSED,
        ttypes.RunEndKind.STOPPED,
        ttypes.RunEndKind.REFUSED,
        ttypes.RunEndKind.DONE,
    ],
)
def test_run_whose_worker_outlived_it_counts_as_no_loss(
    state: builders.State, kind: ttypes.RunEndKind
) -> None:
    """Guards against sound tasks that are given up after cuts of their agents."""
    for run in range(1, 9):
        _lose(state, run)
        end = builders.run_end(_TASK, kind, run, checkpoint_id=f"late {run}")
        state.end(end)
        state.end(end)
    assert state.state_of() == ttypes.JobState.RUNNING
    task = state.task(_TASK)
    assert (task.losses, task.done, task.checkpoint_id) == ([], False, "")


def test_loss_that_is_recorded_twice_counts_once(state: builders.State) -> None:
    for run in range(1, 5):
        _lose(state, run, **_GONE)
        end = builders.run_end(_TASK, ttypes.RunEndKind.LOST, run)
        end.has_worker_ended = end.has_begun = True
        state.end(end)
    assert state.state_of() == ttypes.JobState.RUNNING
    assert len(state.task(_TASK).losses) == 4


def test_run_that_works_for_long_takes_off_earlier_losses(
    state: builders.State,
) -> None:
    for run in range(1, 5):
        _lose(state, run, **_GONE)
    _lose(
        state,
        5,
        at_unix_ms=builders.NOW_UNIX_MS + 3_600_000,
        **_GONE,
    )
    _lose(state, 6, **_GONE)
    assert state.state_of() == ttypes.JobState.RUNNING


@pytest.mark.parametrize("order", list(itertools.permutations((1, 2, 3))))
def test_crashes_reported_late_in_any_order_are_counted(
    state: builders.State, order: tuple[int, ...]
) -> None:
    for run in (1, 2, 3):
        _lose(state, run)
    for run in order:
        _report(state, run, suspects_count=2)
        _report(state, run, suspects_count=2)
    assert state.state_of() == ttypes.JobState.FAILED


def test_late_crash_of_a_newer_run_leaves_room_for_that_of_a_live_one(
    state: builders.State,
) -> None:
    _lose(state, 1)
    _lose(state, 2)
    state.grant(_grant(3))
    _report(state, 2, suspects_count=2)
    _report(state, 1, suspects_count=2)
    assert crash_attribution.crashes_count(state.task(_TASK)) == 2
    _report(state, 3, suspects_count=2)
    assert state.state_of() == ttypes.JobState.FAILED


def test_a_crash_of_a_run_that_was_never_granted_is_ignored(
    state: builders.State,
) -> None:
    _report(state, 1, suspects_count=1)
    assert crash_attribution.crashes_count(state.task(_TASK)) == 0


@pytest.mark.parametrize(
    ("age_ms", "crashes_count"), [(1_000, 1), (1_600, 1), (1_800, 0)]
)
def test_a_run_that_outlives_earlier_crashes_resets_the_count(
    state: builders.State, age_ms: int, crashes_count: int
) -> None:
    _crash(state, 1, suspects_count=2, age_ms=100)
    _crash(state, 2, suspects_count=0, age_ms=age_ms)
    assert crash_attribution.crashes_count(state.task(_TASK)) == crashes_count


def test_crashes_far_below_the_age_of_another_run_are_not_suspected(
    state: builders.State,
) -> None:
    _crash(state, 1)
    _crash(state, 2, suspects_count=0, age_ms=60_000)
    _crash(state, 3, agent="a2")
    _crash(state, 4, agent="a3")
    assert state.state_of() == ttypes.JobState.RUNNING
    task = state.task(_TASK)
    assert crash_attribution.crashes_count(task) == 0
    assert crash_attribution.early_losses(task) == []
    _crash(state, 5, agent="a4")
    assert state.state_of() == ttypes.JobState.FAILED


def test_a_task_that_crashes_workers_at_similar_ages_fails_its_job(
    state: builders.State,
) -> None:
    _crash(state, 1, suspects_count=3, age_ms=3_000)
    _crash(state, 2, suspects_count=4, age_ms=3_900)
    _crash(state, 3, suspects_count=3, age_ms=2_800)
    assert state.state_of() == ttypes.JobState.FAILED


def test_crashes_of_a_long_running_task_fail_its_job() -> None:
    state = builders.State()
    state.submit(builders.job("j1", builders.step(long_running=True)))
    _crash(state, 1)
    _crash(state, 2, agent="a2")
    assert state.state_of() == ttypes.JobState.FAILED


def test_a_crash_of_another_copy_of_a_done_task_does_not_fail_its_job(
    state: builders.State,
) -> None:
    state.submit(builders.job("j2", builders.step(2, speculative=True)))
    copied = builders.task_name(job_id="j2")
    crash = builders.run_end(copied, _CRASHED, 1)
    crash.suspects_count = 1
    crash.has_begun = True
    crash.unseen_ms = 0
    state.grant(builders.grant(copied, 1, "a1"))
    state.end(crash)
    state.grant(builders.grant(copied, 2, "a1"))
    state.grant(builders.grant(copied, 3, "a2"))
    state.end(builders.run_end(copied, ttypes.RunEndKind.DONE, 2))
    crash.run = 3
    state.end(crash)
    assert state.state_of("j2") == ttypes.JobState.RUNNING


def test_a_reset_reported_after_the_run_was_lost_marks_the_job_as_changed(
    state: builders.State,
) -> None:
    _crash(state, 1, suspects_count=2)
    _lose(state, 2)
    state.tables.jobs.pop_changed_jobs()
    _report(state, 2, suspects_count=0, age_ms=60_000)
    assert state.tables.jobs.pop_changed_jobs() == {"j1"}
