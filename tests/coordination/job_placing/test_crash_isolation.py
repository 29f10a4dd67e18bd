"""Tests of the isolation of tasks suspected of crashing a worker."""

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_OBSERVATION_S = 0.6


@pytest.fixture
def leader() -> leader_harness.LeaderHarness:
    harness = leader_harness.LeaderHarness()
    for number in range(1, 6):
        harness.set_worker(f"a{number}")
    return harness


def _report_crash(
    leader: leader_harness.LeaderHarness, *tasks: str, run: int = 1
) -> None:
    """Reports a crash of a worker of which the tasks are the suspects."""
    for task in tasks:
        end = builders.run_end(task, ttypes.RunEndKind.CRASHED, run)
        end.suspects_count = len(tasks)
        end.has_begun = True
        leader.state.end(end)


def _submit_suspects(
    leader: leader_harness.LeaderHarness, count: int
) -> list[str]:
    """Submits a job whose tasks are suspected of the same crash."""
    leader.submit("j1", builders.step(count))
    leader.run_round()
    tasks = [builders.task_name(number) for number in range(count)]
    _report_crash(leader, *tasks)
    leader.now_s += _OBSERVATION_S
    return tasks


def _run_rounds(
    leader: leader_harness.LeaderHarness, *, duration_s: float
) -> dict[str, str]:
    """Runs placement rounds at intervals; returns agents by task."""
    granted: dict[str, str] = {}
    end_s = leader.now_s + duration_s
    while leader.now_s < end_s:
        granted |= leader.run_round()
        leader.now_s += 0.25
    return granted


def test_a_worker_reserved_for_a_suspect_takes_no_other_task(
    leader: leader_harness.LeaderHarness,
) -> None:
    _submit_suspects(leader, 1)
    agent = leader.run_round()[builders.task_name(0)]
    leader.submit("j2", builders.step(30))
    assert agent not in leader.run_round().values()
    leader.now_s += _OBSERVATION_S
    leader.submit("j3", builders.step(30))
    assert agent in leader.run_round().values()


