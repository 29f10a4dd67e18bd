"""One placement pass of the scheduler, ready to be timed."""

from collections.abc import Callable

from benchmarks.slopes import states
from marigoldsill.coordination.placement import forecast
from marigoldsill.state import tables as tables_module


def prepare(*, workers_count: int, queued_count: int) -> Callable[[], object]:
    """A pass over running workers and some queued tasks."""
    tables = states.running(
        workers_count=workers_count,
        tasks_count=workers_count * states.TASKS_PER_WORKER_COUNT,
    )
    return over(tables, queued_count=queued_count)


def over(
    tables: tables_module.Tables, *, queued_count: int
) -> Callable[[], object]:
    """A pass over given tables and some more queued tasks."""
    states.add_jobs(tables, queued_count)
    return lambda: forecast.place_queued(tables, limit=max(1, queued_count))
