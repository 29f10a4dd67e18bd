"""Tests of tasks that wait for their preferred rack, through a leader's rounds."""

import statistics

import pytest

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.job_placing import rack_load
from tests.coordination.jobs import builders

_RATIO = 2.0
_RACKS = ("r1", "r2", "r3", "r4")
_CORES_PER_RACK = 8


def _create_leader(ratio: float = _RATIO) -> leader_harness.LeaderHarness:
    """Creates a leader with four racks of two workers of 4 cores each."""
    locality = locality_settings.LocalitySettings(remote_run_ratio=ratio)
    leader = leader_harness.LeaderHarness(locality=locality)
    for rack in _RACKS:
        for number in range(2):
            leader.set_worker(
                f"{rack}-{number}", cores=4, rack=rack, labels=["a", rack]
            )
    return leader


def _rack_of(agent: str) -> str:
    return agent.split("-")[0]


def _near_step(tasks_count: int = 1, **fields: object) -> ttypes.Step:
    values = {"preferred_rack": "r1", "estimated_ms": 1000} | fields
    return builders.step(tasks_count, **values)


def _use_other_racks(
    leader: leader_harness.LeaderHarness, **fields: object
) -> None:
    """Submits jobs for all cores but one of each rack other than r1."""
    for rack in _RACKS[1:]:
        step = builders.step(
            _CORES_PER_RACK - 1,
            preferred_rack=rack,
            estimated_ms=60_000,
            **fields,
        )
        leader.submit(f"other-{rack}", step)


@pytest.fixture
def leader() -> leader_harness.LeaderHarness:
    """A leader whose rack r1 is full for 0.7 s and whose other racks are in use."""
    leader = _create_leader()
    leader.submit("full", _near_step(_CORES_PER_RACK))
    _use_other_racks(leader)
    leader.run_round()
    leader.now_s += 0.3
    return leader


def _end_first_runs(leader: leader_harness.LeaderHarness, count: int) -> None:
    for number in range(count):
        name = builders.task_name(number, "full")
        leader.record_end(builders.run_end(name, ttypes.RunEndKind.DONE))


def test_a_task_waits_for_its_rack_and_starts_there(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step())
    assert leader.run_round() == {}
    leader.now_s += 0.7
    _end_first_runs(leader, 1)
    agents = leader.run_round().values()
    assert [_rack_of(agent) for agent in agents] == ["r1"]


def test_a_task_starts_elsewhere_once_its_wait_is_over(
    leader: leader_harness.LeaderHarness,
) -> None:
    """The runs in its rack take much longer than predicted."""
    leader.submit("j1", _near_step())
    came_s = leader.now_s
    starts_s = []
    for _ in range(30):
        if leader.run_round():
            starts_s.append(leader.now_s)
        leader.now_s += 0.1
    assert len(starts_s) == 1
    assert came_s < starts_s[0] <= came_s + 1.0 + 0.1


def test_a_task_whose_rack_is_lost_or_evacuated_starts_elsewhere_at_once(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step())
    assert leader.run_round() == {}
    leader.ineligible = {"r1-0", "r1-1"}
    assert len(leader.run_round()) == 1


