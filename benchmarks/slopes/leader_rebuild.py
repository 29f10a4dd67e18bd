"""Measures how long a new leader takes to rebuild its state from the tables."""

import time

from benchmarks.slopes import state_builder
from marigoldsill.coordination.deciding import decision_engine
from marigoldsill.coordination.placement import fleet
from marigoldsill.state import tables as tables_module

_REPEATS_COUNT = 3


def measure_rebuild_s(*, workers_count: int) -> float:
    """Returns the processor time for a number of workers with running tasks."""
    return measure_tables_rebuild_s(
        state_builder.build_running_tables(
            workers_count=workers_count,
            tasks_count=workers_count * state_builder.TASKS_PER_WORKER_COUNT,
        )
    )


def measure_tables_rebuild_s(tables: tables_module.Tables) -> float:
    """Returns the shortest processor time of a few rebuilds from tables."""
    return min(_rebuild_s(tables) for _ in range(_REPEATS_COUNT))


def _rebuild_s(tables: tables_module.Tables) -> float:
    decisions = decision_engine.DecisionEngine()
    now = fleet.Now(monotonic_s=1_000.0, unix_ms=1_780_000_001_000)
    start_s = time.thread_time()
    decisions.rebuild(tables, live=set(tables.workers), now=now)
    return time.thread_time() - start_s
