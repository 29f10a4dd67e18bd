"""Runs all roles and stand-in workers in one process, for use on a laptop.

Unless a data folder is given, the durable state is kept in a temporary folder,
which is deleted when the process ends.
"""

from collections.abc import Callable
import contextlib
import pathlib
import tempfile

from marigoldsill import settings as settings_module
from marigoldsill.roles import agent as agent_role
from marigoldsill.roles import common
from marigoldsill.roles import control as control_role
from marigoldsill.roles import entry as entry_role
from marigoldsill.roles import stop_signals
from standins import journal as journal_module
from standins import worker as worker_standin

_THREADS_COUNT = 64
_DRAIN_LIMIT_S = 5


class LocalSystem:
    """A control process, an entry, and stand-in workers with their agents.

    Attributes:
        control_http: Address that operators connect to.
        control_thrift: Address of control for agents and entries.
        entry_http: Address that callers connect to.
        agents_http: Addresses at which endpoints announce themselves, one per agent.
        agents_thrift: Addresses of the agents for entries.
        journals: Path of each stand-in worker's record of its actions, by worker name.
    """

    def __init__(self, settings: settings_module.LocalSettings):
        self._stack = contextlib.ExitStack()
        self._settings = settings
        self._folder = pathlib.Path(
            settings.data_folder or self._create_temporary_folder()
        )
        self.journals: dict[str, pathlib.Path] = {}
        self.control_http = ""
        self.control_thrift = ""
        self.entry_http = ""
        self.agents_http: list[str] = []
        self.agents_thrift: list[str] = []

    def start(self) -> None:
        """Starts control, the workers with their agents, and the entry."""
        with contextlib.ExitStack() as stack:
            stack.push(self._stack.pop_all())
            control = self._start_control(stack)
            for index in range(1, self._settings.workers_count + 1):
                self._start_worker(stack, f"worker-{index}", control)
            self._start_entry(stack, control)
            self._stack = stack.pop_all()

    def stop(self) -> None:
        """Stops everything in the reverse order."""
        self._stack.close()

    def _create_temporary_folder(self) -> str:
        return self._stack.enter_context(
            tempfile.TemporaryDirectory(
                prefix="marigoldsill-", ignore_cleanup_errors=True
            )
        )

    def _start_control(
        self, stack: contextlib.ExitStack
    ) -> control_role.Control:
        control = control_role.Control(
            settings_module.ControlSettings(
                name="control-1",
                data_folder=str(self._folder / "control-1"),
                http_address=self._settings.control_http_address,
                threads_count=_THREADS_COUNT,
            ),
            forms_single_member_group=True,
        )
        _start(stack, control)
        self.control_http = control.http_address
        self.control_thrift = control.thrift_address
        return control

    def _start_worker(
        self,
        stack: contextlib.ExitStack,
        name: str,
        control: control_role.Control,
    ) -> None:
        self.journals[name] = self._folder / f"{name}.journal"
        worker = worker_standin.Worker(
            name=name,
            cpu_millicores=self._settings.worker_cores_count * 1000,
            memory_bytes=self._settings.worker_memory_bytes,
            accelerators_count=0,
            journal=journal_module.Journal(str(self.journals[name])),
        )
        _start(stack, worker)
        agent = agent_role.Agent(
            settings_module.AgentSettings(
                name=name,
                control_addresses=(control.thrift_address,),
                worker_url=f"http://{worker.address}",
                threads_count=_THREADS_COUNT,
                drain_limit_s=_DRAIN_LIMIT_S,
            )
        )
        _start(stack, agent)
        self.agents_http.append(agent.http_address)
        self.agents_thrift.append(agent.thrift_address)
        worker.set_agent_url(f"http://{agent.http_address}")

    def _start_entry(
        self, stack: contextlib.ExitStack, control: control_role.Control
    ) -> None:
        entry = entry_role.Entry(
            settings_module.EntrySettings(
                name="entry-1",
                control_addresses=(control.thrift_address,),
                http_address=self._settings.entry_http_address,
                threads_count=_THREADS_COUNT,
                drain_limit_s=_DRAIN_LIMIT_S,
            )
        )
        _start(stack, entry)
        self.entry_http = entry.http_address


def _start(stack: contextlib.ExitStack, role: common.Role) -> None:
    role.start()
    stack.callback(role.stop)


def run(
    settings: settings_module.LocalSettings,
    *,
    print_line: Callable[[str], None],
) -> None:
    """Runs a local system until a stop signal.

    Args:
        settings: The settings of the local system.
        print_line: Prints the addresses for callers and operators.
    """
    signals = stop_signals.StopSignals()
    local = LocalSystem(settings)
    local.start()
    print_line(
        f"callers:   http://{local.entry_http}/services/<service>/<path>"
    )
    print_line(
        f"operators: export MARIGOLDSILL_CONTROL_HTTP={local.control_http}"
    )
    print_line("Press Ctrl-C to stop.")
    signals.wait()
    local.stop()
