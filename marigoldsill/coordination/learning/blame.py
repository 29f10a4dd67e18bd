"""Blame of workers for failed runs, by how the same family did on other workers."""

import collections

# Blame for one failure.
SUCCEEDED_ELSEWHERE_WEIGHT = 1.0
_UNKNOWN_WEIGHT = 0.6
FAILED_ELSEWHERE_WEIGHT = 0.05
_FAMILIES_LIMIT = 20_000
_WORKERS_PER_FAMILY = 4


class Blame:
    """On which workers runs of each family succeeded and failed last."""

    def __init__(self):
        self._succeeded_on: dict[str, collections.deque[str]] = {}
        self._failed_on: dict[str, collections.deque[str]] = {}

    def record_success(self, worker: str, family: str) -> None:
        """Records that a run of a family succeeded on a worker."""
        _add_worker(self._succeeded_on, family, worker)

    def record_failure(self, worker: str, family: str) -> None:
        """Records that a run of a family failed on a worker."""
        _add_worker(self._failed_on, family, worker)

    def weight(self, worker: str, family: str) -> float:
        """Returns the blame of a worker for one failure of a family."""
        if any(w != worker for w in self._succeeded_on.get(family, ())):
            return SUCCEEDED_ELSEWHERE_WEIGHT
        if any(w != worker for w in self._failed_on.get(family, ())):
            return FAILED_ELSEWHERE_WEIGHT
        return _UNKNOWN_WEIGHT


def _add_worker(
    workers_by_family: dict[str, collections.deque[str]],
    family: str,
    worker: str,
) -> None:
    if family not in workers_by_family:
        if len(workers_by_family) >= _FAMILIES_LIMIT:
            workers_by_family.pop(next(iter(workers_by_family)))
        workers_by_family[family] = collections.deque(
            maxlen=_WORKERS_PER_FAMILY
        )
    if worker not in workers_by_family[family]:
        workers_by_family[family].append(worker)
