"""Runs non-idempotent requests at most once: each is claimed before it is sent."""

from collections.abc import Iterator
import contextlib

from marigoldsill import errors
from marigoldsill.coordination.requests import attempts as attempts_module
from marigoldsill.coordination.requests import (
    claim_resolver as claim_resolver_module,
)
from marigoldsill.coordination.requests import claims_client
from marigoldsill.coordination.requests import retries as retries_module
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import failpoints

# After a repeat finds that the earlier request was not run, it claims once more.
_CLAIM_ATTEMPTS_LIMIT = 2


class ClaimedCallRunner:
    """Runs calls that are not idempotent.

    Each attempt has its own claim, which names the agent. Another attempt follows
    only if the last one was certainly not run.
    """

    def __init__(
        self,
        *,
        router: routing.Router,
        attempt_runner: attempts_module.AttemptRunner,
        claims: claims_client.ClaimsClient,
        resolver: claim_resolver_module.ClaimResolver,
    ):
        self._router = router
        self._attempt_runner = attempt_runner
        self._claims = claims
        self._resolver = resolver

    def run(
        self, call: attempts_module.Call, retries: retries_module.Retries
    ) -> attempts_module.Answer:
        """Claims the key for an agent and sends the request there.

        Raises:
            NotRunError: This call did not run the request and never will.
            UnknownOutcomeError: The request may have run.
            ConflictError: The key was used before; the subclass says how.
        """
        for _ in range(_CLAIM_ATTEMPTS_LIMIT):
            route = self._router.pick_route(call.service, idempotent=False)
            try:
                with self._end_request_on_error(route):
                    claim = self._claims.claim(call, route)
            except claims_client.KeyTakenError as error:
                answer = self._resolver.resolve(call, error.claim)
                if answer is not None:
                    return answer
                continue
            failpoints.reach("claim.recorded")
            with _mark_key_checked():
                return self._dispatch(call, route, claim, retries)
        raise errors.InProgressError(
            f"another call has claimed idempotency key {call.key!r} first",
            retry_after_ms=1000,
        )

    def _dispatch(
        self,
        call: attempts_module.Call,
        route: ttypes.Route,
        claim: ttypes.Claim,
        retries: retries_module.Retries,
    ) -> attempts_module.Answer:
        excluded_agents: frozenset[str] = frozenset()
        while True:
            excluded_agents |= {route.agent}
            try:
                answer = self._run_attempt(call, route, claim)
            except errors.UnknownOutcomeError:
                self._claims.record_end_in_background(
                    claim, ttypes.ClaimState.UNKNOWN
                )
                raise
            except errors.NotRunError as error:
                # Without another agent a retry would take a token for nothing.
                has_route = self._router.has_route(
                    call.service,
                    excluded_agents=excluded_agents,
                    idempotent=False,
                    healthy_only=_is_refusal(error),
                )
                if not has_route or not retries.wait_before_retry(error):
                    self._claims.record_end_in_background(
                        claim, ttypes.ClaimState.NOT_RUN
                    )
                    raise
                route, claim = self._claim_elsewhere(
                    call, claim, excluded_agents, error
                )
                continue
            self._claims.record_end_in_background(
                claim, ttypes.ClaimState.DONE, answer
            )
            return answer

    def _run_attempt(
        self,
        call: attempts_module.Call,
        route: ttypes.Route,
        claim: ttypes.Claim,
    ) -> attempts_module.Answer:
        target = attempts_module.Target(
            route, claim_resolver_module.request_id(claim), claim.attempt, claim
        )
        return self._attempt_runner.run(call, target, call.deadline)

    def _claim_elsewhere(
        self,
        call: attempts_module.Call,
        claim: ttypes.Claim,
        excluded_agents: frozenset[str],
        failure: errors.NotRunError,
    ) -> tuple[ttypes.Route, ttypes.Claim]:
        """Replaces the claim of an attempt that was certainly not run."""
        try:
            route = self._router.pick_route(
                call.service,
                excluded_agents=excluded_agents,
                idempotent=False,
                # A refusal is a better answer than none from a failing agent.
                healthy_only=_is_refusal(failure),
            )
            with self._end_request_on_error(route):
                return route, self._claims.claim(call, route, supersedes=claim)
        except (errors.NotRunError, claims_client.KeyTakenError):
            self._claims.record_end_in_background(
                claim, ttypes.ClaimState.NOT_RUN
            )
            raise failure from None

    @contextlib.contextmanager
    def _end_request_on_error(self, route: ttypes.Route) -> Iterator[None]:
        """Counts the request on a route as ended if its claim fails."""
        try:
            yield
        except BaseException:
            self._router.record_end(route)
            raise


def _is_refusal(error: errors.NotRunError) -> bool:
    return isinstance(error, errors.OverloadedError)


@contextlib.contextmanager
def _mark_key_checked() -> Iterator[None]:
    """Marks errors that apply to all calls with the key, not just to this one."""
    try:
        yield
    except errors.NotRunError as error:
        error.key_checked = True
        raise
