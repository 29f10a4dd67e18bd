"""Who gives way: throttle, evict, move; budgets, guards and quarantine."""

import pytest

from marigoldsill.coordination import eviction
from marigoldsill.coordination import quarantine
from marigoldsill.protocol.generated import ttypes
from tests.coordination import world as world_module

EVENTS = world_module.EVENTS


def evictions(bodies) -> list[str]:
    items = world_module.bodies_of(ttypes.EvictRuns, bodies)
    return [item.task for item in items]


def throttled(bodies) -> dict[str, bool]:
    items = world_module.bodies_of(ttypes.ThrottleRuns, bodies)
    return {item.task: item.throttled for item in items}


def full_worker(**policy) -> world_module.World:
    """One worker of ten cores, full of jobs of little urgency."""
    world = world_module.World(eviction_share_limit=1.0, **policy)
    world.worker("w1", cores=10)
    for i in range(5):
        world.job(f"job-{i}", cores=2, urgency=i)
        world.step(passed_s=20)
    world.step(passed_s=60)
    return world


def test_urgent_service_evicts_the_run_that_costs_least():
    world = full_worker()
    world.service("lookup", cores=2, urgency=5)
    assert evictions(world.step()) == ["job-0/0"]
    assert "gave way on w1 to lookup/0" in world.task("job-0/0").reason
    world.step()
    world.step()
    assert world.state("lookup/0") == "RUNNING"


def test_room_made_for_one_task_is_not_taken_by_another():
    world = full_worker()
    world.service("lookup", cores=4, urgency=5)
    bodies = world.decide()
    first, second = evictions(bodies)
    world.apply_bodies(bodies)
    world.report({first: EVENTS.STOPPED})
    world.job("thief", cores=2, urgency=4)
    world.apply_bodies(world.decide(passed_s=2))
    assert world.state("thief/0") == "QUEUED"
    world.report({second: EVENTS.STOPPED})
    world.apply_bodies(world.decide(passed_s=2))
    assert world.state("lookup/0") == "ASSIGNED"


def test_nothing_is_evicted_for_work_of_no_more_urgency():
    world = full_worker()
    world.service("lookup", cores=2, urgency=0)
    assert evictions(world.step()) == []


def test_run_that_just_started_is_not_evicted():
    world = world_module.World(eviction_share_limit=1.0)
    world.worker("w1", cores=2)
    world.job("job", cores=2, urgency=0)
    world.step()
    world.service("lookup", cores=2, urgency=9)
    assert evictions(world.step()) == []
    assert evictions(world.step(passed_s=20)) == ["job/0"]


def test_run_stays_longer_after_each_eviction():
    world = world_module.World()
    once = ttypes.Task(name="a", owner="a", kind=2, evictions_count=1)
    thrice = ttypes.Task(name="b", owner="b", kind=2, evictions_count=3)
    once.started_unix_ms = thrice.started_unix_ms = world.now.unix_ms - 30_000
    chooser = eviction.Evictions(world.decisions.fleet)
    assert chooser.has_stayed(once, now=world.now)
    assert not chooser.has_stayed(thrice, now=world.now)


def test_evictions_stay_within_the_budget_of_a_minute():
    world = world_module.World(eviction_share_limit=0.2)
    for i in range(10):
        world.worker(f"w{i}", cores=2)
        world.job(f"job-{i}", cores=2, urgency=0)
    world.step()
    world.step(passed_s=60)
    world.service("lookup", cores=2, urgency=9, instances_count=10)
    counts = [len(evictions(world.step())) for _ in range(30)]
    assert sum(counts) <= 3


def test_job_without_slack_goes_before_one_with_slack():
    world = world_module.World(eviction_share_limit=1.0)
    world.worker("w1", cores=2)
    world.job("calm", cores=2, run_time_ms=3_600_000)
    world.step()
    world.step(passed_s=60)
    deadline = world.now.unix_ms + 60_000
    world.job("tight", cores=2, run_time_ms=55_000, deadline_unix_ms=deadline)
    assert evictions(world.step()) == ["calm/0"]


