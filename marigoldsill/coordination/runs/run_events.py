"""An agent's run events, each sent until control has recorded it."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
import threading

import prometheus_client

from marigoldsill.protocol.generated import ttypes

_END_KINDS = frozenset(
    {
        ttypes.RunEventKind.STOPPED,
        ttypes.RunEventKind.COMPLETED,
        ttypes.RunEventKind.FAILED,
        ttypes.RunEventKind.LOST,
        ttypes.RunEventKind.REFUSED,
    }
)
_PENDING_EVENTS = prometheus_client.Gauge(
    "marigoldsill_run_events_waiting", "Events that control has not recorded."
)


@dataclasses.dataclass(slots=True, frozen=True)
class RunId:
    """Identifies a run: an epoch of a task."""

    task: str
    epoch: int


def run_id_of(
    item: ttypes.Order | ttypes.RunEvent | ttypes.Assignment,
) -> RunId:
    """Returns the run of an order, an event or an assignment."""
    return RunId(item.task, item.epoch)


class EventOutbox:
    """Events that control has not recorded yet, and what was reported."""

    def __init__(self, *, on_event: Callable[[], None] = lambda: None):
        self._on_event = on_event
        self._lock = threading.Lock()
        self._pending: dict[int, ttypes.RunEvent] = {}
        self._reported: dict[RunId, set[tuple[int, str]]] = {}
        self._ids = itertools.count(1)

    def add(self, event: ttypes.RunEvent) -> None:
        """Queues an event; one that was already reported is ignored."""
        run, content = run_id_of(event), (event.kind, event.checkpoint_id)
        if event.kind != ttypes.RunEventKind.CHECKPOINTED:
            content = (event.kind, "")
        with self._lock:
            reported = self._reported.setdefault(run, set())
            if content in reported:
                return
            reported.add(content)
            self._drop_older_checkpoints(event)
            event.event_id = next(self._ids)
            self._pending[event.event_id] = event
            _PENDING_EVENTS.set(len(self._pending))
        self._on_event()

    def pending_events(self, *, limit: int) -> list[ttypes.RunEvent]:
        """Returns the oldest events that control has not acknowledged."""
        with self._lock:
            return list(itertools.islice(self._pending.values(), limit))

    def acknowledge(self, event_ids: Iterable[int]) -> list[ttypes.RunEvent]:
        """Drops events that control has recorded and returns them."""
        with self._lock:
            acknowledged = [self._pending.pop(i, None) for i in event_ids]
            _PENDING_EVENTS.set(len(self._pending))
        return [event for event in acknowledged if event is not None]

    def has_started(self, run: RunId) -> bool:
        """Whether the start of a run was reported."""
        with self._lock:
            reported = self._reported.get(run, ())
            return (ttypes.RunEventKind.STARTED, "") in reported

    def has_ended(self, run: RunId) -> bool:
        """Whether an end of a run, of any kind, was reported."""
        with self._lock:
            reported = self._reported.get(run, ())
            return any(kind in _END_KINDS for kind, _ in reported)

    def has_pending(self, run: RunId) -> bool:
        """Whether control has yet to record an event of a run."""
        with self._lock:
            return any(run_id_of(e) == run for e in self._pending.values())

    def retain_runs(self, runs: set[RunId]) -> None:
        """Drops reports of runs not in `runs` that have no pending events."""
        with self._lock:
            kept = runs | {run_id_of(e) for e in self._pending.values()}
            for run in [r for r in self._reported if r not in kept]:
                del self._reported[run]

    def _drop_older_checkpoints(self, event: ttypes.RunEvent) -> None:
        if event.kind != ttypes.RunEventKind.CHECKPOINTED:
            return
        older = [
            event_id
            for event_id, other in self._pending.items()
            if other.kind == event.kind and run_id_of(other) == run_id_of(event)
        ]
        for event_id in older:
            del self._pending[event_id]
