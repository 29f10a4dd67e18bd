"""Workers that do not answer orders, refuse them or are draining."""

import pytest

from tests import one_process
from tests.platform import system as system_module

step = system_module.step


@pytest.mark.parametrize("call", ["run-start", "run-stop", "pace"])
def test_jobs_complete_although_orders_are_not_answered(
    system, call: str
) -> None:
    system.start(workers_count=2)
    for worker in system.workers.values():
        worker.faults.delayed_calls = {call}
        worker.faults.call_delay_s = 0.4
    system.submit("00000000000000c1", step(4), step(2, after=[0]))
    system.submit("00000000000000c2", step(2), spec="work 2000")
    one_process.wait_until(
        lambda: any(w.running_tasks() for w in system.workers.values()),
        what="a run",
    )
    system.call("DELETE", "/fast/00000000000000c2")
    for worker in system.workers.values():
        worker.faults.delayed_calls = set()
    system.wait_for_job_state("00000000000000c1", "completed")
    system.wait_for_job_state("00000000000000c2", "cancelled", "completed")
    one_process.wait_until(
        lambda: not any(w.running_tasks() for w in system.workers.values()),
        what="the end of all runs",
    )


def test_starts_that_an_unhealthy_worker_refuses_do_not_count_as_attempts(
    system,
) -> None:
    system.start(workers_count=2)
    system.workers["side-1"].faults.refuses_orders = True
    system.submit("00000000000000c3", step(6))
    assert system.wait_for_job_state(
        "00000000000000c3", "completed", "failed"
    ) == ("completed")


def test_a_draining_worker_gets_no_new_runs(system) -> None:
    system.start(workers_count=2)
    draining_worker = system.workers["side-1"]
    # Only a change of what the worker has announced before is logged.
    one_process.wait_until(
        lambda: "event=worker_answers" in system.processes["side-1"].text(),
        what="the first heartbeat of the worker",
    )
    draining_worker.is_draining = True
    one_process.wait_until(
        lambda: "event=worker_drains" in system.processes["side-1"].text(),
        what="the heartbeat of the draining worker",
    )
    system.submit("00000000000000c4", step(6), spec="work 200")
    system.wait_for_job_state("00000000000000c4", "completed")
    worker_ids = {
        e["worker"] for e in system.read_journal() if e["event"] == "started"
    }
    assert worker_ids == {system.workers["side-2"].incarnation}
