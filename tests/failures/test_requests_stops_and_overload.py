"""Drains, graceful stops and overload, with requests under way."""

from collections.abc import Iterator
import time

import pytest

from tests import processes
from tests import serving as serving_module

_DRAIN_LIMIT_NS = 2_000_000_000
_STOP_MARGIN_S = 0.5


@pytest.fixture
def serving(tmp_path) -> Iterator[serving_module.Serving]:
    running = serving_module.Serving(tmp_path)
    try:
        yield running
    finally:
        running.system.end()


def _assert_all_good(serving: serving_module.Serving, records: list) -> None:
    verdict = serving.verdict(records)
    serving_module.assert_truthful(verdict)
    bad = [r for r in records if not r.last.good]
    assert not bad, (verdict, bad[:3])


def test_a_drained_worker_gets_no_new_requests_and_cuts_none_off(
    serving: serving_module.Serving,
) -> None:
    serving.start(workers_count=2)
    system = serving.system
    load = serving.new_load(
        rate_per_s=60, duration_s=20.0, work_ms=50, keyed_share=0.2
    )
    with serving.under(load) as future:
        time.sleep(_STOP_MARGIN_S)
        plan = system.operate("plan", "drain", "worker-1")
        guards = [g["name"] for g in plan.get("guards", ())]
        acknowledged = [a for g in guards for a in ("--acknowledge", g)]
        system.operate("confirm", str(plan["plan_id"]), *acknowledged)
        confirmed_ns = time.monotonic_ns()
        time.sleep(_DRAIN_LIMIT_NS / 1e9 + _STOP_MARGIN_S)
        load.stop()
        records = future.result()
    _assert_all_good(serving, records)
    late = [
        e
        for e in serving.events()
        if e["event"] == "request_began"
        and e["worker"] == "worker-1"
        and e["at_ns"] > confirmed_ns + _DRAIN_LIMIT_NS
    ]
    assert not late


def test_a_stopping_agent_cuts_off_no_request(
    serving: serving_module.Serving,
) -> None:
    serving.start(workers_count=2)
    load = serving.new_load(
        rate_per_s=60, duration_s=20.0, work_ms=100, keyed_share=0.3
    )
    with serving.under(load) as future:
        time.sleep(_STOP_MARGIN_S)
        assert serving.system.processes["worker-1"].stop() == 0
        time.sleep(_STOP_MARGIN_S)
        load.stop()
        records = future.result()
    _assert_all_good(serving, records)


def test_a_stopping_entry_cuts_off_no_request(
    serving: serving_module.Serving,
) -> None:
    serving.start(workers_count=2, entries_count=2, notice_s=1)
    system = serving.system
    load = serving.new_load(
        rate_per_s=60, duration_s=20.0, work_ms=100, keyed_share=0.3
    )
    entry = system.processes["entry-1"]
    with serving.under(load) as future:
        time.sleep(_STOP_MARGIN_S)
        entry.send(15)
        # The balancer's part: it asks for readiness and sends elsewhere.
        processes.wait_until(
            lambda: (
                system.get(system.entries["entry-1"], "/ready").status_code
                == 503
            ),
            what="entry-1 not ready",
        )
        load.use((system.entries["entry-2"],))
        assert entry.wait() == 0
        load.stop()
        records = future.result()
    assert "finished=True" in entry.text()
    _assert_all_good(serving, records)


@pytest.mark.parametrize("repeats_count", [0, 3])
def test_overload_is_refused_truthfully_and_leaves_no_trace(
    serving: serving_module.Serving, repeats_count: int
) -> None:
    serving.start(workers_count=1, slots_count=5)
    overload = serving.run(
        rate_per_s=250,
        duration_s=2.0,
        work_ms=100,
        keyed_share=0.2,
        repeats_count=repeats_count,
        heeds_retry_after=False,
    )
    verdict = serving.verdict(overload)
    serving_module.assert_truthful(verdict)
    assert verdict.lost_count == 0, verdict
    refused = [r for r in overload if not r.last.good]
    assert refused
    assert all(r.last.retry_after_ms > 0 for r in refused)
    _assert_all_good(
        serving, serving.run(rate_per_s=20, duration_s=1.0, work_ms=20)
    )
    began = [e for e in serving.events() if e["event"] == "request_began"]
    assert max(e["in_flight"] for e in began) <= 5
