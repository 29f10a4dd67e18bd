"""The orders that a leader gives to an agent."""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.runs import run_events
from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True, frozen=True)
class AgentOrders:
    """All orders of one version.

    Attributes:
        term: Term of the leader that sent the orders.
        version: Version of the orders.
        by_run: The orders.
    """

    term: int
    version: int
    by_run: dict[run_events.RunId, ttypes.Order]

    @classmethod
    def of(
        cls, term: int, version: int, orders: Iterable[ttypes.Order]
    ) -> "AgentOrders":
        """Returns orders as they were received."""
        return cls(term, version, {run_events.run_id_of(o): o for o in orders})

    def is_older_than(self, other: "AgentOrders | None") -> bool:
        """Whether other orders, if there are any, have to stay in force."""
        return other is not None and (self.term, self.version) < (
            other.term,
            other.version,
        )
