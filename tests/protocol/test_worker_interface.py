"""Tests of calls to a worker by HTTP."""

import pytest

from marigoldsill import errors
from marigoldsill.protocol import worker_interface
from tests import raw_sockets

_SPEC = worker_interface.StartSpec(
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


def test_a_start_whose_connection_breaks_is_unanswered() -> None:
    """Guards against a refusal of a second copy that hides that the first was sent."""
    with raw_sockets.breaking_server(b"{}") as address:
        worker = worker_interface.HttpWorker(base_url=f"http://{address}")
        worker.start(_SPEC)
        with pytest.raises(errors.TransportError) as caught:
            worker.start(_SPEC)
        assert caught.value.sent


def test_a_start_with_a_status_that_tells_no_outcome_is_not_a_failed_one() -> (
    None
):
    """Guards against taking a run that may have begun for one that never will."""
    with raw_sockets.breaking_server(b"{}") as address:
        worker = worker_interface.HttpWorker(base_url=f"http://{address}")
        worker.start(_SPEC)
        with pytest.raises(errors.TransportError):
            worker.start(_SPEC)
        with pytest.raises(errors.UnexpectedStatusError):
            worker.start(_SPEC)
