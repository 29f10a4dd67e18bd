"""Serves the metrics of a process on a separate address."""

from werkzeug import exceptions
from werkzeug import wrappers

from marigoldsill.transport import http_server
from marigoldsill.transport import metrics

PATH = "/metrics"
_THREADS_COUNT = 2


def create_server(address: str) -> http_server.HttpServer:
    """Creates a server for the metrics, which the caller starts.

    Raises:
        SettingsError: The address is not available.
    """
    return http_server.HttpServer(
        address=address, app=_answer, threads_count=_THREADS_COUNT
    )


@wrappers.Request.application
def _answer(request: wrappers.Request) -> wrappers.Response:
    if request.path != PATH:
        raise exceptions.NotFound
    return wrappers.Response(
        metrics.render(), content_type=metrics.CONTENT_TYPE
    )
