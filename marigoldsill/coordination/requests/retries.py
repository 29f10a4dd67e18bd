"""Decides whether and when a request is retried."""

import random
import time

from marigoldsill import errors
from marigoldsill.coordination.request_limits import retry_budget
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import request_metrics

_RETRIES_LIMIT = 2
_DRAINING_RETRIES_LIMIT = 10
_BACKOFF_BASE_S = 0.005
_BACKOFF_LIMIT_S = 0.1


class Retries:
    """The retries of one call."""

    def __init__(self, call: attempts.Call, budget: retry_budget.RetryBudget):
        self._call = call
        self._budget = budget
        self._retries_count = 0
        self._draining_retries_count = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether the number of retries has reached its limit."""
        return self._retries_count >= _RETRIES_LIMIT

    def wait_before_retry(self, error: errors.MarigoldsillError) -> bool:
        """Waits for the backoff before a retry, if one is allowed.

        Args:
            error: The failure of the last attempt.

        Returns:
            Whether to retry.
        """
        if (
            self._call.hangup.is_disconnected
            or self._call.deadline.has_passed()
        ):
            return False
        if isinstance(error, errors.DrainingError):
            # Each agent refuses this way only once, so these retries cannot
            # cause a retry storm and need no budget.
            self._draining_retries_count += 1
            return self._draining_retries_count <= _DRAINING_RETRIES_LIMIT
        if self.is_exhausted:
            return False
        backoff_s = random_backoff_s(self._retries_count + 1)
        if self._call.deadline.remaining_s() <= backoff_s:
            return False
        # A request that reached no endpoint has put no load on any, so its retry adds
        # none.
        needs_token = not isinstance(error, errors.NoEndpointError)
        if needs_token and not self._budget.try_acquire():
            request_metrics.RETRIES_DENIED.labels(
                service=self._call.service
            ).inc()
            return False
        self._retries_count += 1
        request_metrics.RETRIES.labels(
            service=self._call.service, reason=error.kind
        ).inc()
        time.sleep(backoff_s)
        return True


def random_backoff_s(retry_number: int) -> float:
    """Returns an exponential backoff before a retry, with full jitter.

    Args:
        retry_number: Number of the retry, beginning with 1.
    """
    limit_s = min(_BACKOFF_LIMIT_S, _BACKOFF_BASE_S * 2**retry_number)
    return random.uniform(0, limit_s)
