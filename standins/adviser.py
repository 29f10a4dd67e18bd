"""A stand-in for the service that decides which workers may run a step."""

import itertools
import json
import threading

from werkzeug import wrappers

from marigoldsill.transport import http_server

_THREADS_COUNT = 4


class Adviser:
    """Grants tickets for workers and validates them.

    Attributes:
        address: Where the server listens.
        refused_incarnations: Ids of the worker incarnations that get no tickets.
        is_busy: Whether every call is answered with status 429.
        queries: Each step and worker that was asked about, in the order of the calls.
    """

    def __init__(self, *, address: str):
        self.refused_incarnations: set[str] = set()
        self.is_busy = False
        self.queries: list[tuple[str, str]] = []
        self._lock = threading.Lock()
        self._ticket_numbers = itertools.count(1)
        self._granted: dict[str, tuple[str, str]] = {}
        self._server = http_server.HttpServer(
            address=address, app=self._answer, threads_count=_THREADS_COUNT
        )
        self.address = self._server.address

    def start(self) -> None:
        """Starts the server."""
        self._server.start()

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop()

    def is_valid_ticket(self, ticket: str, task: str, worker_id: str) -> bool:
        """Whether a ticket is valid for a task on an incarnation of a worker."""
        step, _, _ = task.rpartition(".")
        return self._granted.get(ticket) == (step, worker_id)

    @wrappers.Request.application
    def _answer(self, request: wrappers.Request) -> wrappers.Response:
        if self.is_busy:
            return wrappers.Response(status=429)
        body = json.loads(request.get_data())
        with self._lock:
            self.queries += [(body["step"], w) for w in body["workers"]]
            granted = [
                [worker_id, self._grant_ticket(body["step"], worker_id)]
                for worker_id in body["workers"]
                if worker_id not in self.refused_incarnations
            ]
        return wrappers.Response(
            json.dumps({"good": granted}), mimetype="application/json"
        )

    def _grant_ticket(self, step: str, worker_id: str) -> str:
        ticket = f"ticket-{next(self._ticket_numbers)}"
        self._granted[ticket] = (step, worker_id)
        return ticket
