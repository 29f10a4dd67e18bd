"""Runs real control processes with stand-in agents and subscribers as load."""

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

from benchmarks.slopes import compiled_modules
from benchmarks.slopes import messages
from benchmarks.slopes import state_builder
from marigoldsill import errors
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import Control
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import http_client
from marigoldsill.transport import thrift_client
from tests import processes

THREADS_COUNT = 16
TIMEOUT_S = 10.0
_CPU_CLOCK_SCHED = 2
_AGENT_WAIT_MS = 500
_WAIT_LIMIT_S = 30.0
_USAGE_MILLICORES = 900
_USAGE_BYTES = 900 << 20
_POLL_INTERVAL_S = 0.002


def process_cpu_s(pid: int) -> float:
    """Returns the processor time of a process, with nanosecond resolution.

    Linux has a CPU clock per process; its id is derived from the process id.
    """
    return time.clock_gettime((~pid << 3) | _CPU_CLOCK_SCHED)


def wait_until(condition: Callable[[], bool], *, what: str) -> None:
    """Polls a condition at short intervals, so that measured delays are exact.

    Raises:
        UnknownOutcomeError: If the condition is not met in time.
    """
    end_s = time.monotonic() + _WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > end_s:
            raise errors.UnknownOutcomeError(
                f"{what}: not reached within {_WAIT_LIMIT_S} s"
            )
        time.sleep(_POLL_INTERVAL_S)


class ControlLoad:
    """Puts load on the leader of a control group and measures its process."""

    def __init__(self, system: processes.System):
        self.system = system
        name = system.operate("status")["leader"]
        self.process = psutil.Process(system.processes[name].pid)
        self._thrift, self._http = system.control_addresses[name]
        self._worker_numbers = itertools.count()
        self._incarnations: dict[str, int] = {}
        self.pool = futures.ThreadPoolExecutor(THREADS_COUNT)

    def open_connection(self) -> thrift_client.Connection:
        """Opens a new connection to the leader."""
        return thrift_client.Connection(
            address=self._thrift,
            service_name="control",
            client_class=Control.Client,
        )

    def cpu_s(self) -> float:
        """Returns the processor time that the control process has used."""
        return process_cpu_s(self.process.pid)

    def memory_bytes(self) -> int:
        """Returns the resident memory of the control process."""
        return self.process.memory_info().rss

    def measure_cpu_s(self, action: Callable[[], object]) -> float:
        """Returns the control process's processor time during an action."""
        before_s = self.cpu_s()
        action()
        return self.cpu_s() - before_s

    def register_workers(self, count: int, connection: object) -> list[str]:
        """Registers new workers by a heartbeat each and returns their names."""
        numbers = list(itertools.islice(self._worker_numbers, count))
        for number in numbers:
            heartbeat = messages.make_heartbeat(tasks_count=0)
            heartbeat.worker = state_builder.make_worker(number)
            heartbeat.agent = heartbeat.worker.name
            heartbeat.incarnation = heartbeat.worker.incarnation
            heartbeat.endpoints = []
            self._incarnations[heartbeat.agent] = heartbeat.incarnation
            connection.call("heartbeat", heartbeat, timeout_s=TIMEOUT_S)
        return [state_builder.worker_name(number) for number in numbers]

    def incarnation(self, name: str) -> int:
        """Returns the incarnation with which a worker was registered."""
        return self._incarnations[name]

    def confirm_service(self, number: int) -> None:
        """Plans and confirms a service that is too large for any worker."""
        self.apply_intent(
            f'[[service]]\nname = "lookup-{number}"\ncores = 1000\n'
            'memory = "1GB"\nslots = 10\nconnections = 60\n'
        )

    def apply_intent(self, intent: str) -> None:
        """Plans an intent and confirms it, acknowledging all guards."""
        self._confirm_plan(self._post("/v1/plans/apply", intent.encode()))

    def set_lease(self, lease_ms: int) -> None:
        """Changes the length of the agents' leases."""
        body = f"lease_ms = {lease_ms}".encode()
        self._confirm_plan(self._post("/v1/plans/policy", body))

    def _confirm_plan(self, plan: dict) -> None:
        guards = [guard["name"] for guard in plan["guards"]]
        body = json.dumps({"acknowledged": guards}).encode()
        path = f"/v1/plans/{plan['plan_id']}/confirm"
        self._post(path, body)

    def _post(self, path: str, body: bytes) -> dict:
        answer = http_client.fetch(
            f"http://{self._http}{path}",
            method="POST",
            body=body,
            timeout_s=TIMEOUT_S,
        )
        assert answer.status_code < 400, answer.body
        return json.loads(answer.body)


