"""The entry role: HTTP for callers."""

import threading
import time

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.coordination import calls
from marigoldsill.coordination import routing
from marigoldsill.coordination import subscriber as subscriber_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.roles import common
from marigoldsill.transport import cuts
from marigoldsill.transport import http_server
from marigoldsill.transport import logs

_PREFIX = "/services/"
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class Entry:
    """One entry process.

    Attributes:
        http_address: Where callers reach it.
    """

    def __init__(self, settings: settings_module.EntrySettings):
        self._settings = settings
        self._stopping = threading.Event()
        cut_switch = cuts.Cuts(own_name=settings.name)
        self._router = routing.Router(data_centre=settings.data_centre)
        self._subscriber = subscriber_module.Subscriber(
            name=settings.name,
            role=ttypes.Role.ENTRY,
            control_addresses=settings.control_addresses,
            on_reply=self._on_reply,
            cut_switch=cut_switch,
        )
        self._caller = calls.Caller(
            entry=settings.name,
            router=self._router,
            subscriber=self._subscriber,
            control_addresses=settings.control_addresses,
            cut_switch=cut_switch,
        )
        self._http = http_server.HttpServer(
            address=settings.http_address,
            app=common.application(
                self._handle,
                ready=self.ready,
                body_limit_bytes=settings.body_limit_bytes,
            ),
            threads_count=settings.threads_count,
        )
        self.http_address = self._http.address

    def ready(self) -> bool:
        """Whether it takes callers' requests."""
        return self._subscriber.ready.is_set() and not self._stopping.is_set()

    def start(self) -> None:
        """Begins to serve."""
        self._subscriber.start()
        self._http.start()
        logs.event("started", http=self.http_address)

    def stop(self) -> None:
        """Fails its readiness, finishes requests in flight, then ends."""
        self._stopping.set()
        time.sleep(self._settings.notice_s)
        finished = self._http.stop(drain_limit_s=self._settings.drain_limit_s)
        self._subscriber.stop()
        logs.event("stopped", finished=finished)

    def _on_reply(self, reply: ttypes.WatchReply) -> None:
        if reply.routes is not None:
            self._router.update(reply.routes)

    def _handle(self, request: wrappers.Request) -> wrappers.Response:
        if not request.path.startswith(_PREFIX):
            raise errors.NotFoundError(
                f"{request.path!r} is nothing here; services are at "
                f"{_PREFIX}<service>/<path>"
            )
        answer = self._run(self._call_of(request))
        response = wrappers.Response(answer.body, status=answer.status_code)
        for name, value in answer.headers:
            response.headers[name] = value
        return response

    def _run(self, call: calls.Call) -> calls.Answer:
        try:
            return self._caller.run(call)
        except calls.RecordedAnswer as recorded:
            return recorded.answer

    def _call_of(self, request: wrappers.Request) -> calls.Call:
        name, _, path = request.path[len(_PREFIX) :].partition("/")
        service = self._subscriber.configuration.service(name)
        if service is None:
            raise errors.NotFoundError(f"no service is named {name!r}")
        self._subscriber.note_call(name)
        query = request.query_string.decode("latin-1")
        key = request.headers.get("Idempotency-Key", "")
        idempotent = request.method in _SAFE_METHODS and not key
        if not idempotent and not key:
            raise errors.BadInputError(
                f"{request.method} needs an Idempotency-Key header, so that "
                "it runs at most once"
            )
        return calls.Call(
            service=name,
            method=request.method,
            path=f"/{path}" + (f"?{query}" if query else ""),
            headers=tuple(request.headers.items()),
            body=request.get_data(),
            key=key,
            idempotent=idempotent,
            deadline_s=time.monotonic() + service.timeout_ms / 1000,
        )


def run(settings: settings_module.EntrySettings) -> None:
    """Runs the role until a signal."""
    common.run(lambda: Entry(settings))
