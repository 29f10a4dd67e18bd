"""Workers that restart under their id and tell when they started ("born")."""

from collections.abc import Iterator
import json
import pathlib
import time

import pytest

from marigoldsill.transport import http_client
from standins import adviser as adviser_module
from standins import pool_worker
from tests import one_process
from tests.platform import heartbeats
from tests.platform import journal_invariants
from tests.platform import system as system_module

step = system_module.step
_JOB = "00000000000000e1"


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[system_module.System]:
    """A system whose workers tell when they started."""
    system = system_module.System(tmp_path, workers_send_born=True)
    yield system
    system.stop()
    journal_invariants.check(system.read_journal())


def _wait_for_runs(worker: pool_worker.PoolWorker, count: int = 1) -> None:
    one_process.wait_until(
        lambda: len(worker.running_tasks()) >= count, what="runs"
    )


def _send(
    system: system_module.System, call: str, **fields: object
) -> http_client.HttpResponse:
    """Sends an agent a message as if by its worker."""
    worker = system.workers["side-1"]
    body = heartbeats.body(
        **({"address": worker.address, "sequence": 1 << 20} | fields)
    )
    return http_client.Client().fetch(
        system.control_address("side-1"),
        f"/marigoldsill/Instances.{call}/{worker.incarnation}",
        method="POST",
        body=json.dumps(body).encode(),
        timeout_s=4.0,
    )


def test_runs_of_a_worker_that_restarts_under_its_id_start_again(
    system,
) -> None:
    """Guards against runs that count as running after their worker restarted."""
    system.start(workers_count=1)
    system.submit(_JOB, step(3), spec="work 800")
    worker = system.workers["side-1"]
    for _ in range(2):
        _wait_for_runs(worker, 3)
        worker.crash(keeps_id=True)
    system.wait_for_job_state(_JOB, "completed")
    starts = [e for e in system.read_journal() if e["event"] == "started"]
    assert len(starts) == 9
    text = system.processes["side-1"].text()
    assert text.count("event=worker_restarted") == 2
    assert text.count("event=worker_lost") == 2


def test_starts_that_a_restarted_worker_carries_out_late_do_not_run_twice(
    system,
) -> None:
    """Guards against two runs of one task at a time.

    A worker leaves starts unanswered, restarts under its id and carries them out
    while their tasks may be granted to the other worker.
    """
    system.start(workers_count=2)
    worker = system.workers["side-1"]
    worker.faults.delayed_calls = {"run-start"}
    worker.faults.call_delay_s = 1.2
    # More than the other worker completes before this one is known to the leader.
    system.submit(_JOB, step(48), spec="work 1500")
    one_process.wait_until(
        lambda: "event=order_failed" in system.processes["side-1"].text(),
        what="an unanswered start",
    )
    worker.crash(keeps_id=True)
    worker.faults.delayed_calls = set()
    system.wait_for_job_state(_JOB, "completed")
    assert "event=worker_restarted" in system.processes["side-1"].text()


def test_jobs_complete_although_late_acknowledgements_reach_the_new_incarnation(
    system,
) -> None:
    """Guards against tasks whose ends a restarted worker discards unreported."""
    system.start(workers_count=1)
    worker = system.workers["side-1"]
    system.submit("00000000000000e2", step(20), spec="work 20")
    system.wait_for_job_state("00000000000000e2", "completed")
    worker.faults.delayed_calls = {"hold"}
    worker.faults.call_delay_s = 3.0
    # Longer than the agent's call to the worker in progress.
    time.sleep(1.2)
    worker.crash(keeps_id=True)
    worker.faults.delayed_calls = set()
    one_process.wait_until(
        lambda: "event=worker_restarted" in system.processes["side-1"].text(),
        what="the new incarnation",
    )
    system.submit(_JOB, step(20), step(20, after=[0]), spec="work 50")
    system.wait_for_job_state(_JOB, "completed")


def test_messages_about_other_starts_end_no_runs(system) -> None:
    """Guards against late and foreign heartbeats and a late deregistration."""
    system.start(workers_count=1)
    worker = system.workers["side-1"]
    system.submit(_JOB, step(3), spec="work 2500")
    _wait_for_runs(worker, 3)
    born = worker.born_unix_ms
    statuses = {}
    for name, fields in {
        "earlier": {"born": born - 1000},
        "far later": {"born": 1 << 52},
        "missing": {},
        "float": {"born": born + 0.5},
        "text": {"born": str(born)},
        "boolean": {"born": True},
        "negative": {"born": -1},
        "null": {"born": None},
    }.items():
        statuses[name] = _send(system, "Heartbeat", **fields).status_code
    statuses["deregistration"] = _send(system, "Deregister").status_code
    assert statuses == {
        "earlier": 200,
        "far later": 200,
        "missing": 409,
        "float": 400,
        "text": 400,
        "boolean": 400,
        "negative": 400,
        "null": 400,
        "deregistration": 200,
    }
    system.wait_for_job_state(_JOB, "completed")
    starts = [e for e in system.read_journal() if e["event"] == "started"]
    assert len(starts) == 3
    text = system.processes["side-1"].text()
    assert "event=worker_gone" not in text
    assert "event=incarnation_refused" in text


def test_a_restarted_worker_gets_tickets_of_its_own(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests for tickets that name a worker with its start time."""
    system = system_module.System(tmp_path, workers_send_born=True)
    system.adviser = adviser_module.Adviser(address="127.0.0.1:0")
    system.adviser.start()
    try:
        system.start(workers_count=1)
        worker = system.workers["side-1"]
        worker.accepts_ticket = system.adviser.is_valid_ticket
        advice = {"decision_ms": 20, "period_ms": 2, "validity_ms": 2_000}
        route = system_module.route(recommendation=advice)
        system.replace_configuration(2, routes=[route])
        system.submit(_JOB, step(2), spec="work 600")
        _wait_for_runs(worker, 2)
        worker.crash(keeps_id=True)
        system.wait_for_job_state(_JOB, "completed")
    finally:
        system.stop()
        system.adviser.stop()
    assert {w for _, w in system.adviser.queries} == {worker.incarnation}
    # The second incarnation was asked about anew.
    assert len(system.adviser.queries) >= 2
