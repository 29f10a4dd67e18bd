"""Measures processor time and memory of agent, entry and control processes.

Run alone: `python -m benchmarks.slopes.roles`.
"""

from concurrent import futures
import pathlib
import tempfile
import time

import psutil

from benchmarks import table
from benchmarks.slopes import compiled_modules
from benchmarks.slopes import control_load
from benchmarks.slopes import fit
from marigoldsill.transport import http_client
from tests import processes

_TASKS_COUNTS = (5, 15, 35)
_REQUESTS_COUNTS = (200, 400, 800)
_THREADS_COUNT = 8
_MEASURE_S = 4.0
_WORKER = "worker-1"
_SERVICE = '[[service]]\nname = "lookup"\ncores = 1\nmemory = "1GB"\n'
_JOB = (
    '[[batch_job]]\nname = "job-{}"\ncores = 1\nmemory = "1GB"\n'
    'run_time = "1h"\n'
)
_SLOTS = "slots = 16\nconnections = 60\n"


class Site:
    """A control process, a worker with its agent, and an entry."""

    def __init__(self, folder: pathlib.Path):
        self.system = processes.System(folder)
        self._jobs_count = 0

    def start(self) -> None:
        """Starts the processes."""
        self.system.start_control()
        self.system.start_worker(_WORKER, cores=60, memory_bytes=250 << 30)
        self.system.start_entry()

    def apply_intent(self, intent: str) -> None:
        """Plans an intent and confirms it, acknowledging all guards."""
        path = self.system.folder / "intent.toml"
        path.write_text(intent)
        plan = self.system.operate("plan", "apply", str(path))
        acknowledged = [
            part
            for guard in plan["guards"]
            for part in ("--acknowledge", guard["name"])
        ]
        self.system.operate("confirm", str(plan["plan_id"]), *acknowledged)

    def run_jobs(self, count: int) -> None:
        """Adds jobs until a total number of them runs."""
        numbers = range(self._jobs_count, count)
        self.apply_intent("\n".join(_JOB.format(number) for number in numbers))
        self._jobs_count = count
        last = f"job-{count - 1}/0"
        processes.wait_until(
            lambda: self.system.task_state(last) == "running", what=last
        )

    def process_id(self, name: str) -> int:
        """Returns the process id of a role."""
        return self.system.processes[name].pid

    def memory_bytes(self, name: str) -> int:
        """Returns the resident memory of a role."""
        return psutil.Process(self.process_id(name)).memory_info().rss

    def cpu_us_per_s(self, name: str) -> float:
        """Measures the processor time of a role, in microseconds per second."""
        pid = self.process_id(name)
        before_s, start_s = control_load.process_cpu_s(pid), time.monotonic()
        time.sleep(_MEASURE_S)
        spent_s = control_load.process_cpu_s(pid) - before_s
        return spent_s / (time.monotonic() - start_s) * 1e6


def measure_agent(site: Site) -> list[fit.Slope]:
    """Measures an agent's processor time and memory by its worker's tasks."""
    memory_bytes: dict[int, int] = {}

    def measure_us_per_s(count: int) -> float:
        site.run_jobs(count)
        cpu_us = site.cpu_us_per_s(_WORKER)
        memory_bytes[count] = site.memory_bytes(_WORKER)
        return cpu_us

    return [
        fit.measure_line(
            "agent time",
            _TASKS_COUNTS,
            measure_us_per_s,
            unit="us a s",
            per="task",
        ),
        fit.fit_line(
            "agent memory", memory_bytes.items(), unit="bytes", per="task"
        ),
    ]


def measure_requests(site: Site) -> list[fit.Slope]:
    """Measures processor time of entry and agent by answered requests."""
    address = site.system.entries["entry-1"]
    names = {"entry": "entry-1", "agent": _WORKER}
    cpu_us = {role: {} for role in names}

    def send_requests(count: int) -> None:
        for _ in range(count):
            answer = http_client.fetch(
                f"http://{address}/services/lookup/name?x=1", timeout_s=10.0
            )
            assert answer.status_code == 200, answer.body

    for count in _REQUESTS_COUNTS:
        before = {r: _role_cpu_s(site, name) for r, name in names.items()}
        with futures.ThreadPoolExecutor(_THREADS_COUNT) as pool:
            list(
                pool.map(
                    send_requests, [count // _THREADS_COUNT] * _THREADS_COUNT
                )
            )
        for role, name in names.items():
            used_s = _role_cpu_s(site, name) - before[role]
            cpu_us[role][count] = used_s * 1e6
    return [
        fit.fit_line(
            f"{role} request time", points.items(), unit="us", per="request"
        )
        for role, points in cpu_us.items()
    ]


def measure() -> tuple[list[fit.Slope], list[table.Row]]:
    """Returns the slopes of the processes and the rows of idle ones."""
    with (
        compiled_modules.compiled_packages(),
        tempfile.TemporaryDirectory() as folder,
    ):
        site = Site(pathlib.Path(folder))
        try:
            site.start()
            rows = _idle_rows(site)
            slopes = measure_agent(site)
            site.apply_intent(_SERVICE + _SLOTS)
            processes.wait_until(
                lambda: (
                    site.system.call("/services/lookup/name").status_code == 200
                ),
                what="an answer",
            )
            slopes += measure_requests(site)
        finally:
            site.system.end()
    return slopes, rows


def _idle_rows(site: Site) -> list[table.Row]:
    names = {"agent": _WORKER, "entry": "entry-1", "control": "control-1"}
    memory_bytes = {r: site.memory_bytes(name) for r, name in names.items()}
    cpu_us = {r: site.cpu_us_per_s(name) for r, name in names.items()}
    return [
        table.Row(f"capacity: idle {role} memory", value, "bytes")
        for role, value in memory_bytes.items()
    ] + [
        table.Row(f"capacity: idle {role} time", value, "us a s")
        for role, value in cpu_us.items()
    ]


def _role_cpu_s(site: Site, name: str) -> float:
    return control_load.process_cpu_s(site.process_id(name))


if __name__ == "__main__":
    measured, idle = measure()
    fit.print_slopes(measured)
    print(table.render(idle), end="")
