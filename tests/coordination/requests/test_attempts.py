"""Tests of single attempts at an agent."""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import hangups
from tests.coordination.requests import builders

_ROUTE = ttypes.Route(
    agent="a1",
    agent_address="a1:1",
    data_centre="dc1",
    service_name="s",
    slots_count=2,
)
_REPLIES = {
    "answer": ttypes.CallReply(
        request_id="r", status_code=200, headers=[], body=b"", body_digest=b""
    ),
    "refusal": ttypes.Refused(reason=ttypes.RefusalReason.OVERLOADED),
    "unknown": ttypes.UnknownOutcome(detail="no answer"),
}


class _Connection:
    """A connection whose calls end at once."""

    def __init__(self, reply: object):
        self._reply = reply
        self.is_released = self.is_aborted_after_release = False

    def call(self, method: str, *args: object, timeout_s: float) -> object:
        if isinstance(self._reply, Exception):
            raise self._reply
        return self._reply

    def abort(self) -> None:
        self.is_aborted_after_release |= self.is_released


class _Connections:
    """A pool of one connection; the caller disconnects when it is released."""

    def __init__(self, connection: _Connection, hangup: hangups.Hangup):
        self._connection = connection
        self._hangup = hangup

    def acquire(self, address: str) -> _Connection:
        return self._connection

    def release(self, connection: _Connection) -> None:
        connection.is_released = True
        self._hangup.record_disconnect()


@pytest.mark.parametrize("kind", _REPLIES)
def test_caller_that_leaves_does_not_abort_the_next_call_of_its_connection(
    kind: str,
) -> None:
    reply = _REPLIES[kind]
    if isinstance(reply, ttypes.CallReply):
        reply.body_digest = codec.digest(reply.body)
    hangup = hangups.Hangup()
    call = builders.call(hangup=hangup)
    connection = _Connection(reply)
    router = routing.Router(data_centre="dc1", seed=1)
    router.replace_routes([_ROUTE])
    runner = attempts.AttemptRunner(
        router=router, connections=_Connections(connection, hangup)
    )
    target = attempts.Target(router.pick_route("s"), "r", 1)
    if kind == "answer":
        assert runner.run(call, target, call.deadline).status_code == 200
    else:
        with pytest.raises(errors.MarigoldsillError):
            runner.run(call, target, call.deadline)
    assert connection.is_released
    assert not connection.is_aborted_after_release
