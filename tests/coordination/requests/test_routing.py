"""Tests of the choice of an agent, outlier ejection and the retry budget."""

import collections
import time

import pytest

from marigoldsill import errors
from marigoldsill.coordination.request_limits import retry_budget
from marigoldsill.coordination.requests import outlier_detection
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol.generated import ttypes


def _create_route(
    agent: str, *, data_centre: str = "dc1", **fields
) -> ttypes.Route:
    return ttypes.Route(
        agent=agent,
        agent_address=f"{agent}:1",
        data_centre=data_centre,
        service_name="s",
        slots_count=2,
        **fields,
    )


def _create_router(*routes: ttypes.Route) -> routing.Router:
    router = routing.Router(data_centre="dc1", seed=1)
    router.replace_routes(list(routes))
    return router


def _count_picks(router: routing.Router, count: int) -> collections.Counter:
    return collections.Counter(
        router.pick_route("s").agent for _ in range(count)
    )


def test_load_is_spread_evenly():
    router = _create_router(*(_create_route(f"w{n}") for n in range(4)))
    assert max(_count_picks(router, 40).values()) <= 12


def test_local_agents_are_preferred_until_they_are_full():
    router = _create_router(
        _create_route("near"), _create_route("far", data_centre="dc2")
    )
    assert _count_picks(router, 2) == {"near": 2}
    assert _count_picks(router, 4)["far"] >= 2


def test_reported_load_includes_the_requests_of_other_entries():
    router = _create_router(_create_route("a"), _create_route("b"))
    routes = {
        r.agent: r for r in (router.pick_route("s"), router.pick_route("s"))
    }
    for route in routes.values():
        router.record_end(route)
    router.record_load(routes["a"], in_flight=2, queued=3)
    assert _count_picks(router, 2) == {"b": 2}


def test_agent_that_refuses_because_it_drains_is_excluded_at_once():
    router = _create_router(_create_route("a"), _create_route("b"))
    draining = router.pick_route("s")
    router.record_draining(draining)
    assert draining.agent not in _count_picks(router, 4)


def test_draining_route_is_never_picked():
    router = _create_router(_create_route("a", draining=True))
    with pytest.raises(errors.NoEndpointError):
        router.pick_route("s")


def test_failing_agent_is_ejected_then_probed_and_restored(monkeypatch):
    router = _create_router(_create_route("a"), _create_route("b"))
    failing = _create_route("a")
    for _ in range(10):
        router.record_failure(failing)
    assert set(_count_picks(router, 10)) == {"b"}
    later_s = time.monotonic() + 100
    monkeypatch.setattr(outlier_detection.time, "monotonic", lambda: later_s)
    assert _count_picks(router, 20)["a"] == 1, "one probe at a time"
    router.record_success(failing)
    assert _count_picks(router, 20)["a"] > 1


def test_at_most_half_of_the_agents_are_ejected():
    routes = [_create_route(f"w{n}") for n in range(4)]
    router = _create_router(*routes)
    for route in routes * 20:
        router.record_failure(route)
    assert len(_count_picks(router, 40)) == 2


def test_non_idempotent_requests_are_not_used_as_probes():
    detector = outlier_detection.OutlierDetector()
    for _ in range(10):
        detector.record_failure("a", agents_count=2)
    detector._agents["a"].ejected_until_s = 0
    assert detector.is_usable("a", idempotent=True)
    assert not detector.is_usable("a", idempotent=False)


def test_retries_are_limited_to_a_share_of_the_traffic():
    budget = retry_budget.RetryBudget(share=0.1, burst_count=2)
    retries_count = 0
    for _ in range(100):
        budget.record_request()
        retries_count += budget.try_acquire()
    assert 9 <= retries_count <= 12
