"""Measures the cost of distributing a confirmed configuration.

The subscribers are real and use real connections, all from one other process.
Control is a group of one, so that only the watches are measured and not the
agreement.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import statistics
import subprocess
import sys
import threading
import time
import tracemalloc

from benchmarks import table
from marigoldsill.coordination.configuration import configuration
from marigoldsill.coordination.configuration import (
    subscriber as subscriber_module,
)
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import Control as ControlThrift
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs
from marigoldsill.transport import thrift_server
from tests.coordination import fakes
from tests.state import states

_SUBSCRIBERS_COUNTS = (10, 30, 100)
_CHANGES_COUNT = 40
_MISSED_COUNTS = (10, 100, 1000)
_SERVICES_COUNT = 1_000
_WAIT_LIMIT_S = 30.0
_REPEATS_COUNT = 5
_ROOT = pathlib.Path(__file__).parent.parent


def run() -> list[table.Row]:
    """Measures everything, in about 15 seconds."""
    return [*_distribution_rows(), *_unrelated_rows(), *_missed_rows()]


def _row_name(name: str) -> str:
    return f"configuration: {name}"


def _distribution_rows() -> list[table.Row]:
    distributions = {
        count: _measure_distribution(count) for count in _SUBSCRIBERS_COUNTS
    }
    fewest, most = _SUBSCRIBERS_COUNTS[0], _SUBSCRIBERS_COUNTS[-1]
    rows = [
        table.Row(
            _row_name(f"in force on {count} subscribers, median"),
            distribution["median_ms"],
            "ms",
        )
        for count, distribution in distributions.items()
    ]
    slopes = {
        key: (distributions[most][key] - distributions[fewest][key])
        / (most - fewest)
        for key in ("median_ms", "control_cpu_us", "subscribers_cpu_us")
    }
    encodings = max(s["encodings_count"] for s in distributions.values())
    return [
        *rows,
        table.Row(
            _row_name("time in force, slope per subscriber"),
            slopes["median_ms"] * 1000,
            "us",
        ),
        table.Row(
            _row_name("control's processor time per change and subscriber"),
            slopes["control_cpu_us"],
            "us",
        ),
        table.Row(
            _row_name("a subscriber's processor time per change"),
            slopes["subscribers_cpu_us"],
            "us",
        ),
        table.Row(
            _row_name("in force on 100 against on 10 subscribers"),
            distributions[most]["median_ms"]
            / distributions[fewest]["median_ms"],
            "ratio",
            30.0,
            "max",
        ),
        table.Row(
            _row_name("encodings of a change for all subscribers"),
            encodings / _CHANGES_COUNT,
            "count",
            2.0,
            "max",
        ),
        table.Row(
            _row_name("bytes per change and subscriber"),
            distributions[most]["reply_bytes"],
            "bytes",
            1_000.0,
            "max",
        ),
    ]


def _measure_distribution(count: int) -> dict[str, float]:
    """Measures successive changes with a number of subscribers."""
    replica, service = fakes.leading_control_service(states.with_workers("w1"))
    server = thrift_server.ThriftServer(
        address="127.0.0.1:0", connections_count=count + 8, name="bench"
    )
    server.add_service("control", ControlThrift.Processor(service))
    server.start()
    try:
        with _subscriber_process(count, server.address) as lines:
            return _measure_changes(replica, service, lines)
    finally:
        server.stop()


def _measure_changes(
    replica: fakes.FakeReplica, service: object, lines: Iterator[str]
) -> dict[str, float]:
    next(lines)  # "ready"
    times_ms = []
    initial_report = json.loads(next(lines))
    cpu_s = time.process_time()
    encodings = service.watches.delta_cache.encodings_count
    for number in range(_CHANGES_COUNT):
        start_s = time.monotonic()
        _confirm(replica, states.service("s", slots_count=number + 1))
        report = json.loads(next(lines))
        times_ms.append((report["last_s"] - start_s) * 1000)
    control_cpu_s = time.process_time() - cpu_s
    tables = replica.tables
    delta = service.watches.delta_cache.encode_delta(
        tables, tables.config_version - 1, 0
    )
    return {
        "median_ms": statistics.median(times_ms),
        "control_cpu_us": control_cpu_s / _CHANGES_COUNT * 1e6,
        "subscribers_cpu_us": (report["cpu_s"] - initial_report["cpu_s"])
        / _CHANGES_COUNT
        * 1e6,
        "encodings_count": service.watches.delta_cache.encodings_count
        - encodings,
        "reply_bytes": len(
            codec.encode(ttypes.WatchReply(term=1, encoded_config=delta))
        ),
    }


def _confirm(replica: fakes.FakeReplica, record: object) -> None:
    known = replica.tables.services | replica.tables.batch_jobs
    change = states.declare(record, replace=record.name in known)
    plan_id = states.plan(replica.tables, change)
    replica.propose(
        ttypes.Command(
            confirm_plan=ttypes.ConfirmPlan(
                plan_id=plan_id, operator_name="bench"
            )
        ),
        timeout_s=1.0,
    )


@contextlib.contextmanager
def _subscriber_process(count: int, address: str) -> Iterator[Iterator[str]]:
    """Starts a process with subscribers and yields the lines it prints."""
    command = [sys.executable, "-m", __spec__.name, str(count), address]
    with subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stdin=subprocess.PIPE,
        text=True,
        cwd=_ROOT,
        env=os.environ | {"PYTHONUNBUFFERED": "1", "LOGURU_LEVEL": "ERROR"},
    ) as process:
        try:
            yield iter(process.stdout.readline, "")
        finally:
            process.kill()


def _run_subscribers(count: int, address: str) -> None:
    """Runs subscribers and prints when each version is in force on all."""
    changed = threading.Condition()
    in_force_s: dict[str, tuple[int, float]] = {}
    subscribers: list[subscriber_module.Subscriber] = []

    def record_version(
        name: str, subscriber: subscriber_module.Subscriber
    ) -> None:
        with changed:
            version = subscriber.configuration.version
            if in_force_s.get(name, (-1, 0.0))[0] != version:
                in_force_s[name] = (version, time.monotonic())
                changed.notify()

    for index in range(count):
        name = f"entry-{index}"
        subscriber = subscriber_module.Subscriber(
            name=name,
            role=ttypes.Role.ENTRY,
            control_addresses=[address],
            on_reply=lambda _, n=name, i=index: record_version(
                n, subscribers[i]
            ),
        )
        subscribers.append(subscriber)
    for subscriber in subscribers:
        subscriber.start()
    for subscriber in subscribers:
        subscriber.ready.wait(_WAIT_LIMIT_S)
    sys.stdout.write("ready\n")
    for version in range(_CHANGES_COUNT + 1):
        with changed:
            changed.wait_for(
                lambda v=version: (
                    sum(at[0] >= v for at in in_force_s.values()) == count
                ),
                _WAIT_LIMIT_S,
            )
            last_s = max(at_s for _, at_s in in_force_s.values())
        report = {"last_s": last_s, "cpu_s": time.process_time()}
        sys.stdout.write(json.dumps(report) + "\n")
    time.sleep(_WAIT_LIMIT_S)


def _unrelated_rows() -> list[table.Row]:
    """Counts the subscribers woken by changes that do not concern them."""
    replica, service = fakes.leading_control_service(states.with_workers("w1"))
    initial_wakes_count = service.watches.hub.wakes_count
    for number in range(_CHANGES_COUNT):
        _confirm(replica, states.batch_job(f"job{number}"))
    return [
        table.Row(
            _row_name("subscribers woken by 40 batch jobs"),
            service.watches.hub.wakes_count - initial_wakes_count,
            "count",
            0.0,
            "max",
        )
    ]


def _encoding_cache_rows(tables: tables_module.Tables) -> list[table.Row]:
    """Measures encoding a whole configuration with and without the cache."""
    cache = configuration.DeltaCache()
    cache.encode_delta(tables, 0, 0)
    uncached_us = _median_us(
        lambda: codec.encode(configuration.delta_since(tables, 0, 0))
    )
    cached_us = _median_us(lambda: cache.encode_delta(tables, 0, 0))
    return [
        table.Row(_row_name("encoding 1,000 services anew"), uncached_us, "us"),
        table.Row(
            _row_name("the cached encoding against anew"),
            cached_us / uncached_us,
            "ratio",
            0.1,
            "max",
        ),
    ]


def _median_us(action: Callable[[], object]) -> float:
    times_s = []
    for _ in range(_REPEATS_COUNT):
        start_s = time.perf_counter()
        action()
        times_s.append(time.perf_counter() - start_s)
    return statistics.median(times_s) * 1e6


def _missed_rows() -> list[table.Row]:
    tables = tables_module.Tables()
    snapshots = {}
    for number in range(_SERVICES_COUNT):
        if _SERVICES_COUNT - number in _MISSED_COUNTS:
            snapshots[_SERVICES_COUNT - number] = tables.to_bytes()
        states.apply_changes(
            tables, states.declare(states.service(f"service-{number}"))
        )
    costs = {m: _measure_catch_up(snapshots[m], tables) for m in _MISSED_COUNTS}
    fewest, most = _MISSED_COUNTS[0], _MISSED_COUNTS[-1]
    rows = [
        table.Row(_row_name(f"{name} to catch up {m} changes"), cost[key], unit)
        for m, cost in costs.items()
        for name, key, unit in (
            ("time", "time_ms", "ms"),
            ("bytes", "sent_bytes", "bytes"),
            ("memory", "held_bytes", "bytes"),
        )
    ]
    factor = most / fewest
    return [
        *rows,
        *_encoding_cache_rows(tables),
        table.Row(
            _row_name("bytes for 1,000 missed against 100 times 10 missed"),
            costs[most]["sent_bytes"] / (costs[fewest]["sent_bytes"] * factor),
            "ratio",
            1.2,
            "max",
        ),
        table.Row(
            _row_name("time for 10 missed against the whole"),
            costs[fewest]["time_ms"] / costs[most]["time_ms"],
            "ratio",
            0.5,
            "max",
        ),
    ]


def _measure_catch_up(
    old_state: bytes, tables: tables_module.Tables
) -> dict[str, float]:
    """Measures the cost for a subscriber with an old state to catch up."""
    times_ms = []
    for _ in range(_REPEATS_COUNT):
        held_configuration = configuration.Configuration()
        before = tables_module.Tables.from_bytes(old_state)
        held_configuration.apply(
            configuration.delta_since(before, 0, 0), term=1
        )
        start_s = time.perf_counter()
        data = codec.encode(
            configuration.delta_since(
                tables, held_configuration.version, held_configuration.checksum
            )
        )
        held_configuration.apply(
            codec.decode(ttypes.ConfigDelta(), data), term=1
        )
        times_ms.append((time.perf_counter() - start_s) * 1000)
    held_configuration = configuration.Configuration()
    held_configuration.apply(configuration.delta_since(before, 0, 0), term=1)
    tracemalloc.start()
    held_configuration.apply(codec.decode(ttypes.ConfigDelta(), data), term=1)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "time_ms": statistics.median(times_ms),
        "sent_bytes": len(data),
        "held_bytes": peak_bytes,
    }


if __name__ == "__main__":
    logs.set_up(role="benchmark", name="configuration", level="ERROR")
    if len(sys.argv) > 1:
        _run_subscribers(int(sys.argv[1]), sys.argv[2])
    else:
        sys.stdout.write(table.render(run()))
