"""Measures the time of a plan among many tasks and the audit trail's memory."""

import statistics
import sys
import time
import tracemalloc

from benchmarks import table
from marigoldsill.coordination.plans import guards
from marigoldsill.coordination.plans import planning
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import audit
from marigoldsill.state import tables as tables_module
from tests.state import states

_TASKS_COUNTS = (1_000, 10_000)
_TASKS_PER_WORKER_COUNT = 12
_WAITING_COUNTS = (500, 4_000)
_REPEATS_COUNT = 5
_RECORDS_COUNT = 1_000


def run() -> list[table.Row]:
    """Measures planning and the audit trail."""
    return [*_planning_rows(), *_audit_rows()]


def _planning_rows() -> list[table.Row]:
    plan_and_copy_ms = {
        count: _measure_plan_ms(_make_running_tables(count))
        for count in _TASKS_COUNTS
    }
    fewest, most = _TASKS_COUNTS
    rows = [
        table.Row(f"plans: {name} among {count} tasks", time_ms, "ms")
        for count, times_ms in plan_and_copy_ms.items()
        for name, time_ms in zip(
            ("one more job", "copy under the lock"), times_ms, strict=True
        )
    ]
    waiting_plan_ms = {
        count: _measure_plan_ms(_make_waiting_tables(count))[0]
        for count in _WAITING_COUNTS
    }
    fewest_waiting, most_waiting = _WAITING_COUNTS
    return [
        *rows,
        *(
            table.Row(
                f"plans: one more job after {count} waiting", time_ms, "ms"
            )
            for count, time_ms in waiting_plan_ms.items()
        ),
        table.Row(
            "plans: eight times the waiting tasks against the waiting tasks",
            waiting_plan_ms[most_waiting] / waiting_plan_ms[fewest_waiting],
            "ratio",
            20.0,
            "max",
        ),
        table.Row(
            "plans: ten times the tasks against the tasks",
            plan_and_copy_ms[most][0] / plan_and_copy_ms[fewest][0],
            "ratio",
            30.0,
            "max",
        ),
        table.Row(
            "plans: time under the lock against the whole plan",
            plan_and_copy_ms[most][1]
            / (plan_and_copy_ms[most][0] + plan_and_copy_ms[most][1]),
            "ratio",
            0.6,
            "max",
        ),
    ]


def _make_running_tables(count: int) -> tables_module.Tables:
    """Returns tables with many running instances of a service."""
    workers = [f"w{i}" for i in range(count // _TASKS_PER_WORKER_COUNT + 1)]
    tables = states.with_workers(*workers)
    states.apply_changes(
        tables, states.declare(states.service("big", instances=count))
    )
    grants = [
        ttypes.Assignment(
            task=name,
            epoch=1,
            worker=workers[index // _TASKS_PER_WORKER_COUNT],
            reserved=states.SMALL,
        )
        for index, name in enumerate(sorted(tables.tasks))
    ]
    states.apply(tables, assign_runs=ttypes.AssignRuns(assignments=grants))
    return tables


def _make_waiting_tables(count: int) -> tables_module.Tables:
    """Returns tables without free capacity and with waiting batch jobs."""
    tables = _make_running_tables(_TASKS_COUNTS[0])
    for worker in tables.workers.values():
        worker.capacity = ttypes.Resources(
            cpu_millicores=_TASKS_PER_WORKER_COUNT * 1000,
            memory_bytes=_TASKS_PER_WORKER_COUNT << 30,
        )
    jobs = (states.batch_job(f"job{number}") for number in range(count))
    states.apply_changes(tables, *(states.declare(job) for job in jobs))
    return tables


def _measure_plan_ms(tables: tables_module.Tables) -> tuple[float, float]:
    """Returns median milliseconds of a plan and of its copy of the tables."""
    plan_ms, copy_ms = [], []
    for _ in range(_REPEATS_COUNT):
        start_s = time.perf_counter()
        copy = tables.copy_for_simulation()
        copied_s = time.perf_counter()
        planner = planning.Planner(
            tables=copy,
            observations=guards.Observations(),
            operator_name="desk-1",
        )
        planner.make_plan([states.declare(states.batch_job("rebuild"))])
        copy_ms.append((copied_s - start_s) * 1000)
        plan_ms.append((time.perf_counter() - copied_s) * 1000)
    return statistics.median(plan_ms), statistics.median(copy_ms)


def _audit_rows() -> list[table.Row]:
    tables = states.with_workers("w1")
    tracemalloc.start()
    for number in range(_RECORDS_COUNT):
        record = states.service(f"service-{number}")
        change = states.declare(record)
        change.after = planning.format_record(record)
        states.plan(tables, change)
    tables.plans.clear()
    tables.operator_results.clear()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    record_bytes = held_bytes / _RECORDS_COUNT
    return [
        table.Row(
            "plans: memory of an audit record",
            record_bytes,
            "bytes",
            3_000.0,
            "max",
        ),
        table.Row(
            "plans: memory of a full audit trail",
            record_bytes * audit.RECORDS_LIMIT / (1 << 20),
            "MB",
            16.0,
            "max",
        ),
    ]


if __name__ == "__main__":
    sys.stdout.write(table.render(run()))
