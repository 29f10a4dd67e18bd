"""Tests of how failed runs of gangs count as attempts."""

import itertools

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_MEMBERS_COUNT = 3
_NAMES = [builders.task_name(index) for index in range(_MEMBERS_COUNT)]
_FAILED = ttypes.RunEndKind.FAILED
_BROKEN = ttypes.RunEndKind.MEMBER_ENDED


@pytest.fixture
def state() -> builders.State:
    state = builders.State(builders.queue(attempts_limit=2))
    step = builders.step(_MEMBERS_COUNT, gang=True)
    state.submit(builders.job("j1", step))
    return state


def _grant(state: builders.State, run: int) -> None:
    grants = [builders.grant(name, run) for name in _NAMES]
    assert state.grant(*grants) == _MEMBERS_COUNT


def _end(state: builders.State, run: int, *kinds: ttypes.RunEndKind) -> None:
    """Records how a run of each member ended."""
    state.end(
        *(
            builders.run_end(name, kind, run)
            for name, kind in zip(_NAMES, kinds, strict=True)
        )
    )


def test_a_gang_is_not_given_up_after_one_run_that_all_members_failed(
    state: builders.State,
) -> None:
    _grant(state, 1)
    _end(state, 1, _FAILED, _FAILED, _FAILED)
    assert state.state_of() == ttypes.JobState.RUNNING
    _grant(state, 2)
    _end(state, 2, _FAILED, _BROKEN, _FAILED)
    assert state.state_of() == ttypes.JobState.FAILED
    reason = state.tables.jobs.jobs["j1"].reason
    assert reason == "step 0 failed 2 times"


@pytest.mark.parametrize("names", list(itertools.permutations(_NAMES)))
def test_failures_of_one_run_that_are_recorded_apart_are_one_attempt(
    state: builders.State, names: tuple[str, ...]
) -> None:
    _grant(state, 1)
    for name in names:
        # Once more from an agent that had no answer.
        for _ in range(2):
            state.end(builders.run_end(name, _FAILED, 1))
    assert state.state_of() == ttypes.JobState.RUNNING
    _grant(state, 2)
    state.end(builders.run_end(names[0], _FAILED, 2))
    assert state.state_of() == ttypes.JobState.FAILED


def test_a_gang_is_given_up_although_another_member_fails_each_time(
    state: builders.State,
) -> None:
    """Guards against starts after as many failed runs as the queue allows."""
    _grant(state, 1)
    _end(state, 1, _FAILED, _BROKEN, _BROKEN)
    _grant(state, 2)
    _end(state, 2, _BROKEN, _BROKEN, _FAILED)
    assert state.state_of() == ttypes.JobState.FAILED
    assert state.grant(builders.grant(_NAMES[0], 3)) == 0


def test_a_late_failure_of_an_earlier_run_is_no_attempt_of_its_own(
    state: builders.State,
) -> None:
    _grant(state, 1)
    state.end(*(builders.run_end(name, _FAILED, 1) for name in _NAMES[:2]))
    # Granted by a leader that did not know of the third member's run.
    grants = [builders.grant(name, 2) for name in _NAMES[:2]]
    assert state.grant(*grants) == len(grants)
    state.end(builders.run_end(_NAMES[2], _FAILED, 1))
    assert state.state_of() == ttypes.JobState.RUNNING
    state.end(builders.run_end(_NAMES[0], _FAILED, 2))
    assert state.state_of() == ttypes.JobState.FAILED


def test_each_failed_copy_of_a_task_is_an_attempt() -> None:
    state = builders.State(builders.queue(attempts_limit=2))
    state.submit(builders.job("j1", builders.step(speculative=True)))
    name = builders.task_name()
    assert state.grant(builders.grant(name, 1), builders.grant(name, 2)) == 2
    state.end(builders.run_end(name, _FAILED, 2))
    assert state.state_of() == ttypes.JobState.RUNNING
    state.end(builders.run_end(name, _FAILED, 1))
    assert state.state_of() == ttypes.JobState.FAILED


def test_a_gang_that_lasts_has_no_attempts_limit() -> None:
    state = builders.State(builders.queue(attempts_limit=1))
    step = builders.step(_MEMBERS_COUNT, gang=True, long_running=True)
    state.submit(builders.job("j1", step))
    for run in (1, 2, 3):
        _grant(state, run)
        _end(state, run, _FAILED, _FAILED, _FAILED)
    assert state.state_of() == ttypes.JobState.RUNNING
    assert not state.task(_NAMES[0]).failed_runs
