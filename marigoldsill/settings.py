"""The settings of each role, which are set by flags or environment variables.

Each setting is a field of its role's class. The flag `--lease-ms` and the variable
`MARIGOLDSILL_LEASE_MS` set the same setting; the flag takes precedence.
"""

from collections.abc import Callable
import dataclasses
import fractions
import re
from typing import Any

from marigoldsill import errors
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.transport import addresses

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HOST = re.compile(r"[A-Za-z0-9.:_-]+")
# Hosts that a process can listen on, but that others can't connect to.
_WILDCARD_HOSTS = ("0.0.0.0", "::")
_MEMBER_PARTS_COUNT = 3
_SWITCH_VALUES = ("on", "off")
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_PRIORITY_SHARE = re.compile(r"priority-([0-9]{1,9})")
_RATIO = re.compile(r"[0-9]{0,3}(\.[0-9]{1,9})?")


def setting(
    help_text: str,
    check: Callable[[str], object],
    *,
    default: object = dataclasses.MISSING,
) -> Any:
    """Declares a dataclass field as a setting.

    Args:
        help_text: What the setting does, with its unit.
        check: Converts a text to the value, or raises `SettingsError`.
        default: The value of a setting that is not given; a setting without a default
            is required.
    """
    metadata = {"help": help_text, "check": check}
    return dataclasses.field(default=default, metadata=metadata)


def parse_name(text: str) -> str:
    """Parses the name of a process, data centre or rack."""
    if not _NAME_PATTERN.fullmatch(text):
        raise errors.SettingsError(
            f"invalid name {text!r}: expected 1 to 63 letters, digits, "
            "'.', '_' and '-', with a letter or digit first"
        )
    return text


def parse_address(text: str) -> str:
    """Parses an address "host:port"."""
    addresses.parse(text)
    return text


