"""The entry role: accepts callers' HTTP requests and forwards them to agents."""

import threading
import time

from werkzeug import datastructures
from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.coordination.configuration import (
    subscriber as subscriber_module,
)
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import call_dispatcher
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol import caller_requests
from marigoldsill.protocol import headers as headers_module
from marigoldsill.protocol import json_format
from marigoldsill.protocol.generated import ttypes
from marigoldsill.roles import common
from marigoldsill.transport import deadlines
from marigoldsill.transport import http_server
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions

_ANSWERED = "answered"
_NOT_RUN = "not-run"
# The outcome of a call that was not run, where its idempotency key was not looked up:
# an earlier call with the same key may have run.
_CALL_NOT_RUN = "call-not-run"


class Entry:
    """An entry process.

    Attributes:
        http_address: Address that callers connect to.
    """

    def __init__(self, settings: settings_module.EntrySettings):
        self._settings = settings
        self._stopping = threading.Event()
        partitions = network_partitions.NetworkPartitions(
            own_name=settings.name
        )
        self._router = routing.Router(data_centre=settings.data_centre)
        self._subscriber = subscriber_module.Subscriber(
            name=settings.name,
            role=ttypes.Role.ENTRY,
            control_addresses=settings.control_addresses,
            on_reply=self._on_reply,
            partitions=partitions,
        )
        self._dispatcher = call_dispatcher.CallDispatcher(
            entry=settings.name,
            router=self._router,
            control_addresses=settings.control_addresses,
            threads_count=settings.threads_count,
            claim_retention_s=settings.claim_life_s,
            partitions=partitions,
        )
        self._http = http_server.HttpServer(
            address=settings.http_address,
            app=common.create_application(
                self._handle,
                is_ready=self.is_ready,
                body_limit_bytes=settings.body_limit_bytes,
            ),
            threads_count=settings.threads_count,
            body_limit_bytes=settings.body_limit_bytes,
            request_timeout_s=settings.request_timeout_s,
        )
        self.http_address = self._http.address

    def is_ready(self) -> bool:
        """Whether the entry accepts callers' requests."""
        return self._subscriber.ready.is_set() and not self._stopping.is_set()

    def start(self) -> None:
        """Starts serving."""
        self._subscriber.start()
        self._http.start()
        logs.event("started", http=self.http_address)

    def stop(self) -> None:
        """Reports not ready, finishes the requests in flight, then stops serving."""
        self._stopping.set()
        self._http.drain()
        time.sleep(self._settings.notice_s)
        finished = self._http.stop(drain_limit_s=self._settings.drain_limit_s)
        self._dispatcher.stop()
        self._subscriber.stop()
        logs.event("stopped", finished=finished)

    def _on_reply(self, reply: ttypes.WatchReply) -> None:
        if reply.routes is not None:
            self._router.replace_routes(reply.routes)
            self._dispatcher.retain_agents(
                {r.agent_address for r in reply.routes}
            )

    def _handle(self, request: wrappers.Request) -> wrappers.Response:
        start_s = time.monotonic()
        raw_path = request.environ["RAW_URI"]
        target = caller_requests.parse_target(raw_path)
        service = self._subscriber.configuration.get_service(target.service)
        if service is None:
            raise errors.NotFoundError(f"unknown service {target.service!r}")
        self._subscriber.record_call(service.name)
        key = request.headers.get(headers_module.IDEMPOTENCY_KEY, "")
        in_flight = request_metrics.IN_FLIGHT.labels(service=service.name)
        in_flight.inc()
        outcome = _ANSWERED
        try:
            answer = self._dispatcher.dispatch(
                _create_call(request, target, service, key)
            )
            return _create_response(request, answer)
        except errors.MarigoldsillError as error:
            outcome = _outcome_of(error, key)
            return _create_error_response(request, error, outcome)
        finally:
            in_flight.dec()
            request_metrics.REQUESTS.labels(
                service=service.name, outcome=outcome or "other"
            ).inc()
            request_metrics.LATENCY.labels(service=service.name).observe(
                time.monotonic() - start_s
            )


def _create_call(
    request: wrappers.Request,
    target: caller_requests.Target,
    service: ttypes.Service,
    key: str,
) -> attempts.Call:
    idempotent = caller_requests.is_idempotent(request.method, key)
    budget_s = caller_requests.parse_budget_s(
        request.headers.get(headers_module.TIMEOUT_MS, ""),
        limit_ms=service.timeout_ms,
    )
    return attempts.Call(
        service=target.service,
        method=request.method,
        path=target.path,
        headers=caller_requests.forwarded_headers(
            request.environ[http_server.HEADERS_KEY]
        ),
        body=request.get_data(cache=False),
        key=key,
        idempotent=idempotent,
        deadline=deadlines.Deadline.after(budget_s),
        hangup=request.environ[http_server.HANGUP_KEY],
    )


def _create_response(
    request: wrappers.Request, answer: attempts.Answer
) -> wrappers.Response:
    headers = datastructures.Headers(list(answer.headers))
    headers[headers_module.OUTCOME] = _ANSWERED
    _copy_request_id(request, headers)
    response = wrappers.Response(
        answer.body, status=answer.status_code, headers=headers
    )
    response.automatically_set_content_length = request.method != "HEAD"
    if "content-type" not in {name for name, _ in answer.headers}:
        response.headers.remove("Content-Type")
    return response


def _create_error_response(
    request: wrappers.Request, error: errors.MarigoldsillError, outcome: str
) -> wrappers.Response:
    shape = json_format.error_to_json(error)
    if outcome:
        shape["outcome"] = outcome
    response = common.json_response(shape, status=error.http_status)
    common.set_retry_after(response, error)
    if outcome:
        response.headers[headers_module.OUTCOME] = outcome
    _copy_request_id(request, response.headers)
    return response


def _copy_request_id(
    request: wrappers.Request, headers: datastructures.Headers
) -> None:
    caller_id = request.headers.get(headers_module.REQUEST_ID)
    if caller_id is not None:
        headers[headers_module.REQUEST_ID] = caller_id


def _outcome_of(error: errors.MarigoldsillError, key: str) -> str:
    if error.outcome == _NOT_RUN and key and not error.key_checked:
        return _CALL_NOT_RUN
    return error.outcome


def run(settings: settings_module.EntrySettings) -> None:
    """Runs an entry until a stop signal."""
    common.run(lambda: Entry(settings))
