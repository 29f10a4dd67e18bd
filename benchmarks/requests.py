"""Measures requests: added latency, overload, drains, claims, correct answers.

Ratios within one run are bounded; absolute times are only recorded. Run as
`python -m benchmarks.requests`.
"""

from collections.abc import Iterator
import itertools
import sys
import threading
import time

from benchmarks import load
from benchmarks import request_system
from benchmarks import table

_WORKERS_COUNT = 4
_SLOTS_COUNT = 10
_PERCENTILES = (50, 99, 99.9)
_PATH_RATE_PER_S = 100
_PATH_DURATION_S = 6.0
_PATH_WORK_MS = 5
_FULL_RATE_PER_S = 1500
_OVERLOAD_WORK_MS = 200
_OVERLOAD_DURATION_S = 6.0
_OVERLOAD_TIMEOUT_MS = 1000
# Excludes the time in which queues fill up or empty.
_SETTLING_S = 1.0
_DRAIN_WAIT_S = 3.0
_FAULT_SHARE = 0.05
_CLAIM_RATE_PER_S = 50


def run() -> list[table.Row]:
    """Measures everything, in about two minutes."""
    parts = (
        _path_rows,
        _overload_rows,
        _drain_rows,
        _claim_rows,
        _fault_rows,
        _site_profile_rows,
    )
    return list(itertools.chain.from_iterable(part() for part in parts))


def _path_rows() -> Iterator[table.Row]:
    with request_system.RequestSystem(workers_count=_WORKERS_COUNT) as system:
        settings = {
            "rate_per_s": _PATH_RATE_PER_S,
            "duration_s": _PATH_DURATION_S,
            "work_ms": _PATH_WORK_MS,
            "threads_count": 32,
        }
        system.run_load(**settings | {"duration_s": 1.0})
        direct = load.latency_histogram(
            _run_direct_load(system, settings),
            chosen=lambda r: r.last_reply.is_success,
        )
        through = load.latency_histogram(system.run_load(**settings))
        for p in _PERCENTILES:
            added_us = through.get_value_at_percentile(
                p
            ) - direct.get_value_at_percentile(p)
            yield _row(f"added latency p{p}", added_us / 1000, "ms")
        before_s = system.cpu_s("entry-1")
        records = system.run_load(
            rate_per_s=_FULL_RATE_PER_S,
            duration_s=4.0,
            work_ms=0,
            processes_count=3,
            threads_count=40,
        )
        entry_cpu_s = system.cpu_s("entry-1") - before_s
        successes = [r for r in records if r.last_reply.is_success]
        elapsed_s = max(
            r.started_s + r.latency_us / 1e6 for r in records
        ) - min(r.started_s for r in records)
        yield _row(
            "entry process at most",
            len(successes) / elapsed_s,
            "requests/s",
        )
        yield _row(
            "entry processor time",
            entry_cpu_s * 1e6 / max(1, len(records)),
            "us/request",
        )
        yield _row(
            "untrue answers at most rate",
            _untrue_answers_count(system, records),
            "requests",
            0,
            "max",
        )


def _run_direct_load(
    system: request_system.RequestSystem, settings: dict
) -> list[load.RequestRecord]:
    return system.run_load(
        **settings | {"addresses": ",".join(system.endpoint_addresses())},
        direct="",
    )


def _overload_rows() -> Iterator[table.Row]:
    capacity_per_s = _WORKERS_COUNT * _SLOTS_COUNT * 1000 / _OVERLOAD_WORK_MS
    with request_system.RequestSystem(
        workers_count=_WORKERS_COUNT, entries_count=2
    ) as system:
        rates = {
            factor: _measure_goodput(
                system, factor * capacity_per_s, system.entries
            )
            for factor in (1, 2, 5)
        }
        peak_per_s = max(goodput_per_s for goodput_per_s, _ in rates.values())
        for factor, (goodput_per_s, p99_ms) in rates.items():
            name = f"goodput at {factor}x"
            yield _row(name, goodput_per_s, "requests/s")
            yield _row(f"{name} p99 of good", p99_ms, "ms")
        yield _row(
            "goodput at 5x to peak",
            rates[5][0] / peak_per_s,
            "ratio",
            0.9,
            "min",
        )
        yield _row(
            "goodput at 5x to slot capacity",
            rates[5][0] / capacity_per_s,
            "ratio",
        )
        after_overload_per_s, _ = _measure_goodput(
            system, 0.5 * capacity_per_s, system.entries
        )
        yield _row(
            "goodput at 0.5x after overload to offered",
            after_overload_per_s / (0.5 * capacity_per_s),
            "ratio",
            0.95,
            "min",
        )
        bare_proxy_address = system.start_bare_proxy()
        for factor in (1, 5):
            goodput_per_s, p99_ms = _measure_goodput(
                system, factor * capacity_per_s, (bare_proxy_address,)
            )
            name = f"random choice, unbounded queue: goodput at {factor}x"
            yield _row(name, goodput_per_s, "requests/s")


