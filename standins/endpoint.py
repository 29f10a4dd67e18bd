"""A stand-in endpoint, which answers requests and journals each one that it ran."""

import hashlib
import threading
import time

from werkzeug import wrappers

from marigoldsill.transport import http_server
from standins import faults as faults_module
from standins import journal as journal_module


class Endpoint:
    """Serves one run of a service.

    The answer contains the caller's id, the request's path and a digest of its
    body, so that a caller can check that the answer belongs to its request. The
    query parameter `work_ms` sets the processing time.
    """

    def __init__(
        self,
        *,
        service: str,
        worker: str,
        task: str,
        slots_count: int,
        connections_count: int,
        journal: journal_module.Journal,
        faults: faults_module.Faults,
    ):
        self.service = service
        self.task = task
        self.slots_count = slots_count
        self.connections_count = connections_count
        self._worker = worker
        self._journal = journal
        self._faults = faults
        self._lock = threading.Lock()
        self._in_flight_count = 0
        self._slots = threading.Semaphore(max(1, slots_count))
        self._server = http_server.HttpServer(
            address="127.0.0.1:0",
            app=self._answer,
            threads_count=max(4, connections_count),
        )
        self.address = self._server.address
        self._server.start()

    def stop(self) -> None:
        """Stops the server without waiting for requests, as a stopped task does."""
        self._server.stop()

    @wrappers.Request.application
    def _answer(self, request: wrappers.Request) -> wrappers.Response:
        request_id = request.headers.get("X-Request-Id", "")
        caller_id = request.headers.get("X-Caller-Request-Id", "")
        body = request.get_data()
        fields = {
            "service": self.service,
            "worker": self._worker,
            "task": self.task,
            "request_id": request_id,
            "caller_id": caller_id,
        }
        self._journal.write(
            "request_began",
            key=request.headers.get("Idempotency-Key", ""),
            in_flight=self._add_in_flight(1),
            **fields,
        )
        is_faulty = self._faults.affects_next_request()
        try:
            with self._slots:
                time.sleep(int(request.args.get("work_ms", "0")) / 1000)
                time.sleep(self._faults.endpoint_delay_ms / 1000)
                if is_faulty:
                    self._faults.wait_while_hanging()
        finally:
            self._add_in_flight(-1)
        text = (
            f"{self.service} {request.path} caller={caller_id} "
            f"body={hashlib.sha256(body).hexdigest()[:16]}"
        )
        self._journal.write("request_ended", **fields)
        if is_faulty:
            return self._faults.build_response(text, request_id)
        return wrappers.Response(text, headers={"X-Request-Id": request_id})

    def _add_in_flight(self, count: int) -> int:
        with self._lock:
            self._in_flight_count += count
            return self._in_flight_count
