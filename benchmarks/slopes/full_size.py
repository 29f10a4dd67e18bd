"""Measures one group's tables at the full target size, to check the slopes.

Runs in a process of its own, so that its memory is that of the tables:
`python -m benchmarks.slopes.full_size`.
"""

import gc
import json
import subprocess
import sys
import time

import psutil

from benchmarks import table
from benchmarks.slopes import leader_rebuild
from benchmarks.slopes import sizing
from benchmarks.slopes import state_builder


def measure() -> list[table.Row]:
    """Builds and measures the tables in a separate process."""
    process = subprocess.run(
        [sys.executable, "-m", "benchmarks.slopes.full_size", "--json"],
        capture_output=True,
        text=True,
        check=True,
    )
    return [table.Row(**row) for row in json.loads(process.stdout)]


def _measure_in_this_process() -> list[table.Row]:
    before_bytes = psutil.Process().memory_info().rss
    tables = state_builder.build_running_tables(
        workers_count=sizing.WORKERS_COUNT, tasks_count=sizing.TASKS_COUNT
    )
    gc.collect()
    growth_bytes = psutil.Process().memory_info().rss - before_bytes
    start_s = time.thread_time()
    data = tables.to_bytes()
    write_s = time.thread_time() - start_s
    start_s = time.thread_time()
    type(tables).from_bytes(data)
    read_s = time.thread_time() - start_s
    rebuild_s = leader_rebuild.measure_tables_rebuild_s(tables)
    return [
        table.Row(
            "capacity: full size resident growth", growth_bytes / 1e6, "MB"
        ),
        table.Row("capacity: full size snapshot", len(data) / 1e6, "MB"),
        table.Row("capacity: full size snapshot write", write_s, "s"),
        table.Row("capacity: full size snapshot read", read_s, "s"),
        table.Row(
            "capacity: full size rebuild of a new leader", rebuild_s, "s"
        ),
    ]


def _main() -> None:
    rows = _measure_in_this_process()
    if "--json" in sys.argv[1:]:
        print(table.to_json(rows, verdicts=False))
    else:
        print(table.render(rows), end="")


if __name__ == "__main__":
    _main()
