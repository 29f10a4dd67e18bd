"""Operators empty a data centre and take it back, whatever fails meanwhile."""

import re
import signal
import socket
import time

import pytest

from tests import one_process
from tests.platform import system as system_module

step = system_module.step
_HERE, _ELSEWHERE = "z1", "z2"
# `evacuate_ms` of the platform: until then, tasks may start after an acknowledgement.
_EVACUATION_LIMIT_S = 5.0
_LEASE_S = 7.0


def _order(
    system: system_module.System, verb: str, data_centre: str, **options: object
) -> int:
    name = f"Evacuations.{verb}/{data_centre}"
    return system.call_as_operator("POST", name, **options).status


def _order_until_acknowledged(
    system: system_module.System, verb: str, data_centre: str = _HERE
) -> None:
    one_process.wait_until(
        lambda: any(
            _order(system, verb, data_centre, edge=edge) == 200
            for edge in system.running_edges()
        ),
        what=f"{verb} of {data_centre} acknowledged",
    )


def _start(system: system_module.System, *, workers_count: int = 1) -> None:
    """Starts edges, workers here, and one worker in another data centre."""
    system.start(workers_count=workers_count)
    system.start_side(
        f"side-{workers_count + 1}", data_centre=_ELSEWHERE, cpu_millicores=8000
    )


def _starts(system: system_module.System, name: str) -> list[dict]:
    incarnation = system.workers[name].incarnation
    return [
        line
        for line in system.read_journal()
        if line["event"] == "started" and line["worker"] == incarnation
    ]


def _count_starts(system: system_module.System, name: str) -> int:
    return len(_starts(system, name))


def _run_job(system: system_module.System, job_id: str) -> None:
    system.submit(job_id, step(4), spec="work 50")
    system.wait_for_job_state(job_id, "completed")


def test_nothing_starts_in_a_data_centre_until_it_is_taken_back(system) -> None:
    _start(system)
    _run_job(system, "00000000000000e0")
    edges = system.running_edges()
    for edge in edges:
        assert _order(system, "Start", _HERE, edge=edge) == 200
    before = _count_starts(system, "side-1")
    _run_job(system, "00000000000000e1")
    assert _count_starts(system, "side-1") == before
    assert _order(system, "Start", _ELSEWHERE) == 200
    system.submit("00000000000000e2", step(2), spec="work 50")
    for edge in edges:
        assert _order(system, "Finish", _HERE, edge=edge) == 200
    system.wait_for_job_state("00000000000000e2", "completed")
    assert _count_starts(system, "side-1") == before + 2


def test_runs_in_progress_complete(system) -> None:
    _start(system)
    system.submit("00000000000000e3", step(12), spec="work 1500")
    worker = system.workers["side-1"]
    one_process.wait_until(worker.running_tasks, what="runs here")
    assert _order(system, "Start", _HERE) == 200
    system.wait_for_job_state("00000000000000e3", "completed")
    starts = [e for e in system.read_journal() if e["event"] == "started"]
    assert len(starts) == 12


def test_an_evacuation_survives_a_power_loss_of_all_edges(system) -> None:
    """Guards against an evacuation that was acknowledged before it was stored."""
    _start(system)
    _order_until_acknowledged(system, "Start")
    system.kill(*system.running_edges())
    for number in (1, 2, 3):
        system.start_edge(f"edge-{number}")
    _run_job(system, "00000000000000e4")
    assert _count_starts(system, "side-1") == 0


def test_a_leader_that_was_frozen_starts_nothing(system) -> None:
    """Guards against grants and orders of a leader that missed the evacuation."""
    _start(system)
    leader = system.find_leader()
    system.processes[leader].freeze()
    others = [e for e in system.running_edges() if e != leader]
    one_process.wait_until(
        lambda: any(
            _order(system, "Start", _HERE, edge=edge) == 200 for edge in others
        ),
        what="the evacuation acknowledged by the next leader",
    )
    system.processes[leader].send(signal.SIGCONT)
    _run_job(system, "00000000000000e5")
    assert _count_starts(system, "side-1") == 0


@pytest.mark.parametrize("frozen_s", [1.0, 8.0], ids=["within", "after"])
def test_an_agent_with_earlier_orders_starts_nothing_past_its_lease(
    system, frozen_s: float
) -> None:
    """Guards against starts by an agent that was frozen when it got its orders.

    When it continues, its lease may still be live and the news of the evacuation on
    its way. What it starts until then has to be in time; past its lease of 7 s it may
    start nothing.
    """
    _start(system)
    agent = system.processes["side-1"]
    agent.freeze()
    system.submit("00000000000000e6", step(12), spec="work 50")
    one_process.wait_until(
        lambda: (
            system.get_job_state("00000000000000e6").value.get("state")
            == "running"
        ),
        what="grants",
    )
    assert _order(system, "Start", _HERE) == 200
    acknowledged_ns = time.monotonic_ns()
    time.sleep(frozen_s)
    agent.send(signal.SIGCONT)
    system.wait_for_job_state("00000000000000e6", "completed")
    limit_s = _EVACUATION_LIMIT_S if frozen_s < _LEASE_S else 0.0
    late = [
        line
        for line in _starts(system, "side-1")
        if line["at_ns"] > acknowledged_ns + limit_s * 1e9
    ]
    assert late == []


