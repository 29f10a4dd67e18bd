"""Runs whose order the leader has removed while the worker may still have them.

An order is removed once the leader has recorded the end of its run. It may have concluded
that end, or recorded it for another reason than the worker's word.
"""

from collections.abc import Container
from collections.abc import Set
import dataclasses

from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts


@dataclasses.dataclass(slots=True, frozen=True)
class _RemovedOrder:
    """An order that the leader removed.

    Attributes:
        resources: What the run reserves.
        removed_s: When the order was removed.
    """

    resources: ttypes.Resources
    removed_s: float


class RemovedOrders:
    """Removed orders for runs that have not ended on the worker for all that is known.

    Not thread-safe: the owner's lock must be held for every call.
    """

    def __init__(self):
        self._by_run: dict[task_names.RunKey, _RemovedOrder] = {}

    @property
    def keys(self) -> Set[task_names.RunKey]:
        """The runs."""
        return self._by_run.keys()

    def resources_of(self, key: task_names.RunKey) -> ttypes.Resources | None:
        """Returns what a run reserves, or None if it is not one of these."""
        removed = self._by_run.get(key)
        return None if removed is None else removed.resources

    def add(self, order: ttypes.RunOrder, *, now_s: float) -> None:
        """Adds a run that the worker may have."""
        self._by_run[order.task, order.run] = _RemovedOrder(
            order.resources or amounts.ZERO, now_s
        )

    def discard(self, key: task_names.RunKey) -> None:
        """Removes a run that has ended or will never begin, or is ordered again."""
        self._by_run.pop(key, None)

    def discard_unlisted(
        self, running: Container[task_names.RunKey], *, now_s: float
    ) -> None:
        """Removes runs that the worker neither lists nor may begin any more.

        Args:
            running: The runs that the worker lists.
            now_s: The time.
        """
        self._by_run = {
            key: removed
            for key, removed in self._by_run.items()
            if key in running
            # A start request without an answer may still be carried out.
            or now_s - removed.removed_s <= late_calls.LATE_CALL_LIMIT_S
        }

    def clear(self) -> None:
        """Removes all runs, as the worker's incarnation has ended."""
        self._by_run.clear()
