"""Measures the cost of heartbeats on both sides and delays of runs.

Bytes are those of whole frames on the wire. Processor time is the total of real
processes in a window without other work, divided by its heartbeats.
`python -m benchmarks.heartbeats` prints the rows and takes about a minute.
"""

from collections.abc import Callable
import itertools
import pathlib
import re
import sys
import tempfile
import time

import psutil
from thrift.protocol import TBinaryProtocol
from thrift.protocol import TMultiplexedProtocol
from thrift.transport import TTransport

from benchmarks import table
from marigoldsill.coordination.leadership import control_link
from marigoldsill.coordination.runs import usage_collector
from marigoldsill.protocol.generated import Control
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests import processes
from tests.coordination import fakes

TASKS_COUNTS = (1, 5, 15)
WINDOW_S = 10.0
STARTS_COUNT = 10
LOSSES_COUNT = 3
HANDLER_CALLS_COUNT = 20_000
LEASE_MS = 3000
HEARTBEAT_MS = 500
_RECOVERY_LIMIT_LEASES = 2.0
_QUIET_LIMIT_BYTES = 160
_USAGE_REPEAT_S = 10
_GROWTH_LIMIT_RATIO = 3.0
_HEARTBEATS_METRIC = re.compile(rb'heartbeats_total{outcome="lease"} (\S+)')
_WATCHER = """
[[watcher]]
name = "parish-{number}"
cores = 1
memory = "1GB"
"""
_JOB = """
[[batch_job]]
name = "{name}"
cores = 2
memory = "1GB"
run_time = "{run_time}"
"""


def run() -> list[table.Row]:
    """Measures bytes, processor time, start times and recovery times."""
    rows = [*_byte_rows(), *_handler_rows()]
    rows += _with_running_system(_cpu_rows)
    rows += _with_running_system(_start_rows)
    return rows + _with_running_system(_recovery_rows)


def _byte_rows() -> list[table.Row]:
    quiet = _request_bytes([])
    usage = _request_bytes([_make_usage(0)]) - quiet
    full = _request_bytes(
        [
            _make_usage(n)
            for n in range(usage_collector.MEASUREMENTS_PER_HEARTBEAT_LIMIT)
        ]
    )
    reply = _reply_bytes()
    rows = [
        _row("quiet heartbeat", quiet, "bytes", maximum=_QUIET_LIMIT_BYTES),
        _row("one measurement", usage, "bytes"),
        _row("fullest heartbeat without events", full, "bytes"),
        _row("reply", reply, "bytes"),
    ]
    for tasks_count in TASKS_COUNTS:
        heartbeats = (quiet + reply) * 1000 / HEARTBEAT_MS
        repeats = usage * tasks_count / _USAGE_REPEAT_S
        name = f"heartbeats of {tasks_count} steady tasks"
        rows.append(_row(name, heartbeats + repeats, "bytes/s", maximum=3000))
    return rows


def _make_usage(number: int) -> ttypes.Usage:
    return ttypes.Usage(
        task=f"parish-{number}/0",
        cpu_millicores=1000,
        memory_bytes=1 << 30,
        age_ms=700,
        latency_p99_us=20_000,
        progress_ms=60_000,
    )


def _request_bytes(usage: list[ttypes.Usage]) -> int:
    heartbeat = ttypes.Heartbeat(
        agent="worker-1000",
        incarnation=time.time_ns(),
        sequence=1_000_000,
        usage=usage,
    )

    def write(protocol: TBinaryProtocol.TBinaryProtocolAccelerated) -> None:
        named = TMultiplexedProtocol.TMultiplexedProtocol(
            protocol, control_link.SERVICE_NAME
        )
        Control.Client(named).send_heartbeat(heartbeat)

    return _frame_bytes(write)


def _reply_bytes() -> int:
    reply = ttypes.HeartbeatReply(
        term=7, lease_ms=LEASE_MS, orders_version=1_000
    )

    def write(protocol: TBinaryProtocol.TBinaryProtocolAccelerated) -> None:
        protocol.writeMessageBegin("heartbeat", 2, 1)
        Control.heartbeat_result(success=reply).write(protocol)
        protocol.writeMessageEnd()
        protocol.trans.flush()

    return _frame_bytes(write)


def _frame_bytes(write: Callable) -> int:
    buffer = TTransport.TMemoryBuffer()
    framed = TTransport.TFramedTransport(buffer)
    write(TBinaryProtocol.TBinaryProtocolAccelerated(framed))
    return len(buffer.getvalue())


def _handler_rows() -> list[table.Row]:
    """Measures the leader's handler with quiet and with full heartbeats."""
    _, service = fakes.leading_control_service(tables_module.Tables())
    numbers = itertools.count(1)

    def send_heartbeat(
        usage: list[ttypes.Usage], **registration: object
    ) -> None:
        service.heartbeat(
            ttypes.Heartbeat(
                agent="worker-1",
                incarnation=1,
                sequence=next(numbers),
                usage=usage,
                **registration,
            )
        )

    worker = ttypes.Worker(
        name="worker-1", capacity=ttypes.Resources(), incarnation=1
    )
    send_heartbeat([], worker=worker, endpoints=[])
    cases = {"quiet": [], "full": [_make_usage(n) for n in range(4)]}
    return [
        _row(
            f"handler, {name} heartbeat",
            _handler_us(send_heartbeat, usage),
            "us",
        )
        for name, usage in cases.items()
    ]


