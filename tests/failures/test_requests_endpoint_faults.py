"""Endpoints answer incorrectly: callers still receive correct outcomes."""

from collections.abc import Iterator

import pytest

from tests import serving_system as serving_system_module

# Share of the retryable requests that must be answered: all while retries
# suffice, most if the agent has to be excluded.
_ALL_SHARE, _MOST_SHARE = 1.0, 0.8
_ON_SOME_REQUESTS = {"endpoint_fault_share": 0.2}
_FAULTS = {
    "truncates": ({"endpoint_truncates": True} | _ON_SOME_REQUESTS, _ALL_SHARE),
    "answers twice": (
        {"endpoint_duplicates": True} | _ON_SOME_REQUESTS,
        _ALL_SHARE,
    ),
    "answers another's id": (
        {"endpoint_wrong_id": True} | _ON_SOME_REQUESTS,
        _ALL_SHARE,
    ),
    "hangs": ({"endpoint_hangs": True} | _ON_SOME_REQUESTS, _ALL_SHARE),
    "fails everything": ({"endpoint_fails": True}, _MOST_SHARE),
    "answers late": ({"endpoint_delay_ms": 1500}, _MOST_SHARE),
}
_NO_FAULTS = {
    "endpoint_truncates": False,
    "endpoint_duplicates": False,
    "endpoint_wrong_id": False,
    "endpoint_fails": False,
    "endpoint_hangs": False,
    "endpoint_delay_ms": 0,
    "endpoint_fault_share": 1.0,
}


@pytest.fixture(scope="module")
def serving_system(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[serving_system_module.ServingSystem]:
    with serving_system_module.started(
        tmp_path_factory.mktemp("faults"), workers_count=2
    ) as started_system:
        yield started_system


@pytest.mark.parametrize("fault", _FAULTS)
def test_callers_are_told_the_truth_when_an_endpoint(
    serving_system: serving_system_module.ServingSystem, fault: str
) -> None:
    faults, min_share = _FAULTS[fault]
    serving_system.set_faults("worker-1", **faults)
    try:
        records = serving_system.run_load(
            rate_per_s=80,
            duration_s=1.5,
            work_ms=5,
            keyed_share=0.3,
            timeout_ms=1000,
        )
    finally:
        serving_system.set_faults("worker-1", **_NO_FAULTS)
    verdict = serving_system.compare_with_journals(records)
    serving_system_module.assert_outcomes_match(verdict)
    assert verdict.lost_count == 0, serving_system.explain(verdict)
    retryable = [r for r in records if not r.key]
    assert sum(r.last_reply.is_success for r in retryable) >= min_share * len(
        retryable
    ), serving_system.explain(verdict)
    _wait_until_both_serve(serving_system)


def test_a_recorded_answer_is_repeated_without_a_second_run(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    def post(body: bytes) -> tuple[int, bytes]:
        answer = serving_system.system.call(
            "/services/lookup/family", method="POST", body=body, key="again"
        )
        return answer.status_code, answer.body

    first = post(b"one")
    assert first[0] == 200
    assert post(b"one") == first
    assert post(b"two")[0] == 422
    begun = [
        e
        for e in serving_system.events()
        if e["event"] == "request_began" and e["key"] == "again"
    ]
    assert len(begun) == 1


def test_an_unknown_outcome_is_reported_and_not_run_again(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    for worker in serving_system.system.workers:
        serving_system.set_faults(worker, endpoint_truncates=True)
    try:
        first = serving_system.system.call(
            "/services/lookup/x", method="POST", body=b"b", key="unknown"
        )
    finally:
        for worker in serving_system.system.workers:
            serving_system.set_faults(worker, **_NO_FAULTS)
    repeated = serving_system.system.call(
        "/services/lookup/x", method="POST", body=b"b", key="unknown"
    )
    assert first.header("x-request-outcome") == "unknown"
    assert repeated.header("x-request-outcome") == "unknown"
    assert sum(e.get("key") == "unknown" for e in serving_system.events()) == 1


def _wait_until_both_serve(
    serving_system: serving_system_module.ServingSystem,
) -> None:
    serving_system.wait_until_serving("entry-1", 2)
