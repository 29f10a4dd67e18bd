"""An agent's admission: requests to the slots of its endpoints."""

import dataclasses
import threading
import time

from marigoldsill.protocol.generated import ttypes

_ANNOUNCEMENT_LIFE_S = 3.0


@dataclasses.dataclass(slots=True)
class _Slots:
    info: ttypes.EndpointInfo
    in_flight_count: int = 0


class Admission:
    """Endpoints announced to this agent and their free slots."""

    def __init__(self, *, queue_count: int):
        self._queue_count = queue_count
        self._condition = threading.Condition()
        self._endpoints: dict[str, _Slots] = {}
        self._announced_s = time.monotonic()
        self._waiting_count = 0
        self.draining = False

    def announce(self, endpoints: list[ttypes.EndpointInfo]) -> None:
        """Replaces the endpoints that the worker announced."""
        with self._condition:
            self._announced_s = time.monotonic()
            known = self._endpoints
            self._endpoints = {
                info.address: _Slots(
                    info,
                    known[info.address].in_flight_count
                    if info.address in known
                    else 0,
                )
                for info in endpoints
            }
            self._condition.notify_all()

    def endpoints(self) -> list[ttypes.EndpointInfo]:
        """The endpoints that are announced now."""
        with self._condition:
            if time.monotonic() > self._announced_s + _ANNOUNCEMENT_LIFE_S:
                return []
            return [slots.info for slots in self._endpoints.values()]

    def enter(self, service: str, *, timeout_s: float) -> ttypes.EndpointInfo:
        """Takes a slot, waiting in a bounded queue.

        Raises:
            Refused: No slot is to be had in time; the request was not run.
        """
        end_s = time.monotonic() + timeout_s
        with self._condition:
            self._check(service)
            slots = self._free(service)
            if slots is None and self._waiting_count >= self._queue_count:
                raise self._refusal(ttypes.RefusalReason.OVERLOADED)
            self._waiting_count += 1
            try:
                while slots is None:
                    left_s = end_s - time.monotonic()
                    if left_s <= 0:
                        raise self._refusal(ttypes.RefusalReason.TOO_LATE)
                    self._condition.wait(left_s)
                    self._check(service)
                    slots = self._free(service)
            finally:
                self._waiting_count -= 1
            slots.in_flight_count += 1
            return slots.info

    def leave(self, info: ttypes.EndpointInfo) -> None:
        """Gives a slot back."""
        with self._condition:
            slots = self._endpoints.get(info.address)
            if slots is not None:
                slots.in_flight_count -= 1
            self._condition.notify()

    def load(self) -> tuple[int, int]:
        """Requests in flight, and requests that wait."""
        with self._condition:
            in_flight = sum(s.in_flight_count for s in self._endpoints.values())
            return in_flight, self._waiting_count

    def _check(self, service: str) -> None:
        if self.draining:
            raise self._refusal(ttypes.RefusalReason.DRAINING)
        known = (s.info.service_name for s in self._endpoints.values())
        if service not in known:
            raise self._refusal(ttypes.RefusalReason.NO_ENDPOINT)

    def _free(self, service: str) -> _Slots | None:
        free = [
            s
            for s in self._endpoints.values()
            if s.info.service_name == service
            and s.in_flight_count < s.info.slots_count
        ]
        return min(free, key=lambda s: s.in_flight_count, default=None)

    def _refusal(self, reason: ttypes.RefusalReason) -> ttypes.Refused:
        in_flight = sum(s.in_flight_count for s in self._endpoints.values())
        return ttypes.Refused(
            reason=reason, retry_after_ms=200, in_flight=in_flight
        )
