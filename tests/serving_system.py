"""A system that runs one service, and load on that service."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import pathlib
import signal
import time

from benchmarks import load
from benchmarks import load_report
from standins import journal
from tests import processes
from tests import system_report

SERVICE = "lookup"
_INTENT = """
[[service]]
name = "lookup"
cores = 20
memory = "1GB"
instances = {count}
slots = {slots}
connections = 60
"""


class ServingSystem:
    """Control processes, workers with agents, and entries of one service."""

    def __init__(self, folder: pathlib.Path):
        self.system = processes.System(folder)
        self._loads_count = 0
        self._notice_s = 0
        self._instances_count = 0

    def start(
        self,
        *,
        controls_count: int = 1,
        workers_count: int = 2,
        instances_count: int = 2,
        entries_count: int = 1,
        slots_count: int = 10,
        notice_s: int = 0,
    ) -> None:
        """Starts all processes and waits until every instance serves."""
        system = self.system
        self._notice_s = notice_s
        self._instances_count = instances_count
        if controls_count == 1:
            system.start_control()
        else:
            system.start_controls(controls_count)
        for number in range(1, workers_count + 1):
            system.start_worker(f"worker-{number}")
        for number in range(1, entries_count + 1):
            self.start_entry(f"entry-{number}")
        intent = system.folder / "intent.toml"
        intent.write_text(
            _INTENT.format(count=instances_count, slots=slots_count)
        )
        plan = system.operate("plan", "apply", str(intent))
        system.operate("confirm", str(plan["plan_id"]))
        for entry in system.entries:
            self.wait_until_serving(entry, instances_count)

    def start_entry(self, name: str) -> None:
        """Starts or restarts an entry."""
        self.system.start_entry(name, "--notice-s", str(self._notice_s))

    def restore(self) -> None:
        """Resumes what is frozen and restarts what has ended.

        Returns once requests through each entry reach every instance.
        """
        system = self.system
        for name, process in tuple(system.processes.items()):
            process.send(signal.SIGCONT)
            if not process.has_ended():
                continue
            if name in system.control_addresses:
                system.run_control(name)
            elif name in system.workers:
                system.start_agent(name)
            elif name in system.entries:
                self.start_entry(name)
        for entry in system.entries:
            self.wait_until_serving(entry, self._instances_count)

    def wait_until_serving(self, entry: str, workers_count: int) -> list[str]:
        """Waits until requests through an entry reach this many workers.

        Returns:
            The sorted names of the workers.
        """
        start_ns = time.monotonic_ns()

        def call_and_list_workers() -> list[str]:
            self.system.call(f"/services/{SERVICE}/look", entry=entry)
            names = {
                e["worker"]
                for e in self.events()
                if e["event"] == "request_began" and e["at_ns"] > start_ns
            }
            return sorted(names) if len(names) >= workers_count else []

        return processes.wait_until(
            call_and_list_workers, what=f"{workers_count} workers serve"
        )

    def addresses(self) -> tuple[str, ...]:
        """Returns the HTTP addresses of the entries."""
        return tuple(self.system.entries.values())

    def events(self) -> list[dict]:
        """Returns the events in the journals of all workers."""
        return [
            event
            for worker in self.system.workers
            for event in journal.read(self.system.journal_path(worker))
        ]

    def set_faults(self, worker: str, **faults: object) -> None:
        """Sets faults of a worker stand-in and its endpoints."""
        self.system.post_to_worker(worker, "/faults", faults)

    def create_load(self, **settings: object) -> load.LoadGenerator:
        """Creates a load with a prefix of its own for its ids."""
        self._loads_count += 1
        values = {"addresses": self.addresses(), "timeout_ms": 4000} | settings
        return load.LoadGenerator(
            load.LoadSettings(prefix=f"load{self._loads_count}", **values)
        )

    def run_load(self, **settings: object) -> list[load.RequestRecord]:
        """Creates a load, runs it to its end and returns its records."""
        return self.create_load(**settings).run()

    @contextlib.contextmanager
    def run_in_background(self, created: load.LoadGenerator):
        """Runs a load in the background; yields the future of its records."""
        with futures.ThreadPoolExecutor(1) as pool:
            future = pool.submit(created.run)
            try:
                yield future
            finally:
                created.stop()

    def compare_with_journals(
        self, records: list[load.RequestRecord]
    ) -> load.Verdict:
        """Compares the outcomes that callers received with the journals."""
        return load.check_records(records, self.events())

    def explain(self, verdict: load.Verdict) -> str:
        """Returns the replies to failed requests and the system's state."""
        replies = load_report.describe(verdict, addresses=self.system.entries)
        return f"{replies}\n{system_report.describe(self.system)}"


def assert_outcomes_match(verdict: load.Verdict) -> None:
    """Asserts that there is no wrong answer, rerun key or false "not run"."""
    assert verdict.wrong_count == 0, verdict
    assert verdict.duplicated_count == 0, verdict
    assert verdict.falsely_not_run_count == 0, verdict


@contextlib.contextmanager
def started(folder: pathlib.Path, **options: int) -> Iterator[ServingSystem]:
    """Starts a system with the options of `start`, and ends it afterwards."""
    serving_system = ServingSystem(folder)
    try:
        serving_system.start(**options)
        yield serving_system
    finally:
        serving_system.system.end()
