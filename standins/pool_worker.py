"""A stand-in for a worker of the users' platform, with the platform's protocol.

It sends heartbeats to its agent, starts runs under a lease, keeps the ends of runs
until they are acknowledged, and refuses orders with a fencing token lower than the
highest that it has seen. Faults can be switched on. It shares no decisions with the
scheduler's code.
"""

from collections.abc import Callable
from concurrent import futures
import itertools
import json
import random
import socket
import threading
import time

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.transport import http_client
from marigoldsill.transport import http_server
from standins import gangs as gangs_module
from standins import journal as journal_module
from standins import pool_faults
from standins import pool_run

_PREFIX = "/marigoldsill/"
_TICK_S = 0.01
_HEARTBEAT_INTERVAL_S = 0.1
_HEARTBEAT_TIMEOUT_S = 1.0
_HOLD_WAIT_LIMIT_MS = 2_000
# The longest lease, as in the settings of the tests' processes.
_LEASE_LIMIT_MS = 6_000
_NO_ANSWER_S = 3.0
# Longer than an agent takes to list the runs of a worker.
_DRAIN_S = 1.2
_THREADS_COUNT = 32
_incarnation_numbers = itertools.count(1)


class _RefusedError(Exception):
    """An order is refused; holds the HTTP status and the reason."""

    def __init__(self, status: int, reason: str = ""):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _CrashedError(Exception):
    """The worker has crashed during a call, which breaks its connection."""


