"""Messages from other writers to an agent do not affect its worker."""

from collections.abc import Iterable
import itertools
import json
import time

import pytest

from marigoldsill import errors
from marigoldsill.transport import http_client
from tests import one_process
from tests.platform import heartbeats
from tests.platform import system as system_module

_PATH = "/marigoldsill/Instances."
_SIZE_LIMIT_BYTES = 4 << 20
# Longer than a lease that its agent does not renew (6 s).
_LONGER_THAN_A_LEASE_S = 9.0
_PAUSE_S = 0.05
_INVALID_IDS = ("", "%00", "%0d%0a", "a%20b", "%ff%fe", "a/b", "i" * 2_000)
_LONG_RUNNING_JOB = "00000000000000d1"


def _heartbeat(**fields: object) -> dict[str, object]:
    """Returns a valid heartbeat."""
    return heartbeats.body(**({"clock_ms": 1, "sequence": 1 << 40} | fields))


def _invalid_bodies() -> Iterable[bytes]:
    """Yields bodies that are not a heartbeat of a worker."""
    yield from (b"", b"\xff\xfe\x00", b"{", b"[]", b"7", b'"x"')
    yield b"[" * 10_000
    yield b'{"sequence": ' + b"9" * 5_000 + b"}"
    valid = _heartbeat()
    for name in valid.keys() - {"clock_ms"}:
        for value in (None, True, -1, [], {}, "\ud800", 1 << 70):
            if name == "labels" and value == []:
                # Valid for a worker without a kind and a rack.
                continue
            yield json.dumps(valid | {name: value}).encode()
        missing = {k: v for k, v in valid.items() if k != name}
        yield json.dumps(missing).encode()
    yield json.dumps(_heartbeat(state="paused")).encode()


class _MessageSender:
    """Sends messages to an agent that no worker would send."""

    def __init__(self, address: str):
        self._address = address
        self._client = http_client.Client()

    def send(self, call: str, body: bytes) -> int:
        """Sends a call and returns the status, or 0 if there is no answer."""
        try:
            answer = self._client.fetch(
                self._address,
                f"{_PATH}{call}",
                method="POST",
                body=body,
                headers=(("Content-Type", "application/json"),),
                timeout_s=4.0,
            )
        except errors.TransportError:
            return 0
        return answer.status_code


@pytest.fixture
def system_with_run(system) -> system_module.System:
    """A system with one worker, which runs a long-running task."""
    system.start(workers_count=1)
    long_running = system_module.step(long_running=True)
    system.submit(_LONG_RUNNING_JOB, long_running, spec="last")
    one_process.wait_until(
        lambda: system.workers["side-1"].running_tasks(),
        what="the long-running task",
    )
    return system


def test_messages_of_other_writers_end_no_runs(system_with_run) -> None:
    """Guards against an agent that stops renewing its worker's lease.

    Another writer sends invalid heartbeats: without an id, or with fields that are
    missing or of other types, with the worker's id and with other ids. If the agent
    accepts them as its worker's, it stops renewing the lease. All runs on a healthy
    worker are killed, a long-running task is missing for seconds, and the worker gets
    no new runs.
    """
    worker = system_with_run.workers["side-1"]
    sender = _MessageSender(system_with_run.control_address("side-1"))
    runs_before = worker.running_tasks()
    # The messages arrive between two of the worker's own heartbeats.
    worker.faults.skips_heartbeats = True
    bodies = list(_invalid_bodies())
    statuses = {
        sender.send(f"Heartbeat/{worker_id}", body)
        for worker_id in (worker.incarnation, "i-other")
        for body in bodies
    }
    valid_body = json.dumps(_heartbeat()).encode()
    sender.send("Deregister/i-unknown", b"")
    end_s = time.monotonic() + _LONGER_THAN_A_LEASE_S
    for number in itertools.count():
        invalid_id = _INVALID_IDS[number % len(_INVALID_IDS)]
        statuses.add(sender.send(f"Deregister/{invalid_id}", b""))
        statuses.add(sender.send(f"Heartbeat/{invalid_id}", valid_body))
        time.sleep(_PAUSE_S)
        sender.send(f"Heartbeat/i-whole-{number}", valid_body)
        time.sleep(_PAUSE_S)
        if time.monotonic() > end_s:
            break
    other_pool = json.dumps(
        _heartbeat(service="no-pool", state="draining")
    ).encode()
    statuses.add(sender.send(f"Heartbeat/{worker.incarnation}", other_pool))
    assert worker.running_tasks() == runs_before
    ended = [
        line
        for line in system_with_run.read_journal()
        if line["event"] == "ended"
    ]
    assert ended == []
    assert statuses == {400, 409}
    worker.faults.skips_heartbeats = False
    system_with_run.submit("00000000000000d2", system_module.step())
    system_with_run.wait_for_job_state("00000000000000d2", "completed")
    text = system_with_run.processes["side-1"].text()
    assert "event=heartbeat_refused" in text
    assert "event=task_failed" not in text
    assert "event=request_failed" not in text
    assert "event=worker_gone" not in text


def test_a_heartbeat_above_the_size_limit_is_refused(system_with_run) -> None:
    sender = _MessageSender(system_with_run.control_address("side-1"))
    worker_id = system_with_run.workers["side-1"].incarnation
    body = b" " * (_SIZE_LIMIT_BYTES + 1)
    assert sender.send(f"Heartbeat/{worker_id}", body) in (0, 413)
    assert sender.send("Heartbeat/i-other", b" " * _SIZE_LIMIT_BYTES) == 400


def test_heartbeats_of_an_unknown_service_do_not_outvote_the_worker(
    system_with_run,
) -> None:
    """Guards against a job that stays queued beside the idle worker that can run it.

    Another writer sends heartbeats with the worker's id and a service that is in no
    configuration, several times as often as the worker sends its own.
    """
    worker = system_with_run.workers["side-1"]
    sender = _MessageSender(system_with_run.control_address("side-1"))
    statuses = set()
    sequences = itertools.count(1)

    def is_completed_beside_other_heartbeats() -> bool:
        for sequence in itertools.islice(sequences, 5):
            body = _heartbeat(service="no-pool", sequence=sequence)
            call = f"Heartbeat/{worker.incarnation}"
            statuses.add(sender.send(call, json.dumps(body).encode()))
        state = system_with_run.get_job_state(job_id).value.get("state")
        return state == "completed"

    job_id = "00000000000000d3"
    worker.faults.skips_heartbeats = True
    assert not is_completed_beside_other_heartbeats()
    worker.faults.skips_heartbeats = False
    system_with_run.submit(job_id, system_module.step())
    one_process.wait_until(
        is_completed_beside_other_heartbeats,
        what="the job's end while another writer sends heartbeats",
    )
    assert statuses == {409}
