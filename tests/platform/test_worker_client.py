"""Calls to a worker that restarts under its id, and to the adviser about it."""

from collections.abc import Iterator
import json

import pytest
from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.platform import adviser_client
from marigoldsill.platform import worker_client
from marigoldsill.protocol import run_worker
from marigoldsill.transport import http_server
from tests import raw_sockets


class _Peer:
    """Answers every call alike and keeps the last one."""

    def __init__(self):
        self.status = 200
        self.answer: dict = {}
        self.target = ""
        self.body: dict = {}
        self._server = http_server.HttpServer(
            address="127.0.0.1:0", app=self._application, threads_count=2
        )
        self.address = self._server.address
        self.stop = self._server.stop
        self._server.start()

    @wrappers.Request.application
    def _application(self, request: wrappers.Request) -> wrappers.Response:
        self.target = request.headers.get("Target-Instance", "")
        self.body = json.loads(request.get_data())
        return wrappers.Response(
            json.dumps(self.answer),
            status=self.status,
            mimetype="application/json",
        )


@pytest.fixture
def peer() -> Iterator[_Peer]:
    peer = _Peer()
    yield peer
    peer.stop()


def _start(peer: _Peer, worker_id: str = "i-1@7") -> int:
    worker = worker_client.PlatformWorker(address=peer.address)
    start = run_worker.RunStart("j.0.0.1", 1, "x", deadline_ms=9)
    return worker.start(worker_id, start, token=1)


def _renew(
    worker: worker_client.PlatformWorker, worker_id: str
) -> run_worker.RunListing:
    return worker.renew_lease(
        worker_id, token=1, acknowledged=3, deadline_ms=9, wait_ms=0
    )


@pytest.mark.parametrize("worker_id", ["i-1", "i-1@7"])
def test_a_worker_is_called_by_its_id_alone(
    peer: _Peer, worker_id: str
) -> None:
    peer.answer = {"clock_ms": 5}
    assert _start(peer, worker_id) == 5
    assert peer.target == "i-1"


@pytest.mark.parametrize("status", [200, 409, 503])
def test_an_order_that_another_start_answered_is_unanswered(
    peer: _Peer, status: int
) -> None:
    """Guards against taking the new incarnation's answer for the old one's.

    The order was carried out there, so it is not an order without an effect.
    """
    peer.status = status
    peer.answer = {"clock_ms": 5, "reason": "old", "born": 9}
    with pytest.raises(errors.TransportError) as caught:
        _start(peer)
    assert caught.value.sent


def test_an_order_to_another_id_has_no_effect(peer: _Peer) -> None:
    peer.status = 421
    peer.answer = {"clock_ms": 5, "born": 9}
    with pytest.raises(errors.OtherWorkerError):
        _start(peer)


@pytest.mark.parametrize("status", [400, 409])
def test_an_order_that_the_worker_refuses_has_no_effect(
    peer: _Peer, status: int
) -> None:
    peer.status = status
    peer.answer = {"clock_ms": 5, "reason": "unknown"}
    with pytest.raises(errors.RunRefusedError) as caught:
        _start(peer)
    assert caught.value.reason == run_worker.RefusalReason.INVALID


@pytest.mark.parametrize("status", [302, 404, 408, 500, 502, 504])
def test_an_order_with_another_status_is_not_a_refused_one(
    peer: _Peer, status: int
) -> None:
    """Guards against taking a run that may have begun for one that never will."""
    peer.status = status
    peer.answer = {"clock_ms": 5}
    with pytest.raises(errors.UnexpectedStatusError):
        _start(peer)


def test_a_start_whose_connection_breaks_is_unanswered() -> None:
    """Guards against a refusal of a second copy that hides that the first was sent."""
    with raw_sockets.breaking_server(b'{"clock_ms":5}') as address:
        worker = worker_client.PlatformWorker(address=address)
        start = run_worker.RunStart("j.0.0.1", 1, "x", deadline_ms=9)
        assert worker.start("i-1", start, token=1) == 5
        with pytest.raises(errors.TransportError) as caught:
            worker.start("i-1", start, token=1)
        assert caught.value.sent


def test_a_renewal_that_may_be_late_is_unanswered_if_its_connection_breaks() -> (
    None
):
    """Guards against an answer to a second copy that hides that the first is late."""
    listing = b'{"clock_ms":5,"running":[],"ended_runs":[],"born":7}'
    with raw_sockets.breaking_server(listing) as address:
        worker = worker_client.PlatformWorker(address=address)
        assert _renew(worker, "i-1@7").clock_ms == 5
        with pytest.raises(errors.TransportError) as caught:
            _renew(worker, "i-1@7")
        assert caught.value.sent


def test_an_order_with_an_invalid_start_time_in_its_answer_is_unread(
    peer: _Peer,
) -> None:
    peer.answer = {"clock_ms": 5, "born": "7"}
    with pytest.raises(errors.PlatformError, match="born"):
        _start(peer)


def test_the_adviser_is_asked_about_ids_without_start_times(
    peer: _Peer,
) -> None:
    peer.answer = {"good": [["i-1", "t1"], ["i-2", "t2"]]}
    tickets = adviser_client.PlatformAdviser(address=peer.address).advise(
        "j.0.0", ["i-1@7", "i-2", "i-3@8"], timeout_s=4.0
    )
    assert peer.body["workers"] == ["i-1", "i-2", "i-3"]
    assert [(t.worker_id, t.text) for t in tickets] == [
        ("i-1@7", "t1"),
        ("i-2", "t2"),
    ]


def test_the_adviser_gets_one_request_for_a_call_whose_connection_breaks() -> (
    None
):
    with raw_sockets.breaking_server(b'{"good":[]}') as address:
        adviser = adviser_client.PlatformAdviser(address=address)
        assert not adviser.advise("j.0.0", ["i-1"], timeout_s=4.0)
        with pytest.raises(errors.TransportError, match="not sent again"):
            adviser.advise("j.0.0", ["i-1"], timeout_s=4.0)
