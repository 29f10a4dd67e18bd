"""The leader's rounds of decisions, timed without the rest of the process."""

import dataclasses
import time

from benchmarks.slopes import states
from marigoldsill.coordination import decisions as decisions_module
from marigoldsill.coordination import fleet
from marigoldsill.state import tables as tables_module

_REPEATS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Times:
    """Processor time of a new leader's first rounds.

    Attributes:
        rebuild_s: Taking the whole state in, once.
        round_s: One round after that.
    """

    rebuild_s: float
    round_s: float


def measure(*, workers_count: int, queued_count: int) -> Times:
    """The shortest of a few first rounds over running workers."""
    tables = states.running(
        workers_count=workers_count,
        tasks_count=workers_count * states.TASKS_PER_WORKER_COUNT,
    )
    return over(tables, queued_count=queued_count)


def over(tables: tables_module.Tables, *, queued_count: int) -> Times:
    """As `measure`, over given tables and some more queued tasks."""
    states.add_jobs(tables, queued_count)
    rounds = [_once(tables) for _ in range(_REPEATS)]
    return Times(
        rebuild_s=min(times.rebuild_s for times in rounds),
        round_s=min(times.round_s for times in rounds),
    )


def _once(tables: tables_module.Tables) -> Times:
    decisions = decisions_module.Decisions()
    now = fleet.Now(monotonic_s=1_000.0, unix_ms=1_780_000_001_000)
    start_s = time.thread_time()
    decisions.rebuild(tables, live=set(tables.workers), now=now)
    rebuilt_s = time.thread_time()
    decisions.round(tables, now=now)
    return Times(
        rebuild_s=rebuilt_s - start_s,
        round_s=time.thread_time() - rebuilt_s,
    )
