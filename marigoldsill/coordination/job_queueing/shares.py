"""Guaranteed shares of the dominant resource of a pool, and what uses them.

A share belongs to one queue, or to all queues of a priority together. In each pool in
which such a queue runs, its tasks may have at least that part of the pool's capacity in
the resource of which they need most (dominant resource fairness).
"""

from collections.abc import Mapping
import dataclasses

from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts

# The share to which queues without a guarantee belong.
UNGUARANTEED = ""


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class ShareKey:
    """A share in one pool.

    Attributes:
        pool: The pool.
        share: The name of the share; empty for queues without a guarantee.
    """

    pool: str
    share: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ShareSettings:
    """The shares that a deployment guarantees.

    Attributes:
        ratios: The guaranteed ratio of each share, by the name of a queue or
            "priority-N".
        reclaim_s: How long a step of a share below its guarantee waits until runs
            of other queues are evicted.
    """

    ratios: Mapping[str, float]
    reclaim_s: float

    def share_of(self, queue: str, priority: int) -> str:
        """Returns the share of a queue; its name goes before its priority."""
        if queue in self.ratios:
            return queue
        by_priority = f"priority-{priority}"
        return by_priority if by_priority in self.ratios else UNGUARANTEED

    def key_of(self, queue: ttypes.Queue) -> ShareKey:
        """Returns the share of a queue in its pool."""
        return ShareKey(queue.pool, self.share_of(queue.name, queue.priority))

    def ratio_of(self, key: ShareKey) -> float:
        """Returns a share's guaranteed ratio; 0 without a guarantee."""
        return self.ratios.get(key.share, 0.0)

    def sum_usage(
        self, usage: usage_module.Usage
    ) -> dict[ShareKey, ttypes.Resources]:
        """Returns the resources that runs of each share reserve."""
        totals: dict[ShareKey, ttypes.Resources] = {}
        for queue, resources in usage.by_queue_key.items():
            share = self.share_of(queue.name, queue.priority)
            amounts.add_to(totals, ShareKey(queue.pool, share), resources)
        return totals


class ShareStatus:
    """A share in one pool at a time; not changed once it is created.

    Attributes:
        guaranteed_ratio: The guaranteed part of the capacity; 0 for none.
        allocated: What its runs reserve.
        capacity: The capacity of the pool.
        usage_ratio: The dominant share of the capacity that its runs reserve.
    """

    __slots__ = ("allocated", "capacity", "guaranteed_ratio", "usage_ratio")

    def __init__(
        self,
        *,
        guaranteed_ratio: float,
        allocated: ttypes.Resources,
        capacity: ttypes.Resources,
    ):
        self.guaranteed_ratio = guaranteed_ratio
        self.allocated = allocated
        self.capacity = capacity
        self.usage_ratio = amounts.dominant_share(allocated, capacity)

    @property
    def is_covered(self) -> bool:
        """Whether its runs have at least what is guaranteed."""
        return amounts.is_at_least(self.usage_ratio, self.guaranteed_ratio)

    def add(self, resources: ttypes.Resources) -> "ShareStatus":
        """Returns the status with further resources allocated."""
        return self._with_allocated(amounts.add(self.allocated, resources))

    def subtract(self, resources: ttypes.Resources) -> "ShareStatus":
        """Returns the status with fewer resources allocated."""
        return self._with_allocated(amounts.subtract(self.allocated, resources))

    def may_reclaim(self, resources: ttypes.Resources) -> bool:
        """Whether other shares have to give back resources for one more task.

        A share without any run gets one task even if that is larger than its
        guarantee. As a share never gives back what brings it below its guarantee,
        two shares can't evict each other's runs in turn.
        """
        if not self.guaranteed_ratio:
            return False
        return self.allocated == amounts.ZERO or amounts.is_at_least(
            self.guaranteed_ratio, self.add(resources).usage_ratio
        )

    def may_give_back(self, resources: ttypes.Resources) -> bool:
        """Whether its runs still have what is guaranteed without some resources."""
        return self.subtract(resources).is_covered

    def _with_allocated(self, allocated: ttypes.Resources) -> "ShareStatus":
        return ShareStatus(
            guaranteed_ratio=self.guaranteed_ratio,
            allocated=allocated,
            capacity=self.capacity,
        )
