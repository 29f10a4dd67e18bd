"""Processor time and memory of a real control process under load.

The load comes from this process: it speaks the agents' protocol over real
connections, so only the control process's own time is counted.

Run alone: `python -m benchmarks.slopes.control`.
"""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import itertools
import json
import pathlib
import tempfile
import threading
import time

import psutil

from benchmarks.slopes import fit
from benchmarks.slopes import messages
from benchmarks.slopes import states
from marigoldsill.protocol.generated import Control
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import http_client
from marigoldsill.transport import thrift_client
from tests import processes

_THREADS_COUNT = 16
_TIMEOUT_S = 10.0
_HEARTBEATS = (1_000, 2_000, 4_000)
_CONNECTIONS = (100, 200, 400)
_WATCHERS = (25, 50, 100)
_CHANGES_COUNT = 10
_CLAIMS = (250, 500, 1_000)
_WORKERS = (100, 200, 400)
_IDLE_S = 2.0
_SCHEDULER_CLOCK = 2


def processor_s(pid: int) -> float:
    """Processor time that a process has spent, to the nanosecond.

    Linux gives each process a clock; its number is made from the process id.
    """
    return time.clock_gettime((~pid << 3) | _SCHEDULER_CLOCK)


class Load:
    """Connections of stand-in agents to one control process."""

    def __init__(self, system: processes.System, leader: processes.Process):
        self.system = system
        self.process = psutil.Process(leader.pid)
        self._thrift = leader.addresses()["thrift"]
        self._http = leader.addresses()["http"]
        self._numbers = itertools.count()
        self.pool = futures.ThreadPoolExecutor(_THREADS_COUNT)

    def connection(self) -> thrift_client.Connection:
        """A new connection to the control process."""
        return thrift_client.Connection(
            address=self._thrift,
            service_name="control",
            client_class=Control.Client,
        )

    def processor_s(self) -> float:
        """Processor time that the control process has spent."""
        return processor_s(self.process.pid)

    def memory_bytes(self) -> int:
        """Resident memory of the control process."""
        return self.process.memory_info().rss

    def spent_s(self, action: Callable[[], object]) -> float:
        """Processor time of the control process over an action."""
        before_s = self.processor_s()
        action()
        return self.processor_s() - before_s

    def register(self, count: int, connection: object) -> list[str]:
        """Announces new workers; returns their names."""
        numbers = list(itertools.islice(self._numbers, count))
        for number in numbers:
            first = messages.heartbeat(tasks_count=0)
            first.worker = states.worker(number)
            first.agent = first.worker.name
            first.incarnation = first.worker.incarnation
            first.endpoints = []
            connection.call("heartbeat", first, timeout_s=_TIMEOUT_S)
        return [states.worker_name(number) for number in numbers]

    def change(self, number: int) -> int:
        """Plans and confirms one service; returns the version in force."""
        intent = (
            f'[[service]]\nname = "lookup-{number}"\ncores = 1000\n'
            'memory = "1GB"\nslots = 10\nconnections = 60\n'
        )
        plan = self._operate("/v1/plans/apply", intent.encode())
        guards = [guard["name"] for guard in plan["guards"]]
        body = json.dumps({"acknowledged": guards}).encode()
        path = f"/v1/plans/{plan['plan_id']}/confirm"
        return self._operate(path, body)["state_version"]

    def _operate(self, path: str, body: bytes) -> dict:
        answer = http_client.fetch(
            f"http://{self._http}{path}",
            method="POST",
            body=body,
            timeout_s=_TIMEOUT_S,
        )
        assert answer.status_code < 400, answer.body
        return json.loads(answer.body)


@contextlib.contextmanager
def started() -> Iterator[Load]:
    """A control process with load generators around it."""
    with tempfile.TemporaryDirectory() as folder:
        system = processes.System(pathlib.Path(folder))
        try:
            leader = system.start_control()
            load = Load(system, leader)
            _wait_for_leader(load)
            yield load
            load.pool.shutdown()
        finally:
            system.end()