def parse_reachable_address(text: str) -> str:
    """Parses an address "host:port" that others can connect to; it may be empty."""
    if not text:
        return text
    host, port = addresses.parse(text)
    if not port or not _HOST.fullmatch(host) or host in _WILDCARD_HOSTS:
        raise errors.SettingsError(
            f"unreachable address {text!r}: expected host:port with the name or "
            "address of one machine, and a port from 1 to 65535"
        )
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parses a list of addresses separated by commas."""
    parts = tuple(part.strip() for part in text.split(",") if part.strip())
    if not parts:
        raise errors.SettingsError(
            f"missing address in {text!r}: expected host:port,host:port"
        )
    return tuple(parse_address(part) for part in parts)


@dataclasses.dataclass(slots=True, frozen=True)
class MemberAddresses:
    """The addresses of a control process in the settings.

    Attributes:
        name: The name of the process.
        thrift_address: Address that its peers connect to, host:port.
        http_address: Address that operators connect to, host:port.
    """

    name: str
    thrift_address: str
    http_address: str


def parse_members(text: str) -> tuple[MemberAddresses, ...]:
    """Parses a list of control processes separated by commas."""
    parts = [part.strip().split("=") for part in text.split(",")]
    if not all(len(part) == _MEMBER_PARTS_COUNT for part in parts):
        raise errors.SettingsError(
            f"invalid list of control processes {text!r}: expected "
            "name=thrift host:port=http host:port, separated by commas"
        )
    return tuple(
        MemberAddresses(
            parse_name(name), parse_address(thrift), parse_address(http)
        )
        for name, thrift, http in parts
    )


@dataclasses.dataclass(slots=True, frozen=True)
class QueueShare:
    """A guaranteed share in the settings.

    Attributes:
        name: The name of a queue, or "priority-N" for all queues of priority N.
        ratio: The guaranteed part of the dominant resource of a pool.
    """

    name: str
    ratio: float


@dataclasses.dataclass(slots=True, frozen=True)
class QueueShares:
    """All guaranteed shares of the settings.

    Attributes:
        shares: The shares, each with another name.
    """

    shares: tuple[QueueShare, ...] = ()

    def __str__(self) -> str:
        """Returns the text of the setting."""
        return ",".join(f"{s.name}={s.ratio:g}" for s in self.shares)


def parse_queue_shares(text: str) -> QueueShares:
    """Parses guaranteed shares, name=ratio separated by commas; may be empty."""
    if not text.strip():
        return QueueShares()
    ratios: dict[str, fractions.Fraction] = {}
    for entry in text.split(","):
        name, ratio = _parse_share(entry.strip())
        if name in ratios:
            raise errors.SettingsError(
                f"duplicate share {name!r} in {text!r}: expected one ratio for "
                "each queue or priority"
            )
        ratios[name] = ratio
    total = sum(ratios.values())
    if total > 1:
        raise errors.SettingsError(
            f"shares {text!r} sum to {float(total):g}: expected at most 1"
        )
    return QueueShares(
        tuple(QueueShare(name, float(ratio)) for name, ratio in ratios.items())
    )


def _parse_share(entry: str) -> tuple[str, fractions.Fraction]:
    name, separator, ratio_text = (
        part.strip() for part in entry.partition("=")
    )
    if not separator:
        raise errors.SettingsError(
            f"invalid share {entry[:80]!r}: expected queue=ratio or "
            "priority-N=ratio, separated by commas"
        )
    if not _NAME_PATTERN.fullmatch(name):
        raise errors.SettingsError(
            f"invalid queue {name[:80]!r} of a share: expected 1 to 63 letters, "
            "digits, '.', '_' and '-', with a letter or digit first"
        )
    priority = _PRIORITY_SHARE.fullmatch(name)
    if priority:
        name = f"priority-{int(priority[1])}"
    is_number = bool(ratio_text) and _RATIO.fullmatch(ratio_text)
    ratio = fractions.Fraction(ratio_text if is_number else 0)
    if not 0 < ratio <= 1:
        raise errors.SettingsError(
            f"invalid ratio {ratio_text[:80]!r} of share {name!r}: expected a "
            "number above 0 and at most 1, such as 0.25"
        )
    return name, ratio


def parse_integer(low: int, high: int) -> Callable[[str], int]:
    """Returns a parser of whole numbers from `low` to `high`."""

    def check(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            value = None
        if value is None or not low <= value <= high:
            raise errors.SettingsError(
                f"invalid value {text!r}: expected a whole number from {low} "
                f"to {high}"
            )
        return value

    return check


def parse_switch(text: str) -> str:
    """Parses "on" or "off"."""
    if text not in _SWITCH_VALUES:
        raise errors.SettingsError(
            f"invalid value {text!r}: expected one of {', '.join(_SWITCH_VALUES)}"
        )
    return text


def parse_url(text: str) -> str:
    """Parses an HTTP URL such as http://127.0.0.1:9000."""
    if not re.fullmatch(r"http://[^/\s]+(/\S*)?", text):
        raise errors.SettingsError(
            f"invalid URL {text!r}: expected http://host:port"
        )
    return text.rstrip("/")


def parse_path(text: str) -> str:
    """Parses the path of a file or folder."""
    if not text.strip():
        raise errors.SettingsError("empty path: expected a file or folder")
    return text


def parse_log_level(text: str) -> str:
    """Parses the name of a log level."""
    if text.upper() not in _LOG_LEVELS:
        raise errors.SettingsError(
            f"invalid log level {text!r}: "
            f"expected one of {', '.join(_LOG_LEVELS)}"
        )
    return text.upper()


def parse_job_concurrency(text: str) -> str:
    """Parses a limit on jobs under way, and returns its text."""
    concurrency_limits.parse(text)
    return text


