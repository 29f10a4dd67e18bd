"""HTTP interface for operators of the platform: configuration and evacuations."""

import re
import threading

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.coordination.jobs import client as job_client
from marigoldsill.platform import http_apps
from marigoldsill.platform import routing_bodies
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from marigoldsill.transport import hangups
from marigoldsill.transport import http_server

# Operators switch to another process after one second without an answer.
_BUDGET_S = 0.9
# How long an order waits for the news that its sender has disconnected. The news takes
# a few milliseconds if the process was frozen while the order arrived.
_HANGUP_NOTICE_S = 0.05
# Whether the data centre is evacuated from then on, by the name of the order.
_EVACUATION_ORDERS = {"Evacuations.Start": True, "Evacuations.Finish": False}
_SERVED = (
    f"POST {http_apps.PREFIX}Config.Replace",
    f"GET {http_apps.PREFIX}Config.Describe",
    *(f"POST {http_apps.PREFIX}{order}/ZONE" for order in _EVACUATION_ORDERS),
)
_ZONE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_OPERATOR_NAME = "platform operator"


class ConfigurationHttp:
    """Decodes operators' requests and encodes the responses."""

    def __init__(self, *, client: job_client.JobClient):
        self._client = client

    def handle(self, request: wrappers.Request) -> wrappers.Response:
        """Handles one request."""
        context = job_client.CallContext(deadlines.Deadline.after(_BUDGET_S))
        method, path = http_apps.parse_call(request)
        match method, *path.split("/"):
            case ("POST", "Config.Replace"):
                routing = routing_bodies.decode(request.get_data(cache=False))
                self._client.replace_routing(routing, context=context)
                return http_apps.json_response({})
            case ("GET", "Config.Describe"):
                return self._describe(context)
            case ("POST", order, zone) if order in _EVACUATION_ORDERS:
                evacuation = ttypes.SetEvacuation(
                    data_centre=_check_zone(zone),
                    active=_EVACUATION_ORDERS[order],
                    operator_name=_OPERATOR_NAME,
                )
                _require_connected(request.environ[http_server.HANGUP_KEY])
                self._client.set_evacuation(evacuation, context=context)
                return http_apps.json_response({})
            case _:
                raise http_apps.unknown_path_error(request, served=_SERVED)

    def _describe(self, context: job_client.CallContext) -> wrappers.Response:
        reply = self._client.get_routing(context=context)
        if not reply.document:
            raise errors.NotRunError(
                "no configuration is in force yet", retry_after_ms=1_000
            )
        return wrappers.Response(reply.document, mimetype="application/json")


def _check_zone(zone: str) -> str:
    """Returns the name of a data centre; one without workers is accepted."""
    if not _ZONE_PATTERN.fullmatch(zone):
        raise errors.BadInputError(
            f"invalid data centre {zone[:60]!r}: expected 1 to 128 letters, "
            "digits, dots, hyphens or underscores, the first a letter or digit"
        )
    return zone


def _require_connected(hangup: hangups.Hangup) -> None:
    """Refuses an order whose sender has disconnected.

    A process that was frozen reads old orders when it continues. Their senders have
    repeated them elsewhere since, and may have given the opposite order.

    Raises:
        NotRunError: The sender has disconnected; the order has no effect.
    """
    disconnected = threading.Event()
    hangup.set_callback(disconnected.set)
    is_disconnected = disconnected.wait(_HANGUP_NOTICE_S)
    hangup.set_callback(None)
    if is_disconnected:
        raise errors.NotRunError(
            "the sender of this order has disconnected", retry_after_ms=1_000
        )
