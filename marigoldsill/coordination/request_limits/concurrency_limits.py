"""An entry's limit on the concurrent requests to each service.

The limit decreases while agents refuse requests for overload and increases while
they answer, so that most refusals need no call to an agent. No service can occupy
all threads of the entry.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.request_limits import expected_returns
from marigoldsill.transport import deadlines

_MIN_LIMIT = 4
_IN_FLIGHT_PER_SLOT = 2
# Maximum share of the entry's threads that one service may occupy.
_THREADS_SHARE = 0.75
_DECREASE_FACTOR = 0.95
# Minimum time between two decreases.
_DECREASE_INTERVAL_S = 0.05
_RETRY_AFTER_MIN_MS = 50
_RETRY_AFTER_MAX_MS = 30_000
# Maximum share of the limit that is kept free for calls that return.
_RETURNS_SHARE = 0.5
# Weight of a new value in the moving average of the duration.
_DURATION_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class _CallInFlight:
    """A call in flight.

    Attributes:
        start_s: When it was admitted, on the monotonic clock.
        deadline: When it ends at the latest.
    """

    start_s: float
    deadline: deadlines.Deadline


class _CallsInFlight:
    """The calls in flight, in the order of their admission."""

    def __init__(self):
        # Only the keys are used; a dict keeps their order.
        self._calls: dict[_CallInFlight, None] = {}
        self._mean_duration_s = 0.0

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return len(self._calls)

    def add(self, deadline: deadlines.Deadline) -> _CallInFlight:
        """Adds a call that begins now."""
        call = _CallInFlight(time.monotonic(), deadline)
        self._calls[call] = None
        return call

    def remove(self, call: _CallInFlight) -> None:
        """Removes a call that ends now."""
        del self._calls[call]
        duration_s = time.monotonic() - call.start_s
        weight = _DURATION_WEIGHT if self._mean_duration_s else 1.0
        self._mean_duration_s += weight * (duration_s - self._mean_duration_s)

    def expected_capacity_s(self) -> float:
        """Returns the time until about half of the calls should have ended.

        Durations of earlier calls say nothing about a stall, so each call is
        expected to take at least as long as the first ones have taken: twice the
        age of the median call, which does not depend on a single slow one. Half
        of the calls end by the median of their deadlines.
        """
        if not self._calls:
            return 0.0
        middle = len(self._calls) // 2
        median = next(itertools.islice(self._calls, middle, None))
        age_s = time.monotonic() - median.start_s
        remaining_s = sorted(c.deadline.remaining_s() for c in self._calls)
        return min(max(self._mean_duration_s, 2 * age_s), remaining_s[middle])


class ConcurrencyLimit:
    """The concurrency limit of one service.

    It is adjusted by additive increase and multiplicative decrease. A refusal
    says when there should be free capacity: when calls in flight should have
    ended, and not before the time that an agent named when it refused a request.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._limit = float("inf")
        self._last_decrease_s = 0.0
        self._agents_capacity_s = 0.0
        self._calls = _CallsInFlight()
        self._returns = expected_returns.ExpectedReturns()

    @contextlib.contextmanager
    def admit(
        self,
        *,
        max_in_flight: int,
        deadline: deadlines.Deadline,
        key: str = "",
    ) -> Iterator[None]:
        """Counts a request as in flight during the context.

        Args:
            max_in_flight: The maximum of the limit.
            deadline: The request's deadline.
            key: Its idempotency key, or empty. A call that returns with its key
                after a refusal goes before later ones.

        Raises:
            OverloadedError: The limit is reached, or capacity is kept for calls that
                were refused before; the request was not run.
        """
        with self._lock:
            self._returns.record_arrival(key)
            limit = min(self._limit, max_in_flight)
            kept_count = min(
                self._returns.due_count_before(key), limit * _RETURNS_SHARE
            )
            if self._calls.count + int(kept_count) >= limit:
                raise self._refuse(key, limit)
            self._returns.remove(key)
            call = self._calls.add(deadline)
        try:
            yield
        finally:
            with self._lock:
                self._calls.remove(call)

    def record_answer(self) -> None:
        """Increases the limit a little, as an agent had free capacity."""
        with self._lock:
            self._limit += 1 / max(1.0, self._limit)

    def record_overload(
        self, *, retry_after_ms: int | None, key: str = ""
    ) -> None:
        """Decreases the limit, as agents had no free capacity."""
        now_s = time.monotonic()
        retry_after_s = (retry_after_ms or 0) / 1000
        with self._lock:
            self._agents_capacity_s = now_s + retry_after_s
            self._returns.record_refusal(key, retry_after_s=retry_after_s)
            if now_s < self._last_decrease_s + _DECREASE_INTERVAL_S:
                return
            self._last_decrease_s = now_s
            self._limit = max(
                _MIN_LIMIT,
                min(self._limit, self._calls.count) * _DECREASE_FACTOR,
            )

    def _refuse(self, key: str, limit: float) -> errors.OverloadedError:
        retry_after_ms = self._expected_capacity_ms(key)
        self._returns.record_refusal(key, retry_after_s=retry_after_ms / 1000)
        return errors.OverloadedError(
            f"{self._calls.count} requests of the service are in flight; the "
            f"current limit is {int(limit)}",
            retry_after_ms=retry_after_ms,
        )

    def _expected_capacity_ms(self, key: str) -> int:
        # Half of the calls end in each such time; calls refused before come first.
        turns_count = 1 + self._returns.count_before(key) / max(
            1.0, self._calls.count / 2
        )
        capacity_s = max(
            self._calls.expected_capacity_s() * turns_count,
            self._agents_capacity_s - time.monotonic(),
        )
        return min(
            max(_RETRY_AFTER_MIN_MS, int(capacity_s * 1000)),
            _RETRY_AFTER_MAX_MS,
        )


class ConcurrencyLimits:
    """The limits of all services of one entry."""

    def __init__(self, *, threads_count: int):
        self._threads_limit = max(
            _MIN_LIMIT, int(threads_count * _THREADS_SHARE)
        )
        self._lock = threading.Lock()
        self._limits: dict[str, ConcurrencyLimit] = {}

    def limit_of(self, service_name: str) -> ConcurrencyLimit:
        """Returns the limit of one service."""
        with self._lock:
            return self._limits.setdefault(service_name, ConcurrencyLimit())

    def max_in_flight(self, slots_count: int) -> int:
        """Maximum number of requests in flight for a service, by its slots."""
        slots_limit = max(_MIN_LIMIT, slots_count * _IN_FLIGHT_PER_SLOT)
        return min(self._threads_limit, slots_limit)
