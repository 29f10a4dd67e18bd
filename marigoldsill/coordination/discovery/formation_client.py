"""Calls of the thrift service `Formation`, by which processes find the group."""

from thrift import Thrift

from marigoldsill import errors
from marigoldsill.protocol.generated import Formation
from marigoldsill.transport import logs
from marigoldsill.transport import thrift_client

SERVICE_NAME = "formation"
# A reply needs no disk access; a process takes about a second to start.
_TIMEOUT_S = 1.0


def call(address: str, method: str, request: object) -> object | None:
    """Calls one process.

    Args:
        address: The address of the process.
        method: The method of `Formation`.
        request: Its argument.

    Returns:
        The reply, or None if the call failed.
    """
    connection = thrift_client.Connection(
        address=address,
        service_name=SERVICE_NAME,
        client_class=Formation.Client,
    )
    try:
        return connection.call(method, request, timeout_s=_TIMEOUT_S)
    except (errors.TransportError, Thrift.TException) as error:
        logs.event("join_waits", level="DEBUG", at=address, reason=error)
        return None
    finally:
        connection.close()
