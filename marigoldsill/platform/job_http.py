"""HTTP interface for clients of the platform: jobs and queues."""

import dataclasses

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.coordination.jobs import client as job_client
from marigoldsill.platform import http_apps
from marigoldsill.platform import job_bodies
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from marigoldsill.transport import http_server

_DEADLINE_HEADER = "Request-Deadline"
_REQUEST_ID_HEADER = "Request-Id"
_REQUEST_ID_LENGTH_LIMIT = 64
_STATUS_GONE = 410
_SERVED = ("POST, GET or DELETE of a job's path", "GET of a queue's path")
# Used for requests without a deadline: the shortest deadline that clients have sent.
_DEFAULT_BUDGET_S = 3.0
# Reserved for the transfer of the response.
_RESPONSE_MARGIN_S = 0.1


class JobHttp:
    """Decodes requests about jobs and encodes the responses."""

    def __init__(self, *, client: job_client.JobClient):
        self._client = client

    def handle(self, request: wrappers.Request) -> wrappers.Response:
        """Handles one request."""
        address = ttypes.JobAddress(
            host=request.host.partition(":")[0], path=request.path
        )
        context = _context_of(request)
        is_job_path = not address.path.endswith("/")
        match request.method:
            case "POST" if is_job_path:
                return self._submit(request, address, context)
            case "GET" if is_job_path:
                return self._get_state(address, context)
            case "DELETE" if is_job_path:
                return self._cancel(address, context)
            case "GET":
                return self._count_pending(address, context)
            case _:
                raise http_apps.unknown_path_error(request, served=_SERVED)

    def _submit(
        self,
        request: wrappers.Request,
        address: ttypes.JobAddress,
        context: job_client.CallContext,
    ) -> wrappers.Response:
        job_id = address.path.rpartition("/")[2]
        job = job_bodies.decode(request.get_data(cache=False), job_id=job_id)
        # A process that was frozen reads old requests when it continues. Their callers
        # may have cancelled the job elsewhere since.
        hangup = request.environ[http_server.HANGUP_KEY]
        context = dataclasses.replace(context, is_abandoned=hangup.poll)
        reply = self._client.submit(address, job, context=context)
        _check_queue(reply, address)
        if reply.outcome == ttypes.JobOutcome.REJECTED:
            raise errors.OverloadedError(
                reply.reason, retry_after_ms=reply.retry_after_ms
            )
        return http_apps.json_response({})

    def _get_state(
        self, address: ttypes.JobAddress, context: job_client.CallContext
    ) -> wrappers.Response:
        reply = self._client.get_state(address, context=context)
        if reply.outcome == ttypes.JobOutcome.NO_JOB:
            return http_apps.json_response({}, status=_STATUS_GONE)
        return http_apps.json_response(
            {"state": job_bodies.STATE_NAMES[reply.state]}
        )

    def _cancel(
        self, address: ttypes.JobAddress, context: job_client.CallContext
    ) -> wrappers.Response:
        reply = self._client.cancel(address, context=context)
        if reply.outcome == ttypes.JobOutcome.NO_JOB:
            return http_apps.json_response({}, status=_STATUS_GONE)
        return http_apps.json_response({})

    def _count_pending(
        self, address: ttypes.JobAddress, context: job_client.CallContext
    ) -> wrappers.Response:
        reply = self._client.count_pending(address, context=context)
        _check_queue(reply, address)
        return http_apps.json_response({"pending": reply.pending_count})


def _context_of(request: wrappers.Request) -> job_client.CallContext:
    # "Request-Deadline" is a duration: how many ms the client waits.
    text = request.headers.get(_DEADLINE_HEADER, "")
    budget_s = int(text) / 1000 if text.isdecimal() else _DEFAULT_BUDGET_S
    return job_client.CallContext(
        deadlines.Deadline.after(
            max(_RESPONSE_MARGIN_S, budget_s - _RESPONSE_MARGIN_S)
        ),
        request_id=request.headers.get(_REQUEST_ID_HEADER, "")[
            :_REQUEST_ID_LENGTH_LIMIT
        ],
    )


def _check_queue(reply: ttypes.JobReply, address: ttypes.JobAddress) -> None:
    """Raises an error if a reply says that there is no queue or no routing."""
    if reply.outcome == ttypes.JobOutcome.NO_QUEUE:
        raise errors.NotFoundError(
            f"no queue is at {address.host}{address.path}"
        )
    if reply.outcome == ttypes.JobOutcome.NO_ROUTING:
        raise errors.NotRunError(
            "no configuration is in force yet", retry_after_ms=1_000
        )
