"""Starts roles and worker stand-ins as separate processes on loopback."""

from collections.abc import Sequence
from concurrent import futures
import itertools
import json
import pathlib
import shutil
import time

from tests import invariants
from tests import one_process
from tests import system_client

# Also defined here, so that tests of a system import only this module.
WAIT_LIMIT_S = one_process.WAIT_LIMIT_S
Process = one_process.Process
free_address = one_process.free_address
wait_until = one_process.wait_until


class System(system_client.SystemClient):
    """The control processes, agents, entries and worker stand-ins of one test.

    Attributes:
        processes: The last process started under each name.
        control_addresses: Thrift and HTTP address of each member, by name.
        control_thrift: Thrift addresses of the members.
        cuts_file: Lists the pairs of processes whose connections are cut.
    """

    def __init__(
        self, folder: pathlib.Path, *, binary: pathlib.Path | None = None
    ):
        super().__init__(folder)
        self._binary = binary
        self.processes: dict[str, Process] = {}
        self.control_addresses: dict[str, tuple[str, str]] = {}
        self.control_thrift: list[str] = []
        self.cuts_file = folder / "cuts"
        self._start_numbers = itertools.count(1)

    def start_control(self, name: str = "control-1", *flags: str) -> Process:
        """Forms a group of one control process and starts that process."""
        return self._form_and_run_first([name], *flags)

    def start_controls(self, count: int = 3, *flags: str) -> list[Process]:
        """Forms a group, starts its members and waits until all are voters."""
        names = [f"control-{number}" for number in range(1, count + 1)]
        started = [self._form_and_run_first(names, *flags)]
        started += [self.run_control(name, *flags) for name in names[1:]]
        self.wait_for_voters(names)
        return started

    def form_group(self, *names: str) -> None:
        """Forms a group of control processes on free ports."""
        self.control_addresses = {
            name: (free_address(), free_address()) for name in names
        }
        self.control_thrift = [t for t, _ in self.control_addresses.values()]
        self.control_http = [h for _, h in self.control_addresses.values()]
        members = ",".join(
            f"{name}={thrift}={http}"
            for name, (thrift, http) in self.control_addresses.items()
        )
        done = self.command(
            "control",
            "init",
            "--name",
            names[0],
            "--data-folder",
            str(self.data_folder(names[0])),
            "--members",
            members,
        )
        assert done.returncode == 0, done.stderr

    def run_control(
        self,
        name: str,
        *flags: str,
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Starts or restarts a member of the group."""
        thrift, http = self.control_addresses[name]
        process = self._start(
            name,
            "marigoldsill",
            "control",
            "run",
            "--name",
            name,
            "--thrift-address",
            thrift,
            "--http-address",
            http,
            "--data-folder",
            str(self.data_folder(name)),
            *flags,
            environment=environment,
        )
        process.addresses()
        return process

    def wait_for_voters(self, names: list[str]) -> None:
        """Waits until the leader lists exactly these members as voters."""

        def are_voters() -> bool:
            done = self.command("status", "--output", "json")
            if done.returncode != 0:
                return False
            members = json.loads(done.stdout)["members"]
            voters = {m["name"] for m in members if m["voter"]}
            return voters == set(names)

        wait_until(are_voters, what=f"votes of {names}")

    def data_folder(self, name: str) -> pathlib.Path:
        """Returns the path of the data folder of a control process."""
        return self.folder / f"{name}.data"

    def start_worker(
        self,
        name: str,
        *,
        data_centre: str = "dc1",
        rack: str = "rack1",
        cores: int = 30,
        memory_bytes: int = 130 << 30,
        accelerators_count: int = 0,
        agent_flags: Sequence[str] = (),
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Starts a worker stand-in and its agent, and returns the agent."""
        self.start_platform(
            name,
            cores=cores,
            memory_bytes=memory_bytes,
            accelerators_count=accelerators_count,
        )
        return self.start_agent(
            name,
            data_centre=data_centre,
            rack=rack,
            flags=agent_flags,
            environment=environment,
        )

    def start_workers(
        self, *names: str, **options: object
    ) -> dict[str, Process]:
        """Starts several workers at once and returns their agents by name."""
        with futures.ThreadPoolExecutor(len(names)) as pool:
            started = {
                name: pool.submit(self.start_worker, name, **options)
                for name in names
            }
        return {name: future.result() for name, future in started.items()}

    def start_platform(
        self,
        name: str,
        *,
        cores: int = 30,
        memory_bytes: int = 130 << 30,
        accelerators_count: int = 0,
    ) -> Process:
        """Starts a worker stand-in, or restarts it at its address."""
        address = self.workers.get(name) or free_address()
        platform = self._start(
            f"{name}.platform",
            "standins.worker",
            "--name",
            name,
            "--address",
            address.removeprefix("http://"),
            "--cpu-millicores",
            str(cores * 1000),
            "--memory-bytes",
            str(memory_bytes),
            "--accelerators-count",
            str(accelerators_count),
            "--journal",
            str(self.journal_path(name)),
        )
        address = platform.wait_for(r"address (\S+)")[1]
        self.workers[name] = f"http://{address}"
        return platform

    def kill_platform(self, name: str) -> None:
        """Kills a worker stand-in, like a failing VM, and journals the kill."""
        self.processes[f"{name}.platform"].kill()
        with self.journal_path(name).open("ab") as file:
            line = {"event": "worker_killed", "at_ns": time.monotonic_ns()}
            file.write(b"\n" + json.dumps(line).encode() + b"\n")

    def start_agent(
        self,
        name: str,
        *,
        data_centre: str = "dc1",
        rack: str = "rack1",
        flags: Sequence[str] = (),
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Starts the agent of a running worker stand-in."""
        process = self._start(
            name,
            "marigoldsill",
            "agent",
            "--name",
            name,
            "--data-centre",
            data_centre,
            "--rack",
            rack,
            "--worker-url",
            self.workers[name],
            "--control-addresses",
            ",".join(self.control_thrift),
            *flags,
            environment=environment,
        )
        self.post_to_worker(
            name, "/agent", {"url": f"http://{process.addresses()['http']}"}
        )
        return process

    def start_entry(
        self,
        name: str = "entry-1",
        *flags: str,
        data_centre: str = "dc1",
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Starts an entry and waits until it is ready."""
        process = self._start(
            name,
            "marigoldsill",
            "entry",
            "--name",
            name,
            "--data-centre",
            data_centre,
            "--control-addresses",
            ",".join(self.control_thrift),
            *flags,
            environment=environment,
        )
        self.entries[name] = process.addresses()["http"]
        wait_until(
            lambda: self.get(self.entries[name], "/ready").status_code == 200,
            what=f"{name} ready",
        )
        return process

    def cut(self, *pairs: str) -> None:
        """Cuts the connections of these pairs of processes and no others.

        Args:
            *pairs: "FROM TO" each, where "*" is any process. Without
                pairs, all connections are restored.
        """
        self.cuts_file.write_text("\n".join(pairs))

    def assert_invariants(self, *unreachable: str) -> None:
        """Checks the invariants on the journals of all workers.

        Args:
            *unreachable: Workers that were unreachable or lost meanwhile.
        """
        invariants.assert_hold(
            [self.journal_path(worker) for worker in self.workers],
            unreachable=frozenset(unreachable),
        )

    def end(self) -> None:
        """Kills every process that still runs."""
        for process in self.processes.values():
            process.end()

    def _form_and_run_first(self, names: list[str], *flags: str) -> Process:
        """Forms a group and starts its first member.

        Another process may have taken a port since it was chosen. As no
        member has run yet, the group is then formed again on other ports, once.
        """
        self.form_group(*names)
        try:
            return self.run_control(names[0], *flags)
        except AssertionError:
            if not self.processes[names[0]].has_port_conflict():
                raise
        shutil.rmtree(self.data_folder(names[0]))
        self.form_group(*names)
        return self.run_control(names[0], *flags)

    def _start(
        self,
        name: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
    ) -> Process:
        previous = self.processes.get(name)
        if previous is not None:
            previous.end()
        process = Process(
            list(arguments),
            log=self.folder / f"{name}.{next(self._start_numbers)}.log",
            environment={
                "PYTHONUNBUFFERED": "1",
                "MARIGOLDSILL_CUTS_FILE": str(self.cuts_file),
            }
            | (environment or {}),
            binary=self._binary,
        )
        self.processes[name] = process
        return process
