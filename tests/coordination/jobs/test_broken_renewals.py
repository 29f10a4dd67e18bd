"""Tests of renewals of a worker's lease whose connections break."""

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_LONGEST_ANSWER_WAIT_MS = 100


class _BreakingWorker(fake_worker.FakeWorker):
    """A worker whose connections break before an answer that waits long.

    Attributes:
        answers_count: How many renewals were answered.
    """

    def __init__(self):
        super().__init__()
        self.answers_count = 0

    def renew_lease(
        self, worker_id: str, *, wait_ms: int, **arguments: object
    ) -> run_worker.RunListing:
        """Lists runs, unless that has to wait."""
        if wait_ms > _LONGEST_ANSWER_WAIT_MS:
            raise errors.TransportError("connection reset", sent=True)
        listing = super().renew_lease(worker_id, wait_ms=wait_ms, **arguments)
        self.answers_count += 1
        return listing


def test_worker_answers_every_other_renewal_though_connections_break_soon() -> (
    None
):
    """Guards against leases that expire where no connection lasts."""
    worker = _BreakingWorker()
    agent = stepped_agent.make_agent(worker)
    first_count = worker.answers_count
    agent.call_incarnations(rounds_count=8)
    assert worker.answers_count - first_count == 4