def test_a_start_that_a_worker_carries_out_late_is_stopped(system) -> None:
    _start(system)
    worker = system.workers["side-1"]
    worker.faults.call_delay_s = 1.0
    worker.faults.delayed_calls = {"run-start"}
    system.submit("00000000000000e7", step(12), spec="work 100")
    one_process.wait_until(
        lambda: (
            "order_failed" in system.processes["side-1"].text()
            or system.workers["side-2"].running_tasks()
        ),
        what="a start without an answer",
    )
    assert _order(system, "Start", _HERE) == 200
    worker.faults.delayed_calls = set()
    system.wait_for_job_state("00000000000000e7", "completed")


def test_an_order_whose_sender_has_gone_has_no_effect(system) -> None:
    """Guards against an evacuation that begins after it was ended.

    An edge process is frozen while an operator sends it the order. The operator gives
    up, has the order and then its end acknowledged elsewhere, and the process
    continues and reads the first order.
    """
    _start(system)
    frozen = next(
        edge for edge in system.running_edges() if edge != system.find_leader()
    )
    system.processes[frozen].freeze()
    host, _, port = system.control_address(frozen).rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as sender:
        sender.sendall(
            f"POST /marigoldsill/Evacuations.Start/{_HERE} HTTP/1.1\r\n"
            "Host: control\r\nContent-Length: 0\r\n\r\n".encode()
        )
    others = [e for e in system.running_edges() if e != frozen]
    assert any(_order(system, "Start", _HERE, edge=e) == 200 for e in others)
    assert any(_order(system, "Finish", _HERE, edge=e) == 200 for e in others)
    system.processes[frozen].send(signal.SIGCONT)
    time.sleep(1.0)
    assert _order(system, "Start", _ELSEWHERE, edge=others[0]) == 200
    _run_job(system, "00000000000000e8")
    assert _count_starts(system, "side-1") == 4


def test_all_data_centres_can_be_empty_at_once(system) -> None:
    _start(system)
    for data_centre in (_HERE, _ELSEWHERE):
        _order_until_acknowledged(system, "Start", data_centre)
    system.submit("00000000000000e9", step(2), spec="work 50")
    time.sleep(0.5)
    assert system.get_job_state("00000000000000e9").value == {"state": "queued"}
    _order_until_acknowledged(system, "Finish", _ELSEWHERE)
    system.wait_for_job_state("00000000000000e9", "completed")
    assert _count_starts(system, "side-1") == 0


def test_an_unknown_data_centre_is_accepted_for_workers_that_come(
    system,
) -> None:
    system.start(workers_count=1)
    assert _order(system, "Start", _ELSEWHERE) == 200
    system.start_side("side-2", data_centre=_ELSEWHERE)
    _run_job(system, "00000000000000ea")
    assert _count_starts(system, "side-2") == 0


@pytest.mark.parametrize(
    "name", ["", "%20", "a/b", "x" * 129, "-x", "%00", "%F0%9F%90%A2"]
)
def test_an_invalid_name_is_refused(shared_system, name: str) -> None:
    for verb in ("Start", "Finish"):
        assert _order(shared_system, verb, name) in (400, 404)
    _run_job(shared_system, f"0000000000000{abs(hash(name)) % 4096:03x}")


def test_orders_are_acknowledged_in_time(shared_system) -> None:
    for edge in shared_system.running_edges():
        for verb in ("Start", "Start", "Finish", "Finish"):
            begin_s = time.monotonic()
            assert _order(shared_system, verb, _ELSEWHERE, edge=edge) == 200
            assert time.monotonic() - begin_s < 1.0


def test_the_log_tells_who_evacuated_what(shared_system) -> None:
    assert _order(shared_system, "Start", _ELSEWHERE) == 200
    assert _order(shared_system, "Finish", _ELSEWHERE) == 200
    logs = shared_system.read_logs()
    for active in (True, False):
        line = (
            f"event=evacuation_set .*data_centre=z2 active={active} operator="
        )
        assert re.search(line, logs)


def test_a_path_that_is_not_served_is_refused_with_those_that_are(
    shared_system,
) -> None:
    answer = shared_system.call_as_operator("POST", "Evacuations.Begin/z1")
    assert answer.status == 404
    assert (
        "POST /marigoldsill/Evacuations.Start/ZONE" in answer.value["message"]
    )
