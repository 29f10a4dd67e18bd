"""Tests of retries of requests that the only healthy agent refused."""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.call_limits import retry_budget
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import claimed_call_runner
from marigoldsill.coordination.requests import idempotent_call_runner
from marigoldsill.coordination.requests import retries as retries_module
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines
from tests.coordination.requests import builders

_SERVICE = builders.SERVICE


class _AttemptRunner:
    """Agent "full" refuses each attempt, "frozen" answers none."""

    def __init__(self):
        self.agents: list[str] = []

    def run(
        self,
        call: attempts.Call,
        target: attempts.Target,
        deadline: deadlines.Deadline,
    ) -> attempts.Answer:
        self.agents.append(target.route.agent)
        if target.route.agent == "full":
            raise errors.OverloadedError("its queue is full", retry_after_ms=50)
        raise errors.UnknownOutcomeError("no answer")


class _Claims:
    """Grants each claim."""

    def __init__(self):
        self.ends: list[ttypes.ClaimState] = []

    def claim(
        self, call: attempts.Call, route: ttypes.Route, **options: object
    ) -> ttypes.Claim:
        return ttypes.Claim(key=call.key, claim_id="1", attempt=1)

    def record_end_in_background(
        self, claim: ttypes.Claim, state: ttypes.ClaimState
    ) -> None:
        self.ends.append(state)


def _create_route(agent: str) -> ttypes.Route:
    return ttypes.Route(
        agent=agent,
        agent_address=f"{agent}:1",
        data_centre="dc1",
        service_name=_SERVICE,
        slots_count=2,
    )


def _create_router() -> routing.Router:
    """Returns a router that has ejected the frozen agent."""
    router = routing.Router(data_centre="dc1", seed=1)
    frozen = _create_route("frozen")
    router.replace_routes([_create_route("full"), frozen])
    for _ in range(10):
        router.record_failure(frozen)
    return router


def _create_call(key: str) -> attempts.Call:
    return builders.call(
        method="POST" if key else "GET", key=key, idempotent=not key
    )


def _run_refused_call(
    key: str,
    runner: _AttemptRunner,
    claims: _Claims,
    budget: retry_budget.RetryBudget,
) -> errors.OverloadedError:
    router, call = _create_router(), _create_call(key)
    call_runner = (
        claimed_call_runner.ClaimedCallRunner(
            router=router, attempt_runner=runner, claims=claims, resolver=None
        )
        if key
        else idempotent_call_runner.IdempotentCallRunner(
            router=router, attempt_runner=runner
        )
    )
    with pytest.raises(errors.OverloadedError) as raised:
        call_runner.run(call, retries_module.Retries(call, budget))
    return raised.value


@pytest.mark.parametrize("key", ["", "k"])
def test_refused_request_is_not_moved_to_an_ejected_agent(key: str):
    # It got an unknown outcome there, in place of a prompt "not run".
    runner, claims = _AttemptRunner(), _Claims()
    error = _run_refused_call(key, runner, claims, retry_budget.RetryBudget())
    assert runner.agents == ["full"]
    assert error.retry_after_ms == 50
    assert claims.ends == ([ttypes.ClaimState.NOT_RUN] if key else [])


@pytest.mark.parametrize("key", ["", "k"])
def test_refused_request_without_another_agent_takes_no_token(key: str):
    # Refused calls used up the retries of calls whose agent had ended.
    budget = retry_budget.RetryBudget(burst_count=1.0)
    _run_refused_call(key, _AttemptRunner(), _Claims(), budget)
    assert budget.try_acquire()


def test_request_that_failed_is_moved_to_an_ejected_agent():
    router = _create_router()
    route = router.pick_route(_SERVICE, excluded_agents=frozenset({"full"}))
    assert route.agent == "frozen"
