"""The endpoints of one service beside an agent, and the requests that wait for them.

`AdmissionController` holds the lock that guards a queue; nothing here blocks.
"""

import collections
import dataclasses
import threading
import time

from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines

# Weight of a new value in the moving average of the service time.
_SERVICE_TIME_WEIGHT = 0.1
# Factor by which the expected time to an answer must fit into the deadline.
_WAIT_SAFETY_FACTOR = 1.5
# How long other endpoints are preferred to one that could not be reached.
_UNREACHABLE_S = 1.0
# How long the duration of an answered request bounds what a request needs, and the
# number of these durations.
_ANSWER_VALIDITY_S = 10.0
_ANSWERS_COUNT = 20
_RETRY_AFTER_MAX_MS = 30_000
_RETRY_AFTER_MIN_MS = 50


@dataclasses.dataclass(slots=True, eq=False)
class EndpointSlots:
    """An endpoint and the use of its slots.

    Attributes:
        info: The endpoint as announced.
        in_flight_count: Number of requests that hold a slot.
        unreachable_until_s: Until when other endpoints are preferred, as this
            one could not be reached; on the monotonic clock.
        is_task_draining: Whether its run is about to stop.
    """

    info: ttypes.EndpointInfo
    in_flight_count: int = 0
    unreachable_until_s: float = 0.0
    is_task_draining: bool = False

    def record_unreachable(self) -> None:
        """Makes requests prefer other endpoints for a short time."""
        self.unreachable_until_s = time.monotonic() + _UNREACHABLE_S

    @property
    def concurrency_limit(self) -> int:
        """Maximum number of requests: each needs a slot and a connection."""
        return min(self.info.slots_count, self.info.connections_count)

    @property
    def is_draining(self) -> bool:
        """Whether it accepts no new requests."""
        return self.is_task_draining or self.info.draining


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A queued request, which gets either a slot or a refusal.

    Attributes:
        decided: Set once it got one of them.
        slots: The endpoint whose slot it got.
        refusal: Why it was refused.
    """

    decided: threading.Event
    slots: EndpointSlots | None = None
    refusal: ttypes.Refused | None = None


class ServiceQueue:
    """The endpoints of one service and the requests that wait for them.

    Attributes:
        endpoints: The slots of each endpoint, by address.
        waiters: The queued requests, the first one first.
        mean_service_time_s: Moving average of how long a request holds a slot.
    """

    def __init__(self):
        self.endpoints: dict[str, EndpointSlots] = {}
        self.waiters: collections.deque[WaitingRequest] = collections.deque()
        self.mean_service_time_s = 0.0
        # When requests were answered and how long each held its slot.
        self._answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_ANSWERS_COUNT)
        )

    @property
    def in_flight_count(self) -> int:
        """Number of requests that hold a slot of any endpoint."""
        return sum(s.in_flight_count for s in self.endpoints.values())

    @property
    def slots_count(self) -> int:
        """Number of slots of the endpoints that accept requests."""
        accepting = (s for s in self.endpoints.values() if not s.is_draining)
        return sum(s.concurrency_limit for s in accepting)

    def choose_endpoint(self) -> EndpointSlots | None:
        """The reachable endpoint with free slots and the fewest requests."""
        now_s = time.monotonic()
        return min(
            (
                s
                for s in self.endpoints.values()
                if not s.is_draining and s.in_flight_count < s.concurrency_limit
            ),
            key=lambda s: (s.unreachable_until_s > now_s, s.in_flight_count),
            default=None,
        )

    def expected_wait_s(self) -> float:
        """Expected time until a request that is queued now gets a slot."""
        position = len(self.waiters) + 1
        return self.mean_service_time_s * position / max(1, self.slots_count)

    def retry_after_ms(self) -> int:
        """Expected time until all current requests have been answered."""
        requests_count = len(self.waiters) + self.in_flight_count
        drain_s = (
            self.mean_service_time_s * requests_count / max(1, self.slots_count)
        )
        return int(
            min(
                max(drain_s * 1000, _RETRY_AFTER_MIN_MS),
                _RETRY_AFTER_MAX_MS,
            )
        )

    def record_service_time(self, busy_s: float) -> None:
        """Updates the mean by how long a request held its slot."""
        weight = _SERVICE_TIME_WEIGHT if self.mean_service_time_s else 1.0
        self.mean_service_time_s += weight * (busy_s - self.mean_service_time_s)

    def record_answer(self, busy_s: float) -> None:
        """Records how long an answered request held its slot."""
        self._answers.append((time.monotonic(), busy_s))

    def is_too_late(self, deadline: deadlines.Deadline) -> bool:
        """Whether less time is left than any recent answer took.

        Without an answer for a while this is not known, so that a service that
        has become faster gets requests again.
        """
        oldest_s = time.monotonic() - _ANSWER_VALIDITY_S
        return deadline.remaining_s() < min(
            (busy_s for at_s, busy_s in self._answers if at_s > oldest_s),
            default=0.0,
        )

    def enqueue(
        self, deadline: deadlines.Deadline, *, limit: int
    ) -> WaitingRequest:
        """Queues a request.

        Args:
            deadline: The request's deadline.
            limit: Maximum number of queued requests.

        Raises:
            Refused: The queue is full, or the request would get its slot too late.
        """
        if len(self.waiters) >= limit:
            raise self.refusal(ttypes.RefusalReason.OVERLOADED)
        # There must be time left for the answer itself after the wait. A late
        # answer occupies a slot and is of no use; a refusal costs nothing.
        expected_s = self.expected_wait_s() + self.mean_service_time_s
        if expected_s * _WAIT_SAFETY_FACTOR > deadline.remaining_s():
            raise self.refusal(ttypes.RefusalReason.TOO_LATE)
        waiting = WaitingRequest(threading.Event())
        self.waiters.append(waiting)
        return waiting

    def cancel(self, waiting: WaitingRequest) -> None:
        """Refuses a request, unless it got a slot or a refusal before."""
        if waiting not in self.waiters:
            return
        self.waiters.remove(waiting)
        waiting.refusal = self.refusal(ttypes.RefusalReason.CANCELLED)
        waiting.decided.set()

    def serve_waiters(self) -> None:
        """Gives free slots to queued requests."""
        while self.waiters:
            slots = self.choose_endpoint()
            if slots is None:
                return
            slots.in_flight_count += 1
            waiting = self.waiters.popleft()
            waiting.slots = slots
            waiting.decided.set()

    def refuse_waiters(self, reason: ttypes.RefusalReason) -> None:
        """Refuses all queued requests."""
        while self.waiters:
            waiting = self.waiters.popleft()
            waiting.refusal = self.refusal(reason)
            waiting.decided.set()

    def refusal(self, reason: ttypes.RefusalReason) -> ttypes.Refused:
        """Returns a refusal with the time after which a retry makes sense."""
        return ttypes.Refused(
            reason=reason,
            retry_after_ms=self.retry_after_ms(),
            in_flight=self.in_flight_count,
            queued=len(self.waiters),
        )