def heartbeats(load: Load) -> fit.Slope:
    """Processor time against heartbeats of 15 tasks each."""
    connections = [load.connection() for _ in range(_THREADS_COUNT)]
    names = load.register(_THREADS_COUNT, connections[0])
    incarnations = {
        w.name: w.incarnation for w in map(states.worker, range(64))
    }

    def send(number: int, count: int) -> None:
        beat = messages.heartbeat(tasks_count=states.TASKS_PER_WORKER_COUNT)
        beat.agent = names[number]
        beat.incarnation = incarnations[names[number]]
        for _ in range(count // _THREADS_COUNT):
            connections[number].call("heartbeat", beat, timeout_s=_TIMEOUT_S)

    def spend(count: int) -> float:
        sends = [(number, count) for number in range(_THREADS_COUNT)]
        run = lambda: list(load.pool.map(lambda s: send(*s), sends))  # noqa: E731
        return load.spent_s(run) * 1e6

    slope = fit.over(
        "heartbeat time", _HEARTBEATS, spend, unit="us", per="heartbeat"
    )
    for connection in connections:
        connection.close()
    return slope


def connections(load: Load) -> fit.Slope:
    """Resident memory against open connections."""
    opened: list[thrift_client.Connection] = []

    def grow(count: int) -> int:
        while len(opened) < count:
            connection = load.connection()
            load.register(1, connection)
            opened.append(connection)
        return load.memory_bytes()

    slope = fit.over(
        "connection memory", _CONNECTIONS, grow, unit="bytes", per="connection"
    )
    for connection in opened:
        connection.close()
    return slope


def claims(load: Load) -> fit.Slope:
    """Processor time against claims of non-idempotent requests."""
    numbers = itertools.count()
    links = [load.connection() for _ in range(_THREADS_COUNT)]

    def claim(link: thrift_client.Connection, count: int) -> None:
        for number in itertools.islice(numbers, count // _THREADS_COUNT):
            body = ttypes.Claim(
                key=f"name-lookup/{number}",
                request_digest=bytes(32),
                entry="entry-1",
                agent="",
                expires_unix_ms=time.time_ns() // 1_000_000 + 60_000,
            )
            link.call(
                "claim", ttypes.PutClaim(claim=body), timeout_s=_TIMEOUT_S
            )

    def spend(count: int) -> float:
        run = lambda: list(load.pool.map(lambda k: claim(k, count), links))  # noqa: E731
        return load.spent_s(run) * 1e6

    slope = fit.over("claim time", _CLAIMS, spend, unit="us", per="claim")
    for link in links:
        link.close()
    return slope


class Watchers:
    """Subscribers that note when they hold a version."""

    def __init__(self, load: Load, count: int):
        self._load = load
        self._stop = threading.Event()
        self._held = [0] * count
        self._pool = futures.ThreadPoolExecutor(count)
        self._links = [load.connection() for _ in range(count)]
        for index in range(count):
            self._pool.submit(self._watch, index)

    def wait_for(self, version: int) -> None:
        """Returns once every subscriber holds a version."""
        processes.wait_until(
            lambda: min(self._held) >= version, what=f"version {version}"
        )

    def stop(self) -> None:
        """Ends all subscribers."""
        self._stop.set()
        for link in self._links:
            link.abort()
        self._pool.shutdown()

    def _watch(self, index: int) -> None:
        checksum = 0
        term = 0
        while not self._stop.is_set():
            request = ttypes.WatchRequest(
                role=ttypes.Role.AGENT,
                subscriber=f"watcher-{index}",
                config_version=self._held[index],
                config_checksum=checksum,
                orders_term=term,
                wait_ms=2_000,
            )
            try:
                reply = self._links[index].call(
                    "watch", request, timeout_s=_TIMEOUT_S
                )
            except Exception:  # the benchmark ends the connections
                return
            checksum = reply.config.checksum
            term = reply.term
            self._held[index] = reply.config.version


def changes(load: Load) -> list[fit.Slope]:
    """Processor time and delay of a change against subscribers."""
    numbers = itertools.count()
    base = min(
        load.spent_s(lambda: load.change(next(numbers))) for _ in range(3)
    )
    delays: dict[int, float] = {}

    def spend(count: int) -> float:
        watchers = Watchers(load, count)
        watchers.wait_for(load.change(next(numbers)))

        def change_all() -> None:
            for _ in range(_CHANGES_COUNT):
                start_s = time.monotonic()
                watchers.wait_for(load.change(next(numbers)))
                took_ms = (time.monotonic() - start_s) * 1000
                delays[count] = max(delays.get(count, 0.0), took_ms)

        spent_s = load.spent_s(change_all)
        watchers.stop()
        return (spent_s / _CHANGES_COUNT - base) * 1e6

    time_slope = fit.over(
        "configuration change time",
        _WATCHERS,
        spend,
        unit="us",
        per="subscriber",
    )
    delay_slope = fit.line(
        "configuration change delay",
        delays.items(),
        unit="ms",
        per="subscriber",
    )
    return [time_slope, delay_slope]


def idle(load: Load) -> fit.Slope:
    """Processor time of an idle second against workers known.

    The workers send nothing; their leases are kept out of the way by
    registering them anew just before.
    """
    connection = load.connection()
    known = 0

    def spend(count: int) -> float:
        nonlocal known
        load.register(count - known, connection)
        known = count
        before_s = load.processor_s()
        time.sleep(_IDLE_S)
        return (load.processor_s() - before_s) / _IDLE_S * 1e6

    slope = fit.over(
        "idle time of control", _WORKERS, spend, unit="us a s", per="worker"
    )
    connection.close()
    return slope


def measure() -> list[fit.Slope]:
    """All slopes of a control process, each against a fresh one."""
    with started() as load:
        first = [heartbeats(load), claims(load)]
    with started() as load:
        second = [connections(load)]
    with started() as load:
        third = changes(load)
    with started() as load:
        fourth = [idle(load)]
    return [*first, *second, *third, *fourth]


def _wait_for_leader(load: Load) -> None:
    processes.wait_until(
        lambda: load.system.command("status").returncode == 0,
        what="a leader of control",
    )


if __name__ == "__main__":
    fit.show(measure())
