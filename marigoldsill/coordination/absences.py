"""Watchers that are absent for longer than they may be.

Since when one is absent is in the replicated state, so that a change of leader
doesn't start the count over; a run too short to matter doesn't either.
"""

import time

import prometheus_client

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs

_REMIND_S = 60.0
_ABSENT = prometheus_client.Gauge(
    "marigoldsill_watcher_absent_seconds",
    "How long a watcher that is absent too long has been so.",
    ["watcher"],
)
_OVER = (ttypes.TaskState.CANCELLED, ttypes.TaskState.DONE)


def absent_for_ms(
    tables: tables_module.Tables, *, now_unix_ms: int
) -> dict[str, int]:
    """How long each watcher that is over its limit is absent, by task."""
    tasks = (t for name in tables.watchers for t in tables.tasks_of(name))
    absent = {
        task.name: now_unix_ms - task.absent_since_unix_ms
        for task in tasks
        if task.state != ttypes.TaskState.RUNNING and task.state not in _OVER
    }
    return {
        name: for_ms
        for name, for_ms in absent.items()
        if for_ms > tables.owner_record(tables.tasks[name]).absence_limit_ms
    }


class AbsenceReporter:
    """Makes each absence an event and a metric; the leader's scheduler calls.

    An absence is written when it is noticed, again each minute, and when it
    has ended.
    """

    def __init__(self):
        self._told_s: dict[str, float] = {}

    def report(self, absent: dict[str, int], reasons: dict[str, str]) -> None:
        """Writes what `absent_for_ms` found.

        Args:
            absent: Milliseconds of absence by task.
            reasons: Why each task doesn't run, as far as known.
        """
        now_s = time.monotonic()
        for name, for_ms in absent.items():
            _ABSENT.labels(name).set(for_ms / 1000)
            if now_s - self._told_s.get(name, -_REMIND_S) < _REMIND_S:
                continue
            self._told_s[name] = now_s
            logs.event(
                "watcher_absent",
                level="ERROR",
                task=name,
                absent_ms=for_ms,
                reason=reasons.get(name, ""),
            )
        for name in [n for n in self._told_s if n not in absent]:
            del self._told_s[name]
            _ABSENT.remove(name)
            logs.event("watcher_back", task=name)
