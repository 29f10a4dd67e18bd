"""A call that can't be made fails as a call, whatever the cause is."""

import errno
import socket

import pytest

from marigoldsill import errors
from marigoldsill.protocol.generated import Formation
from marigoldsill.transport import thrift_client


def test_a_process_without_a_descriptor_left_fails_its_call_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A process that was out of descriptors for a moment fell silent for good.

    The order: callers held all descriptors; a task that calls others in turn
    (an agent's reports, the exchange of views) opened a connection. The error
    was no error of a call, so it ended the task, and with it the agent's lease.
    """

    def refuse(*_: object, **__: object) -> socket.socket:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(socket, "socket", refuse)
    connection = thrift_client.Connection(
        address="127.0.0.1:9",
        service_name="formation",
        client_class=Formation.Client,
    )
    with pytest.raises(errors.TransportError) as caught:
        connection.call("join", None, timeout_s=1.0)
    assert not caught.value.sent
