"""Processes are killed or frozen while requests are in flight."""

from collections.abc import Iterator
import dataclasses
import itertools
import signal
import time

import pytest

from marigoldsill.transport import failpoints
from tests import processes
from tests import serving_system as serving_system_module
from tests import system_report

_WORKERS_COUNT = 2
_DURATION_S = 3.0
_TIMEOUT_MS = 1500
# After the deadline, other entries allow for this skew of clocks before they
# free a claim whose request no agent received.
_CLOCK_SKEW_MARGIN_S = 2.0
_CLAIM_LIMIT_S = _TIMEOUT_MS / 1000 + _CLOCK_SKEW_MARGIN_S
_ATTEMPTS_COUNT = 9
# With two entries in turn, of which one is dead, every second attempt comes
# 1.1 s after the one before it: the last one comes after such a claim is free.
_ATTEMPTS_IF_NOT_SENT_COUNT = 12


@pytest.fixture(scope="module")
def serving_system(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[serving_system_module.ServingSystem]:
    with serving_system_module.started(
        tmp_path_factory.mktemp("processes"),
        controls_count=3,
        workers_count=_WORKERS_COUNT,
        entries_count=2,
    ) as started_system:
        yield started_system


@pytest.fixture(autouse=True)
def _restored_system(
    serving_system: serving_system_module.ServingSystem,
) -> Iterator[None]:
    """Keeps a test that fails from failing the tests after it."""
    yield
    serving_system.restore()


def _wait_for_request(
    serving_system: serving_system_module.ServingSystem, worker: str
) -> None:
    start_ns = time.monotonic_ns()
    try:
        processes.wait_until(
            lambda: any(
                e["event"] == "request_began"
                and e["at_ns"] > start_ns
                and e["worker"] == worker
                for e in serving_system.events()
            ),
            what=f"a request on {worker}",
        )
    except AssertionError as error:
        error.add_note(system_report.describe(serving_system.system))
        raise


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_an_agent_that_ends_or_freezes_costs_no_truth(
    serving_system: serving_system_module.ServingSystem, number: signal.Signals
) -> None:
    load = serving_system.create_load(
        rate_per_s=80,
        duration_s=_DURATION_S,
        work_ms=50,
        keyed_share=0.3,
        timeout_ms=_TIMEOUT_MS,
    )
    agent = serving_system.system.processes["worker-1"]
    with serving_system.run_in_background(load) as future:
        _wait_for_request(serving_system, "worker-1")
        agent.send(number)
        records = future.result()
    agent.send(signal.SIGCONT)
    verdict = serving_system.compare_with_journals(records)
    serving_system_module.assert_outcomes_match(verdict)
    assert verdict.lost_count == 0, serving_system.explain(verdict)
    # Each has time left for the other agent, and there are enough retries for
    # all.
    retryable = [r for r in records if not r.key]
    assert sum(r.last_reply.is_success for r in retryable) >= 0.98 * len(
        retryable
    ), serving_system.explain(verdict)
    if number == signal.SIGKILL:
        serving_system.system.start_agent("worker-1")
    serving_system.wait_until_serving("entry-1", _WORKERS_COUNT)
    # Requests that a frozen agent ran after it resumed must match as well.
    serving_system_module.assert_outcomes_match(
        serving_system.compare_with_journals(records)
    )


def test_an_entry_that_is_killed_leaves_keys_that_never_run_twice(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    load = serving_system.create_load(
        rate_per_s=80,
        duration_s=_DURATION_S,
        work_ms=100,
        keyed_share=1.0,
        repeats_count=_ATTEMPTS_IF_NOT_SENT_COUNT - 1,
        timeout_ms=_TIMEOUT_MS,
    )
    with serving_system.run_in_background(load) as future:
        _wait_for_request(serving_system, "worker-1")
        serving_system.system.processes["entry-1"].kill()
        killed_s = time.monotonic()
        records = future.result()
    serving_system.start_entry("entry-1")
    verdict = serving_system.compare_with_journals(records)
    serving_system_module.assert_outcomes_match(verdict)
    lost = [r for r in records if r.replies[0].outcome == "lost"]
    assert lost, "no request was in flight at the kill"
    assert verdict.good_count == len(records), serving_system.explain(verdict)
    # The agents still ran, so only a claim whose request was never sent needs
    # more attempts.
    began_s = {
        e["caller_id"]: e["at_ns"] / 1e9
        for e in serving_system.events()
        if e["event"] == "request_began"
    }
    late = [r for r in records if len(r.replies) > _ATTEMPTS_COUNT]
    assert all(
        r.replies[0].sent_s < killed_s < began_s[r.caller_id] for r in late
    ), serving_system.explain(
        dataclasses.replace(verdict, not_good=tuple(late))
    )


def test_a_claim_whose_entry_died_before_sending_is_free_after_its_time(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    system = serving_system.system
    system.start_entry(
        "entry-3", environment={failpoints.VARIABLE: "claim.recorded"}
    )
    addresses = (system.entries.pop("entry-3"), system.entries["entry-2"])
    records = serving_system.run_load(
        addresses=addresses,
        rate_per_s=1,
        duration_s=0.5,
        keyed_share=1.0,
        repeats_count=_ATTEMPTS_IF_NOT_SENT_COUNT - 1,
        timeout_ms=_TIMEOUT_MS,
    )
    verdict = serving_system.compare_with_journals(records)
    serving_system_module.assert_outcomes_match(verdict)
    assert verdict.good_count == 1, serving_system.explain(verdict)
    replies = records[0].replies
    assert replies[0].outcome == "lost", replies
    in_progress = [r for r in replies if r.error == "InProgressError"]
    assert in_progress, replies
    free_s = replies[0].ended_s + _CLAIM_LIMIT_S
    assert all(r.sent_s < free_s for r in in_progress), replies


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_without_a_majority_only_keyed_requests_are_refused(
    serving_system: serving_system_module.ServingSystem, number: signal.Signals
) -> None:
    names = ("control-1", "control-2")
    for name in names:
        serving_system.system.processes[name].send(number)
    begun_before_count = sum(
        bool(e.get("key")) for e in serving_system.events()
    )
    records = serving_system.run_load(
        rate_per_s=60, duration_s=2.0, keyed_share=0.3
    )
    begun_count = sum(bool(e.get("key")) for e in serving_system.events())
    for name in names:
        if number == signal.SIGKILL:
            serving_system.system.processes[name].kill()
            serving_system.system.run_control(name)
        serving_system.system.processes[name].send(signal.SIGCONT)
    verdict = serving_system.compare_with_journals(records)
    serving_system_module.assert_outcomes_match(verdict)
    assert all(r.last_reply.is_success for r in records if not r.key), (
        serving_system.explain(verdict)
    )
    keyed = [r for r in records if r.key]
    assert {r.last_reply.outcome for r in keyed} == {"call-not-run"}
    assert {r.last_reply.error for r in keyed} == {"NoQuorumError"}
    assert all(r.last_reply.retry_after_ms > 0 for r in keyed)
    assert begun_count == begun_before_count
    # A new key for each attempt: runs whose leases expired are stopped, and a
    # request to one of them keeps its unknown outcome under its key.
    keys = (f"back-{number}-{count}" for count in itertools.count())
    processes.wait_until(
        lambda: (
            serving_system.system.call(
                "/services/lookup/x", method="POST", key=next(keys)
            ).status_code
            == 200
        ),
        what="keyed requests run again",
    )
