"""Measures memory, snapshots, commands and rebuilds by the size of the state.

Run alone: `python -m benchmarks.slopes.state`.
"""

from collections.abc import Callable
import gc
import time
import tracemalloc

from benchmarks.slopes import fit
from benchmarks.slopes import leader_rebuild
from benchmarks.slopes import messages
from benchmarks.slopes import state_builder
from marigoldsill.coordination.requests import routing
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_TASKS_COUNTS = (2_000, 4_000, 8_000)
_WORKERS_COUNTS = (225, 450, 900)
_TEAMS_COUNTS = (100, 200, 400)
_COMMANDS_COUNTS = (500, 1_000, 2_000)
_ROUTES_COUNTS = (1_000, 2_000, 4_000)
_REPEATS_COUNT = 3


def measure_allocated_bytes(
    prepare: Callable[[tables_module.Tables], None],
    grow: Callable[[tables_module.Tables], None],
) -> int:
    """Returns the memory that `grow` adds to the tables, by tracemalloc."""
    tables = tables_module.Tables()
    prepare(tables)
    tables.results.clear()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        grow(tables)
        tables.results.clear()  # measured apart: limited in number
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def min_cpu_s(action: Callable[[], object]) -> float:
    """Returns the shortest processor time of this thread in a few runs."""
    return min(_cpu_s(action) for _ in range(_REPEATS_COUNT))


def measure_memory() -> list[fit.Slope]:
    """Measures the memory of each kind of record in the state."""

    def tasks_bytes(count: int) -> int:
        def grow(tables: tables_module.Tables) -> None:
            state_builder.add_jobs(tables, count)
            state_builder.start_all_tasks(tables)

        workers_count = count // state_builder.TASKS_PER_WORKER_COUNT + 1
        return measure_allocated_bytes(
            lambda t: state_builder.add_workers(t, workers_count), grow
        )

    return [
        fit.measure_line(
            "memory of a task",
            _TASKS_COUNTS,
            tasks_bytes,
            unit="bytes",
            per="running task with its job",
            bound=4_000,
        ),
        fit.measure_line(
            "memory of a worker",
            _WORKERS_COUNTS,
            lambda count: measure_allocated_bytes(
                lambda _: None, lambda t: state_builder.add_workers(t, count)
            ),
            unit="bytes",
            per="worker",
            bound=1_500,
        ),
        fit.measure_line(
            "memory of a change",
            _TEAMS_COUNTS,
            lambda count: measure_allocated_bytes(
                lambda _: None, lambda t: state_builder.add_teams(t, count)
            ),
            unit="bytes",
            per="change with its plan, audit records and team",
            bound=6_000,
        ),
        fit.measure_line(
            "memory of a claim",
            _COMMANDS_COUNTS,
            lambda count: measure_allocated_bytes(
                lambda _: None, lambda t: _add_claims(t, count)
            ),
            unit="bytes",
            per="claim with an answer of 256 bytes",
            bound=2_500,
        ),
        fit.measure_line(
            "memory of a result",
            _COMMANDS_COUNTS,
            _results_bytes,
            unit="bytes",
            per="remembered command result",
            bound=800,
        ),
    ]


def measure_snapshots() -> list[fit.Slope]:
    """Measures size and time of a snapshot by running tasks."""
    tables_by_count = {
        count: state_builder.build_running_tables(
            workers_count=count // state_builder.TASKS_PER_WORKER_COUNT + 1,
            tasks_count=count,
        )
        for count in _TASKS_COUNTS
    }
    for tables in tables_by_count.values():
        tables.results.clear()
    data = {
        count: tables.to_bytes() for count, tables in tables_by_count.items()
    }
    return [
        fit.measure_line(
            "snapshot bytes",
            _TASKS_COUNTS,
            lambda count: len(data[count]),
            unit="bytes",
            per="running task with its job and share of a worker",
            bound=700,
        ),
        fit.measure_line(
            "snapshot write time",
            _TASKS_COUNTS,
            lambda count: min_cpu_s(tables_by_count[count].to_bytes) * 1e6,
            unit="us",
            per="running task",
        ),
        fit.measure_line(
            "snapshot read time",
            _TASKS_COUNTS,
            lambda count: (
                min_cpu_s(lambda: tables_module.Tables.from_bytes(data[count]))
                * 1e6
            ),
            unit="us",
            per="running task",
        ),
    ]


