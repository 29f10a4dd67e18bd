"""Tasks that crash the workers that start them."""

import pytest

from standins import pool_worker
from tests import one_process
from tests.platform import system as system_module

step = system_module.step
_CRASHING_SPEC = "crash 10"


def test_a_task_that_crashes_each_worker_fails_its_job(
    system: system_module.System,
) -> None:
    """Guards against unlimited restarts, which crash one worker after another."""
    system.start(workers_count=3)
    system.submit("00000000000000e0", step(1), spec=_CRASHING_SPEC)
    system.wait_for_job_state("00000000000000e0", "failed")
    starts = _find_starts(system, "00000000000000e0")
    assert 2 <= len(starts) <= 3


def test_jobs_beside_a_crashing_task_complete(
    system: system_module.System,
) -> None:
    system.start(workers_count=3)
    others = [f"00000000000000f{number}" for number in range(4)]
    for job_id in others[:2]:
        system.submit(job_id, step(4), spec="work 700")
    system.submit("00000000000000e1", step(1), spec=_CRASHING_SPEC)
    for job_id in others[2:]:
        system.submit(job_id, step(4), spec="work 700")
    system.wait_for_job_state("00000000000000e1", "failed")
    for job_id in others:
        system.wait_for_job_state(job_id, "completed")


def test_a_long_running_task_that_crashes_its_workers_fails_its_job(
    system: system_module.System,
) -> None:
    system.start(workers_count=2)
    long_running = step(1, long_running=True)
    system.submit("00000000000000e2", long_running, spec=_CRASHING_SPEC)
    system.wait_for_job_state("00000000000000e2", "failed")


def test_counted_crashes_are_kept_when_the_leader_changes(
    system: system_module.System,
) -> None:
    system.start(workers_count=3)
    system.submit("00000000000000e3", step(1), spec="crash 300")
    system.wait_for_job_state("00000000000000e3", "running")
    system.kill(system.find_leader())
    system.wait_for_job_state("00000000000000e3", "failed")


def test_a_task_whose_crashes_no_agent_sees_is_given_up(
    system: system_module.System,
) -> None:
    """Guards against unlimited restarts where each agent ends with its worker."""
    job_id = "00000000000000e4"
    system.start(workers_count=3)
    system.submit(job_id, step(1), spec="crash 300")
    handled_count = 0

    def kill_agents_of_new_starts() -> bool:
        nonlocal handled_count
        for start in _find_starts(system, job_id)[handled_count:]:
            handled_count += 1
            name = next(
                name
                for name, worker in system.workers.items()
                if worker.address == start["machine"]
            )
            system.kill(name)
            _wait_for_loss(system, start)
            system.restart(name)
        return system.get_job_state(job_id).value.get("state") == "failed"

    one_process.wait_until(
        kill_agents_of_new_starts, limit_s=60.0, what="the failed job"
    )
    assert len(_find_starts(system, job_id)) == 5


def test_a_task_that_crashes_each_worker_during_its_start_fails_its_job(
    system: system_module.System, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unlimited restarts of a task whose start is never answered."""
    job_id = "00000000000000e5"
    start_run = pool_worker.PoolWorker._start_run

    def start_and_crash(worker: pool_worker.PoolWorker, body: dict) -> dict:
        start_run(worker, body)
        worker.crash()
        raise pool_worker._CrashedError

    monkeypatch.setattr(pool_worker.PoolWorker, "_start_run", start_and_crash)
    system.start(workers_count=3)
    system.submit(job_id, step(1), spec="work 50")
    system.wait_for_job_state(job_id, "failed")
    assert 2 <= len(_find_starts(system, job_id)) <= 5


def test_jobs_complete_beside_a_worker_that_crashes_after_each_start(
    system: system_module.System,
) -> None:
    """Guards against sound jobs that are given up for the fault of one worker."""
    system.start(workers_count=3, cpu_millicores=1_000)
    faulty = system.workers["side-1"]
    job_ids = [f"00000000000001e{number}" for number in range(6)]
    for job_id in job_ids:
        system.submit(job_id, step(1, cpu=1000), spec="work 700")

    def crash_and_find_completed() -> bool:
        if faulty.running_tasks():
            faulty.crash()
        states = [system.get_job_state(j).value.get("state") for j in job_ids]
        assert "failed" not in states
        return set(states) == {"completed"}

    one_process.wait_until(
        crash_and_find_completed, limit_s=40.0, what="six completed jobs"
    )


def _wait_for_loss(system: system_module.System, start: dict) -> None:
    def is_lost() -> bool:
        return any(
            line["event"] == "lost"
            and (line["task"], line["run"]) == (start["task"], start["run"])
            for line in system.read_journal()
        )

    one_process.wait_until(is_lost, what="the crash")


def _find_starts(system: system_module.System, job_id: str) -> list[dict]:
    return [
        line
        for line in system.read_journal()
        if line["event"] == "started" and line["task"].startswith(job_id)
    ]