def test_a_suspect_waits_until_earlier_starts_on_its_worker_are_observed(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", builders.step())
    leader.submit("j2", builders.step(5, spread_limit=1))
    leader.run_round()
    _report_crash(leader, builders.task_name(0))
    assert leader.run_round() == {}
    leader.now_s += 0.25
    assert leader.run_round() == {}
    leader.now_s += _OBSERVATION_S
    assert set(leader.run_round()) == {builders.task_name(0)}


def test_workers_that_are_not_reserved_take_tasks_while_suspects_wait(
    leader: leader_harness.LeaderHarness,
) -> None:
    _submit_suspects(leader, 20)
    suspects = leader.run_round()
    assert len(set(suspects.values())) == 2
    leader.submit("j2", builders.step(10))
    others = leader.run_round()
    assert len(others) == 10
    assert not set(suspects.values()) & set(others.values())


def test_a_few_suspects_start_on_separate_workers(
    leader: leader_harness.LeaderHarness,
) -> None:
    tasks = _submit_suspects(leader, 2)
    granted = leader.run_round()
    assert set(granted) == set(tasks)
    assert len(set(granted.values())) == 2


def test_many_suspects_start_in_groups_before_they_are_overdue(
    leader: leader_harness.LeaderHarness,
) -> None:
    tasks = _submit_suspects(leader, 30)
    assert set(_run_rounds(leader, duration_s=2.0)) == set(tasks)


def test_a_suspect_of_two_crashes_starts_on_a_worker_of_its_own(
    leader: leader_harness.LeaderHarness,
) -> None:
    tasks = _submit_suspects(leader, 3)
    _run_rounds(leader, duration_s=2.0)
    _report_crash(leader, *tasks, run=2)
    starts = []
    for _ in range(8):
        starts += [leader.run_round().values()]
        leader.now_s += 0.25
    agents = [agent for granted in starts for agent in granted]
    assert len(agents) == 3
    assert all(len(set(granted)) == len(granted) for granted in starts)


def test_overdue_suspects_of_two_crashes_do_not_start_together() -> None:
    """Guards against a crashing task that takes all jobs with it that were beside it.

    Suspects of two crashes waited for 10 s and then began on one worker at once, and five
    sound jobs failed with the one that crashed it.
    """
    leader = leader_harness.LeaderHarness()
    for name in ("a1", "a2"):
        leader.set_worker(name, cores=8)
    tasks = _submit_suspects(leader, 6)
    _run_rounds(leader, duration_s=4.0)
    _report_crash(leader, *tasks, run=2)
    for name in ("a1", "a2"):
        leader.set_worker(name, cores=0)
    assert not _run_rounds(leader, duration_s=10.0)
    for name in ("a1", "a2"):
        leader.set_worker(name, cores=8)
    granted = {}
    for _ in range(len(tasks)):
        together = leader.run_round()
        assert len(set(together.values())) == len(together)
        granted |= together
        leader.now_s += _OBSERVATION_S
    assert set(granted) == set(tasks)


def test_a_suspect_starts_on_another_worker_first(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", builders.step())
    crashed = leader.run_round()[builders.task_name(0)]
    _report_crash(leader, builders.task_name(0))
    leader.now_s += _OBSERVATION_S
    assert _run_rounds(leader, duration_s=1.5)[builders.task_name(0)] != crashed


def test_suspects_start_when_there_is_a_single_worker() -> None:
    leader = leader_harness.LeaderHarness()
    leader.set_worker("a1")
    tasks = _submit_suspects(leader, 4)
    assert set(_run_rounds(leader, duration_s=3.0)) == set(tasks)


def test_suspects_start_when_a_single_worker_has_free_capacity() -> None:
    leader = leader_harness.LeaderHarness()
    leader.set_worker("a1", cores=2)
    leader.set_worker("a2", cores=8)
    leader.submit("j0", builders.step(resources=leader_harness.resources(8)))
    leader.run_round()
    leader.submit("j1", builders.step(2))
    leader.run_round()
    _report_crash(leader, builders.task_name(0), builders.task_name(1))
    granted = _run_rounds(leader, duration_s=3.0)
    assert set(granted.values()) == {"a1"}
    assert len(granted) == 2


def _lose_runs(
    leader: leader_harness.LeaderHarness, tasks: list[str], run: int
) -> None:
    """Records that workers ended under tasks, as later agents have found."""
    ends = [builders.run_end(t, ttypes.RunEndKind.LOST, run) for t in tasks]
    for end in ends:
        end.has_worker_ended = end.has_begun = True
    leader.state.end(*ends)


def test_tasks_lost_together_are_told_apart_before_they_are_given_up(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against sound tasks that are lost with the same one again and again."""
    leader.submit("j1", builders.step(30))
    tasks = [builders.task_name(number) for number in range(30)]
    runs = dict.fromkeys(tasks, 0)
    for _ in range(200):
        granted = leader.run_round()
        for task in granted:
            runs[task] += 1
        lost_agent = granted.get(tasks[0])
        for task, agent in granted.items():
            if agent == lost_agent:
                _lose_runs(leader, [task], runs[task])
        if lost_agent:
            worker = leader.views[lost_agent].worker
            worker.worker_id = f"{lost_agent}-lost-at-{leader.now_s}"
        leader.now_s += 0.25
    assert leader.state.state_of() == ttypes.JobState.FAILED
    assert runs[tasks[0]] == 5
    assert max(runs[task] for task in tasks[1:]) <= 3


def test_task_starts_on_another_worker_after_it_was_lost_with_one(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", builders.step())
    task = builders.task_name()
    agents = []
    for run in range(1, 5):
        granted = {}
        while task not in granted:
            granted = leader.run_round()
            leader.now_s += 0.25
        agents.append(granted[task])
        _lose_runs(leader, [task], run)
    assert len(set(agents)) == 4


def test_a_reserved_worker_is_released_when_no_suspect_waits(
    leader: leader_harness.LeaderHarness,
) -> None:
    _submit_suspects(leader, 1)
    leader.run_round()
    leader.state.cancel("j1")
    leader.now_s += _OBSERVATION_S
    leader.submit("j2", builders.step(30))
    assert len(set(leader.run_round().values())) == 5


def test_the_wait_of_an_overdue_suspect_ends_with_its_start(
    leader: leader_harness.LeaderHarness,
) -> None:
    isolation = leader.placement._isolation
    task = builders.suspected_task()
    assert not isolation.is_overdue("j1.0.0.0", task, now_s=100.0)
    assert isolation.is_overdue("j1.0.0.0", task, now_s=102.0)
    isolation.record_start("j1.0.0.0", task, "a1", now_s=102.0)
    assert not isolation.is_overdue("j1.0.0.0", task, now_s=110.0)


def _restart_workers(
    leader: leader_harness.LeaderHarness, *agents: str
) -> None:
    leader.refresh_workers()
    for agent in agents:
        leader.views[agent].worker.worker_id = f"{agent}-incarnation2"
    leader.refresh_workers()


def test_suspect_starts_on_a_worker_that_has_not_crashed_itself(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against sound tasks that are given up for workers that crash again."""
    _restart_workers(leader, "a1", "a2", "a3")
    tasks = _submit_suspects(leader, 6)
    granted = _run_rounds(leader, duration_s=1.5)
    assert granted.keys() == set(tasks)
    assert set(granted.values()) <= {"a4", "a5"}


def test_suspect_starts_although_all_workers_have_restarted(
    leader: leader_harness.LeaderHarness,
) -> None:
    _restart_workers(leader, "a1", "a2", "a3", "a4", "a5")
    tasks = _submit_suspects(leader, 1)
    granted = _run_rounds(leader, duration_s=1.0)
    assert granted.keys() == set(tasks)


def test_suspect_starts_on_a_worker_that_restarted_long_ago(
    leader: leader_harness.LeaderHarness,
) -> None:
    _restart_workers(leader, "a1", "a2", "a3", "a4")
    leader.now_s += 61.0
    leader.ineligible.add("a5")
    tasks = _submit_suspects(leader, 1)
    granted = _run_rounds(leader, duration_s=1.0)
    assert granted.keys() == set(tasks)
