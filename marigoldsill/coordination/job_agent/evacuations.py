"""The data centres that are evacuated, as the leader last told this agent."""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs


class Evacuations:
    """Evacuated data centres; no run may start on their workers."""

    def __init__(self):
        self._data_centres: frozenset[str] = frozenset()

    def includes(self, worker: ttypes.PoolWorker | None) -> bool:
        """Returns whether a worker's data centre is evacuated."""
        return worker is not None and worker.data_centre in self._data_centres

    def update(
        self, data_centres: Iterable[str], worker: ttypes.PoolWorker | None
    ) -> None:
        """Replaces the data centres, and logs a change that concerns the worker."""
        was_evacuated = self.includes(worker)
        self._data_centres = frozenset(data_centres)
        is_evacuated = self.includes(worker)
        if is_evacuated != was_evacuated:
            logs.event(
                "worker_evacuated",
                worker_id=worker.worker_id,
                data_centre=worker.data_centre,
                evacuated=is_evacuated,
            )
