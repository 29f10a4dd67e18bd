"""Detects and reports watchers that are not running.

The replicated state holds since when a watcher has been absent, so neither a change
of leader nor runs that fail at once reset the time.
"""

import dataclasses

import prometheus_client

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs

_ABSENT_COUNT = prometheus_client.Gauge(
    "marigoldsill_watchers_absent_count",
    "Watchers not running for longer than their absence limit",
)
_ABSENCES = prometheus_client.Counter(
    "marigoldsill_watcher_absences",
    "Times that a watcher was absent longer than its limit",
)


@dataclasses.dataclass(slots=True, frozen=True)
class WatcherAbsence:
    """A watcher that is not running.

    Attributes:
        task: The watcher's task.
        since_unix_ms: When the absence began, as far as is known.
        reason: The reason in the task's record.
    """

    task: str
    since_unix_ms: int
    reason: str


class AbsenceTracker:
    """Tracks watchers that are not running and reports long absences."""

    def __init__(self):
        self._since_unix_ms: dict[str, int] = {}
        self._reported: set[str] = set()

    def update_task(
        self, tables: tables_module.Tables, name: str, *, now_unix_ms: int
    ) -> None:
        """Updates the tracker after a change of a task.

        Args:
            tables: The replicated state.
            name: The task's name.
            now_unix_ms: The time of the round.
        """
        task = tables.tasks.get(name)
        counts_as_present = task is None or task.kind != ttypes.Kind.WATCHER
        if not counts_as_present:
            counts_as_present = task.final_stop or task.state in (
                ttypes.TaskState.RUNNING,
                ttypes.TaskState.CANCELLED,
            )
        if not counts_as_present:
            since_unix_ms = task.absent_since_unix_ms or now_unix_ms
            if task.state == ttypes.TaskState.STOPPING:
                since_unix_ms = now_unix_ms
            self._since_unix_ms.setdefault(name, since_unix_ms)
            return
        self._since_unix_ms.pop(name, None)
        if name in self._reported:
            self._reported.discard(name)
            logs.event("watcher_back", task=name)

    def report_overdue(
        self, tables: tables_module.Tables, *, now_unix_ms: int
    ) -> list[WatcherAbsence]:
        """Returns the watchers over their absence limit; logs each absence once."""
        absent = [
            WatcherAbsence(name, since_unix_ms, tables.tasks[name].reason)
            for name, since_unix_ms in self._since_unix_ms.items()
            if name in tables.tasks
            and now_unix_ms - since_unix_ms > _limit_ms(tables, name)
        ]
        for absence in absent:
            if absence.task not in self._reported:
                self._reported.add(absence.task)
                _ABSENCES.inc()
                logs.event(
                    "watcher_absent",
                    level="ERROR",
                    task=absence.task,
                    absent_ms=now_unix_ms - absence.since_unix_ms,
                    reason=absence.reason,
                )
        _ABSENT_COUNT.set(len(absent))
        return absent


def _limit_ms(tables: tables_module.Tables, name: str) -> int:
    owner = tables.owner_record(tables.tasks[name])
    return getattr(owner, "absence_limit_ms", 0)
