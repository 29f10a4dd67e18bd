"""Stand-in workers without an agent, and starts on them."""

from collections.abc import Iterator
import contextlib
import json
import pathlib

from marigoldsill.transport import http_client
from standins import journal
from standins import pool_worker


@contextlib.contextmanager
def serving(folder: pathlib.Path) -> Iterator[pool_worker.PoolWorker]:
    """Serves a worker, which keeps its journal in a folder."""
    worker = pool_worker.PoolWorker(
        address="127.0.0.1:0",
        control_address="127.0.0.1:1",
        pool="desk",
        data_centre="z1",
        labels=[],
        cpu_millicores=8_000,
        journal=journal.Journal(str(folder / "journal")),
    )
    worker.start()
    try:
        yield worker
    finally:
        worker.stop()


def start_run(
    worker: pool_worker.PoolWorker,
    *,
    task: str = "j.0.0.0",
    address: str = "",
    client: http_client.Client | None = None,
    **options: bool,
) -> int:
    """Starts a run that lasts, and returns the status of the answer.

    Args:
        worker: The worker.
        task: The task.
        address: Where to call it; empty for its own address.
        client: Makes the call; a new one by default.
        **options: Options of the call.
    """
    body = {
        "task": task,
        "run": 1,
        "spec": "last",
        "deadline_ms": worker._clock_ms() + 5_000,
        "fencing_token": 1,
    }
    answer = (client or http_client.Client()).fetch(
        address or worker.address,
        "/marigoldsill/run-start",
        method="POST",
        body=json.dumps(body).encode(),
        timeout_s=5.0,
        **options,
    )
    return answer.status_code
