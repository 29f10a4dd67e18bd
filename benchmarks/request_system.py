"""Runs systems of few processes for measuring requests.

Several stand-in workers with their agents share a process; control and entries
have processes of their own. `python -m benchmarks.request_system` runs such a
process of workers.
"""

from collections.abc import Iterable
from concurrent import futures
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import click

from benchmarks import load
from marigoldsill import settings as settings_module
from marigoldsill.roles import agent as agent_role
from marigoldsill.transport import http_client
from standins import endpoint as endpoint_module
from standins import faults as faults_module
from standins import journal as journal_module
from standins import worker as worker_module
from tests import processes

SERVICE = "lookup"
WORKERS_PER_PROCESS = 2
_CPU_MILLICORES = 30_000
_DIRECT_CONNECTIONS_COUNT = 300
_MEMORY_BYTES = 130 << 30
_INTENT = """
[[service]]
name = "lookup"
cores = 20
memory = "1GB"
instances = {workers_count}
slots = {slots_count}
connections = 60
"""


class RequestSystem:
    """A system of control, entries and workers for one measurement.

    Attributes:
        folder: Folder with the files of all processes.
        entries: Addresses of the entries.
    """

    def __init__(
        self,
        *,
        workers_count: int,
        slots_count: int = 10,
        entries_count: int = 1,
        data_centres_count: int = 1,
        queue_count: int = 20,
        controls_count: int = 1,
    ):
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._system = processes.System(self.folder)
        self._stack.callback(self._system.end)
        self._workers_count = workers_count
        self._loads_count = 0
        if controls_count == 1:
            self._system.start_control()
        else:
            self._system.start_controls(controls_count)
        self._start_workers(data_centres_count, queue_count, slots_count)
        for number in range(1, entries_count + 1):
            self._system.start_entry(
                f"entry-{number}",
                data_centre=f"dc{(number - 1) % data_centres_count + 1}",
            )
        self.entries = tuple(self._system.entries.values())
        self._declare_service(slots_count)

    def __enter__(self) -> "RequestSystem":
        """Returns this system."""
        return self

    def __exit__(self, *error: object) -> None:
        """Stops all processes."""
        self._stack.close()

    def events(self) -> list[dict]:
        """Returns the journal events of all endpoints."""
        return [
            event
            for path in self.folder.glob("*.journal")
            for event in journal_module.read(path)
        ]

    def endpoint_addresses(self) -> tuple[str, ...]:
        """Returns addresses of endpoints without an agent, one per worker."""
        lines = (self.folder / "endpoints.txt").read_text().splitlines()
        return tuple(lines)

    def run_load(
        self, *, processes_count: int = 1, **settings
    ) -> list[load.RequestRecord]:
        """Generates load from separate processes and returns all records."""
        self._loads_count += 1
        rate_per_s = settings.pop("rate_per_s") / processes_count
        settings = {"addresses": ",".join(self.entries)} | settings
        outputs = [
            self.folder / f"load{self._loads_count}-{number}.jsonl"
            for number in range(processes_count)
        ]
        with futures.ThreadPoolExecutor(processes_count) as pool:
            completed = pool.map(
                lambda path: _run_load(
                    path,
                    settings
                    | {
                        "prefix": path.stem,
                        "rate_per_s": rate_per_s,
                        "output": path,
                        "seed": self._loads_count,
                    },
                ),
                outputs,
            )
            list(completed)
        return [r for path in outputs for r in load.read_records(path)]

    def check_records(
        self, records: Iterable[load.RequestRecord]
    ) -> load.Verdict:
        """Compares the answers to callers with the requests that ran."""
        return load.check_records(records, self.events())

    def cpu_s(self, name: str) -> float:
        """Returns the processor time that a process has used."""
        pid = self._system.processes[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
        numbers = fields.rpartition(")")[2].split()
        ticks = int(numbers[11]) + int(numbers[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def drain_worker(self, worker: str) -> int:
        """Drains a worker; returns the start of the confirmation in ns."""
        plan = self._system.operate("plan", "drain", worker)
        guards = [g["name"] for g in plan.get("guards", ())]
        acknowledged = [a for g in guards for a in ("--acknowledge", g)]
        start_ns = time.monotonic_ns()
        self._system.operate("confirm", str(plan["plan_id"]), *acknowledged)
        return start_ns

    def start_bare_proxy(self) -> str:
        """Starts the baseline proxy for the endpoints without an agent."""
        process = self._system._start(
            "bare-proxy", "benchmarks.bare_proxy", *self.endpoint_addresses()
        )
        return process.addresses()["http"]

    def set_faults(self, **faults: object) -> None:
        """Sets the faults of all workers."""
        for url in (self.folder / "platforms.txt").read_text().splitlines():
            http_client.fetch(
                f"{url}/faults",
                method="POST",
                body=json.dumps(faults).encode(),
                timeout_s=5.0,
            )

    def _start_workers(
        self, data_centres_count: int, queue_count: int, slots_count: int
    ) -> None:
        numbers = list(range(1, self._workers_count + 1))
        for start in range(0, len(numbers), WORKERS_PER_PROCESS):
            worker_numbers = numbers[start : start + WORKERS_PER_PROCESS]
            process = self._system._start(
                f"workers-{worker_numbers[0]}",
                "benchmarks.request_system",
                "--folder",
                str(self.folder),
                "--control-addresses",
                ",".join(self._system.control_thrift),
                "--queue-count",
                str(queue_count),
                "--slots-count",
                str(slots_count),
                "--data-centres-count",
                str(data_centres_count),
                *(str(number) for number in worker_numbers),
            )
            process.wait_for("workers are up")

    def _declare_service(self, slots_count: int) -> None:
        intent = self.folder / "intent.toml"
        intent.write_text(
            _INTENT.format(
                workers_count=self._workers_count, slots_count=slots_count
            )
        )
        plan = self._system.operate("plan", "apply", str(intent))
        self._system.operate("confirm", str(plan["plan_id"]))
        processes.wait_until(
            self._have_all_workers_served, what="all workers serve"
        )

    def _have_all_workers_served(self) -> bool:
        for entry in self._system.entries:
            self._system.call(f"/services/{SERVICE}/look", entry=entry)
        began = (e for e in self.events() if e["event"] == "request_began")
        return len({e["worker"] for e in began}) == self._workers_count


def _run_load(path: pathlib.Path, settings: dict) -> None:
    flags = [
        part
        for name, value in settings.items()
        for part in (f"--{name.replace('_', '-')}", str(value))
        if part
    ]
    subprocess.run(
        [sys.executable, "-m", "benchmarks.load", *flags],
        check=True,
        stdout=subprocess.DEVNULL,
    )


def _start_worker(
    folder: pathlib.Path,
    number: int,
    *,
    control_addresses: str,
    data_centre: str,
    queue_count: int,
    slots_count: int,
) -> None:
    name = f"worker-{number}"
    worker = worker_module.Worker(
        name=name,
        cpu_millicores=_CPU_MILLICORES,
        memory_bytes=_MEMORY_BYTES,
        accelerators_count=0,
        journal=journal_module.Journal(str(folder / f"{name}.journal")),
    )
    worker.start()
    direct_endpoint = endpoint_module.Endpoint(
        service=SERVICE,
        worker=name,
        task="lone",
        slots_count=slots_count,
        connections_count=_DIRECT_CONNECTIONS_COUNT,
        journal=journal_module.Journal(None),
        faults=faults_module.Faults(),
    )
    with (folder / "endpoints.txt").open("a") as file:
        file.write(f"{direct_endpoint.address}\n")
    agent = agent_role.Agent(
        settings_module.AgentSettings(
            name=name,
            data_centre=data_centre,
            control_addresses=tuple(control_addresses.split(",")),
            worker_url=f"http://{worker.address}",
            queue_count=queue_count,
        )
    )
    agent.start()
    worker.set_agent_url(f"http://{agent.http_address}")
    with (folder / "platforms.txt").open("a") as file:
        file.write(f"http://{worker.address}\n")


@click.command()
@click.argument("numbers", nargs=-1, type=int)
@click.option("--folder", type=click.Path(path_type=pathlib.Path))
@click.option("--control-addresses")
@click.option("--queue-count", type=int)
@click.option("--slots-count", type=int)
@click.option("--data-centres-count", type=int)
def main(
    numbers: tuple[int, ...],
    folder: pathlib.Path,
    control_addresses: str,
    queue_count: int,
    slots_count: int,
    data_centres_count: int,
) -> None:
    """Runs some workers with their agents until SIGTERM."""
    for number in numbers:
        _start_worker(
            folder,
            number,
            control_addresses=control_addresses,
            data_centre=f"dc{(number - 1) % data_centres_count + 1}",
            queue_count=queue_count,
            slots_count=slots_count,
        )
    print("workers are up", flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
    os._exit(0)


if __name__ == "__main__":
    main()
