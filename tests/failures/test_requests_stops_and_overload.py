"""Drains, graceful stops and overload while requests are in flight."""

from collections.abc import Iterator
import signal
import time

import pytest

from tests import processes
from tests import serving_system as serving_system_module

_SLOTS_COUNT = 5
# One more than instances: the instance of a drained worker can move there.
_WORKERS_COUNT = 3
_INSTANCES_COUNT = 2
_DRAIN_LIMIT_NS = 2_000_000_000
_SETTLE_S = 0.5


@pytest.fixture(scope="module")
def serving_system(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[serving_system_module.ServingSystem]:
    with serving_system_module.started(
        tmp_path_factory.mktemp("stops"),
        workers_count=_WORKERS_COUNT,
        instances_count=_INSTANCES_COUNT,
        entries_count=2,
        slots_count=_SLOTS_COUNT,
        notice_s=1,
    ) as started_system:
        yield started_system


def _assert_all_good(
    serving_system: serving_system_module.ServingSystem, records: list
) -> None:
    verdict = serving_system.compare_with_journals(records)
    serving_system_module.assert_outcomes_match(verdict)
    failed = [r for r in records if not r.last_reply.is_success]
    assert not failed, (verdict, failed[:3])


def _create_steady_load(serving_system: serving_system_module.ServingSystem):
    return serving_system.create_load(
        rate_per_s=30, duration_s=30.0, work_ms=80, keyed_share=0.3
    )


def _create_slow_load(serving_system: serving_system_module.ServingSystem):
    """Creates a load whose requests outlast each connection during a drain."""
    return serving_system.create_load(
        rate_per_s=3,
        duration_s=30.0,
        work_ms=1500,
        keyed_share=1.0,
        timeout_ms=0,
    )


def _plan_and_confirm(
    serving_system: serving_system_module.ServingSystem, *change: str
) -> int:
    plan = serving_system.system.operate("plan", *change)
    guards = [g["name"] for g in plan.get("guards", ())]
    acknowledged = [a for g in guards for a in ("--acknowledge", g)]
    serving_system.system.operate(
        "confirm", str(plan["plan_id"]), *acknowledged
    )
    return time.monotonic_ns()


def test_a_drained_worker_finishes_its_requests_and_gets_no_new_ones(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    worker = serving_system.wait_until_serving("entry-1", _INSTANCES_COUNT)[0]
    load = _create_slow_load(serving_system)
    with serving_system.run_in_background(load) as future:
        time.sleep(3 * _SETTLE_S)
        confirmed_ns = _plan_and_confirm(serving_system, "drain", worker)
        time.sleep(_DRAIN_LIMIT_NS / 1e9 + _SETTLE_S)
        load.stop()
        records = future.result()
    late = [
        e
        for e in serving_system.events()
        if e["event"] == "request_began"
        and e["worker"] == worker
        and e["at_ns"] > confirmed_ns + _DRAIN_LIMIT_NS
    ]
    moved_to = serving_system.wait_until_serving("entry-1", _INSTANCES_COUNT)
    _plan_and_confirm(serving_system, "undrain", worker)
    _assert_all_good(serving_system, records)
    assert not late
    assert worker not in moved_to


def test_a_stopping_agent_finishes_its_requests(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    worker = serving_system.wait_until_serving("entry-1", _INSTANCES_COUNT)[0]
    load = serving_system.create_load(
        rate_per_s=1.5,
        duration_s=30.0,
        work_ms=3000,
        keyed_share=1.0,
        timeout_ms=0,
    )
    with serving_system.run_in_background(load) as future:
        time.sleep(6 * _SETTLE_S)
        status = serving_system.system.processes[worker].stop()
        time.sleep(_SETTLE_S)
        load.stop()
        records = future.result()
    serving_system.system.start_agent(worker)
    serving_system.wait_until_serving("entry-1", _INSTANCES_COUNT)
    _assert_all_good(serving_system, records)
    assert status == 0


def test_a_stopping_entry_finishes_its_requests(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    system = serving_system.system
    entry = system.processes["entry-1"]
    address = system.entries["entry-1"]
    load = _create_steady_load(serving_system)
    with serving_system.run_in_background(load) as future:
        time.sleep(_SETTLE_S)
        entry.send(signal.SIGTERM)
        # Like a load balancer, checks readiness and then uses the other entry.
        processes.wait_until(
            lambda: system.get(address, "/ready").status_code == 503,
            what="entry-1 not ready",
        )
        load.set_addresses((system.entries["entry-2"],))
        status = entry.wait()
        load.stop()
        records = future.result()
    serving_system.start_entry("entry-1")
    _assert_all_good(serving_system, records)
    assert status == 0
    assert "finished=True" in entry.text()


@pytest.mark.parametrize("repeats_count", [0, 3])
def test_requests_over_the_capacity_are_refused_and_have_no_lasting_effect(
    serving_system: serving_system_module.ServingSystem, repeats_count: int
) -> None:
    start_ns = time.monotonic_ns()
    overload = serving_system.run_load(
        rate_per_s=400,
        duration_s=2.0,
        work_ms=100,
        keyed_share=0.1,
        repeats_count=repeats_count,
        heeds_retry_after=False,
    )
    verdict = serving_system.compare_with_journals(overload)
    serving_system_module.assert_outcomes_match(verdict)
    assert verdict.lost_count == 0, serving_system.explain(verdict)
    refused = [r for r in overload if not r.last_reply.is_success]
    assert refused
    assert all(r.last_reply.retry_after_ms > 0 for r in refused)
    _assert_all_good(
        serving_system,
        serving_system.run_load(rate_per_s=20, duration_s=1.0, work_ms=20),
    )
    in_flight = (e.get("in_flight", 0) for e in serving_system.events())
    assert max(in_flight) <= _SLOTS_COUNT
    assert any(e["at_ns"] > start_ns for e in serving_system.events())
