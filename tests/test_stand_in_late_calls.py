"""Tests of the stand-in worker's calls that get no answer, or that a crash breaks."""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import threading
import time

import pytest

from marigoldsill import errors
from marigoldsill.transport import http_client
from standins import journal as journal_module
from standins import pool_worker
from tests import one_process

_START_DELAY_S = 60.0
_STARTS_COUNT = 20
_ANSWER_TIMEOUT_S = 0.2


@pytest.fixture
def journal_path(tmp_path: pathlib.Path) -> pathlib.Path:
    return tmp_path / "journal"


@pytest.fixture
def worker(
    journal_path: pathlib.Path,
) -> Iterator[pool_worker.PoolWorker]:
    new_worker = pool_worker.PoolWorker(
        address="127.0.0.1:0",
        control_address="127.0.0.1:1",
        pool="pool",
        data_centre="z1",
        labels=[],
        cpu_millicores=8_000,
        journal=journal_module.Journal(str(journal_path)),
        sends_born=True,
    )
    new_worker.start()
    yield new_worker
    new_worker.stop()


def _start(worker: pool_worker.PoolWorker, task: str) -> None:
    """Sends a start request, which gets no answer."""
    body = {"task": task, "run": 1, "spec": "last", "deadline_ms": 1 << 40}
    with contextlib.suppress(errors.TransportError):
        http_client.fetch(
            f"http://{worker.address}/marigoldsill/run-start",
            method="POST",
            body=json.dumps(body).encode(),
            timeout_s=_ANSWER_TIMEOUT_S,
        )


def test_many_late_calls_do_not_delay_a_later_one(
    worker: pool_worker.PoolWorker, journal_path: pathlib.Path
) -> None:
    worker.faults.delayed_calls = {"run-start"}
    worker.faults.call_delay_s = _START_DELAY_S
    for index in range(_STARTS_COUNT):
        _start(worker, f"0000000000000001.0.0.{index}")
    worker.faults.call_delay_s = 0.0
    _start(worker, "0000000000000002.0.0.0")
    one_process.wait_until(
        lambda: (
            [
                row["task"]
                for row in journal_module.read(journal_path)
                if row["event"] == "started"
            ]
            == ["0000000000000002.0.0.0"]
        ),
        what="the start of the later call's run",
    )


def test_a_crash_breaks_the_renewal_that_waits_for_an_end(
    worker: pool_worker.PoolWorker,
) -> None:
    """Guards against agents that learn of a restart only when the wait is over."""
    body = {"fencing_token": 1, "deadline_ms": 1 << 40, "wait_ms": 2_000}
    begun_s = time.monotonic()
    crash = threading.Timer(0.2, worker.crash, kwargs={"keeps_id": True})
    crash.start()
    with pytest.raises(errors.TransportError):
        http_client.fetch(
            f"http://{worker.address}/marigoldsill/hold",
            method="POST",
            body=json.dumps(body).encode(),
            timeout_s=10.0,
            single_copy=True,
        )
    assert time.monotonic() - begun_s < 2.0
    crash.join()
