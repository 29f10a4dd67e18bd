"""Runs idempotent requests, which are retried when an attempt fails."""

import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination.requests import attempts as attempts_module
from marigoldsill.coordination.requests import retries as retries_module
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines

# An attempt that may be followed by another leaves time for it, unless attempts at the
# other agents usually take too long for two: an attempt gets this share of the time
# left, or this multiple of their mean duration if that is longer.
_ATTEMPT_SHARE = 0.5
_MEAN_DURATION_FACTOR = 3.0


class IdempotentCallRunner:
    """Runs idempotent calls."""

    def __init__(
        self,
        *,
        router: routing.Router,
        attempt_runner: attempts_module.AttemptRunner,
    ):
        self._router = router
        self._attempt_runner = attempt_runner

    def run(
        self, call: attempts_module.Call, retries: retries_module.Retries
    ) -> attempts_module.Answer:
        """Runs attempts until one succeeds or no retry is allowed.

        Raises:
            NotRunError: No attempt was run and none will be.
            UnknownOutcomeError: An attempt may have run.
        """
        return _CallExecution(
            self._router, self._attempt_runner, call, retries
        ).run()


class _CallExecution:
    """The execution of one call with the results of its attempts so far."""

    def __init__(
        self,
        router: routing.Router,
        attempt_runner: attempts_module.AttemptRunner,
        call: attempts_module.Call,
        retries: retries_module.Retries,
    ):
        self._router = router
        self._attempt_runner = attempt_runner
        self._call = call
        self._retries = retries
        self._request_id = uuid.uuid4().hex
        self._excluded_agents: frozenset[str] = frozenset()
        self._attempt_number = 0
        self._failure: errors.MarigoldsillError | None = None
        self._unknown_outcome: errors.UnknownOutcomeError | None = None
        self._failed_answer: attempts_module.Answer | None = None

    def run(self) -> attempts_module.Answer:
        while True:
            route = self._pick_next_route()
            if route is None:
                return self._final_answer()
            answer = self._run_attempt(route)
            if answer is not None and not answer.is_failure:
                return answer
            if not self._may_retry():
                return self._final_answer()

    def _may_retry(self) -> bool:
        # Without another agent a retry would take a token for nothing.
        has_route = self._router.has_route(
            self._call.service,
            excluded_agents=self._excluded_agents,
            healthy_only=self._is_refused,
        )
        return has_route and self._retries.wait_before_retry(self._failure)

    @property
    def _is_refused(self) -> bool:
        return isinstance(self._failure, errors.OverloadedError)

    def _pick_next_route(self) -> ttypes.Route | None:
        try:
            return self._router.pick_route(
                self._call.service,
                excluded_agents=self._excluded_agents,
                # A refusal is a better answer than none from a failing agent.
                healthy_only=self._is_refused,
            )
        except errors.NoEndpointError:
            if self._failure is None:
                raise
            return None

    def _run_attempt(
        self, route: ttypes.Route
    ) -> attempts_module.Answer | None:
        self._excluded_agents |= {route.agent}
        self._attempt_number += 1
        deadline = self._attempt_deadline()
        start_s = time.monotonic()
        target = attempts_module.Target(
            route, self._request_id, self._attempt_number
        )
        try:
            answer = self._attempt_runner.run(self._call, target, deadline)
        except errors.UnknownOutcomeError as error:
            self._router.record_duration(route, time.monotonic() - start_s)
            self._failure = self._unknown_outcome = error
            return None
        except errors.NotRunError as error:
            self._failure = error
            return None
        self._router.record_duration(route, time.monotonic() - start_s)
        if answer.is_failure:
            self._failed_answer = answer
            self._failure = errors.UnknownOutcomeError(
                "the endpoint reported a server error"
            )
        return answer

    def _attempt_deadline(self) -> deadlines.Deadline:
        deadline = self._call.deadline
        # An ejected agent would most likely not use the time that is left for it, and
        # one that does not answer must not make attempts at it longer.
        others_duration_s = self._router.others_duration_s(
            self._call.service, excluded_agents=self._excluded_agents
        )
        if self._retries.is_exhausted or others_duration_s is None:
            return deadline
        return deadline.limited_to(
            max(
                others_duration_s * _MEAN_DURATION_FACTOR,
                deadline.remaining_s() * _ATTEMPT_SHARE,
            )
        )

    def _final_answer(self) -> attempts_module.Answer:
        """Returns or raises the most informative result of the attempts."""
        if self._failed_answer is not None:
            return self._failed_answer
        if (
            self._unknown_outcome is None
            or self._failure is self._unknown_outcome
        ):
            raise self._failure
        raise errors.UnknownOutcomeError(
            "an attempt may have run "
            f"({self._unknown_outcome.message}); a later one was not run "
            f"({self._failure.message})",
            retry_after_ms=self._failure.retry_after_ms,
        )
