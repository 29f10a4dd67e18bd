"""Common parts of the HTTP applications for the platform."""

from collections.abc import Callable
from collections.abc import Iterable
import json

from werkzeug import exceptions
from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.transport import logs

Handler = Callable[[wrappers.Request], wrappers.Response]
PREFIX = "/marigoldsill/"


def create_application(handle: Handler) -> Callable:
    """Creates a WSGI application that turns a handler's errors into responses."""

    @wrappers.Request.application
    def respond(request: wrappers.Request) -> wrappers.Response:
        try:
            return handle(request)
        except errors.MarigoldsillError as error:
            return error_response(error)
        except exceptions.HTTPException as error:
            return error_response(errors.BadInputError(str(error.description)))
        except Exception as error:  # the process must continue to serve
            logs.event("request_failed", level="ERROR", reason=repr(error))
            return error_response(errors.MarigoldsillError("internal error"))

    return respond


def json_response(value: object, *, status: int = 200) -> wrappers.Response:
    """Creates a response with a JSON body."""
    return wrappers.Response(
        json.dumps(value), status=status, mimetype="application/json"
    )


def error_response(error: errors.MarigoldsillError) -> wrappers.Response:
    """Creates the response for an error, with `Retry-After` if it has a delay."""
    body = {"error": error.kind, "message": error.message}
    response = json_response(body, status=error.http_status)
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // 1000)
        response.headers["Retry-After"] = str(max(1, seconds))
    return response


def parse_call(request: wrappers.Request) -> tuple[str, str]:
    """Returns the method and the path after the prefix; an empty path without it."""
    if not request.path.startswith(PREFIX):
        return request.method, ""
    return request.method, request.path.removeprefix(PREFIX)


def unknown_path_error(
    request: wrappers.Request, *, served: Iterable[str]
) -> errors.NotFoundError:
    """Returns the error for a method and path that are not served.

    Args:
        request: The request.
        served: What is served at this address, each as method and path.
    """
    return errors.NotFoundError(
        f"{request.method} {request.path[:80]!r} is not served; expected "
        f"{' or '.join(served)}"
    )
