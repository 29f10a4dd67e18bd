"""Schedulable workers in buckets of about the same free processor time.

Workers with enough free capacity are found without a scan of all of them.
"""

import bisect
import itertools
import math
import random

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts

# Each bucket covers free processor time up to 1.5 times that of the one below.
_LOG_BUCKET_RATIO = math.log(1.5)
_BUCKETS_COUNT = 48
_FULL_SCAN_LIMIT = 32
_DRAWS_PER_CANDIDATE = 4


class _Bucket:
    """A set of names that supports random draws in constant time."""

    __slots__ = ("_positions", "names")

    def __init__(self):
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def add(self, name: str) -> None:
        self._positions[name] = len(self.names)
        self.names.append(name)

    def remove(self, name: str) -> None:
        position = self._positions.pop(name)
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position


class WorkerBuckets:
    """Schedulable workers by data centre and free processor time."""

    def __init__(self, *, seed: int):
        self._random = random.Random(seed)
        self._buckets: dict[str, list[_Bucket]] = {}
        self._keys: dict[str, tuple[str, int]] = {}
        self._free: dict[str, ttypes.Resources] = {}

    def data_centres(self) -> list[str]:
        """Data centres that have had a schedulable worker."""
        return list(self._buckets)

    def put(self, name: str, data_centre: str, free: ttypes.Resources) -> None:
        """Adds a worker, or updates what it has free."""
        self._free[name] = free
        key = (data_centre, _bucket_index(free.cpu_millicores))
        if key == self._keys.get(name):
            return
        self._remove_from_bucket(name)
        if data_centre not in self._buckets:
            self._buckets[data_centre] = [
                _Bucket() for _ in range(_BUCKETS_COUNT)
            ]
        self._buckets[data_centre][key[1]].add(name)
        self._keys[name] = key

    def remove(self, name: str) -> None:
        """Removes a worker, if it is there."""
        self._free.pop(name, None)
        self._remove_from_bucket(name)

    def find(
        self,
        demand: ttypes.Resources,
        *,
        limit: int,
        data_centre: str | None = None,
    ) -> list[str]:
        """Finds workers that have the demanded capacity free.

        Args:
            demand: The resources that must be free.
            limit: The maximum number of workers in a random sample. If few
                workers come into question, all that fit are returned.
            data_centre: The only data centre to search, or None for all.
        """
        low = _bucket_index(demand.cpu_millicores)
        centres = [data_centre] if data_centre else self._buckets
        buckets = [
            bucket.names
            for centre in centres
            for bucket in self._buckets.get(centre, [])[low:]
            if bucket.names
        ]
        total = sum(map(len, buckets))
        if total <= _FULL_SCAN_LIMIT:
            return [
                name
                for names in buckets
                for name in names
                if amounts.fits(demand, self._free[name])
            ]
        return self._sample(demand, buckets, total, limit)

    def sample_any(self, limit: int) -> list[str]:
        """A random sample of workers, whatever they have free."""
        buckets = [
            bucket.names
            for buckets in self._buckets.values()
            for bucket in buckets
            if bucket.names
        ]
        total = sum(map(len, buckets))
        if total <= limit:
            return [name for names in buckets for name in names]
        demand = ttypes.Resources(-(1 << 60), -(1 << 60), -(1 << 30))
        return self._sample(demand, buckets, total, limit)

    def _sample(
        self,
        demand: ttypes.Resources,
        buckets: list[list[str]],
        total: int,
        limit: int,
    ) -> list[str]:
        found: dict[str, None] = {}
        ends = list(itertools.accumulate(map(len, buckets)))
        for _ in range(limit * _DRAWS_PER_CANDIDATE):
            position = int(self._random.random() * total)
            bucket = bisect.bisect_right(ends, position)
            name = buckets[bucket][position - ends[bucket]]
            if amounts.fits(demand, self._free[name]):
                found[name] = None
                if len(found) >= limit:
                    break
        return list(found)

    def _remove_from_bucket(self, name: str) -> None:
        key = self._keys.pop(name, None)
        if key is not None:
            self._buckets[key[0]][key[1]].remove(name)


def _bucket_index(cpu_millicores: int) -> int:
    if cpu_millicores < 1:
        return 0
    position = int(math.log(cpu_millicores) / _LOG_BUCKET_RATIO) + 1
    return min(position, _BUCKETS_COUNT - 1)