@contextlib.contextmanager
def running_control() -> Iterator[ControlLoad]:
    """Starts three control processes and yields the load on their leader."""
    with (
        compiled_modules.compiled_packages(),
        tempfile.TemporaryDirectory() as folder,
    ):
        system = processes.System(pathlib.Path(folder))
        try:
            system.start_controls()
            load = ControlLoad(system)
            yield load
            load.pool.shutdown()
        finally:
            system.end()


class Subscribers:
    """Entries that watch the configuration and track the version they have."""

    def __init__(self, load: ControlLoad, count: int):
        self._load = load
        self._stopping = threading.Event()
        self._held_versions = [0] * count
        self._expected = load.system.operate("status")["config_version"]
        self._pool = futures.ThreadPoolExecutor(count)
        self._connections = [load.open_connection() for _ in range(count)]
        for index in range(count):
            self._pool.submit(self._watch, index)

    def wait_for_change(self) -> None:
        """Waits until every subscriber has one more change."""
        self._expected += 1
        wait_until(
            lambda: min(self._held_versions) >= self._expected,
            what=f"version {self._expected}",
        )

    def stop(self) -> None:
        """Stops all subscribers."""
        self._stopping.set()
        for connection in self._connections:
            connection.abort()
        self._pool.shutdown()

    def _watch(self, index: int) -> None:
        checksum = 0
        routes = (0, 0)
        while not self._stopping.is_set():
            request = ttypes.WatchRequest(
                role=ttypes.Role.ENTRY,
                subscriber=f"watcher-{index}",
                config_version=self._held_versions[index],
                config_checksum=checksum,
                routes_term=routes[0],
                routes_version=routes[1],
                wait_ms=2_000,
            )
            try:
                reply = self._connections[index].call(
                    "watch", request, timeout_s=TIMEOUT_S
                )
            except Exception:  # stop() aborts the connections
                return
            delta = codec.decode(ttypes.ConfigDelta(), reply.encoded_config)
            checksum = delta.checksum
            self._held_versions[index] = delta.version
            if reply.routes is not None:
                routes = (reply.term, reply.routes_version)


class StandInAgents:
    """Stand-in agents that report each ordered run as started at once."""

    def __init__(self, load: ControlLoad, count: int):
        self._load = load
        self._stopping = threading.Event()
        self._started: list[set[tuple[str, int]]] = [
            set() for _ in range(count)
        ]
        self._pool = futures.ThreadPoolExecutor(count)
        self._connections = [load.open_connection() for _ in range(count)]
        self._names = load.register_workers(count, self._connections[0])
        for index in range(count):
            self._pool.submit(self._run_agent, index)

    def started_count(self) -> int:
        """Returns the number of runs reported as started."""
        return sum(map(len, self._started))

    def wait_for_starts(self, count: int) -> None:
        """Waits until a number of runs have been reported as started."""
        wait_until(
            lambda: self.started_count() >= count, what=f"{count} starts"
        )

    def stop(self) -> None:
        """Stops all agents."""
        self._stopping.set()
        for connection in self._connections:
            connection.abort()
        self._pool.shutdown()

    def _run_agent(self, index: int) -> None:
        request = ttypes.WatchRequest(
            role=ttypes.Role.AGENT,
            subscriber=self._names[index],
            wait_ms=_AGENT_WAIT_MS,
        )
        while not self._stopping.is_set():
            try:
                reply = self._connections[index].call(
                    "watch", request, timeout_s=TIMEOUT_S
                )
                self._report_starts(index, reply.orders or [])
            except Exception:  # stop() aborts the connections
                return
            delta = codec.decode(ttypes.ConfigDelta(), reply.encoded_config)
            request.config_version = delta.version
            request.config_checksum = delta.checksum
            if reply.orders is not None:
                request.orders_term = reply.term
                request.orders_version = reply.orders_version

    def _report_starts(self, index: int, orders: list[ttypes.Order]) -> None:
        known = self._started[index]
        new = {(o.task, o.epoch) for o in orders if not o.started} - known
        heartbeat = messages.make_heartbeat(tasks_count=0)
        heartbeat.agent = self._names[index]
        heartbeat.incarnation = self._load.incarnation(heartbeat.agent)
        heartbeat.events = [
            ttypes.RunEvent(
                task=task,
                epoch=epoch,
                kind=ttypes.RunEventKind.STARTED,
                event_id=number,
            )
            for number, (task, epoch) in enumerate(sorted(new))
        ]
        # Without usage, only one task of a kind is placed on a worker.
        heartbeat.usage = [
            ttypes.Usage(
                task=task,
                cpu_millicores=_USAGE_MILLICORES,
                memory_bytes=_USAGE_BYTES,
                age_ms=0,
            )
            for task, _ in sorted(known)
        ]
        self._connections[index].call(
            "heartbeat", heartbeat, timeout_s=TIMEOUT_S
        )
        known |= new
