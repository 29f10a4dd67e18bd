"""Behaviour shared by all roles: health, readiness, metrics, errors, stopping."""

from collections.abc import Callable
import json
import time
from typing import Protocol

import prometheus_client
from werkzeug import exceptions
from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.protocol import json_format
from marigoldsill.roles import stop_signals
from marigoldsill.transport import logs
from marigoldsill.transport import metrics

_REQUESTS = prometheus_client.Counter(
    "marigoldsill_http_requests_total",
    "HTTP requests answered, by status code.",
    ["status"],
)
_REQUEST_SECONDS = prometheus_client.Histogram(
    "marigoldsill_http_request_seconds",
    "Time from reading a request to having its answer, in seconds.",
)
_READY = prometheus_client.Gauge(
    "marigoldsill_ready_ratio", "1 while the process is ready, else 0."
)


class Role(Protocol):
    """A server that runs until a stop signal."""

    def start(self) -> None:
        """Starts serving."""

    def stop(self) -> None:
        """Stops gracefully."""


def json_response(value: object, *, status: int = 200) -> wrappers.Response:
    """Returns a response with a value as JSON."""
    return wrappers.Response(
        json.dumps(value), status=status, mimetype="application/json"
    )


def error_response(error: errors.MarigoldsillError) -> wrappers.Response:
    """Returns the response that reports an error."""
    response = json_response(
        json_format.error_to_json(error), status=error.http_status
    )
    set_retry_after(response, error)
    return response


def set_retry_after(
    response: wrappers.Response, error: errors.MarigoldsillError
) -> None:
    """Sets Retry-After, if the error has a delay, in whole seconds as HTTP requires."""
    if error.retry_after_ms is None:
        return
    seconds = -(-error.retry_after_ms // 1000)
    response.headers["Retry-After"] = str(max(1, seconds))


def create_application(
    handle: Callable[[wrappers.Request], wrappers.Response],
    *,
    is_ready: Callable[[], bool],
    body_limit_bytes: int,
) -> Callable:
    """Creates a WSGI application that serves a role's requests.

    Args:
        handle: Answers the requests other than health, readiness and metrics.
        is_ready: Whether the process is ready.
        body_limit_bytes: Maximum size of a request body.
    """

    @wrappers.Request.application
    def answer(request: wrappers.Request) -> wrappers.Response:
        start_s = time.perf_counter()
        request.max_content_length = body_limit_bytes
        response = _answer(request, handle, is_ready, body_limit_bytes)
        _REQUEST_SECONDS.observe(time.perf_counter() - start_s)
        _REQUESTS.labels(str(response.status_code)).inc()
        return response

    return answer


def run(create_role: Callable[[], Role]) -> None:
    """Runs a role until SIGTERM or SIGINT; a second signal ends the process at once."""
    signals = stop_signals.StopSignals()
    role = create_role()
    role.start()
    signals.wait()
    role.stop()
    logs.flush()


def _answer(
    request: wrappers.Request,
    handle: Callable[[wrappers.Request], wrappers.Response],
    is_ready: Callable[[], bool],
    body_limit_bytes: int,
) -> wrappers.Response:
    try:
        return _answer_probe(request, is_ready) or handle(request)
    except errors.MarigoldsillError as error:
        return error_response(error)
    except exceptions.RequestEntityTooLarge:
        return error_response(
            errors.TooLargeError(
                f"the body exceeds the limit of {body_limit_bytes} bytes"
            )
        )
    except exceptions.HTTPException as error:
        return error_response(
            errors.BadInputError(f"{error.name}: {error.description}")
        )
    except Exception as error:  # keeps the process serving
        logs.event("request_failed", level="ERROR", reason=repr(error))
        return error_response(errors.MarigoldsillError("internal error"))


def _answer_probe(
    request: wrappers.Request, is_ready: Callable[[], bool]
) -> wrappers.Response | None:
    """Answers a health, readiness or metrics request; None for other paths."""
    match request.path:
        case "/health":
            return json_response({"health": "ok"})
        case "/ready":
            ready = is_ready()
            return json_response({"ready": ready}, status=200 if ready else 503)
        case "/metrics":
            _READY.set(1 if is_ready() else 0)
            return wrappers.Response(
                metrics.render(), content_type=metrics.CONTENT_TYPE
            )
        case _:
            return None
