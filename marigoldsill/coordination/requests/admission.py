"""Admission control of an agent: assigns slots of its endpoints to requests.

Each service has its own bounded first-in, first-out queue. A request is refused
at once, at little cost, if the queue is full or if the request would get a slot
too late for its deadline. A refusal contains the time after which a retry makes
sense: the expected time until all current requests have been answered.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time

from marigoldsill.coordination.request_limits import service_queue
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import deadlines

_ANNOUNCEMENT_VALIDITY_S = 3.0


class AdmissionController:
    """Admits requests to the endpoints that were announced to this agent."""

    def __init__(self, *, queue_count: int):
        self._queue_limit = queue_count
        self._lock = threading.Lock()
        self._queues: dict[str, service_queue.ServiceQueue] = {}
        self._last_announced_s = time.monotonic()
        self._drain_reasons: frozenset[str] = frozenset()

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused, for any reason."""
        return bool(self._drain_reasons)

    def set_draining(self, reason: str, draining: bool) -> None:
        """Begins or ends a drain for one reason; queued requests are refused.

        The agent drains as long as there is any reason.

        Args:
            reason: The reason, which begins and ends independently of others.
            draining: Whether the reason applies now.
        """
        with self._lock:
            reasons = frozenset({reason})
            self._drain_reasons = (
                self._drain_reasons | reasons
                if draining
                else self._drain_reasons - reasons
            )
            if not self._drain_reasons:
                return
            for queue in self._queues.values():
                queue.refuse_waiters(ttypes.RefusalReason.DRAINING)

    def drain_task(self, task: str) -> int:
        """Excludes a run's endpoints from new requests.

        Args:
            task: The task of the run.

        Returns:
            The number of requests in flight on these endpoints.
        """
        with self._lock:
            drained = [s for s in self._all_slots() if s.info.task == task]
            for slots in drained:
                slots.is_task_draining = True
            for queue in self._queues.values():
                if queue.endpoints and not queue.slots_count:
                    queue.refuse_waiters(ttypes.RefusalReason.DRAINING)
            return sum(s.in_flight_count for s in drained)

    def replace_endpoints(self, endpoints: list[ttypes.EndpointInfo]) -> None:
        """Replaces the announced endpoints; known ones keep their requests."""
        with self._lock:
            self._last_announced_s = time.monotonic()
            known = {s.info.address: s for s in self._all_slots()}
            services = {info.service_name for info in endpoints}
            for service in services | self._queues.keys():
                queue = self._queues.setdefault(
                    service, service_queue.ServiceQueue()
                )
                service_infos = [
                    e for e in endpoints if e.service_name == service
                ]
                queue.endpoints = {
                    info.address: _update_slots(known.get(info.address), info)
                    for info in service_infos
                }
                queue.serve_waiters()
                if not queue.endpoints:
                    queue.refuse_waiters(ttypes.RefusalReason.NO_ENDPOINT)

    def announced_endpoints(self) -> list[ttypes.EndpointInfo]:
        """The endpoints of the last announcement, if it is still valid.

        Endpoints that accept no new requests are marked as draining.
        """
        with self._lock:
            if (
                time.monotonic()
                > self._last_announced_s + _ANNOUNCEMENT_VALIDITY_S
            ):
                return []
            return [
                _with_draining(
                    s.info, draining=bool(self._drain_reasons) or s.is_draining
                )
                for s in self._all_slots()
            ]

    def acquire(
        self,
        service: str,
        *,
        deadline: deadlines.Deadline,
        idempotent: bool,
        register_cancel: Callable[[Callable[[], None]], None],
    ) -> service_queue.EndpointSlots:
        """Acquires a slot for a request, which may wait in a bounded queue.

        A request that is not idempotent gets no slot if no recent answer was fast
        enough for its deadline: once it has begun, its outcome would remain unknown.

        Args:
            service: Name of the service.
            deadline: The request's deadline.
            idempotent: Whether the request may run more than once.
            register_cancel: Called when the request is queued, with a function
                that cancels its wait.

        Returns:
            The endpoint whose slot the request holds until `release`.

        Raises:
            Refused: No slot is available in time; the request was not run.
        """
        with self._lock:
            queue = self._find_queue(service)
            if not idempotent and queue.is_too_late(deadline):
                raise queue.refusal(ttypes.RefusalReason.TOO_LATE)
            slots = None if queue.waiters else queue.choose_endpoint()
            if slots is not None:
                slots.in_flight_count += 1
                return slots
            waiting = queue.enqueue(deadline, limit=self._queue_limit)
        register_cancel(lambda: self._cancel_wait(queue, waiting))
        waiting.decided.wait(deadline.remaining_s())
        with self._lock:
            if waiting.slots is not None:
                if idempotent or not queue.is_too_late(deadline):
                    return waiting.slots
                waiting.slots.in_flight_count -= 1
                queue.serve_waiters()
                raise queue.refusal(ttypes.RefusalReason.TOO_LATE)
            if waiting.refusal is not None:
                raise waiting.refusal
            queue.waiters.remove(waiting)
            raise queue.refusal(ttypes.RefusalReason.TOO_LATE)

    def release(
        self,
        service: str,
        slots: service_queue.EndpointSlots,
        *,
        busy_s: float,
        is_answered: bool,
        is_unreachable: bool,
    ) -> None:
        """Releases a slot.

        Args:
            service: Name of the service.
            slots: The endpoint that `acquire` returned.
            busy_s: How long the request held the slot; 0 if it was not run.
            is_answered: Whether the request got its whole answer.
            is_unreachable: Whether the endpoint could not be reached.
        """
        with self._lock:
            slots.in_flight_count -= 1
            if is_unreachable:
                slots.record_unreachable()
            queue = self._queues[service]
            if busy_s > 0:
                queue.record_service_time(busy_s)
            if is_answered:
                queue.record_answer(busy_s)
            queue.serve_waiters()

    def request_counts(self, service: str = "") -> tuple[int, int]:
        """Numbers of requests in flight and queued, of one service or all."""
        with self._lock:
            queues = [
                q for name, q in self._queues.items() if service in ("", name)
            ]
            return (
                sum(q.in_flight_count for q in queues),
                sum(len(q.waiters) for q in queues),
            )

    def _all_slots(self) -> Iterable[service_queue.EndpointSlots]:
        return (s for q in self._queues.values() for s in q.endpoints.values())

    def _find_queue(self, service: str) -> service_queue.ServiceQueue:
        queue = self._queues.get(service)
        if queue is None or not queue.endpoints:
            raise ttypes.Refused(
                reason=ttypes.RefusalReason.NO_ENDPOINT, retry_after_ms=500
            )
        if self._drain_reasons or all(
            s.is_draining for s in queue.endpoints.values()
        ):
            raise queue.refusal(ttypes.RefusalReason.DRAINING)
        return queue

    def _cancel_wait(
        self,
        queue: service_queue.ServiceQueue,
        waiting: service_queue.WaitingRequest,
    ) -> None:
        with self._lock:
            queue.cancel(waiting)


def _update_slots(
    known: service_queue.EndpointSlots | None, info: ttypes.EndpointInfo
) -> service_queue.EndpointSlots:
    if known is None:
        return service_queue.EndpointSlots(info)
    known.info = info
    return known


def _with_draining(
    info: ttypes.EndpointInfo, *, draining: bool
) -> ttypes.EndpointInfo:
    return ttypes.EndpointInfo(
        service_name=info.service_name,
        address=info.address,
        slots_count=info.slots_count,
        connections_count=info.connections_count,
        draining=draining,
        task=info.task,
    )
