"""Decided changes of workers' states that are not in the replicated state yet."""

import dataclasses

from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    before: ttypes.WorkerState
    after: ttypes.WorkerState
    reason: str


class WorkerStateChanges:
    """Holds at most one decided change for each worker."""

    def __init__(self):
        self._changes: dict[str, _Change] = {}

    def quarantine(self, worker: str, reason: str) -> None:
        """Decides to quarantine an active worker."""
        self._changes[worker] = _Change(
            ttypes.WorkerState.ACTIVE, ttypes.WorkerState.QUARANTINED, reason
        )

    def probe(self, worker: str) -> None:
        """Decides to let a quarantined worker have one run at a time."""
        self._changes[worker] = _Change(
            ttypes.WorkerState.QUARANTINED,
            ttypes.WorkerState.ACTIVE,
            "probed with one run at a time",
        )

    def pending_records(
        self, tables: tables_module.Tables
    ) -> list[ttypes.Worker]:
        """Returns the workers' records to propose, until the state contains them.

        The change is dropped for a worker whose state has changed otherwise in the
        meantime, because it was drained or lost.
        """
        self._changes = {
            name: change
            for name, change in self._changes.items()
            if name in tables.workers
            and tables.workers[name].state == change.before
        }
        return [
            with_state(tables.workers[name], change.after, change.reason)
            for name, change in self._changes.items()
        ]


def with_state(
    worker: ttypes.Worker, state: ttypes.WorkerState, reason: str
) -> ttypes.Worker:
    """Returns a copy of a worker's record with another state."""
    return records.replace(worker, state=state, reason=reason)