def _handler_us(send_heartbeat: Callable, usage: list[ttypes.Usage]) -> float:
    start_s = time.process_time()
    for _ in range(HANDLER_CALLS_COUNT):
        send_heartbeat(usage)
    return (time.process_time() - start_s) / HANDLER_CALLS_COUNT * 1e6


def _with_running_system(
    measure: Callable[[processes.System], list[table.Row]],
) -> list[table.Row]:
    with tempfile.TemporaryDirectory() as folder:
        system = processes.System(pathlib.Path(folder))
        try:
            system.start_control()
            return measure(system)
        finally:
            system.end()


def _cpu_rows(system: processes.System) -> list[table.Row]:
    system.start_worker("worker-1")
    # For tests, the stand-in announces its endpoints ten times a second.
    system.post_to_worker("worker-1", "/faults", {"announces": False})
    running_count, rows, agent_shares = 0, [], []
    for tasks_count in TASKS_COUNTS:
        new = range(running_count, tasks_count)
        system.apply("".join(_WATCHER.format(number=n) for n in new))
        for number in new:
            system.wait_for_state(f"parish-{number}/0", "running")
        running_count = tasks_count
        heartbeats, agent_s, control_s = _measure_window(system)
        agent_shares.append(agent_s / WINDOW_S)
        name = f"{tasks_count} tasks"
        rows += [
            _row(
                f"agent per heartbeat, {name}", agent_s / heartbeats * 1e3, "ms"
            ),
            _row(f"agent of a core, {name}", agent_shares[-1] * 100, "%"),
            _row(
                f"control per heartbeat, {name}",
                control_s / heartbeats * 1e3,
                "ms",
            ),
        ]
    growth_ratio = agent_shares[-1] / agent_shares[0]
    name = f"agent at {TASKS_COUNTS[-1]} tasks against {TASKS_COUNTS[0]}"
    return [
        *rows,
        _row(name, growth_ratio, "ratio", maximum=_GROWTH_LIMIT_RATIO),
    ]


def _measure_window(system: processes.System) -> tuple[float, float, float]:
    """Returns heartbeats and CPU seconds of agent and control in a window."""
    agent = psutil.Process(system.processes["worker-1"].pid)
    control = psutil.Process(system.processes["control-1"].pid)
    before = (_heartbeats_count(system), _cpu_s(agent), _cpu_s(control))
    time.sleep(WINDOW_S)
    after = (_heartbeats_count(system), _cpu_s(agent), _cpu_s(control))
    return tuple(b - a for a, b in zip(before, after, strict=True))


def _heartbeats_count(system: processes.System) -> float:
    page = system.get(system.control_http[0], "/metrics").body
    return float(_HEARTBEATS_METRIC.search(page)[1])


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _start_rows(system: processes.System) -> list[table.Row]:
    system.start_worker("worker-1")
    start_times_ms = sorted(_start_ms(system, n) for n in range(STARTS_COUNT))
    return [
        _row(
            "confirm to start, median", start_times_ms[STARTS_COUNT // 2], "ms"
        ),
        _row("confirm to start, slowest", start_times_ms[-1], "ms"),
    ]


def _start_ms(system: processes.System, number: int) -> float:
    job = _JOB.format(name=f"rebuild-{number}", run_time="1ms")
    plan = system.request("POST", "/v1/plans/apply", job.encode())
    confirmed_ns = time.monotonic_ns()
    system.confirm(plan)
    started = system.wait_for_event(
        "worker-1", "run_started", task=f"rebuild-{number}/0"
    )
    system.wait_for_state(f"rebuild-{number}/0", "done")
    return (started["at_ns"] - confirmed_ns) / 1e6


def _recovery_rows(system: processes.System) -> list[table.Row]:
    names = [f"worker-{number}" for number in range(LOSSES_COUNT + 1)]
    for name in names:
        system.start_worker(name)
    system.apply(_JOB.format(name="rebuild", run_time="10m"))
    leases = sorted(
        _recovery_ms(system, epoch) / LEASE_MS
        for epoch in range(1, LOSSES_COUNT + 1)
    )
    return [
        _row(
            "a lost worker's job runs again, slowest",
            leases[-1],
            "leases",
            maximum=_RECOVERY_LIMIT_LEASES,
        ),
        _row("a lost worker's job runs again, fastest", leases[0], "leases"),
    ]


def _recovery_ms(system: processes.System, epoch: int) -> float:
    processes.wait_until(
        lambda: (
            (t := system.task("rebuild/0"))["epoch"] == epoch
            and t["state"] == "running"
        ),
        what=f"epoch {epoch}",
    )
    worker = system.task("rebuild/0")["worker"]
    lost_ns = time.monotonic_ns()
    system.processes[worker].kill()
    system.kill_platform(worker)
    started = processes.wait_until(
        lambda: next(
            (
                event
                for name in system.workers
                for event in system.events(name)
                if event["event"] == "run_started"
                and event["epoch"] == epoch + 1
            ),
            None,
        ),
        what=f"epoch {epoch + 1}",
    )
    return (started["at_ns"] - lost_ns) / 1e6


def _row(
    name: str, value: float, unit: str, *, maximum: float | None = None
) -> table.Row:
    return table.Row(
        name=f"heartbeats: {name}",
        value=value,
        unit=unit,
        bound=maximum,
        bound_kind=None if maximum is None else "max",
    )


if __name__ == "__main__":
    sys.stdout.write(table.render(run()))
