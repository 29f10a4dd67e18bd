"""Measures the resident memory of each idle role, run from the binary."""

import os
import pathlib
import tempfile

import psutil

from benchmarks import table
from build_tools import binary
from tests import processes

_AGENT_LIMIT_MB = 64
_BYTES_PER_MB = 1 << 20
_PROCESSES_BY_ROLE = {
    "agent": "worker-1",
    "entry": "entry-1",
    "control": "control-1",
}
_LIMITS_MB = {"agent": _AGENT_LIMIT_MB}


def run() -> list[table.Row]:
    """Measures memory, threads and the binary's size."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        program = folder / "marigoldsill"
        binary.build(program)
        os.environ["MARIGOLDSILL_UNPACK_FOLDER"] = str(folder / "unpacked")
        system = processes.System(folder, binary=program)
        try:
            return [_size_row(program), *_role_rows(system)]
        finally:
            system.end()
            del os.environ["MARIGOLDSILL_UNPACK_FOLDER"]


def _size_row(program: pathlib.Path) -> table.Row:
    size_mb = program.stat().st_size / _BYTES_PER_MB
    return table.Row("memory: size of the binary", size_mb, "MB")


def _role_rows(system: processes.System) -> list[table.Row]:
    system.start_control()
    system.start_worker("worker-1")
    system.start_entry()
    for name in _PROCESSES_BY_ROLE.values():
        address = system.processes[name].addresses()["http"]
        processes.wait_until(
            lambda address=address: (
                system.get(address, "/ready").status_code == 200
            ),
            what=f"{name} ready",
        )
    return [
        row
        for role, name in _PROCESSES_BY_ROLE.items()
        for row in _process_rows(role, system.processes[name].pid)
    ]


def _process_rows(role: str, pid: int) -> list[table.Row]:
    process = psutil.Process(pid)
    memory = process.memory_full_info()
    limit_mb = _LIMITS_MB.get(role)
    return [
        table.Row(
            f"memory: resident, idle {role}",
            memory.rss / _BYTES_PER_MB,
            "MB",
            limit_mb,
            "max" if limit_mb else None,
        ),
        table.Row(
            f"memory: its own (unshared), idle {role}",
            memory.uss / _BYTES_PER_MB,
            "MB",
        ),
        table.Row(
            f"memory: threads, idle {role}", process.num_threads(), "threads"
        ),
    ]


if __name__ == "__main__":
    print(table.render(run()), end="")
