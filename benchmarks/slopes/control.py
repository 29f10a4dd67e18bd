"""Measures processor time and memory of a real control process under load.

The load comes from this process, which uses the agents' protocol over real
connections, so that only the control process's own time is counted.

Run alone: `python -m benchmarks.slopes.control`.
"""

import itertools
import time

from benchmarks.slopes import control_load
from benchmarks.slopes import fit
from benchmarks.slopes import messages
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import thrift_client

_MEASUREMENTS_COUNT = 2
_HEARTBEATS_COUNTS = (1_000, 2_000, 4_000)
_CONNECTIONS_COUNTS = (100, 200, 400)
_SUBSCRIBERS_COUNTS = (25, 50, 100)
_CHANGES_COUNT = 10
_CLAIMS_COUNTS = (250, 500, 1_000)
_WORKERS_COUNTS = (100, 200, 400)
_AGENTS_COUNT = 64
_STARTS_COUNTS = (300, 600, 1_200)
_LONG_LEASE_MS = 60_000
_LEARNING_S = 4.0
"""Wait after the first starts, so that later tasks have measured sizes, as most
tasks do."""

_IDLE_S = 2.0


def measure_heartbeats(load: control_load.ControlLoad) -> fit.Slope:
    """Measures processor time by heartbeats of two measurements each."""
    connections = [
        load.open_connection() for _ in range(control_load.THREADS_COUNT)
    ]
    names = load.register_workers(control_load.THREADS_COUNT, connections[0])

    def send(number: int, count: int) -> None:
        heartbeat = messages.make_heartbeat(tasks_count=_MEASUREMENTS_COUNT)
        heartbeat.agent = names[number]
        heartbeat.incarnation = load.incarnation(names[number])
        for _ in range(count // control_load.THREADS_COUNT):
            heartbeat.sequence = next(messages.sequences)
            connections[number].call(
                "heartbeat", heartbeat, timeout_s=control_load.TIMEOUT_S
            )

    def measure_us(count: int) -> float:
        batches = [
            (number, count) for number in range(control_load.THREADS_COUNT)
        ]
        run = lambda: list(load.pool.map(lambda s: send(*s), batches))  # noqa: E731
        return load.measure_cpu_s(run) * 1e6

    slope = fit.measure_line(
        "heartbeat time",
        _HEARTBEATS_COUNTS,
        measure_us,
        unit="us",
        per="heartbeat",
    )
    for connection in connections:
        connection.close()
    return slope


def measure_connections(load: control_load.ControlLoad) -> fit.Slope:
    """Measures resident memory by the number of open connections."""
    opened: list[thrift_client.Connection] = []

    def measure_bytes(count: int) -> int:
        while len(opened) < count:
            connection = load.open_connection()
            load.register_workers(1, connection)
            opened.append(connection)
        return load.memory_bytes()

    slope = fit.measure_line(
        "connection memory",
        _CONNECTIONS_COUNTS,
        measure_bytes,
        unit="bytes",
        per="connection",
    )
    for connection in opened:
        connection.close()
    return slope


def measure_claims(load: control_load.ControlLoad) -> fit.Slope:
    """Measures processor time by claims of non-idempotent requests."""
    numbers = itertools.count()
    open_connections = [
        load.open_connection() for _ in range(control_load.THREADS_COUNT)
    ]

    def claim(connection: thrift_client.Connection, count: int) -> None:
        for number in itertools.islice(
            numbers, count // control_load.THREADS_COUNT
        ):
            body = ttypes.Claim(
                key=f"name-lookup/{number}",
                request_digest=bytes(32),
                entry="entry-1",
                agent="",
                expires_unix_ms=time.time_ns() // 1_000_000 + 60_000,
            )
            connection.call(
                "claim",
                ttypes.PutClaim(claim=body),
                timeout_s=control_load.TIMEOUT_S,
            )

    def measure_us(count: int) -> float:
        run = lambda: list(  # noqa: E731
            load.pool.map(lambda k: claim(k, count), open_connections)
        )
        return load.measure_cpu_s(run) * 1e6

    slope = fit.measure_line(
        "claim time", _CLAIMS_COUNTS, measure_us, unit="us", per="claim"
    )
    for connection in open_connections:
        connection.close()
    return slope


def measure_changes(load: control_load.ControlLoad) -> list[fit.Slope]:
    """Measures processor time and delay of a change by subscribers."""
    numbers = itertools.count()
    baseline_s = min(
        load.measure_cpu_s(lambda: load.confirm_service(next(numbers)))
        for _ in range(3)
    )
    delays_ms: dict[int, float] = {}

    def measure_us(count: int) -> float:
        subscribers = control_load.Subscribers(load, count)
        load.confirm_service(next(numbers))
        subscribers.wait_for_change()

        def change_all() -> None:
            for _ in range(_CHANGES_COUNT):
                start_s = time.monotonic()
                load.confirm_service(next(numbers))
                subscribers.wait_for_change()
                took_ms = (time.monotonic() - start_s) * 1000
                delays_ms[count] = max(delays_ms.get(count, 0.0), took_ms)

        spent_s = load.measure_cpu_s(change_all)
        subscribers.stop()
        return (spent_s / _CHANGES_COUNT - baseline_s) * 1e6

    time_slope = fit.measure_line(
        "configuration change time",
        _SUBSCRIBERS_COUNTS,
        measure_us,
        unit="us",
        per="subscriber",
    )
    delay_slope = fit.fit_line(
        "configuration change delay",
        delays_ms.items(),
        unit="ms",
        per="subscriber",
    )
    return [time_slope, delay_slope]


def measure_idle(load: control_load.ControlLoad) -> fit.Slope:
    """Measures processor time of an idle second by registered workers.

    The workers send no heartbeats, so their leases must outlast the
    measurement.
    """
    load.set_lease(_LONG_LEASE_MS)
    connection = load.open_connection()
    registered_count = 0

    def measure_us(count: int) -> float:
        nonlocal registered_count
        load.register_workers(count - registered_count, connection)
        registered_count = count
        before_s = load.cpu_s()
        time.sleep(_IDLE_S)
        return (load.cpu_s() - before_s) / _IDLE_S * 1e6

    slope = fit.measure_line(
        "idle time of control",
        _WORKERS_COUNTS,
        measure_us,
        unit="us a s",
        per="worker",
    )
    connection.close()
    return slope


def measure_starts(load: control_load.ControlLoad) -> list[fit.Slope]:
    """Measures processor time and delay of starts, from grant to report."""
    agents = control_load.StandInAgents(load, _AGENTS_COUNT)
    numbers = itertools.count()
    delays_ms: dict[int, float] = {}

    def measure_us(count: int) -> float:
        intent = "\n".join(
            f'[[batch_job]]\nname = "job-{number}"\ncores = 1\n'
            'memory = "1GB"\nrun_time = "1h"\n'
            for number in itertools.islice(numbers, count)
        )
        expected_count = agents.started_count() + count

        def start_all() -> None:
            load.apply_intent(intent)
            start_s = time.monotonic()
            agents.wait_for_starts(expected_count)
            delays_ms[count] = (time.monotonic() - start_s) * 1000

        return load.measure_cpu_s(start_all) * 1e6

    measure_us(_STARTS_COUNTS[0])
    time.sleep(_LEARNING_S)
    time_slope = fit.measure_line(
        "start time", _STARTS_COUNTS, measure_us, unit="us", per="start"
    )
    agents.stop()
    delay_slope = fit.fit_line(
        "start delay",
        delays_ms.items(),
        unit="ms",
        per=f"start confirmed at once, on {_AGENTS_COUNT} workers",
    )
    return [time_slope, delay_slope]


def measure() -> list[fit.Slope]:
    """Measures all slopes, in five groups with a fresh control process each."""
    with control_load.running_control() as load:
        requests = [measure_heartbeats(load), measure_claims(load)]
    with control_load.running_control() as load:
        memory = [measure_connections(load)]
    with control_load.running_control() as load:
        changes = measure_changes(load)
    with control_load.running_control() as load:
        idle = [measure_idle(load)]
    with control_load.running_control() as load:
        starts = measure_starts(load)
    return [*requests, *memory, *changes, *idle, *starts]


if __name__ == "__main__":
    fit.print_slopes(measure())
