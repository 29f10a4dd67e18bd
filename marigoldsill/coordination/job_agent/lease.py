"""The lease that an agent holds from a leader."""

import dataclasses

from marigoldsill.transport import clock


@dataclasses.dataclass(slots=True, frozen=True)
class Lease:
    """A leader's permission to keep runs alive and to start runs by its orders.

    Attributes:
        end_s: When the lease expires, on `clock`.
        term: The term of the leader that granted it.
        min_orders_version: Orders of an older version must not be started.
    """

    end_s: float = 0.0
    term: int = 0
    min_orders_version: int = 0

    @property
    def is_live(self) -> bool:
        """Whether the lease has not expired."""
        return clock.now_s() < self.end_s