def parse_text(value: str) -> str:
    """Returns the text as it is; any text is valid."""
    return value


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ProcessSettings:
    """Settings shared by all processes that serve."""

    name: str = setting(
        "Name of this process, unique in the system.", parse_name
    )
    data_centre: str = setting(
        "Data centre of this VM.", parse_name, default="dc1"
    )
    log_level: str = setting(
        "Lowest level of log events that are written.",
        parse_log_level,
        default="INFO",
    )
    http_address: str = setting(
        "Address on which HTTP is served, host:port; port 0 selects a free port.",
        parse_address,
        default="127.0.0.1:0",
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of `marigoldsill entry`."""

    control_addresses: tuple[str, ...] = setting(
        "Thrift addresses of the control processes, separated by commas.",
        parse_addresses,
    )
    threads_count: int = setting(
        "Maximum number of caller connections served at a time.",
        parse_integer(1, 4096),
        default=256,
    )
    body_limit_bytes: int = setting(
        "Maximum size of a request body, in bytes.",
        parse_integer(1, 1 << 30),
        default=1 << 20,
    )
    drain_limit_s: int = setting(
        "How long requests in flight may take after SIGTERM, in seconds.",
        parse_integer(0, 3600),
        default=30,
    )
    notice_s: int = setting(
        "Time for the load balancer to notice that this process stops, in seconds.",
        parse_integer(0, 600),
        default=0,
    )
    request_timeout_s: int = setting(
        "How long a caller may take to send a request, in seconds.",
        parse_integer(1, 600),
        default=10,
    )
    claim_life_s: int = setting(
        "How long an idempotency key is retained, in seconds; has to be longer "
        "than any caller keeps repeating a request.",
        parse_integer(60, 7 * 86_400),
        default=3600,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlSettings(ProcessSettings):
    """Settings of `marigoldsill control run`."""

    thrift_address: str = setting(
        "Address on which thrift is served, host:port; port 0 selects a free port.",
        parse_address,
        default="127.0.0.1:0",
    )
    data_folder: str = setting("Folder of the durable state.", parse_path)
    threads_count: int = setting(
        "Maximum number of thrift connections served at a time.",
        parse_integer(1, 8192),
        default=1024,
    )
    election_timeout_ms: int = setting(
        "Time without contact to the leader after which a new one is elected, in "
        "milliseconds.",
        parse_integer(100, 60_000),
        default=1000,
    )
    tokens_file: str = setting(
        "File of operator tokens, with a line 'operator token' for each "
        "operator; empty to require no token.",
        parse_text,
        default="",
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlInitSettings:
    """Settings of `marigoldsill control init`."""

    name: str = setting("Name of this control process.", parse_name)
    data_folder: str = setting("Folder of the durable state.", parse_path)
    members: tuple[MemberAddresses, ...] = setting(
        "All control processes of the group, including this one, separated by "
        "commas: name=thrift host:port=http host:port.",
        parse_members,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlRecoverSettings:
    """Settings of `marigoldsill control recover`."""

    name: str = setting("Name of the surviving control process.", parse_name)
    data_folder: str = setting("Folder of the durable state.", parse_path)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentSettings(ProcessSettings):
    """Settings of `marigoldsill agent`."""

    control_addresses: tuple[str, ...] = setting(
        "Thrift addresses of the control processes, separated by commas.",
        parse_addresses,
    )
    rack: str = setting("Rack of this worker.", parse_name, default="rack1")
    worker_url: str = setting(
        "URL of the platform's interface to this worker, http://host:port.",
        parse_url,
    )
    thrift_address: str = setting(
        "Address on which thrift is served, host:port; port 0 selects a free port.",
        parse_address,
        default="127.0.0.1:0",
    )
    threads_count: int = setting(
        "Maximum number of entry connections served at a time.",
        parse_integer(1, 8192),
        default=256,
    )
    heartbeat_ms: int = setting(
        "Time between heartbeats, in milliseconds.",
        parse_integer(50, 60_000),
        default=500,
    )
    checkpoint_interval_s: int = setting(
        "Time between checkpoints of a running batch job, in seconds; the loss "
        "of a worker costs at most this much of the job's work.",
        parse_integer(1, 86_400),
        default=60,
    )
    queue_count: int = setting(
        "Maximum number of requests that wait for a slot of one service.",
        parse_integer(0, 10_000),
        default=20,
    )
    drain_limit_s: int = setting(
        "How long requests in flight may take after SIGTERM, in seconds.",
        parse_integer(0, 3600),
        default=30,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlatformSideSettings:
    """Settings of `marigoldsill platform side`."""

    metrics_port: int = setting(
        "Port on which metrics are served; 0 to serve none.",
        parse_integer(0, 65_535),
        default=0,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlatformEdgeSettings(PlatformSideSettings):
    """Settings of `marigoldsill platform edge`."""

    advertise_address: str = setting(
        "Address that other processes connect to, host:port, if this process is "
        "behind a NAT or a port mapping; seeds have to name the same address. "
        "Empty: the listen address.",
        parse_reachable_address,
        default="",
    )
    admission: str = setting(
        "Whether jobs may be rejected: those that surely would end too late to be of "
        "use, and those beyond the limits of waiting jobs; on or off.",
        parse_switch,
        default="on",
    )
    waiting_jobs_limit: int = setting(
        "Maximum number of accepted jobs that have not started.",
        parse_integer(1, 10_000_000),
        default=50_000,
    )
    waiting_bytes_limit: int = setting(
        "Maximum memory of the records of accepted jobs that have not started, in "
        "bytes.",
        parse_integer(1, 1 << 40),
        default=64 << 20,
    )
    queue_shares: QueueShares = setting(
        "Guaranteed shares of the dominant resource of a pool, "
        "queue=ratio or priority-N=ratio, separated by commas, which sum to at "
        "most 1; the same on all processes. Empty: no shares.",
        parse_queue_shares,
        default=QueueShares(),
    )
    share_reclaim_s: int = setting(
        "How long a step of a share below its guarantee waits until runs of other "
        "queues are evicted for it, in seconds.",
        parse_integer(1, 3600),
        default=2,
    )
    job_concurrency: str = setting(
        "Limit on the best-effort jobs of a pool that are under way at once: "
        "`unlimited`; `count:N` for N jobs; `predicted-end` for as many as can all "
        "end within their objectives. Processes that may lead need the same value.",
        parse_job_concurrency,
        default=concurrency_limits.UNLIMITED,
    )
    spread_racks: int = setting(
        "1 to spread the tasks of wide steps over racks, and equally suited tasks "
        "over data centres; 0 to use the first suited worker.",
        parse_integer(0, 1),
        default=0,
    )
    worker_ramp_up_s: int = setting(
        "How long a worker that is added, or is back after a loss or an "
        "evacuation, gets its tasks step by step, in seconds; longer while it "
        "announces to be cold. 0 to give it tasks at once.",
        parse_integer(0, 600),
        default=0,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LocalSettings:
    """Settings of `marigoldsill local`."""

    workers_count: int = setting(
        "Number of stand-in workers.", parse_integer(1, 20), default=2
    )
    worker_cores_count: int = setting(
        "Cores of each stand-in worker.", parse_integer(1, 1024), default=30
    )
    worker_memory_bytes: int = setting(
        "Memory of each stand-in worker, in bytes.",
        parse_integer(1 << 20, 1 << 50),
        default=130 << 30,
    )
    entry_http_address: str = setting(
        "Address on which callers are served, host:port; port 0 selects a free port.",
        parse_address,
        default="127.0.0.1:0",
    )
    control_http_address: str = setting(
        "Address on which operators are served, host:port; port 0 selects a free port.",
        parse_address,
        default="127.0.0.1:0",
    )
    data_folder: str = setting(
        "Folder of the durable state; empty for a temporary folder that is "
        "deleted when the process ends.",
        parse_text,
        default="",
    )
    log_level: str = setting(
        "Lowest level of log events that are written.",
        parse_log_level,
        default="WARNING",
    )
