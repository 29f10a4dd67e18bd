"""Runs idempotent requests, which are retried when an attempt fails."""

import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination.requests import attempts as attempts_module
from marigoldsill.coordination.requests import retries as retries_module
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines

# An attempt that may be followed by another leaves time for it, unless the attempts
# of the service usually take too long for two: an attempt gets this share of the time
# left, or this multiple of the mean duration if that is longer.
_ATTEMPT_SHARE = 0.5
_MEAN_DURATION_FACTOR = 3.0
_MEAN_DURATION_WEIGHT = 0.1


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
        self._mean_duration_s: dict[str, float] = {}

    def run(
        self, call: attempts_module.Call, retries: retries_module.Retries
    ) -> attempts_module.Answer:
        """Runs attempts until one succeeds or no retry is allowed.

        Raises:
            NotRunError: No attempt was run and none will be.
            UnknownOutcomeError: An attempt may have run.
        """
        return _CallExecution(
            self, self._router, self._attempt_runner, call, retries
        ).run()

    def attempt_deadline(
        self, call: attempts_module.Call, *, is_last: bool
    ) -> deadlines.Deadline:
        """Returns the deadline of one attempt.

        Args:
            call: The call.
            is_last: Whether no other attempt can follow.
        """
        if is_last:
            return call.deadline
        usual_duration_s = (
            self._mean_duration_s.get(call.service, 0.0) * _MEAN_DURATION_FACTOR
        )
        share_s = call.deadline.remaining_s() * _ATTEMPT_SHARE
        return call.deadline.limited_to(max(usual_duration_s, share_s))

    def record_duration(self, service: str, duration_s: float) -> None:
        """Updates the mean duration of attempts, answered or not."""
        mean_duration_s = self._mean_duration_s.get(service, duration_s)
        # An update that is lost to another thread is harmless.
        self._mean_duration_s[service] = (
            mean_duration_s
            + _MEAN_DURATION_WEIGHT * (duration_s - mean_duration_s)
        )


class _CallExecution:
    """The execution of one call with the results of its attempts so far."""

    def __init__(
        self,
        runner: IdempotentCallRunner,
        router: routing.Router,
        attempt_runner: attempts_module.AttemptRunner,
        call: attempts_module.Call,
        retries: retries_module.Retries,
    ):
        self._runner = runner
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
        return self._has_next_route(
            healthy_only=self._is_refused
        ) and self._retries.wait_before_retry(self._failure)

    @property
    def _is_refused(self) -> bool:
        return isinstance(self._failure, errors.OverloadedError)

    def _has_next_route(self, *, healthy_only: bool) -> bool:
        return self._router.has_route(
            self._call.service,
            excluded_agents=self._excluded_agents,
            healthy_only=healthy_only,
        )

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
        is_last = (
            self._retries.is_exhausted
            # An ejected agent would most likely not use the time that is left for it.
            or not self._has_next_route(healthy_only=True)
        )
        deadline = self._runner.attempt_deadline(self._call, is_last=is_last)
        start_s = time.monotonic()
        target = attempts_module.Target(
            route, self._request_id, self._attempt_number
        )
        try:
            answer = self._attempt_runner.run(self._call, target, deadline)
        except errors.UnknownOutcomeError as error:
            self._record_duration(start_s)
            self._failure = self._unknown_outcome = error
            return None
        except errors.NotRunError as error:
            self._failure = error
            return None
        self._record_duration(start_s)
        if answer.is_failure:
            self._failed_answer = answer
            self._failure = errors.UnknownOutcomeError(
                "the endpoint reported a server error"
            )
        return answer

    def _record_duration(self, start_s: float) -> None:
        self._runner.record_duration(
            self._call.service, time.monotonic() - start_s
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
