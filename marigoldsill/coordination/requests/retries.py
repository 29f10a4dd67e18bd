"""Whether and when a request is tried again."""

import random
import time

from marigoldsill import errors
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.coordination.requests import retry_budget

_RETRIES_LIMIT = 2
_DRAINS_LIMIT = 10
_BACKOFF_BASE_S = 0.005
_BACKOFF_LIMIT_S = 0.1


class Retries:
    """The retries of one call."""

    def __init__(self, call: attempts.Call, budget: retry_budget.RetryBudget):
        self._call = call
        self._budget = budget
        self._count = 0
        self._drains_count = 0

    @property
    def last(self) -> bool:
        """Whether no further retry can follow."""
        return self._count >= _RETRIES_LIMIT

    def allows(self, error: errors.MarigoldsillError) -> bool:
        """Whether to try again after a failure; waits before if so."""
        if self._call.hangup.gone or self._call.deadline.passed():
            return False
        if isinstance(error, errors.DrainingError):
            # Each agent says so once; no storm can come of it.
            self._drains_count += 1
            return self._drains_count <= _DRAINS_LIMIT
        if self.last:
            return False
        pause_s = backoff_s(self._count + 1)
        if self._call.deadline.left_s() <= pause_s:
            return False
        if not self._budget.take():
            request_metrics.RETRIES_DENIED.labels(
                service=self._call.service
            ).inc()
            return False
        self._count += 1
        request_metrics.RETRIES.labels(
            service=self._call.service, reason=error.kind
        ).inc()
        time.sleep(pause_s)
        return True


def backoff_s(retry_number: int) -> float:
    """How long to wait before a retry, with full jitter.

    Args:
        retry_number: 1 for the first retry.
    """
    limit_s = min(_BACKOFF_LIMIT_S, _BACKOFF_BASE_S * 2**retry_number)
    return random.uniform(0, limit_s)