def test_work_lost_and_little_slack_make_an_eviction_dear():
    world = world_module.World()
    world.worker("w1")
    far = world.now.unix_ms + 10 * 3_600_000
    near = world.now.unix_ms + 600_000
    world.job("kept")
    world.job("lost", checkpointable=False)
    world.job("slack", run_time_ms=60_000, deadline_unix_ms=far)
    world.job("close", run_time_ms=500_000, deadline_unix_ms=near)
    world.step()
    world.step()
    peak = world.decisions.fleet.estimates
    for name in ("kept/0", "lost/0"):
        usage = ttypes.Usage(name, 1, 1, 0, 0, 100_000)
        task = world.task(name)
        peak.observe(task, world_module.size(1), usage, measured_s=1.0)
    chooser = eviction.Evictions(world.decisions.fleet)
    cost = {
        task.owner: chooser.cost_s(world.tables, task, now=world.now)
        for task in world.tables.tasks.values()
    }
    assert cost["kept"] < cost["slack"] < cost["close"]
    assert cost["lost"] == pytest.approx(cost["kept"] + 100)


def test_reservations_over_a_shrunk_capacity_give_way_at_once():
    world = full_worker()
    world.tables.policy.eviction_share_limit = 0.0
    world.worker("w1", cores=5, incarnation=2)
    assert sorted(evictions(world.step())) == ["job-0/0", "job-1/0", "job-2/0"]
    world.step()
    assert world.held("w1").cpu_millicores <= 5000


def test_drained_worker_is_left_service_by_service():
    world = world_module.World()
    for i in range(4):
        world.worker(f"w{i}", rack=f"r{i}", cores=12)
    world.service("lookup", cores=5, instances_count=2)
    world.step()
    world.step()
    first = world.task("lookup/0").worker
    world.job("job", cores=1)
    world.step()
    for name in {first, world.task("lookup/1").worker}:
        world.drain(name)
    seen = []
    for _ in range(12):
        world.step()
        states = [world.state("lookup/0"), world.state("lookup/1")]
        seen.append(states.count("RUNNING"))
    assert min(seen) == 1
    left = {t.worker for t in world.tables.tasks.values()}
    draining = {w.name for w in world.tables.workers.values() if w.state == 2}
    assert len(draining) == 2
    assert not left & draining
    assert world.state("job/0") == "RUNNING"


def shared_worker(**policy) -> world_module.World:
    """One worker where two families share with a service."""
    world = world_module.World(eviction_share_limit=1.0, **policy)
    world.worker("w1", cores=100)
    world.service("lookup", latency_target_ms=100)
    world.step()
    world.job("mild-1")
    world.step()
    world.step(passed_s=5)
    return world


def learn(world, *, latency_ms, count=60) -> None:
    for _ in range(count):
        world.step(passed_s=2)
        world.measure("lookup/0", latency_ms=latency_ms)
        world.measure("mild-1/0")


def test_neighbour_is_throttled_first_and_evicted_when_that_does_not_help():
    world = shared_worker()
    steps = []
    for _ in range(40):
        world.measure("lookup/0", latency_ms=300)
        bodies = world.step(passed_s=2)
        steps += [f"throttle {t}" for t in throttled(bodies)]
        steps += [f"evict {t}" for t in evictions(bodies)]
        if len(steps) == 2:
            break
    assert steps == ["throttle mild-1/0", "evict mild-1/0"]


def test_measurement_from_before_a_step_does_not_cause_another():
    world = shared_worker()
    while not throttled(world.step(passed_s=2)):
        world.measure("lookup/0", latency_ms=300)
    for _ in range(10):
        bodies = world.step(passed_s=1)
        world.measure("lookup/0", latency_ms=300, ago_s=20)
        assert not evictions(bodies)
    assert world.task("mild-1/0").throttled


def test_throttled_neighbour_goes_on_freely_when_there_is_room():
    world = shared_worker()
    while not throttled(world.step(passed_s=2)):
        world.measure("lookup/0", latency_ms=300)
    freed = []
    for _ in range(60):
        world.measure("lookup/0", latency_ms=20)
        freed.append(throttled(world.step(passed_s=2)))
    assert {"mild-1/0": False} in freed


def test_late_measurement_is_credited_to_who_was_there_then():
    world = shared_worker()
    learn(world, latency_ms=30)
    world.job("loud-1")
    world.run(10)
    world.report({"loud-1/0": EVENTS.COMPLETED})
    world.job("quiet-1")
    world.run(10)
    for _ in range(20):
        world.measure("lookup/0", latency_ms=200, ago_s=15)
    learnt = world.decisions.fleet.interference
    assert learnt.family_added("loud") > 0.5
    assert learnt.family_added("quiet") < 0.1


def test_measurement_across_a_change_of_neighbours_blames_nobody():
    world = shared_worker()
    learn(world, latency_ms=30)
    learnt = world.decisions.fleet.interference
    before = learnt.predict("lookup", (), load=0)
    world.job("quiet-1")
    world.run(2)
    world.measure("lookup/0", latency_ms=400, cores=0.01)
    assert learnt.predict("lookup", (), load=0) == before
    assert learnt.family_added("quiet") < 0.1


