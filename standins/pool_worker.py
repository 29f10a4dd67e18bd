"""A stand-in for a worker of the users' platform, spoken to as they say.

It announces itself to its agent, runs what it is told under a lease, keeps ends
until they are acknowledged, and obeys only the highest fencing token that it
has seen. Faults can be switched on. It never rests on what our own code decides.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import itertools
import json
import threading
import time

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.transport import http_client
from marigoldsill.transport import http_server
from standins import gangs as gangs_module
from standins import journal as journal_module
from standins import pool_run

_PREFIX = "/marigoldsill/"
_TICK_S = 0.01
_BEAT_S = 0.1
_BEAT_TIMEOUT_S = 1.0
_WAIT_LIMIT_MS = 2_000
_UNANSWERED_S = 3.0
_THREADS_COUNT = 32
_lives = itertools.count(1)


@dataclasses.dataclass(slots=True)
class PoolFaults:
    """Faults in force.

    Attributes:
        unanswered: Calls, such as "run-start", that get no answer and are
            carried out later.
        late_s: How much later.
        unwell: Every order is refused with status 503.
        starts_fail: Everything fails as soon as it was started.
        stalls: What runs makes no progress.
        silent: Nothing is answered or announced.
        unannounced: Nothing is announced, as between two rare heartbeats.
    """

    unanswered: set[str] = dataclasses.field(default_factory=set)
    late_s: float = 0.3
    unwell: bool = False
    starts_fail: bool = False
    stalls: bool = False
    silent: bool = False
    unannounced: bool = False


class _RefusedError(Exception):
    """An order that is refused, with its status and reason."""

    def __init__(self, status: int, reason: str = ""):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class PoolWorker:
    """One worker.

    Attributes:
        address: Where its agent calls it.
        life: The id of its present life.
        faults: What goes wrong with it.
        takes_ticket: Whether a start may be carried out, by its ticket, its
            task and this worker's life; None where starts need no ticket.
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
    ):
        self._gangs = gangs or gangs_module.Gangs()
        self.faults = PoolFaults()
        self.draining = False
        self.takes_ticket: Callable[[str, str, str], bool] | None = None
        self._control_address = control_address
        self._pool = pool
        self._data_centre = data_centre
        self._labels = labels
        self._cpu_millicores = cpu_millicores
        self._journal = journal
        self._changed = threading.Condition()
        self._client = http_client.Client()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(8, "pool-worker")
        self._server = http_server.HttpServer(
            address=address, app=self._application, threads_count=_THREADS_COUNT
        )
        self.address = self._server.address
        self._be_born()

    def start(self) -> None:
        """Begins to serve and to announce itself."""
        self._server.start()
        self._executor.submit(self._tick_forever)
        self._executor.submit(self._announce_forever)

    def stop(self) -> None:
        """Ends without a word."""
        self._stopping.set()
        self._server.stop()
        self._executor.shutdown(wait=False)

    def be_reborn(self) -> None:
        """Crashes, and runs again with a new id, empty."""
        with self._changed:
            for run in self._runs.values():
                self._write("lost", run)
                if run.gang is not None:
                    run.gang.leave(run.task, "lost")
            self._be_born()
            self._changed.notify_all()

    def resize(self, cpu_millicores: int) -> None:
        """Changes the announced capacity; current runs continue."""
        self._cpu_millicores = cpu_millicores

    def running(self) -> dict[str, int]:
        """The tasks that run, with their run's number."""
        with self._changed:
            return {run.task: run.run for run in self._runs.values()}

    def _be_born(self) -> None:
        self.life = f"i-{next(_lives):08x}"
        self._sequence = itertools.count(1)
        self._numbers = itertools.count(1)
        self._runs: dict[str, pool_run.PoolRun] = {}
        self._ended: list[list[object]] = []
        self._over: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0
        # Ends up to this number were listed before a lapse of the lease.
        self._lapsed_through = 0

    @wrappers.Request.application
    def _application(self, request: wrappers.Request) -> wrappers.Response:
        name = request.path.removeprefix(_PREFIX)
        if self.faults.silent:
            self._stopping.wait(_UNANSWERED_S)
            return wrappers.Response(status=500)
        life = request.headers.get("Target-Instance", self.life)
        if life != self.life:
            return _json({}, status=421)
        body = json.loads(request.get_data() or b"{}")
        if name in self.faults.unanswered:
            self._executor.submit(self._obey_late, name, body, self.life)
            self._stopping.wait(_UNANSWERED_S)
            return wrappers.Response(status=500)
        try:
            answer = self._obey(name, body, life)
        except _RefusedError as refusal:
            answer = {"clock_ms": _now_ms(), "reason": refusal.reason}
            return _json(answer, status=refusal.status)
        return _json({"clock_ms": _now_ms()} | answer)

    def _obey_late(self, name: str, body: dict, life: str) -> None:
        self._stopping.wait(self.faults.late_s)
        try:
            self._obey(name, body, life)
        except _RefusedError:
            return

    def _obey(self, name: str, body: dict, life: str) -> dict:
        orders: dict[str, Callable[[dict], dict]] = {
            "run-start": self._start,
            "run-stop": self._stop,
            "hold": self._hold,
            "pace": self._pace,
        }
        with self._changed:
            # It may have been born anew since the call came.
            if life != self.life:
                raise _RefusedError(421)
            if self.faults.unwell and name != "hold":
                raise _RefusedError(503)
            token = body.get("fencing_token", 0)
            if token < self._token:
                raise _RefusedError(409, "fence")
            self._token = token
            return orders[name](body)

    def _start(self, body: dict) -> dict:
        task, run = body["task"], body["run"]
        self._prolong(body)
        held = self._runs.get(task)
        if held is not None and held.run == run:
            return {}
        if run <= self._over.get(task, 0) or held is not None:
            raise _RefusedError(409, "old")
        if body["deadline_ms"] < _now_ms():
            raise _RefusedError(409, "late")
        ticket = body.get("ticket", "")
        if self.takes_ticket and not self.takes_ticket(ticket, task, self.life):
            raise _RefusedError(409, "ticket")
        started = pool_run.PoolRun(
            task=task,
            run=run,
            spec=body["spec"],
            begun_ms=_now_ms(),
            counted_ms=_now_ms(),
        )
        started.progress_ms = float(body.get("last_checkpoint") or 0)
        if started.gang_size:
            started.gang = self._gangs.of(task, run, started.gang_size)
            started.gang.join(task)
        self._runs[task] = started
        self._write("started", started, spec=started.spec)
        if self.faults.starts_fail:
            self._end(started, "failed")
        return {}

    def _stop(self, body: dict) -> dict:
        task, run = body["task"], body["run"]
        self._over[task] = max(self._over.get(task, 0), run)
        held = self._runs.get(task)
        if held is not None and held.run == run:
            self._end(held, "stopped")
        return {}

    def _hold(self, body: dict) -> dict:
        self._note_ends(body.get("acked_through", 0))
        self._prolong(body)
        wait_ms = min(body.get("wait_ms", 0), _WAIT_LIMIT_MS)
        life = self.life
        self._changed.wait_for(
            lambda: self._ended or life != self.life, wait_ms / 1000
        )
        if life != self.life:
            raise _RefusedError(421)
        return {
            "running": [run.listed() for run in self._runs.values()],
            "ended_runs": list(self._ended),
        }

    def _note_ends(self, acked: int) -> None:
        """Forgets ends, and tells of those that count as taken note of."""
        for row in self._ended:
            if self._lapsed_through < row[0] <= acked:
                self._journal.write("noted", task=row[1], run=row[2])
        self._ended = [row for row in self._ended if row[0] > acked]

    def _pace(self, body: dict) -> dict:
        held = self._runs.get(body["task"])
        if held is None or held.run != body["run"]:
            raise _RefusedError(409, "old")
        held.percent = body["percent"]
        return {}

    def _prolong(self, body: dict) -> None:
        self._deadline_ms = max(self._deadline_ms, body.get("deadline_ms", 0))

    def _end(self, run: pool_run.PoolRun, how: str) -> None:
        del self._runs[run.task]
        self._over[run.task] = max(self._over.get(run.task, 0), run.run)
        row = [next(self._numbers), run.task, run.run, how, run.checkpoint]
        self._ended.append(row)
        self._write("ended", run, how=how)
        if run.gang is not None:
            run.gang.leave(run.task, how)
        self._changed.notify_all()

    def _tick_forever(self) -> None:
        while not self._stopping.wait(_TICK_S):
            with self._changed:
                self._tick(_now_ms())

    def _tick(self, now_ms: int) -> None:
        if now_ms > self._deadline_ms:
            for run in list(self._runs.values()):
                self._end(run, "lapsed")
            self._lapsed_through = max(
                (row[0] for row in self._ended), default=self._lapsed_through
            )
        for run in list(self._runs.values()):
            if self.faults.stalls:
                run.counted_ms = now_ms
            how = run.advance(now_ms)
            if how == pool_run.CRASHED:
                self.be_reborn()
                return
            if how is not None:
                self._end(run, how)

    def _announce_forever(self) -> None:
        while not self._stopping.wait(_BEAT_S):
            if self.faults.silent or self.faults.unannounced:
                continue
            try:
                self._announce()
            except errors.TransportError:
                # The agent is not there; the next beat tries again.
                continue

    def _announce(self) -> None:
        beat = {
            "service": self._pool,
            "address": self.address,
            "zone": self._data_centre,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self._cpu_millicores,
                "mem_mb": 64_000,
                "gpu": 0,
            },
            "labels": self._labels,
            "clock_ms": _now_ms(),
            "sequence": next(self._sequence),
        }
        self._client.fetch(
            self._control_address,
            f"{_PREFIX}Instances.Heartbeat/{self.life}",
            method="POST",
            body=json.dumps(beat).encode(),
            headers=(("Content-Type", "application/json"),),
            timeout_s=_BEAT_TIMEOUT_S,
        )

    def _write(
        self, event: str, run: pool_run.PoolRun, **fields: object
    ) -> None:
        self._journal.write(
            event,
            worker=self.life,
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