def _measure_goodput(
    system: request_system.RequestSystem, rate_per_s: float, addresses: tuple
) -> tuple[float, float]:
    """Returns timely answers per second and their p99 in milliseconds."""
    records = system.run_load(
        rate_per_s=rate_per_s,
        duration_s=_OVERLOAD_DURATION_S,
        work_ms=_OVERLOAD_WORK_MS,
        timeout_ms=_OVERLOAD_TIMEOUT_MS,
        addresses=",".join(addresses),
        processes_count=3,
        threads_count=300,
    )
    first_s = min(r.started_s for r in records) + _SETTLING_S
    last_s = first_s + _OVERLOAD_DURATION_S - _SETTLING_S
    in_time = [
        r
        for r in records
        if r.last_reply.is_success
        and r.latency_us <= _OVERLOAD_TIMEOUT_MS * 1000
        and first_s <= r.started_s + r.latency_us / 1e6 < last_s
    ]
    latencies = load.latency_histogram(in_time)
    return (
        len(in_time) / (last_s - first_s),
        latencies.get_value_at_percentile(99) / 1000,
    )


def _drain_rows() -> Iterator[table.Row]:
    with request_system.RequestSystem(
        workers_count=_WORKERS_COUNT, entries_count=2
    ) as system:
        running = load.LoadGenerator(
            load.LoadSettings(
                addresses=system.entries,
                rate_per_s=120,
                duration_s=30.0,
                work_ms=50,
                threads_count=60,
            )
        )
        records: list[load.RequestRecord] = []
        thread = threading.Thread(target=lambda: records.extend(running.run()))
        thread.start()
        time.sleep(1.0)
        confirming_ns = system.drain_worker("worker-1")
        time.sleep(_DRAIN_WAIT_S)
        running.stop()
        thread.join()
        last_ns = max(
            e["at_ns"]
            for e in system.events()
            if e["event"] == "request_began" and e["worker"] == "worker-1"
        )
        yield _row(
            "drain: confirming until last new request",
            max(0.0, (last_ns - confirming_ns) / 1e9),
            "s",
            2.0,
            "max",
        )
        yield _row(
            "drain: requests not answered",
            sum(not r.last_reply.is_success for r in records),
            "requests",
            0,
            "max",
        )


def _claim_rows() -> Iterator[table.Row]:
    with request_system.RequestSystem(
        workers_count=2, controls_count=3
    ) as system:
        settings = {
            "rate_per_s": _CLAIM_RATE_PER_S,
            "duration_s": _PATH_DURATION_S,
            "work_ms": _PATH_WORK_MS,
            "threads_count": 32,
        }
        system.run_load(**settings | {"duration_s": 1.0, "keyed_share": 0.5})
        unkeyed = load.latency_histogram(system.run_load(**settings))
        claimed = load.latency_histogram(
            system.run_load(**settings | {"keyed_share": 1.0})
        )
        for p in (50, 99):
            added_us = claimed.get_value_at_percentile(
                p
            ) - unkeyed.get_value_at_percentile(p)
            yield _row(f"price of a claim p{p}", added_us / 1000, "ms")


def _fault_rows() -> Iterator[table.Row]:
    with request_system.RequestSystem(
        workers_count=_WORKERS_COUNT, entries_count=2
    ) as system:
        faults = (
            {"endpoint_truncates": True},
            {"endpoint_truncates": False, "endpoint_wrong_id": True},
            {"endpoint_wrong_id": False, "endpoint_duplicates": True},
            {"endpoint_duplicates": False, "endpoint_hangs": True},
        )
        records: list[load.RequestRecord] = []
        for fault in faults:
            system.set_faults(endpoint_fault_share=_FAULT_SHARE, **fault)
            records += system.run_load(
                rate_per_s=150,
                duration_s=4.0,
                work_ms=10,
                keyed_share=0.3,
                timeout_ms=1500,
                threads_count=100,
            )
        system.set_faults(endpoint_hangs=False)
        verdict = system.check_records(records)
    yield _row("faults: requests judged", verdict.asked_count, "requests")
    for name in ("wrong", "lost", "duplicated", "falsely_not_run"):
        count = getattr(verdict, f"{name}_count")
        yield _row(f"faults: {name}", count, "requests", 0, "max")
    unkeyed = [r for r in records if not r.key]
    yield _row(
        "faults: idempotent requests answered",
        sum(r.last_reply.is_success for r in unkeyed) / len(unkeyed),
        "ratio",
        0.95,
        "min",
    )


def _site_profile_rows() -> Iterator[table.Row]:
    for name, data_centres_count, delay_ms in (
        ("Raices", 3, 3.0),
        ("Qureshi", 4, 1.0),
    ):
        with request_system.RequestSystem(
            workers_count=10,
            entries_count=data_centres_count,
            data_centres_count=data_centres_count,
        ) as system:
            records = system.run_load(
                rate_per_s=250,
                duration_s=5.0,
                work_ms=200,
                client_delay_ms=delay_ms,
                processes_count=2,
                threads_count=150,
                keyed_share=0.05,
            )
            latencies = load.latency_histogram(records)
            verdict = system.check_records(records)
        for p in _PERCENTILES:
            value_ms = latencies.get_value_at_percentile(p) / 1000
            yield _row(f"{name} at half load p{p}", value_ms, "ms")
        yield _row(
            f"{name} at half load answered",
            verdict.good_count / verdict.asked_count,
            "ratio",
            0.99,
            "min",
        )


def _untrue_answers_count(
    system: request_system.RequestSystem, records: list[load.RequestRecord]
) -> int:
    verdict = system.check_records(records)
    return (
        verdict.wrong_count
        + verdict.duplicated_count
        + verdict.falsely_not_run_count
    )


def _row(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    bound_kind: str | None = None,
) -> table.Row:
    row = table.Row(f"requests: {name}", value, unit, bound, bound_kind)
    print(
        f"{row.name}: {table.format_number(value)} {unit}",
        file=sys.stderr,
        flush=True,
    )
    return row


if __name__ == "__main__":
    print(table.render(run()))
