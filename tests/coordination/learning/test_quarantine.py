"""Workers that fail all their runs, and jobs that fail on all workers."""

import pytest

from marigoldsill.coordination.learning import quarantine as quarantine_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination import leader_simulation

EVENTS = leader_simulation.EVENTS


def run_and_fail(simulation, faulty: set[str], *, broken: str = "none") -> None:
    """Runs one round; runs on faulty workers and runs of the broken job fail."""
    simulation.apply_bodies(simulation.decide(passed_s=2))
    assigned = [t for t in simulation.tables.tasks.values() if t.state == 2]
    simulation.record_run_events(
        {
            task.name: EVENTS.FAILED
            if task.worker in faulty or task.owner == broken
            else EVENTS.COMPLETED
            for task in assigned
        }
    )


def worker_states(simulation) -> dict[str, str]:
    return {
        w.name: ttypes.WorkerState(w.state).name
        for w in simulation.tables.workers.values()
    }


def simulation_with_quarantined_worker(*, worker_cores: int, job_cores: int):
    """Returns a simulation of two workers and 40 jobs, where w1 is quarantined."""
    simulation = leader_simulation.LeaderSimulation()
    for i in range(2):
        simulation.add_worker(f"w{i}", cores=worker_cores)
    for i in range(40):
        simulation.add_job(f"kind{i % 4}x-{i}", cores=job_cores)
    while worker_states(simulation)["w1"] != "QUARANTINED":
        run_and_fail(simulation, {"w1"})
    return simulation


def test_worker_that_fails_all_runs_is_quarantined_and_jobs_complete():
    simulation = leader_simulation.LeaderSimulation()
    for i in range(4):
        simulation.add_worker(f"w{i}", cores=4)
    for i in range(40):
        simulation.add_job(f"kind{i % 4}x-{i}", cores=4)
    for _ in range(10):
        run_and_fail(simulation, {"w2"})
    assert worker_states(simulation) == {
        "w0": "ACTIVE",
        "w1": "ACTIVE",
        "w2": "QUARANTINED",
        "w3": "ACTIVE",
    }
    for _ in range(30):
        run_and_fail(simulation, {"w2"})
    assert {t.state for t in simulation.tables.tasks.values()} == {
        ttypes.TaskState.DONE
    }


def test_broken_job_fails_and_no_worker_is_quarantined():
    simulation = leader_simulation.LeaderSimulation()
    for i in range(4):
        simulation.add_worker(f"w{i}", cores=4)
    for i in range(20):
        simulation.add_job(f"good{i % 4}x-{i}")
    simulation.add_job("broken", attempts_limit=12)
    for _ in range(300):
        run_and_fail(simulation, set(), broken="broken")
    assert simulation.task_state("broken/0") == "FAILED"
    assert simulation.get_task("broken/0").failures_count == 12
    assert set(worker_states(simulation).values()) == {"ACTIVE"}


def test_job_that_failed_elsewhere_does_not_quarantine_a_worker():
    quarantine = quarantine_module.Quarantine()
    for i in range(60):
        quarantine.record_success(f"w{i % 3}", "good", now_s=1.0)
    for i in range(3):
        quarantine.record_failure(f"w{i}", "broken", now_s=1.0)
    assert not any(
        quarantine.record_failure("w4", "broken", now_s=2.0) for _ in range(6)
    )


def test_quarantined_worker_is_probed_with_one_run_and_restored():
    simulation = simulation_with_quarantined_worker(
        worker_cores=20, job_cores=2
    )
    for i in range(40, 60):
        simulation.add_job(f"kind{i % 4}x-{i}", cores=9)
    simulation.apply_bodies(simulation.decide(passed_s=100))
    simulation.apply_bodies(simulation.decide(passed_s=1))
    simulation.apply_bodies(simulation.decide(passed_s=1))
    probe = simulation.tables.tasks_on("w1")
    assert len(probe) == 1
    simulation.record_run_events({probe[0].name: EVENTS.COMPLETED})
    simulation.apply_bodies(simulation.decide(passed_s=1))
    simulation.apply_bodies(simulation.decide(passed_s=1))
    assert len(simulation.tables.tasks_on("w1")) > 1


def test_worker_is_restored_although_a_command_was_lost():
    simulation = simulation_with_quarantined_worker(worker_cores=4, job_cores=4)
    lost = simulation.decide(passed_s=100)
    assert any(isinstance(body, ttypes.PutWorker) for body in lost)
    run_and_fail(simulation, set())
    run_and_fail(simulation, set())
    assert worker_states(simulation)["w1"] == "ACTIVE"


def test_least_recently_used_workers_are_dropped_at_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(quarantine_module, "_WORKERS_LIMIT", 10)
    quarantine = quarantine_module.Quarantine()
    quarantine.quarantine_stalled("old", now_s=0.0)
    quarantine.quarantine_stalled("known", now_s=0.0)
    for number in range(9):
        quarantine.record_failure(f"w{number}", "family", now_s=1.0)
        quarantine.record_failure("known", "family", now_s=1.0)
    good = quarantine_module.HealthStatus.GOOD
    assert quarantine.status_of("old") == good
    assert quarantine.status_of("known") != good
    assert quarantine.begin_probations(now_s=1e6) == ["known"]