class PoolWorker:
    """A worker of the platform.

    Attributes:
        address: Where the agent calls the worker.
        incarnation: The id of the current incarnation.
        born_unix_ms: When the current incarnation started, if the worker tells it.
        faults: The current faults.
        is_draining: Whether heartbeats announce the worker as draining.
        heartbeat_refusals_ns: When heartbeats were refused in a row, the first and the
            last one of each row.
        accepts_ticket: Returns whether a start is allowed for a ticket, a task and
            this worker's incarnation; None if starts need no ticket.
    """

    def __init__(
        self,
        *,
        address: str,
        control_address: str,
        pool: str,
        data_centre: str,
        labels: list[str],
        cpu_millicores: int,
        journal: journal_module.Journal,
        gangs: gangs_module.Gangs | None = None,
        sends_born: bool = False,
    ):
        """Initializes the worker.

        Args:
            address: Where the agent calls the worker.
            control_address: Where the agent receives heartbeats.
            pool: The worker's pool.
            data_centre: The worker's data centre.
            labels: The worker's labels.
            cpu_millicores: The worker's CPU capacity.
            journal: Where the worker writes what it does.
            gangs: The gangs of all workers.
            sends_born: Whether the worker tells when it started, and can therefore
                restart under its id.
        """
        self._sends_born = sends_born
        self.born_unix_ms: int | None = None
        self._gangs = gangs or gangs_module.Gangs()
        self.faults = pool_faults.PoolFaults()
        self.is_draining = False
        self.heartbeat_refusals_ns: list[tuple[int, int]] = []
        self._has_refusals = False
        self._has_ended = False
        self._crashes_count = 0
        self.accepts_ticket: Callable[[str, str, str], bool] | None = None
        self._control_address = control_address
        self._pool = pool
        self._data_centre = data_centre
        self._labels = labels
        self._cpu_millicores = cpu_millicores
        self._journal = journal
        self._condition = threading.Condition()
        self._client = http_client.Client()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(8, "pool-worker")
        self._server = http_server.HttpServer(
            address=address, app=self._application, threads_count=_THREADS_COUNT
        )
        self.address = self._server.address
        self._begin_incarnation()

    @property
    def journal_id(self) -> str:
        """The current incarnation in the journal; unlike its id, it is unique."""
        if self.born_unix_ms is None:
            return self.incarnation
        return f"{self.incarnation}@{self.born_unix_ms}"

    def start(self) -> None:
        """Starts the server and the heartbeats."""
        self._server.start()
        self._executor.submit(self._tick_runs)
        self._executor.submit(self._send_heartbeats)

    def stop(self) -> None:
        """Stops without deregistering at the agent; has no effect a second time."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._server.stop()
        self._executor.shutdown(wait=False)

    def leave(self, *, end_delay_s: float = 0.0) -> None:
        """Drains, deregisters at the agent, and ends.

        Args:
            end_delay_s: How long the worker continues after it has deregistered, as
                if the acknowledgement were lost.
        """
        self.drain_and_deregister()
        self._stopping.wait(end_delay_s)
        with self._condition:
            self._lose_runs()
            self._has_ended = True
            self._condition.notify_all()
        self.stop()

    def drain_and_deregister(self) -> None:
        """Announces the worker's end at the agent, and continues."""
        self.is_draining = True
        self._send_heartbeat()
        self._stopping.wait(_DRAIN_S)
        self._call_agent("Deregister", {})

    def crash(self, *, keeps_id: bool = False) -> None:
        """Loses all runs and restarts as a new incarnation.

        Args:
            keeps_id: Whether the new incarnation has the same id; only if the worker
                tells when it started.
        """
        with self._condition:
            self._crashes_count += 1
            self._lose_runs()
            self._begin_incarnation(keeps_id=keeps_id)
            self._condition.notify_all()

    def resize(self, cpu_millicores: int) -> None:
        """Changes the announced CPU capacity; current runs continue."""
        self._cpu_millicores = cpu_millicores

    def running_tasks(self) -> dict[str, int]:
        """Returns the number of the current run by task."""
        with self._condition:
            return {run.task: run.run for run in self._runs.values()}

    def _lose_runs(self) -> None:
        for run in self._runs.values():
            self._journal_run("lost", run)
            if run.gang is not None:
                run.gang.leave(run.task, "lost")
        self._runs.clear()

    def _begin_incarnation(self, *, keeps_id: bool = False) -> None:
        if not (keeps_id and self._sends_born):
            self.incarnation = f"i-{next(_incarnation_numbers):08x}"
        self._clock_start_ms = 0
        if self._sends_born:
            self._clock_start_ms = _now_ms()
            self.born_unix_ms = max(
                (self.born_unix_ms or 0) + 1, time.time_ns() // 1_000_000
            )
        self._sequence = itertools.count(1)
        self._end_numbers = itertools.count(1)
        self._runs: dict[str, pool_run.PoolRun] = {}
        self._unacknowledged_ends: list[list[object]] = []
        # Highest number of a run that has ended or was stopped, by task.
        self._last_ended_numbers: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0
        # Ends up to this number were listed when the lease expired last.
        self._lapsed_through_number = 0

    def _clock_ms(self) -> int:
        return _now_ms() - self._clock_start_ms

    def _born(self) -> dict:
        return {"born": self.born_unix_ms} if self._sends_born else {}

    @wrappers.Request.application
    def _application(self, request: wrappers.Request) -> wrappers.Response:
        name = request.path.removeprefix(_PREFIX)
        if self.faults.is_unresponsive:
            self._stopping.wait(_NO_ANSWER_S)
            return wrappers.Response(status=500)
        incarnation = request.headers.get("Target-Instance", self.incarnation)
        if incarnation != self.incarnation:
            return _json({}, status=421)
        if random.random() < self.faults.refused_share:
            return _json({}, status=self.faults.refused_status)
        body = json.loads(request.get_data() or b"{}")
        if name in self.faults.delayed_calls:
            # A thread for each, as a limited number of them would delay later calls.
            late_call = threading.Timer(
                self.faults.call_delay_s,
                self._handle_order_late,
                (name, body, self.incarnation),
            )
            late_call.daemon = True
            late_call.start()
            self._stopping.wait(_NO_ANSWER_S)
            return wrappers.Response(status=500)
        try:
            answer = self._handle_order(name, body, incarnation)
        except _CrashedError:
            request.environ["werkzeug.socket"].shutdown(socket.SHUT_RDWR)
            return wrappers.Response(status=500)
        except _RefusedError as refusal:
            answer = {"clock_ms": self._clock_ms(), "reason": refusal.reason}
            return _json(answer, status=refusal.status)
        return _json({"clock_ms": self._clock_ms()} | answer)

    def _handle_order_late(
        self, name: str, body: dict, incarnation: str
    ) -> None:
        if self._stopping.is_set():
            return
        try:
            self._handle_order(name, body, incarnation)
        except _RefusedError:
            return

    def _check_not_ended(self) -> None:
        if self._has_ended:
            raise _RefusedError(503)

    def _handle_order(self, name: str, body: dict, incarnation: str) -> dict:
        orders: dict[str, Callable[[dict], dict]] = {
            "run-start": self._start_run,
            "run-stop": self._stop_run,
            "hold": self._hold,
            "pace": self._set_pace,
        }
        with self._condition:
            self._check_not_ended()
            # The worker may have restarted since it received the call.
            if incarnation != self.incarnation:
                raise _RefusedError(421)
            if self.faults.refuses_orders and name != "hold":
                raise _RefusedError(503)
            if name == "run-start" and self.faults.refuses_next_start():
                raise _RefusedError(503)
            token = body.get("fencing_token", 0)
            if token < self._token:
                raise _RefusedError(409, "fence")
            self._token = token
            return orders[name](body)

    def _start_run(self, body: dict) -> dict:
        task, run = body["task"], body["run"]
        self._extend_lease(body)
        current = self._runs.get(task)
        if current is not None and current.run == run:
            return {}
        if run <= self._last_ended_numbers.get(task, 0) or current is not None:
            raise _RefusedError(409, "old")
        if body["deadline_ms"] < self._clock_ms():
            raise _RefusedError(409, "late")
        ticket = body.get("ticket", "")
        if self.accepts_ticket and not self.accepts_ticket(
            ticket, task, self.incarnation
        ):
            raise _RefusedError(409, "ticket")
        started = pool_run.PoolRun(
            task=task,
            run=run,
            spec=body["spec"],
            started_ms=_now_ms(),
            updated_ms=_now_ms(),
        )
        started.resume(body.get("last_checkpoint") or "")
        if started.gang_size:
            started.gang = self._gangs.get(task, run, started.gang_size)
            started.gang.join(task)
        self._runs[task] = started
        self._journal_run("started", started, spec=started.spec)
        if self.faults.fails_next_start():
            self._end_run(started, "failed")
        return {}

    def _stop_run(self, body: dict) -> dict:
        task, run = body["task"], body["run"]
        self._last_ended_numbers[task] = max(
            self._last_ended_numbers.get(task, 0), run
        )
        current = self._runs.get(task)
        if current is not None and current.run == run:
            self._end_run(current, "stopped")
        return {}

    def _hold(self, body: dict) -> dict:
        self._acknowledge_ends(body.get("acked_through", 0))
        self._extend_lease(body)
        wait_ms = min(body.get("wait_ms", 0), _HOLD_WAIT_LIMIT_MS)
        crashes_count = self._crashes_count
        self._condition.wait_for(
            lambda: (
                self._unacknowledged_ends
                or crashes_count != self._crashes_count
                or self._has_ended
            ),
            wait_ms / 1000,
        )
        self._check_not_ended()
        if crashes_count != self._crashes_count:
            raise _CrashedError()
        return {
            "running": [run.to_row() for run in self._runs.values()],
            "ended_runs": list(self._unacknowledged_ends),
        } | self._born()

    def _acknowledge_ends(self, acked: int) -> None:
        """Removes acknowledged ends; journals those after the lease expired last."""
        for row in self._unacknowledged_ends:
            if self._lapsed_through_number < row[0] <= acked:
                self._journal.write("noted", task=row[1], run=row[2])
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if row[0] > acked
        ]

    def _set_pace(self, body: dict) -> dict:
        current = self._runs.get(body["task"])
        if current is None or current.run != body["run"]:
            raise _RefusedError(409, "old")
        current.pace_percent = body["percent"]
        return {}

    def _extend_lease(self, body: dict) -> None:
        deadline_ms = min(
            body.get("deadline_ms", 0), self._clock_ms() + _LEASE_LIMIT_MS
        )
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _end_run(self, run: pool_run.PoolRun, outcome: str) -> None:
        del self._runs[run.task]
        self._last_ended_numbers[run.task] = max(
            self._last_ended_numbers.get(run.task, 0), run.run
        )
        row = [
            next(self._end_numbers),
            run.task,
            run.run,
            outcome,
            run.checkpoint,
        ]
        self._unacknowledged_ends.append(row)
        self._journal_run("ended", run, how=outcome)
        if run.gang is not None:
            run.gang.leave(run.task, outcome)
        self._condition.notify_all()

    def _tick_runs(self) -> None:
        while not self._stopping.wait(_TICK_S):
            with self._condition:
                self._tick_once(_now_ms())

    def _tick_once(self, now_ms: int) -> None:
        if self._clock_ms() > self._deadline_ms:
            for run in list(self._runs.values()):
                self._end_run(run, "lapsed")
            self._lapsed_through_number = max(
                (row[0] for row in self._unacknowledged_ends),
                default=self._lapsed_through_number,
            )
        for run in list(self._runs.values()):
            if self.faults.is_stalled:
                run.updated_ms = now_ms
            outcome = run.advance(now_ms)
            if outcome == pool_run.CRASHED:
                self.crash(keeps_id=True)
                return
            if outcome is not None:
                self._end_run(run, outcome)

    def _send_heartbeats(self) -> None:
        while not self._stopping.wait(_HEARTBEAT_INTERVAL_S):
            if self.faults.is_unresponsive or self.faults.skips_heartbeats:
                continue
            try:
                self._send_heartbeat()
            except errors.TransportError:
                # The agent is not reachable; the next heartbeat tries again.
                continue

    def build_heartbeat(self, sequence: int) -> dict:
        """Returns the body of a heartbeat of the current incarnation."""
        return {
            "service": self._pool,
            "address": self.address,
            "zone": self._data_centre,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self._cpu_millicores,
                "mem_mb": 64_000,
                "gpu": 0,
            },
            "labels": self._labels,
            "clock_ms": self._clock_ms(),
            "sequence": sequence,
        } | self._born()

    def _send_heartbeat(self) -> None:
        status = self._call_agent(
            "Heartbeat", self.build_heartbeat(next(self._sequence))
        )
        is_refusal = 400 <= status < 500
        if is_refusal:
            now_ns = time.monotonic_ns()
            first_ns = now_ns
            if self._has_refusals:
                first_ns, _ = self.heartbeat_refusals_ns.pop()
            self.heartbeat_refusals_ns.append((first_ns, now_ns))
        self._has_refusals = is_refusal

    def _call_agent(self, name: str, body: dict) -> int:
        answer = self._client.fetch(
            self._control_address,
            f"{_PREFIX}Instances.{name}/{self.incarnation}",
            method="POST",
            body=json.dumps(body).encode(),
            headers=(("Content-Type", "application/json"),),
            timeout_s=_HEARTBEAT_TIMEOUT_S,
        )
        return answer.status_code

    def _journal_run(
        self, event: str, run: pool_run.PoolRun, **fields: object
    ) -> None:
        self._journal.write(
            event,
            worker=self.journal_id,
            machine=self.address,
            task=run.task,
            run=run.run,
            **fields,
        )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _json(value: object, *, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        json.dumps(value), status=status, mimetype="application/json"
    )
