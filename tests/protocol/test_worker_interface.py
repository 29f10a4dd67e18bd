"""Tests of the calls to a worker by HTTP."""

import pytest

from marigoldsill import errors
from marigoldsill.protocol import worker_interface
from tests import breaking_server

_SPEC = worker_interface.StartSpec(
    task="batch/0",
    epoch=1,
    kind="batch",
    owner="desk-1",
    command="run",
    cpu_millicores=100,
    memory_bytes=1 << 20,
    accelerators_count=0,
    lease_end_ns=1,
    checkpoint_id="",
    worked_ms=0,
    run_time_ms=0,
    slots_count=0,
    connections_count=0,
)


def test_a_start_whose_connection_breaks_is_unanswered() -> None:
    """Guards against a refusal of a second copy that hides that the first was sent."""
    with breaking_server.serve("409 Conflict") as address:
        worker = worker_interface.HttpWorker(base_url=f"http://{address}")
        worker.start(_SPEC)
        with pytest.raises(errors.TransportError) as caught:
            worker.start(_SPEC)
        assert caught.value.sent