def test_a_task_that_never_fits_in_its_rack_starts_elsewhere_at_once(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.set_worker("r2-9", cores=16, rack="r2", labels=["a", "r2"])
    large = leader_harness.resources(10)
    leader.submit("j1", _near_step(resources=large))
    assert list(leader.run_round().values()) == ["r2-9"]


def test_a_task_without_a_worker_of_its_rack_starts_elsewhere_at_once(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step(preferred_rack="r9"))
    assert len(leader.run_round()) == 1


def test_a_task_does_not_wait_for_workers_that_drain(
    leader: leader_harness.LeaderHarness,
) -> None:
    for agent in ("r1-0", "r1-1"):
        leader.views[agent].worker.draining = True
    leader.submit("j1", _near_step())
    assert len(leader.run_round()) == 1


def test_a_task_does_not_wait_for_capacity_that_best_effort_runs_use() -> None:
    """Best-effort runs reserve no processor time, so their end frees none of it."""
    leader = _create_leader()
    leader.submit("short", _near_step(_CORES_PER_RACK, best_effort=True))
    leader.run_round()
    leader.submit("full", _near_step(_CORES_PER_RACK, estimated_ms=60_000))
    leader.run_round()
    leader.now_s += 0.8
    leader.submit("j1", _near_step())
    assert len(leader.run_round()) == 1


def test_a_best_effort_task_waits_for_the_end_of_a_best_effort_run() -> None:
    leader = _create_leader()
    leader.submit("full", _near_step(_CORES_PER_RACK, best_effort=True))
    _use_other_racks(leader, best_effort=True)
    leader.run_round()
    leader.now_s += 0.9
    leader.submit("j1", _near_step(best_effort=True))
    assert leader.run_round() == {}
    _end_first_runs(leader, 1)
    agents = leader.run_round().values()
    assert [_rack_of(agent) for agent in agents] == ["r1"]


def test_a_task_does_not_wait_for_the_only_worker_on_which_it_failed(
    leader: leader_harness.LeaderHarness,
) -> None:
    """A new run avoids that worker as long as another one fits."""
    leader.set_worker("r9-0", cores=4, rack="r9", labels=["a"])
    leader.submit("j1", _near_step(preferred_rack="r9"))
    leader.submit("j2", _near_step(4, preferred_rack="r9"))
    assert leader.run_round()[builders.task_name()] == "r9-0"
    leader.now_s += 0.8
    failed = builders.run_end(builders.task_name(), ttypes.RunEndKind.FAILED)
    leader.record_end(failed)
    agent = leader.run_round().get(builders.task_name(), "")
    assert _rack_of(agent) in _RACKS


def test_a_job_is_never_idle_for_long_while_its_pool_is_half_idle() -> None:
    """Guards against a long run whose extra run time would allow a long wait.

    Best-effort tasks use most of the other racks, but reserve nothing there.
    """
    leader = _create_leader()
    leader.submit("full", _near_step(_CORES_PER_RACK, estimated_ms=8_000))
    _use_other_racks(leader, best_effort=True)
    leader.run_round()
    leader.now_s += 7.0
    leader.submit("j1", _near_step(estimated_ms=20_000))
    came_s = leader.now_s
    while not leader.run_round():
        leader.now_s += 0.25
    assert 0 < leader.now_s - came_s <= 2.25


def test_tasks_of_one_step_that_come_too_late_start_elsewhere_at_once(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Eight turns come in time; there are three free cores elsewhere."""
    leader.submit("j1", _near_step(11))
    started = leader.run_round()
    assert len(started) == 3
    assert {_rack_of(agent) for agent in started.values()} <= set(_RACKS[1:])


def test_a_new_leader_lets_a_task_wait_anew_for_the_limit_at_most(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step())
    for _ in range(8):
        assert leader.run_round() == {}
        leader.now_s += 0.1
    leader.begin_term()
    began_s = leader.now_s
    while not leader.run_round():
        leader.now_s += 0.1
    assert leader.now_s - began_s <= 1.0 + 0.1


def test_a_new_leader_forecasts_the_rack_from_the_progress_of_its_runs(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step(estimated_ms=300))
    assert len(leader.run_round()) == 1
    samples = [
        ttypes.RunSample(
            task=builders.task_name(number, "full"), run=1, percent=95, load=0
        )
        for number in range(_CORES_PER_RACK)
    ]
    for agent in ("r1-0", "r1-1"):
        leader.report_samples(agent, *samples, after_s=0)
    leader.begin_term()
    leader.submit("j2", _near_step(estimated_ms=300))
    assert leader.run_round() == {}


def test_a_failed_rack_that_is_back_serves_those_that_wait(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step())
    assert leader.run_round() == {}
    _end_first_runs(leader, 4)
    leader.ineligible = {"r1-0"}
    leader.run_round()
    leader.ineligible = set()
    leader.submit("j2", _near_step())
    assert all(_rack_of(a) == "r1" for a in leader.run_round().values())


def test_gangs_and_long_running_tasks_do_not_wait(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", _near_step(2, gang=True))
    leader.submit("j2", _near_step(long_running=True))
    assert len(leader.run_round()) == 3


def _play_hot_rack(
    ratio: float, *, requires_rack: bool = False, other_jobs: float = 0.2
) -> rack_load.RackLoad:
    """Plays jobs that prefer r1 at over twice its capacity for 10 s.

    Jobs of the other racks come at half of these racks' capacity, or at a rate of
    `other_jobs` each 0.05 s.
    """
    load = rack_load.RackLoad(_create_leader(ratio), remote_run_ratio=_RATIO)
    credits = dict.fromkeys(_RACKS, 0.0)

    def submit_due(load: rack_load.RackLoad) -> None:
        for rack in _RACKS:
            credits[rack] += (0.9 if rack == "r1" else other_jobs) + 1e-9
            while credits[rack] >= 1:
                credits[rack] -= 1
                label = rack if requires_rack else ""
                load.submit(rack, required_label=label)

    load.advance_until(110.0, submit_due)
    load.finish()
    return load


def _mean_s(load: rack_load.RackLoad) -> float:
    return statistics.fmean(
        job.ended_s - job.came_s for job in load.jobs.values()
    )


def test_a_hot_rack_ends_earlier_than_without_waiting_or_waiting_forever() -> (
    None
):
    """The jobs of 18 s of work a second prefer a rack that does 8.

    Without waiting they take the workers of other racks for twice as long, so the
    jobs of these racks are displaced as well.
    """
    bounded = _play_hot_rack(_RATIO)
    never = _play_hot_rack(1.0)
    forever = _play_hot_rack(1.0, requires_rack=True)
    assert _mean_s(bounded) < 0.8 * min(_mean_s(never), _mean_s(forever))
    bounded_end_s, *others_s = (
        max(job.ended_s for job in load.jobs.values())
        for load in (bounded, never, forever)
    )
    assert bounded_end_s < min(others_s)


def test_waiting_costs_nothing_where_the_other_racks_are_idle() -> None:
    """Guards against a queue at a rack that has no more capacity for it.

    The rack is full either way, and the idle workers do the rest without a delay.
    """
    bounded, never = (_play_idle_pool(ratio) for ratio in (_RATIO, 1.0))
    assert _mean_s(bounded) <= 1.01 * _mean_s(never)


def _play_idle_pool(ratio: float) -> rack_load.RackLoad:
    """Plays jobs of 1 s for 10 s: 10.4 a second for r1, 1.6 for each other rack."""
    load = rack_load.RackLoad(_create_leader(ratio), remote_run_ratio=_RATIO)
    credits = dict.fromkeys(_RACKS, 0.0)

    def submit_due(load: rack_load.RackLoad) -> None:
        for rack in _RACKS:
            credits[rack] += (0.52 if rack == "r1" else 0.08) + 1e-9
            while credits[rack] >= 1:
                credits[rack] -= 1
                load.submit(rack)

    load.advance_until(110.0, submit_due)
    load.finish()
    return load


def test_nobody_starves_while_many_want_one_rack() -> None:
    waits_s = [
        job.started_s - job.came_s
        for job in _play_hot_rack(_RATIO).jobs.values()
    ]
    never_s = [
        job.started_s - job.came_s for job in _play_hot_rack(1.0).jobs.values()
    ]
    assert max(waits_s) <= max(never_s)


def test_no_job_waits_longer_than_starting_elsewhere_costs() -> None:
    """There is always a free worker elsewhere, so each wait is a choice."""
    load = _play_hot_rack(_RATIO, other_jobs=0.0)
    extra_s = _RATIO - 1
    waits_s = [job.started_s - job.came_s for job in load.jobs.values()]
    assert 0 < max(waits_s) <= extra_s
    assert any(job.is_away for job in load.jobs.values())


def test_with_ratio_one_each_grant_is_as_without_the_setting() -> None:
    """The settings that switch nothing on must not change one decision."""
    plays = []
    for ratio in (None, 1.0):
        leader = leader_harness.LeaderHarness(
            locality=ratio
            and locality_settings.LocalitySettings(remote_run_ratio=ratio)
        )
        for number in range(6):
            rack = f"r{number % 3}"
            leader.set_worker(f"a{number}", cores=4, rack=rack)
        load = rack_load.RackLoad(leader, remote_run_ratio=_RATIO)
        for number in range(60):
            load.submit(f"r{number % 2}", run_s=0.3 + number % 5 / 10)
            load.advance()
        load.finish()
        plays.append(
            [(j.started_s, j.ended_s, j.is_away) for j in load.jobs.values()]
        )
    assert plays[0] == plays[1]


def test_a_step_without_a_preferred_rack_is_granted_as_with_ratio_one() -> None:
    plays = []
    for ratio in (1.0, 3.0):
        leader = _create_leader(ratio)
        load = rack_load.RackLoad(leader, remote_run_ratio=1.0)
        for number in range(80):
            load.submit("", run_s=0.5 + number % 7 / 10)
            load.advance()
        load.finish()
        plays.append([(j.started_s, j.ended_s) for j in load.jobs.values()])
    assert plays[0] == plays[1]
