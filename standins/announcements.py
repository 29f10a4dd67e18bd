"""Announces the endpoints of a stand-in worker to its agent."""

from collections.abc import Iterable
import json

from marigoldsill import errors
from marigoldsill.transport import http_client
from standins import endpoint as endpoint_module

CHECK_INTERVAL_S = 0.1
REPEAT_INTERVAL_S = 1.0


def send(agent_url: str, endpoints: Iterable[endpoint_module.Endpoint]) -> None:
    """Sends the current endpoints to the agent; a failed call is not retried."""
    body = [
        {
            "service": e.service,
            "address": e.address,
            "slots_count": e.slots_count,
            "connections_count": e.connections_count,
            "task": e.task,
        }
        for e in endpoints
    ]
    try:
        http_client.fetch(
            f"{agent_url}/endpoints",
            method="POST",
            body=json.dumps(body).encode(),
            timeout_s=1.0,
        )
    except errors.TransportError:
        return
