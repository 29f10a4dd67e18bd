"""Workers that were deregistered and may not have ended yet."""

from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# How long a deregistration of a worker that does not drain is open. It drains before it
# deregisters, so this is a message of an earlier incarnation or of another writer.
_DEREGISTRATION_S = 10.0
# Maximum number of deregistered incarnations; only one is real.
_DEPARTURES_LIMIT = 8


@dataclasses.dataclass(slots=True)
class _Departure:
    """An open deregistration.

    Attributes:
        since_s: When it arrived.
        is_certain: Whether the incarnation drained by then, or was not called yet.
        is_answered: Whether the incarnation has answered the last call since then.
    """

    since_s: float
    is_certain: bool
    is_answered: bool = False


class Departures:
    """Incarnations that were deregistered and may not have ended yet.

    Not thread-safe: the owner's lock must be held for every call.
    """

    def __init__(self):
        # The oldest first.
        self._by_id: dict[str, _Departure] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are none."""
        return not self._by_id

    def open_ids(self, *, now_s: float) -> list[str]:
        """Returns the incarnations, after removing outdated deregistrations."""
        self._by_id = {
            worker_id: departure
            for worker_id, departure in self._by_id.items()
            if departure.is_certain
            or now_s - departure.since_s <= _DEREGISTRATION_S
        }
        return list(self._by_id)

    @property
    def last_since_s(self) -> float:
        """When the last deregistration arrived, or negative infinity."""
        return max((d.since_s for d in self._by_id.values()), default=-math.inf)

    def since_s(self, worker_id: str) -> float:
        """Returns when an incarnation was deregistered, or infinity."""
        departure = self._by_id.get(worker_id)
        return math.inf if departure is None else departure.since_s

    def is_known(self, worker_id: str) -> bool:
        """Whether an incarnation was deregistered."""
        return worker_id in self._by_id

    def is_unanswered(self, worker_id: str) -> bool:
        """Whether an incarnation was deregistered and left the last call unanswered."""
        departure = self._by_id.get(worker_id)
        return departure is not None and not departure.is_answered

    def prevent_starts(self, worker_id: str) -> bool:
        """Whether an incarnation was deregistered by a name that no other one has."""
        started_ms = incarnation_ids.started_unix_ms_of(worker_id)
        return started_ms is None and worker_id in self._by_id

    def record(
        self,
        name: str,
        *,
        current: ttypes.PoolWorker | None,
        other_ids: Iterable[str],
        now_s: float,
    ) -> None:
        """Records a deregistration; a repeated one has no effect.

        Args:
            name: The name of the worker that was deregistered.
            current: The current incarnation, or None.
            other_ids: Other incarnations that may not have ended; they count if the
                current one has another name.
            now_s: The time.
        """
        current_id = "" if current is None else current.worker_id
        is_current = incarnation_ids.name_of(current_id) == name
        named_ids = {
            worker_id
            for worker_id in ((current_id,) if is_current else other_ids)
            if incarnation_ids.name_of(worker_id) == name
        }
        for worker_id in named_ids or {name}:
            if worker_id in self._by_id:
                continue
            logs.event("worker_deregistered", worker_id=worker_id)
            self._by_id[worker_id] = _Departure(
                now_s, is_certain=worker_id != current_id or current.draining
            )
            if len(self._by_id) > _DEPARTURES_LIMIT:
                del self._by_id[next(i for i in self._by_id if i != current_id)]

    def record_answer(
        self, worker_id: str, *, may_leave: bool, now_s: float
    ) -> None:
        """Records an answer of an incarnation.

        Args:
            worker_id: The incarnation.
            may_leave: Whether it announces that it drains, or is not the current one.
            now_s: The time.
        """
        departure = self._by_id.get(worker_id)
        if departure is None:
            return
        departure.is_answered = True
        if not may_leave and now_s - departure.since_s > _DEREGISTRATION_S:
            del self._by_id[worker_id]

    def record_unanswered(self, worker_id: str) -> None:
        """Records a call without an answer."""
        if departure := self._by_id.get(worker_id):
            departure.is_answered = False

    def remove(self, worker_id: str) -> None:
        """Removes an incarnation that has ended."""
        self._by_id.pop(worker_id, None)