def test_guard_stops_sharing_with_a_service_that_misses_its_target():
    world = shared_worker(batch_weight=1.0, latency_weight=0.0)
    learn(world, latency_ms=30)
    for shared in [True, False] * 40:
        world.decisions.fleet.latencies.observe(
            "lookup",
            cpu_millicores=100,
            latency_ratio=1.5 if shared else 0.5,
            shared=shared,
            measured_s=world.now_s,
            now_s=world.now_s,
        )
    world.job("mild-2")
    world.run(20)
    assert world.state("mild-2/0") == "QUEUED"
    world.run(120)
    assert world.state("mild-2/0") == "RUNNING"


def start_and_fail(world, bad: set[str], *, broken: str = "none") -> None:
    """Runs on bad workers fail, and so does the broken job everywhere."""
    world.apply_bodies(world.decide(passed_s=2))
    assigned = [t for t in world.tables.tasks.values() if t.state == 2]
    world.report(
        {
            task.name: EVENTS.FAILED
            if task.worker in bad or task.owner == broken
            else EVENTS.COMPLETED
            for task in assigned
        }
    )


def worker_states(world) -> dict[str, str]:
    return {
        w.name: ttypes.WorkerState(w.state).name
        for w in world.tables.workers.values()
    }


def test_worker_that_fails_everything_is_quarantined_and_jobs_go_on():
    world = world_module.World()
    for i in range(4):
        world.worker(f"w{i}", cores=4)
    for i in range(40):
        world.job(f"kind{i % 4}x-{i}", cores=4)
    for _ in range(10):
        start_and_fail(world, {"w2"})
    assert worker_states(world) == {
        "w0": "ACTIVE",
        "w1": "ACTIVE",
        "w2": "QUARANTINED",
        "w3": "ACTIVE",
    }
    for _ in range(30):
        start_and_fail(world, {"w2"})
    assert {t.state for t in world.tables.tasks.values()} == {
        ttypes.TaskState.DONE
    }


def test_broken_job_is_given_up_and_no_worker_is_blamed():
    world = world_module.World()
    for i in range(4):
        world.worker(f"w{i}", cores=4)
    for i in range(20):
        world.job(f"good{i % 4}x-{i}")
    world.job("broken", attempts_limit=12)
    for _ in range(300):
        start_and_fail(world, set(), broken="broken")
    assert world.state("broken/0") == "FAILED"
    assert world.task("broken/0").failures_count == 12
    assert set(worker_states(world).values()) == {"ACTIVE"}


def test_job_that_failed_elsewhere_hardly_counts_against_a_worker():
    judge = quarantine.Quarantine()
    for i in range(60):
        judge.ran(f"w{i % 3}", "good", now_s=1.0)
    for i in range(3):
        judge.failed(f"w{i}", "broken", now_s=1.0)
    assert not any(judge.failed("w4", "broken", now_s=2.0) for _ in range(6))


def test_quarantined_worker_is_probed_with_one_run_and_restored():
    world = world_module.World()
    for i in range(2):
        world.worker(f"w{i}", cores=20)
    for i in range(40):
        world.job(f"kind{i % 4}x-{i}", cores=2)
    while worker_states(world)["w1"] != "QUARANTINED":
        start_and_fail(world, {"w1"})
    for i in range(40, 60):
        world.job(f"kind{i % 4}x-{i}", cores=9)
    world.apply_bodies(world.decide(passed_s=100))
    world.apply_bodies(world.decide(passed_s=1))
    world.apply_bodies(world.decide(passed_s=1))
    probe = world.tables.tasks_on("w1")
    assert len(probe) == 1
    world.report({probe[0].name: EVENTS.COMPLETED})
    world.apply_bodies(world.decide(passed_s=1))
    world.apply_bodies(world.decide(passed_s=1))
    assert len(world.tables.tasks_on("w1")) > 1


def test_absent_watcher_is_told_of_and_comes_back():
    world = world_module.World()
    world.declare(
        ttypes.Watcher(
            name="parish",
            resources=world_module.size(1),
            absence_limit_ms=10_000,
        )
    )
    world.step(passed_s=5)
    assert world.decisions.absent == []
    world.step(passed_s=6)
    assert [a.task for a in world.decisions.absent] == ["parish/0"]
    world.worker("w1")
    world.step()
    world.step()
    assert world.decisions.absent == []
