"""Jobs whose cancellation arrives before their submission."""

import json
import signal
import socket
import time

import pytest

from tests.platform import system as system_module

_JOB = "00000000000000f1"


def _send(system: system_module.System, edge: str) -> socket.socket:
    """Sends the submission of a job and returns the connection."""
    body = json.dumps(
        {"spec": "work 100", "steps": [system_module.step()]}
    ).encode()
    host, _, port = system.frontend_address(edge).rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=10.0)
    connection.sendall(
        f"POST /fast/{_JOB} HTTP/1.1\r\nHost: {system_module.HOST}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    return connection


@pytest.mark.parametrize("has_left", [True, False])
def test_a_job_that_was_cancelled_before_it_was_proposed_never_runs(
    system, has_left: bool
) -> None:
    """Guards against a job that runs after its caller has cancelled it elsewhere.

    An edge process is frozen while a client sends it a job. The client cancels the job
    elsewhere, where it is not known. The process continues and reads the job.
    """
    system.start(workers_count=1)
    frozen, other = [
        edge for edge in system.running_edges() if edge != system.find_leader()
    ]
    system.processes[frozen].freeze()
    caller = _send(system, frozen)
    if has_left:
        caller.close()
    assert system.call("DELETE", f"/fast/{_JOB}", edge=other).status == 410
    system.processes[frozen].send(signal.SIGCONT)
    if has_left:
        time.sleep(1.0)
    else:
        answer = caller.recv(65_536)
        caller.close()
        assert answer.startswith(b"HTTP/1.1 429")
        assert b"Retry-After: " in answer
    assert system.get_job_state(_JOB, edge=other).status == 410
    system.submit("00000000000000f2", system_module.step())
    system.wait_for_job_state("00000000000000f2", "completed")
    assert _JOB not in str(system.read_journal())
