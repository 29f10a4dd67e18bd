"""Clients that leave before the answer to a submission and cancel at another edge."""

import contextlib
import dataclasses
import json
import random
import socket
import struct
import time

from soak import history
from soak import workload as workload_module
from tests.platform import system as system_module

_TIMEOUT_S = 4.0
# The share of clients that wait for the answer, and of those that leave after some time
# instead of at once.
_STAYING_SHARE = 0.3
_LATE_SHARE = 0.5
_LEAVING_S = (0.001, 0.1)
_RESET_SHARE = 0.5
# Time from the end of the connection, or from the submission, to the cancellation.
_CANCELLING_S = (0.0, 0.3)
# The share of jobs that are submitted again, at any edge, after the cancellation.
_REPEATED_SHARE = 0.5
_LONG_RUNNING_SHARE = 0.5
_WORK_MS = (20, 400)


@dataclasses.dataclass(slots=True, frozen=True)
class Visit:
    """What a client does with one job.

    Attributes:
        leaves_after_s: When it closes its connection; None if it waits for the answer.
        resets: Whether it resets the connection instead of closing it.
        cancels_after_s: How long it waits before it cancels the job.
        repeats: Whether the job is submitted again after the cancellation.
    """

    leaves_after_s: float | None
    resets: bool
    cancels_after_s: float
    repeats: bool


def draw_visit(numbers: random.Random) -> Visit:
    """Draws what a client does."""
    is_late = numbers.random() < _LATE_SHARE
    leaves_after_s = numbers.uniform(*_LEAVING_S) if is_late else 0.0
    is_staying = numbers.random() < _STAYING_SHARE
    return Visit(
        None if is_staying else leaves_after_s,
        resets=numbers.random() < _RESET_SHARE,
        cancels_after_s=numbers.uniform(*_CANCELLING_S),
        repeats=numbers.random() < _REPEATED_SHARE,
    )


def draw_job(
    job_id: str, numbers: random.Random
) -> tuple[history.SubmittedJob, dict]:
    """Draws a job that works for a short time or runs until it is cancelled."""
    is_long_running = numbers.random() < _LONG_RUNNING_SHARE
    work_ms = numbers.randint(*_WORK_MS)
    step = system_module.step(long_running=is_long_running)
    spec = "last" if is_long_running else f"work {work_ms}"
    job = history.SubmittedJob(job_id, [1], long_running=is_long_running)
    return job, {"spec": spec, "steps": [step]}


def submit_and_cancel(
    workload: workload_module.Workload, job_id: str, numbers: random.Random
) -> None:
    """Submits a job, leaves or waits, and cancels the job at another edge."""
    job, body = draw_job(job_id, numbers)
    visit = draw_visit(numbers)
    edge = numbers.choice(workload.system.running_edges())
    workload.jobs.append(job)
    with contextlib.ExitStack() as stack:
        connection = _send(workload.system.client_address(edge), job_id, body)
        if connection is not None:
            stack.enter_context(connection)
            if visit.leaves_after_s is not None:
                time.sleep(visit.leaves_after_s)
                _leave(connection, resets=visit.resets)
        time.sleep(visit.cancels_after_s)
        workload.cancel(job, numbers, avoided_edge=edge)
        status = 0
        if connection is not None and visit.leaves_after_s is None:
            status = _read_status(connection)
        workload.note_submission(job, status)
    if visit.repeats:
        workload.submit_once(job, body, numbers)


def _send(address: str, job_id: str, body: dict) -> socket.socket | None:
    """Sends a submission and returns the connection; None if it failed."""
    content = json.dumps(body).encode()
    host, _, port = address.rpartition(":")
    connection = None
    try:
        connection = socket.create_connection((host, int(port)), _TIMEOUT_S)
        connection.sendall(
            f"POST /fast/{job_id} HTTP/1.1\r\nHost: {system_module.HOST}\r\n"
            f"Request-Deadline: 3000\r\nContent-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
    except OSError:
        if connection is not None:
            connection.close()
        return None
    return connection


def _leave(connection: socket.socket, *, resets: bool) -> None:
    if resets:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def _read_status(connection: socket.socket) -> int:
    """Returns the status of an answer; 0 if there is none."""
    try:
        words = connection.makefile("rb").readline().split()
    except OSError:
        return 0
    return int(words[1]) if len(words) > 1 else 0


# The time from one job to the next, in seconds, and what a client does.
CLIENTS = ((0.1, submit_and_cancel),)
