"""Tests of the choice of workers for waiting tasks."""

import pytest

from marigoldsill.coordination.job_placing import gangs
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders


@pytest.fixture
def leader() -> leader_harness.LeaderHarness:
    return leader_harness.LeaderHarness()


def test_grants_never_exceed_the_capacity_of_a_worker(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=8)
    leader.submit("j1", builders.step(5, resources=leader_harness.resources(3)))
    assert len(leader.run_round()) == 2
    assert leader.run_round() == {}


def test_no_task_is_placed_on_a_worker_whose_capacity_fell_below_its_use(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against placements by an outdated, larger capacity."""
    leader.set_worker("a1", cores=8)
    leader.submit("j1", builders.step(6))
    leader.run_round()
    leader.set_worker("a1", cores=5)
    leader.submit("j2", builders.step())
    assert leader.run_round() == {}
    leader.set_worker("a1", cores=7)
    assert len(leader.run_round()) == 1


def test_a_run_of_a_cancelled_job_keeps_its_capacity_until_it_ends(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=4)
    leader.submit("j1", builders.step(resources=leader_harness.resources(4)))
    leader.run_round()
    leader.state.cancel("j1")
    leader.submit("j2", builders.step(resources=leader_harness.resources(4)))
    assert leader.run_round() == {}


def test_a_step_waits_for_the_steps_before_it(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1")
    leader.submit("j1", builders.step(), builders.step(after=[0]))
    assert list(leader.run_round()) == [builders.task_name(0)]
    done = builders.run_end(builders.task_name(0), ttypes.RunEndKind.DONE)
    leader.state.end(done)
    assert list(leader.run_round()) == [builders.task_name(0, step_number=1)]


def test_a_task_waits_for_a_worker_with_its_required_label(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1")
    leader.submit("j1", builders.step(required_label="b"))
    assert leader.run_round() == {}
    leader.set_worker("a2", labels=["b", "r2"])
    assert leader.run_round() == {builders.task_name(0): "a2"}


def test_a_worker_runs_no_more_tasks_of_a_step_than_the_spread_limit(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1")
    leader.set_worker("a2")
    leader.submit("j1", builders.step(5, spread_limit=1))
    assert sorted(leader.run_round().values()) == ["a1", "a2"]


def test_a_worker_in_the_preferred_rack_is_chosen(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", rack="r1")
    leader.set_worker("a2", rack="r2")
    leader.submit("j1", builders.step(2, preferred_rack="r2"))
    assert set(leader.run_round().values()) == {"a2"}


def test_no_task_is_placed_on_a_draining_worker(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", draining=True)
    leader.submit("j1")
    assert leader.run_round() == {}


def test_no_task_is_placed_on_a_worker_of_another_pool(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", pool="other")
    leader.submit("j1")
    assert leader.run_round() == {}


def test_latency_critical_tasks_are_packed(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=16)
    leader.set_worker("a2", cores=16)
    leader.submit("j1", leader_harness.latency_critical())
    leader.submit("j2", leader_harness.latency_critical("other"))
    assert len(set(leader.run_round().values())) == 1


def test_latency_critical_tasks_use_the_largest_workers_first(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against latency-critical tasks on nearly all workers of a full site.

    They were placed on the smallest workers that they fitted on, so large jobs found
    no worker without them, and best-effort tasks were throttled on all.
    """
    for agent, cores in (("a1", 8), ("a2", 24), ("a3", 16)):
        leader.set_worker(agent, cores=cores)
    leader.submit(
        "j1",
        builders.step(6, **leader_harness.latency_critical_fields(cores=4)),
    )
    leader.submit(
        "j2",
        builders.step(2, **leader_harness.latency_critical_fields("other", 4)),
    )
    assert sorted(leader.run_round().values()) == ["a2"] * 6 + ["a3"] * 2


def test_latency_critical_tasks_are_grouped_by_image(
    leader: leader_harness.LeaderHarness,
) -> None:
    for agent, job, image in (("a1", "j1", "desk"), ("a2", "j2", "other")):
        leader.set_worker(agent, cores=16)
        leader.submit(job, leader_harness.latency_critical(image))
        leader.run_round()
        leader.views["a1"].worker.draining = agent == "a1"
    leader.views["a1"].worker.draining = False
    leader.submit("j3", leader_harness.latency_critical("other"))
    assert list(leader.run_round().values()) == ["a2"]


def test_best_effort_tasks_avoid_workers_with_latency_critical_tasks(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=16)
    leader.set_worker("a2", cores=16)
    leader.submit("j1", leader_harness.latency_critical())
    latency_critical = leader.run_round()["j1.0.0.0"]
    leader.submit("j2", leader_harness.best_effort())
    assert leader.run_round()["j2.0.0.0"] != latency_critical


def test_no_best_effort_task_starts_beside_an_unsampled_latency_critical_task(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against missed latency targets after a loss of all power.

    All tasks are then granted again in one round. Best-effort tasks were placed on
    workers of latency-critical tasks that had no sample yet as if those were idle, and
    started there at full speed.
    """
    leader.set_worker("a1", cores=16)
    leader.submit("j1", leader_harness.latency_critical())
    leader.submit("j2", leader_harness.best_effort())
    assert list(leader.run_round()) == ["j1.0.0.0"]
    assert leader.run_round() == {}
    leader.report_tail("a1", "j1.0.0.0", tail_ms=15)
    assert list(leader.run_round()) == ["j2.0.0.0"]


def test_no_best_effort_task_starts_where_full_speed_would_exceed_a_target(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=16)
    leader.submit("j1", leader_harness.latency_critical())
    leader.run_round()
    for tail_ms in (30, 30, 30, 97):
        leader.report_tail("a1", "j1.0.0.0", tail_ms=tail_ms)
    leader.submit("j2", leader_harness.best_effort(cores=1))
    assert leader.run_round() == {}
    leader.report_tail("a1", "j1.0.0.0", tail_ms=30)
    assert list(leader.run_round()) == ["j2.0.0.0"]


def test_best_effort_tasks_reserve_no_processor_time(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=8)
    leader.submit("j1", leader_harness.best_effort(cores=6))
    assert list(leader.run_round()) == ["j1.0.0.0"]
    leader.submit("j2", builders.step(resources=leader_harness.resources(8)))
    assert list(leader.run_round()) == ["j2.0.0.0"]


def test_best_effort_tasks_wait_while_too_little_processor_time_is_idle(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=8)
    leader.submit(
        "j1",
        leader_harness.best_effort(cores=7),
        leader_harness.best_effort(cores=7),
    )
    assert len(leader.run_round()) == 1


def test_the_more_urgent_queue_is_served_first() -> None:
    leader = leader_harness.LeaderHarness()
    leader.state = builders.State(
        builders.queue("late", priority=2), builders.queue("soon", priority=0)
    )
    leader.set_worker("a1", cores=1)
    for job_id, queue in (("j1", "late"), ("j2", "soon")):
        job = builders.job(job_id)
        job.queue = queue
        leader.state.submit(job)
    assert list(leader.run_round()) == ["j2.0.0.0"]


def test_a_best_effort_job_is_not_idle_for_long(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=8)
    leader.submit("j1", leader_harness.best_effort(cores=7))
    leader.run_round()
    leader.submit(
        "j2", builders.step(2, **leader_harness.best_effort_fields(cores=7))
    )
    assert leader.run_round() == {}
    leader.now_s += 3.0
    assert len(leader.run_round()) == 1
    leader.now_s += 3.0
    assert leader.run_round() == {}


def test_in_a_full_pool_an_idle_job_waits_longer_before_it_ignores_limits(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=16)
    leader.submit("j1", leader_harness.latency_critical(cores=12))
    leader.run_round()
    leader.report_tail("a1", "j1.0.0.0", tail_ms=90)
    leader.submit("j2", leader_harness.best_effort())
    assert leader.run_round() == {}
    leader.now_s += 10.0
    assert leader.run_round() == {}
    leader.now_s += 11.0
    assert list(leader.run_round()) == ["j2.0.0.0"]


def test_a_failed_task_starts_on_another_worker(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", rack="r1")
    leader.set_worker("a2", rack="r2")
    step = builders.step(preferred_rack="r1")
    leader.submit("j1", step)
    assert leader.run_round() == {builders.task_name(): "a1"}
    leader.record_end(
        builders.run_end(builders.task_name(), ttypes.RunEndKind.FAILED)
    )
    assert leader.run_round() == {builders.task_name(): "a2"}


def test_a_failed_task_restarts_on_its_worker_if_there_is_no_other(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1")
    leader.submit("j1", builders.step())
    leader.run_round()
    leader.record_end(
        builders.run_end(builders.task_name(), ttypes.RunEndKind.FAILED)
    )
    assert leader.run_round() == {builders.task_name(): "a1"}


def test_a_gang_starts_completely_or_not_at_all(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=4)
    step = builders.step(3, gang=True, resources=leader_harness.resources(2))
    leader.submit("j1", step)
    assert leader.run_round() == {}
    leader.set_worker("a2", cores=4)
    assert sorted(leader.run_round().values()) == ["a1", "a1", "a2"]


def test_a_gang_that_does_not_fit_reserves_no_capacity(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=4)
    leader.submit(
        "j1", builders.step(3, gang=True, resources=leader_harness.resources(2))
    )
    leader.submit("j2", builders.step(2, resources=leader_harness.resources(2)))
    assert sorted(leader.run_round()) == [
        builders.task_name(0, "j2"),
        builders.task_name(1, "j2"),
    ]


def test_members_of_a_gang_get_one_run_number_above_all_earlier_ones(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1")
    leader.submit("j1", builders.step(2, gang=True))
    leader.run_round()
    leader.record_end(
        builders.run_end(builders.task_name(0), ttypes.RunEndKind.FAILED)
    )
    assert leader.run_round() == {}
    ended = ttypes.RunEndKind.MEMBER_ENDED
    leader.record_end(builders.run_end(builders.task_name(1), ended))
    assert sorted(leader.run_round()) == [
        builders.task_name(0),
        builders.task_name(1),
    ]
    tasks = [leader.state.task(builders.task_name(n)) for n in (0, 1)]
    assert [task.runs[0].run for task in tasks] == [2, 2]


def test_a_gang_is_placed_on_one_rack_if_it_fits(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1", cores=6, rack="r1")
    leader.set_worker("a2", cores=4, rack="r2")
    leader.set_worker("a3", cores=4, rack="r2")
    step = builders.step(
        4, gang=True, same_rack=True, resources=leader_harness.resources(2)
    )
    leader.submit("j1", step)
    assert set(leader.run_round().values()) == {"a2", "a3"}


def test_runs_of_an_incomplete_gang_are_evicted(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("a1")
    leader.submit("j1", builders.step(3, gang=True))
    leader.run_round()
    jobs = leader.state.tables.jobs
    assert gangs.runs_of_incomplete_gangs(jobs, ["j1"]) == []
    leader.record_end(
        builders.run_end(builders.task_name(1), ttypes.RunEndKind.REFUSED)
    )
    keys = [
        eviction.key
        for eviction in gangs.runs_of_incomplete_gangs(jobs, ["j1"])
    ]
    assert keys == [(builders.task_name(0), 1), (builders.task_name(2), 1)]


def test_no_task_of_an_advised_queue_starts_without_a_ticket() -> None:
    leader = leader_harness.LeaderHarness(builders.queue(advised=True))
    leader.set_worker("a1")
    leader.submit("j1", builders.step())
    assert leader.run_round() == {}


def test_a_worker_on_probation_gets_one_task_in_a_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a batch of tasks that a failing worker fails again.

    A round found a worker on probation free and gave it as many tasks as fit, although
    a single run shows whether it is healthy.
    """
    harness = leader_harness.LeaderHarness()
    now_s = 1_000.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    harness.set_worker("a1", cores=8)
    for number in range(3):
        harness.submit(f"f{number}")
        [task] = harness.run_round()
        harness.record_end(builders.run_end(task, ttypes.RunEndKind.FAILED))
        harness.state.cancel(f"f{number}")
    now_s += 2.5
    harness.health.begin_due_probations()
    harness.submit("j1", builders.step(5))
    assert len(harness.run_round()) == 1
