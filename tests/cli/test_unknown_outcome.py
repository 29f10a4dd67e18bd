"""Tests that the operators' client repeats a command until its outcome is known."""

import pytest
from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.cli import client as client_module
from marigoldsill.roles import common
from marigoldsill.transport import http_server
from tests import raw_sockets


def test_a_command_of_unknown_outcome_is_repeated_with_its_id() -> None:
    ids: list[str] = []

    @wrappers.Request.application
    def control(request: wrappers.Request) -> wrappers.Response:
        ids.append(request.headers["X-Command-Id"])
        if len(ids) == 1:
            return common.error_response(
                errors.UnknownOutcomeError("logged, not known to be committed")
            )
        return common.json_response({"state": "confirmed"})

    server = http_server.HttpServer(
        address="127.0.0.1:0", app=control, threads_count=2
    )
    server.start()
    try:
        client = client_module.Client(addresses=(server.address,))
        answer = client.post("/v1/plans/1/confirm", b"")
    finally:
        server.stop()
    assert answer == {"state": "confirmed"}
    assert len(set(ids)) == 1
    assert len(ids) == 2


def test_a_command_whose_connection_broke_is_not_said_not_to_have_run() -> None:
    """Guards against the refusal of a second copy that hides that the first was sent."""
    refusal = common.error_response(
        errors.NotLeaderError("another process leads")
    )
    with raw_sockets.breaking_server(refusal.get_data()) as address:
        client = client_module.Client(addresses=(address,), timeout_s=0.1)
        client.get("/v1/status")
        with pytest.raises(errors.UnknownOutcomeError):
            client.post("/v1/plans/1/confirm", b"{}")