def measure_apply_time() -> list[fit.Slope]:
    """Measures the processor time to apply all commands of a run."""

    def apply_us(count: int) -> float:
        def apply_once_s() -> float:
            tables = tables_module.Tables()
            state_builder.add_workers(
                tables, count // state_builder.TASKS_PER_WORKER_COUNT + 1
            )
            state_builder.add_jobs(tables, count)
            grants = state_builder.make_assignments(tables, count)
            return _cpu_s(lambda: _apply_run(tables, grants))

        return min(apply_once_s() for _ in range(_REPEATS_COUNT)) * 1e6

    return [
        fit.measure_line(
            "apply time of a run",
            _COMMANDS_COUNTS,
            apply_us,
            unit="us",
            per="run (granted, started, completed; decoded and applied)",
        )
    ]


def measure_rebuild() -> list[fit.Slope]:
    """Measures the processor time of a new leader's rebuild.

    Rounds that place tasks are measured by `benchmarks.placement_time`.
    """
    rebuilds_s = {
        count: leader_rebuild.measure_rebuild_s(workers_count=count)
        for count in _WORKERS_COUNTS
    }
    return [
        fit.measure_line(
            "rebuild time of a new leader",
            rebuilds_s,
            lambda count: rebuilds_s[count] * 1e6,
            unit="us",
            per=f"worker with {state_builder.TASKS_PER_WORKER_COUNT} tasks",
        ),
    ]


def measure_routes() -> list[fit.Slope]:
    """Measures memory and time of an entry that receives all routes."""

    def router_bytes(count: int) -> int:
        gc.collect()
        tracemalloc.start()
        try:
            router = routing.Router(data_centre="dc1")
            router.replace_routes(_decode_routes(messages.make_routes(count)))
            gc.collect()
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    def update_us(count: int) -> float:
        router = routing.Router(data_centre="dc1")
        data = codec.encode(
            ttypes.WatchReply(routes=messages.make_routes(count))
        )
        return 1e6 * min_cpu_s(
            lambda: router.replace_routes(
                codec.decode(ttypes.WatchReply(), data).routes
            )
        )

    return [
        fit.measure_line(
            "memory of a route",
            _ROUTES_COUNTS,
            router_bytes,
            unit="bytes",
            per="route",
        ),
        fit.measure_line(
            "routes update time",
            _ROUTES_COUNTS,
            update_us,
            unit="us",
            per="route",
        ),
    ]


def measure() -> list[fit.Slope]:
    """Measures all slopes of the state."""
    return [
        *measure_memory(),
        *measure_snapshots(),
        *measure_apply_time(),
        *measure_rebuild(),
        *measure_routes(),
    ]


def _decode_routes(routes: list[ttypes.Route]) -> list[ttypes.Route]:
    data = codec.encode(ttypes.WatchReply(routes=routes))
    return codec.decode(ttypes.WatchReply(), data).routes


def _cpu_s(action: Callable[[], object]) -> float:
    start_s = time.thread_time()
    action()
    return time.thread_time() - start_s


def _add_claims(tables: tables_module.Tables, count: int) -> None:
    for index in range(count):
        key = f"name-lookup-001/00000000-0000-0000-0000-{index:012}"
        claim = ttypes.Claim(
            key=key,
            request_digest=bytes(32),
            entry="dc1-entry-1",
            agent="",
            expires_unix_ms=1_790_000_000_000,
        )
        state_builder.apply_command(
            tables, put_claim=ttypes.PutClaim(claim=claim)
        )
        end = ttypes.EndClaim(
            key=key,
            attempt=1,
            state=ttypes.ClaimState.DONE,
            status_code=200,
            body=index.to_bytes(256, "big"),
            content_type="text/plain",
        )
        state_builder.apply_command(tables, end_claim=end)


def _results_bytes(count: int) -> int:
    tables = tables_module.Tables()
    gc.collect()
    tracemalloc.start()
    try:
        for _ in range(count):
            state_builder.apply_command(
                tables, no_operation=ttypes.NoOperation(term=1)
            )
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def _apply_run(
    tables: tables_module.Tables, grants: list[ttypes.Assignment]
) -> None:
    kinds = (ttypes.RunEventKind.STARTED, ttypes.RunEventKind.COMPLETED)
    state_builder.apply_command(
        tables, assign_runs=ttypes.AssignRuns(assignments=grants)
    )
    for kind in kinds:
        body = ttypes.RecordRunEvents(
            events=state_builder.make_run_events(grants, kind)
        )
        state_builder.apply_command(tables, record_run_events=body)


if __name__ == "__main__":
    fit.print_slopes(measure())
