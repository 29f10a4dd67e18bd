"""Tests of whether, when and for how long a request is retried."""

import time

import pytest

from marigoldsill import errors
from marigoldsill.coordination.call_limits import retry_budget
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import idempotent_call_runner
from marigoldsill.coordination.requests import retries as retries_module
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from tests.coordination.requests import builders


def _create_retries(call: attempts.Call, *, tokens: float = 10.0):
    budget = retry_budget.RetryBudget(burst_count=tokens)
    return retries_module.Retries(call, budget)


def test_request_is_retried_at_most_twice():
    retries = _create_retries(builders.call())
    allowed = [
        retries.wait_before_retry(errors.OverloadedError("x")) for _ in range(4)
    ]
    assert allowed == [True, True, False, False]


def test_no_retry_without_budget():
    assert not _create_retries(builders.call(), tokens=0).wait_before_retry(
        errors.OverloadedError("x")
    )


def test_no_retry_after_the_deadline():
    assert not _create_retries(builders.call(budget_s=0)).wait_before_retry(
        errors.OverloadedError("x")
    )


def test_no_retry_after_the_caller_has_disconnected():
    call = builders.call()
    call.hangup.record_disconnect()
    assert not _create_retries(call).wait_before_retry(
        errors.OverloadedError("x")
    )


def test_retry_after_a_draining_refusal_needs_no_budget():
    retries = _create_retries(builders.call(), tokens=0)
    assert retries.wait_before_retry(errors.DrainingError("x"))


def test_retries_of_a_request_that_reached_no_endpoint_need_no_budget():
    # Calls that found an agent ended used up the retries of those that it had cut off.
    retries = _create_retries(builders.call(), tokens=0)
    error = errors.NoEndpointError("x")
    allowed = [retries.wait_before_retry(error) for _ in range(4)]
    assert allowed == [True, True, False, False]


class _UnansweredAttempts:
    """Records how long each attempt may take; none is answered."""

    def __init__(self):
        self.budgets_s: dict[str, float] = {}

    def run(
        self,
        call: attempts.Call,
        target: attempts.Target,
        deadline: deadlines.Deadline,
    ) -> attempts.Answer:
        self.budgets_s[target.route.agent] = deadline.remaining_s()
        raise errors.UnknownOutcomeError("no answer")


def _create_routes(*agents: str) -> dict[str, ttypes.Route]:
    return {
        agent: ttypes.Route(
            agent=agent,
            agent_address=f"{agent}:1",
            data_centre="dc1",
            service_name="s",
            slots_count=2,
        )
        for agent in agents
    }


def _create_router(*agents: str, ejected: str = "") -> routing.Router:
    router = routing.Router(data_centre="dc1", seed=1)
    routes = _create_routes(*agents)
    router.replace_routes(list(routes.values()))
    for _ in range(10 if ejected else 0):
        router.record_failure(routes[ejected])
    return router


def _attempt_budgets_s(
    router: routing.Router, *, is_last: bool = False
) -> list[float]:
    runner = _UnansweredAttempts()
    call = builders.call()
    retries = _create_retries(call)
    while is_last and not retries.is_exhausted:
        retries.wait_before_retry(errors.OverloadedError("x"))
    calls = idempotent_call_runner.IdempotentCallRunner(
        router=router, attempt_runner=runner
    )
    with pytest.raises(errors.UnknownOutcomeError):
        calls.run(call, retries)
    return list(runner.budgets_s.values())


def test_attempt_at_the_only_agent_gets_all_of_the_time():
    # It got half of it, and the call ended with the other half left.
    router = _create_router("a1")
    assert _attempt_budgets_s(router) == [pytest.approx(10.0, abs=1.0)]


def test_attempt_leaves_time_for_another_agent():
    first_s, second_s = _attempt_budgets_s(_create_router("a1", "a2"))
    assert first_s == pytest.approx(5.0, abs=1.0)
    assert second_s == pytest.approx(10.0, abs=1.0)


def test_attempt_at_the_only_healthy_agent_gets_all_of_the_time():
    # It was cut off for an agent that had been ejected, which did not answer.
    budgets_s = _attempt_budgets_s(_create_router("a1", "a2", ejected="a1"))
    assert budgets_s[0] == pytest.approx(10.0, abs=1.0)


@pytest.mark.parametrize(
    ("duration_s", "is_last", "share"),
    [(0.01, False, 0.5), (0.01, True, 1.0), (4.0, False, 1.0)],
)
def test_attempt_leaves_time_for_another_if_two_usually_fit(
    duration_s, is_last, share
):
    router = _create_router("a1", "a2")
    for route in _create_routes("a1", "a2").values():
        router.record_duration(route, duration_s)
    budgets_s = _attempt_budgets_s(router, is_last=is_last)
    assert budgets_s[0] == pytest.approx(10.0 * share, abs=1.0)


class _OneAgentAnswers:
    """Agent "frozen" answers no attempt, any other one all of them.

    Attributes:
        now_s: The time, which attempts advance.
        budgets_s: How long each attempt at the frozen agent was allowed to take.
    """

    def __init__(self):
        self.now_s = 1000.0
        self.budgets_s: list[float] = []

    def run(
        self,
        call: attempts.Call,
        target: attempts.Target,
        deadline: deadlines.Deadline,
    ) -> attempts.Answer:
        if target.route.agent != "frozen":
            self.now_s += 0.01
            return attempts.Answer(200, (), b"")
        self.budgets_s.append(deadline.remaining_s())
        self.now_s += deadline.remaining_s()
        raise errors.UnknownOutcomeError("no answer")


def test_agent_that_does_not_answer_leaves_time_for_one_that_does(monkeypatch):
    # Attempts that it did not answer counted as usual: later ones got all of the time.
    runner = _OneAgentAnswers()
    monkeypatch.setattr(time, "monotonic", lambda: runner.now_s)
    routes = _create_routes("frozen", "well")
    router = _create_router(*routes)
    calls = idempotent_call_runner.IdempotentCallRunner(
        router=router, attempt_runner=runner
    )
    for _ in range(10):
        router.record_load(routes["well"], in_flight=9, queued=0)
        call = builders.call()
        assert calls.run(call, _create_retries(call)).status_code == 200
    assert runner.budgets_s == [pytest.approx(5.0)] * 10
