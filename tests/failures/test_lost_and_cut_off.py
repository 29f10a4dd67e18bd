"""Agents frozen or cut off, workers lost, hanging or restarted smaller."""

import json
import signal

import pytest

from tests import processes

FLAGS = ("--heartbeat-ms", "200", "--checkpoint-interval-s", "1")
JOB = """
[[batch_job]]
name = "rebuild"
cores = {cores}
memory = "2GB"
run_time = "{run_time}"
"""
WATCHER = """
[[watcher]]
name = "parish"
cores = 1
memory = "1GB"
"""


def _start(system: processes.System, *, workers: int = 2) -> None:
    system.start_control()
    for number in range(1, workers + 1):
        system.start_worker(f"worker-{number}", agent_flags=FLAGS)


def _run_job(
    system: processes.System, *, run_time: str = "5s", cores: int = 4
) -> str:
    """Has a job and a watcher run; the worker that the job is on."""
    system.apply(JOB.format(run_time=run_time, cores=cores) + WATCHER)
    system.wait_for_state("parish/0", "running")
    return system.wait_for_state("rebuild/0", "running")["worker"]


def test_frozen_agent_harms_nothing_when_it_thaws(
    system: processes.System,
) -> None:
    _start(system)
    worker = _run_job(system)
    system.processes[worker].send(signal.SIGSTOP)
    moved = processes.wait_until(
        lambda: (t := system.task("rebuild/0"))["epoch"] == 2 and t,
        what="the next epoch",
    )
    system.processes[worker].send(signal.SIGCONT)
    system.wait_for_state("rebuild/0", "done")

    assert moved["worker"] != worker
    system.assert_invariants()


@pytest.mark.parametrize("interval_s", ["1", "600"], ids=["with", "without"])
def test_job_goes_on_when_its_worker_is_lost_checkpoint(
    system: processes.System, interval_s: str
) -> None:
    flags = ("--heartbeat-ms", "200", "--checkpoint-interval-s", interval_s)
    system.start_control()
    for name in ("worker-1", "worker-2"):
        system.start_worker(name, agent_flags=flags)
    worker = _run_job(system, run_time="3s")
    if interval_s == "1":
        system.wait_for_event(worker, "run_checkpointed")
        processes.wait_until(
            lambda: system.request("GET", "/v1/explain/rebuild")["tasks"][0][
                "checkpoint_id"
            ],
            what="a recorded checkpoint",
        )
    system.kill_platform(worker)
    system.processes[worker].kill()
    system.wait_for_state("rebuild/0", "done")

    other = ({"worker-1", "worker-2"} - {worker}).pop()
    resumed = system.wait_for_event(other, "run_started", task="rebuild/0")
    assert (resumed["worked_ms"] > 0) == (interval_s == "1")
    system.assert_invariants(worker)


def test_agent_cut_off_for_longer_than_its_lease(
    system: processes.System,
) -> None:
    _start(system)
    worker = _run_job(system)
    system.cut(f"{worker} *", f"* {worker}")
    processes.wait_until(
        lambda: system.task("rebuild/0")["epoch"] == 2, what="the next epoch"
    )
    system.cut()
    system.wait_for_state("rebuild/0", "done")
    processes.wait_until(
        lambda: all(
            w["live"] and w["state"] == "active"
            for w in system.request("GET", "/v1/status")["workers"]
        ),
        what="the worker back",
    )

    stopped = system.wait_for_event(worker, "run_stopped", task="rebuild/0")
    assert stopped["detail"] == "lease ran out"
    system.assert_invariants()


def test_job_moves_when_its_worker_stops_answering(
    system: processes.System,
) -> None:
    _start(system)
    worker = _run_job(system)
    hanging = ["renew", "tasks", "start", "stop", "checkpoint"]
    system.tell_worker(worker, "/faults", {"hangs": hanging})
    processes.wait_until(
        lambda: system.task("rebuild/0")["epoch"] == 2, what="the next epoch"
    )
    system.tell_worker(worker, "/faults", {"hangs": []})
    system.wait_for_state("rebuild/0", "done")

    system.assert_invariants()


def test_worker_that_restarts_empty_and_smaller_is_found_out(
    system: processes.System,
) -> None:
    _start(system, workers=1)
    _run_job(system, run_time="2s", cores=20)
    system.kill_platform("worker-1")
    system.start_platform("worker-1", cores=10)
    system.tell_worker(
        "worker-1",
        "/agent",
        {"url": f"http://{system.processes['worker-1'].addresses()['http']}"},
    )
    # The watcher fits, the job doesn't any more.
    processes.wait_until(
        lambda: (
            system.task("parish/0")["epoch"] > 1
            and system.task("parish/0")["state"] == "running"
        ),
        what="the watcher again",
    )
    system.start_worker("worker-2", agent_flags=FLAGS)
    system.wait_for_state("rebuild/0", "done")

    system.assert_invariants("worker-1")


def test_wrong_and_missing_measurements_break_nothing(
    system: processes.System,
) -> None:
    _start(system)
    for worker, faults in (
        ("worker-1", {"usage_factor": 10.0, "usage_lag_ms": 60_000}),
        ("worker-2", {"usage_missing": True}),
    ):
        system.tell_worker(worker, "/faults", faults)
    _run_job(system, run_time="3s", cores=20)
    system.apply(JOB.format(run_time="1s", cores=20).replace("rebuild", "more"))
    system.wait_for_state("rebuild/0", "done")
    system.wait_for_state("more/0", "done")

    assert system.task_state("parish/0") == "running"
    system.assert_invariants()


def test_thousand_cancellations_race_the_starts(
    system: processes.System,
) -> None:
    _start(system)
    names = [f"rebuild-{number}" for number in range(1000)]
    intent = JOB.format(run_time="60s", cores=1)
    system.apply(
        "".join(intent.replace('"rebuild"', f'"{name}"') for name in names)
    )
    body = json.dumps({"names": names}).encode()
    system.confirm(system.request("POST", "/v1/plans/cancel", body))
    processes.wait_until(
        lambda: (
            {t["state"] for t in system.request("GET", "/v1/status")["tasks"]}
            == {"cancelled"}
        ),
        what="all cancelled",
    )

    system.assert_invariants()
