"""Tests of calls to a worker by HTTP."""

import pytest

from marigoldsill import errors
from marigoldsill.protocol import worker_interface
from tests import raw_sockets


def test_a_start_whose_connection_breaks_is_unanswered() -> None:
    """Guards against a refusal of a second copy that hides that the first was sent."""
    spec = worker_interface.StartSpec(
        task="t1",
        epoch=1,
        kind="service",
        owner="s1",
        command="work",
        cpu_millicores=100,
        memory_bytes=1 << 20,
        accelerators_count=0,
        lease_end_ns=1,
    )
    with raw_sockets.breaking_server(b"{}") as address:
        worker = worker_interface.HttpWorker(base_url=f"http://{address}")
        worker.start(spec)
        with pytest.raises(errors.TransportError) as caught:
            worker.start(spec)
        assert caught.value.sent
