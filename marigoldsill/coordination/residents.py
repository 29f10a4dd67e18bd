"""Who shares a worker now, and who shared it when something was measured."""

import collections
import dataclasses

from marigoldsill.coordination import estimates as estimates_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

THROTTLED_SHARE = 0.3
_HISTORY_COUNT = 64
_WINDOW_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Neighbour:
    """A batch run on a worker.

    Attributes:
        task: Its task.
        family: Its owner's family: what disturbs.
        share: How much of its usual disturbance to expect, 1 unless it is
            throttled.
        cpu_millicores: What it reserved.
        granted_unix_ms: When it was granted.
    """

    task: str
    family: str
    share: float = 1.0
    cpu_millicores: int = 0
    granted_unix_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceRun:
    """A service's instance on a worker."""

    task: str
    service: str


@dataclasses.dataclass(slots=True)
class Residents:
    """The runs on one worker that may disturb each other."""

    services: list[ServiceRun]
    batch: list[Neighbour]
    started: frozenset[Neighbour]


def on_worker(tables: tables_module.Tables, worker: str) -> Residents:
    """Who is on a worker now, by the state."""
    services: list[ServiceRun] = []
    batch: list[Neighbour] = []
    started: list[Neighbour] = []
    for name in tables.tasks_by_worker.get(worker, ()):
        task = tables.tasks[name]
        match task.kind:
            case ttypes.Kind.SERVICE:
                services.append(ServiceRun(name, task.owner))
            case ttypes.Kind.BATCH_JOB:
                neighbour = Neighbour(
                    name,
                    estimates_module.family_of(task.owner),
                    THROTTLED_SHARE if task.throttled else 1.0,
                    task.reserved.cpu_millicores,
                    task.started_unix_ms,
                )
                batch.append(neighbour)
                if task.state != ttypes.TaskState.ASSIGNED:
                    started.append(neighbour)
    return Residents(services, batch, frozenset(started))


class History:
    """A bounded record, by worker, of which batch runs were there when."""

    def __init__(self):
        self._by_worker: dict[
            str, collections.deque[tuple[float, frozenset[Neighbour]]]
        ] = {}

    def note(
        self, worker: str, started: frozenset[Neighbour], *, now_s: float
    ) -> None:
        """Notes who is there from now on, if that changed."""
        entries = self._by_worker.get(worker)
        if entries is None:
            entries = collections.deque(maxlen=_HISTORY_COUNT)
            self._by_worker[worker] = entries
        if not entries or entries[-1][1] != started:
            entries.append((now_s, started))

    def at(self, worker: str, measured_s: float) -> frozenset[Neighbour] | None:
        """Who was there when something was measured.

        None if it is not known any more, or if somebody came or left within
        the window that the measurement covers.
        """
        entries = self._by_worker.get(worker, ())
        for since_s, started in reversed(entries):
            if since_s <= measured_s:
                return started if since_s <= measured_s - _WINDOW_S else None
        return None

    def clear(self) -> None:
        """Forgets everything."""
        self._by_worker.clear()
