"""Reads the settings file that the platform writes for a process."""

from collections.abc import Mapping
import dataclasses
import os
import pathlib
import tomllib

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.transport import addresses

# The environment variable that holds the path of the settings file.
PATH_VARIABLE = "MARIGOLDSILL_CONFIG"

# Allows for the time from the decision to start a run until its worker starts it.
_START_MARGIN_MS = 500
# How workers receive instructions: by requests of their agent, rather than in the
# answers to their heartbeats.
_CONTROL_MODE = "request"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlatformSettings:
    """The settings of a process; unknown fields of the file are ignored.

    Attributes:
        name: Name of the VM, unique in the system.
        ip_address: The VM's own address.
        data_centre: The VM's data centre; the platform calls it a zone.
        data_folder: Folder of the durable state; empty without a disk.
        first_start: Whether the whole system starts for the first time.
        internal_ports: The first and the last port that our own protocols may use.
        seed_hosts: Addresses of up to three VMs that serve operators.
        frontend_address: Where clients are served; empty for nowhere.
        readiness_address: Where readiness is served; empty for nowhere.
        control_address: Where operators or, on a worker's VM, the worker are
            served.
        adviser_address: The adviser, which issues tickets for queues that need
            them; empty if there is none.
        worker_address: The worker of this VM; empty if there is none.
        hold_limit_ms: Maximum duration of a lease that a worker accepts.
        announcement_age_limit_ms: Maximum age of a worker's last heartbeat for
            a run to be started on it.
        tolerated_losses_count: Number of VMs with a disk that may be lost at the
            same time.
        stop_limit_s: Time between SIGTERM and SIGKILL.
        job_retention_s: How long a job's state must be available after its end.
        remote_run_ratio: Run time of a task outside of its preferred rack, divided
            by its run time there.
    """

    name: str
    ip_address: str
    data_centre: str
    data_folder: str
    first_start: bool
    internal_ports: tuple[int, int]
    seed_hosts: tuple[str, ...]
    frontend_address: str
    readiness_address: str
    control_address: str
    adviser_address: str
    worker_address: str
    hold_limit_ms: int
    announcement_age_limit_ms: int = 4_000
    tolerated_losses_count: int
    stop_limit_s: float
    job_retention_s: float
    remote_run_ratio: float = 1.0

    @property
    def internal_address(self) -> str:
        """The address at which our other processes reach this one."""
        return f"{self.ip_address}:{self.internal_ports[0]}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """The addresses of the seeds, which use the same internal port."""
        return tuple(f"{h}:{self.internal_ports[0]}" for h in self.seed_hosts)


def find_path(environment: Mapping[str, str] | None = None) -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = (os.environ if environment is None else environment).get(
        PATH_VARIABLE
    )
    if not path:
        raise errors.SettingsError(
            f"{PATH_VARIABLE} is not set; expected the path of the platform's "
            "settings file"
        )
    return pathlib.Path(path)


def load(path: pathlib.Path) -> PlatformSettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: The file is invalid; the message lists all errors.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f"cannot read {path}: {error}") from error
    return _Reader(fields_module.Fields(values, where=str(path))).read()


class _Reader:
    """Reads all fields and collects the messages about invalid ones."""

    def __init__(self, values: fields_module.Fields):
        self._values = values
        self._messages: list[str] = []

    def read(self) -> PlatformSettings:
        values = self._values
        listen = self._try_read(
            lambda: values.get_table("listen_addresses"), None
        )
        bounds = self._try_read(lambda: values.get_table("bounds"), None)
        losses = self._try_read(
            lambda: values.get_table("fault_tolerance"), None
        )
        settings = PlatformSettings(
            name=self._read_string(values, "node_name"),
            ip_address=self._read_string(values, "ip"),
            data_centre=self._read_string(values, "zone"),
            data_folder=self._read_string(values, "data_dir", ""),
            first_start=self._try_read(
                lambda: values.get_boolean("bootstrap"), False
            ),
            internal_ports=self._read_ports(),
            seed_hosts=self._read_seeds(),
            frontend_address=self._read_string(listen, "frontend", ""),
            readiness_address=self._read_string(listen, "readiness", ""),
            control_address=self._read_string(listen, "control", ""),
            # "recommendation" is the address of the service that issues tickets.
            adviser_address=self._read_string(values, "recommendation", ""),
            # "app" is the address of the worker on the same VM.
            worker_address=self._read_string(values, "app", ""),
            hold_limit_ms=self._read_integer(bounds, "max_hold_ms", 6_000),
            # A reduced capacity may be announced one heartbeat after the last one,
            # and is binding `contact_ms` after that.
            announcement_age_limit_ms=(
                self._read_integer(bounds, "contact_ms", 3_000)
                + self._read_integer(values, "heartbeat_ms", 1_500)
                - _START_MARGIN_MS
            ),
            tolerated_losses_count=self._read_integer(losses, "machines", 1),
            stop_limit_s=self._read_number(bounds, "grace_s", 6.0),
            job_retention_s=self._read_number(bounds, "status_s", 120.0),
            remote_run_ratio=self._read_number(
                bounds, "remote_factor", 1.0, low=1.0
            ),
        )
        self._check_control_mode()
        if self._messages:
            raise errors.SettingsError("\n".join(self._messages))
        return settings

    def _check_control_mode(self) -> None:
        mode = self._try_read(
            lambda: self._values.get_string(
                "control_mode", default=_CONTROL_MODE
            ),
            _CONTROL_MODE,
        )
        if mode != _CONTROL_MODE:
            self._messages.append(
                f"control_mode is {mode[:40]!r}; supported is {_CONTROL_MODE!r} only: "
                "workers that receive instructions with their heartbeats are not served"
            )

    def _read_string(self, table, name: str, default: str | None = None) -> str:
        return self._try_read(
            lambda: table.get_string(name, default=default), ""
        )

    def _read_integer(self, table, name: str, default: int) -> int:
        return self._try_read(
            lambda: table.get_integer(name, default=default), 0
        )

    def _read_number(
        self, table, name: str, default: float, low: float = 0.0
    ) -> float:
        return self._try_read(
            lambda: table.get_number(name, default=default, low=low), low
        )

    def _read_ports(self) -> tuple[int, int]:
        ports = self._try_read(
            lambda: self._values.get_list("internal_ports"), []
        )
        if len(ports) == 2 and all(isinstance(p, int) for p in ports):
            return ports[0], ports[1]
        self._messages.append(
            f"internal_ports is {ports!r}; expected the first and the last port"
        )
        return 0, 0

    def _read_seeds(self) -> tuple[str, ...]:
        seeds = self._try_read(lambda: self._values.get_strings("seeds"), [])
        return tuple(
            self._try_read(lambda seed=seed: addresses.parse(seed)[0], "")
            for seed in seeds
        )

    def _try_read(self, read, otherwise):
        """Returns what `read` returns, or a default for an invalid field."""
        try:
            return read()
        except errors.BadInputError as error:
            self._messages.append(error.message)
        except AttributeError:
            # The table itself is invalid, which has been recorded already.
            pass
        return otherwise
