"""Free capacity of all workers, with a change log."""

import collections
from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts

# Length of the change log per worker. A reader that lags further has to process all
# workers, which costs less by then.
_CHANGES_RATIO = 4
# More than the number of workers of a system.
_ORDINALS_PER_POSITION = 1 << 20


@dataclasses.dataclass(slots=True, frozen=True)
class _Contribution:
    """The contribution of one worker to the totals of its pool and its rack."""

    rack_key: tuple[str, str]
    capacity: ttypes.Resources
    free_millicores: int
    idle_millicores: float


@dataclasses.dataclass(slots=True)
class _PoolTotals:
    """Sums over the workers of a pool."""

    capacity: ttypes.Resources = dataclasses.field(
        default_factory=ttypes.Resources
    )
    free_millicores: int = 0
    idle_millicores: float = 0.0


class CapacityIndex:
    """Workers on which tasks may start; used by one thread.

    Attributes:
        workers: Free capacity of each worker, by agent.
    """

    def __init__(self, *, interleaves_racks: bool = False):
        """Creates an index without workers.

        Args:
            interleaves_racks: Whether the first workers of all racks are numbered
                before the second ones; otherwise in the order of appearance.
        """
        self._interleaves_racks = interleaves_racks
        self.workers: dict[str, free_capacity.FreeCapacity] = {}
        self._ordinals: dict[str, int] = {}
        self._numbered_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._contributions: dict[str, _Contribution] = {}
        self._pools: dict[str, _PoolTotals] = {}
        # Agents by pool and rack; the values are unused.
        self._racks: dict[tuple[str, str], dict[str, None]] = {}
        self._rack_versions: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._changes: list[str] = []
        self._dropped_count = 0

    @property
    def position(self) -> int:
        """The end position of the change log."""
        return self._dropped_count + len(self._changes)

    def put(self, free: free_capacity.FreeCapacity) -> None:
        """Adds a worker, or replaces its free capacity."""
        self.workers[free.agent] = free
        self.record_change(free.agent)

    def remove(self, agent: str) -> None:
        """Removes a worker; it may be put again later."""
        if self.workers.pop(agent, None) is not None:
            self.record_change(agent)

    def record_change(self, agent: str) -> None:
        """Records that a worker's free capacity was changed in place."""
        self._changes.append(agent)
        limit = _CHANGES_RATIO * len(self.workers) + 1
        if len(self._changes) > 2 * limit:
            self._dropped_count += len(self._changes) - limit
            del self._changes[:-limit]
        self._update_pool(agent)

    def changed_since(self, position: int) -> Iterable[str]:
        """Returns agents whose worker changed since a log position, in order."""
        if position < self._dropped_count:
            return dict.fromkeys([*self.workers, *self._changes])
        return dict.fromkeys(self._changes[position - self._dropped_count :])

    def ordinal(self, agent: str) -> int:
        """Returns an agent's number, assigned when it is first requested."""
        ordinal = self._ordinals.get(agent)
        if ordinal is None:
            ordinal = len(self._ordinals)
            contribution = self._contributions.get(agent)
            if self._interleaves_racks and contribution is not None:
                rack_key = contribution.rack_key
                position = self._numbered_counts[rack_key]
                self._numbered_counts[rack_key] += 1
                ordinal += position * _ORDINALS_PER_POSITION
            self._ordinals[agent] = ordinal
        return ordinal

    def reserved_share(self, pool: str) -> float:
        """Returns the reserved share of a pool's processor time; 0 if unknown."""
        totals = self._pools.get(pool, _PoolTotals())
        if not totals.capacity.cpu_millicores:
            return 0.0
        return 1 - totals.free_millicores / totals.capacity.cpu_millicores

    def used_share(self, pool: str) -> float:
        """Returns the share of a pool that is reserved or used, the larger one."""
        totals = self._pools.get(pool)
        if totals is None or not totals.capacity.cpu_millicores:
            return 0.0
        unused_millicores = min(totals.free_millicores, totals.idle_millicores)
        unused_share = unused_millicores / totals.capacity.cpu_millicores
        return min(1.0, max(0.0, 1 - unused_share))

    def pool_capacity(self, pool: str) -> ttypes.Resources:
        """Returns the capacity of a pool's workers; zero if the pool is unknown."""
        return self._pools.get(pool, _PoolTotals()).capacity

    def rack_workers(
        self, pool: str, rack: str
    ) -> list[free_capacity.FreeCapacity]:
        """Returns the workers of a pool that are in a rack."""
        agents = self._racks.get((pool, rack), ())
        return [self.workers[agent] for agent in agents]

    def rack_version(self, pool: str, rack: str) -> int:
        """Returns a number that increases with each change of a worker in a rack."""
        return self._rack_versions[pool, rack]

    def _update_pool(self, agent: str) -> None:
        before = self._contributions.pop(agent, None)
        self._add_to_pool(before, sign=-1)
        free = self.workers.get(agent)
        after = None
        if free is not None:
            worker = free.worker
            after = _Contribution(
                (worker.pool, worker.rack),
                worker.capacity,
                free.cpu_millicores,
                free.idle_millicores,
            )
            self._contributions[agent] = after
            self._add_to_pool(after, sign=1)
        self._update_rack(
            agent,
            None if before is None else before.rack_key,
            None if after is None else after.rack_key,
        )

    def _update_rack(
        self,
        agent: str,
        before: tuple[str, str] | None,
        after: tuple[str, str] | None,
    ) -> None:
        if after is not None:
            self._rack_versions[after] += 1
        if before == after:
            return
        if before is not None:
            self._rack_versions[before] += 1
            del self._racks[before][agent]
        if after is not None:
            self._racks.setdefault(after, {})[agent] = None

    def _add_to_pool(
        self, contribution: _Contribution | None, *, sign: int
    ) -> None:
        if contribution is None:
            return
        pool = self._pools.setdefault(contribution.rack_key[0], _PoolTotals())
        operation = amounts.add if sign > 0 else amounts.subtract
        pool.capacity = operation(pool.capacity, contribution.capacity)
        pool.free_millicores += sign * contribution.free_millicores
        pool.idle_millicores += sign * contribution.idle_millicores
