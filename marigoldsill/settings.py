"""The settings of each role, which are set by flags or environment variables.

Each setting is a field of its role's class. The flag `--lease-ms` and the variable
`MARIGOLDSILL_LEASE_MS` set the same setting; the flag takes precedence.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from marigoldsill import setting_parsers
from marigoldsill.coordination.job_queueing import concurrency_limits


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


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ProcessSettings:
    """Settings shared by all processes that serve."""

    name: str = setting(
        "Name of this process, unique in the system.",
        setting_parsers.parse_name,
    )
    data_centre: str = setting(
        "Data centre of this VM.", setting_parsers.parse_name, default="dc1"
    )
    log_level: str = setting(
        "Lowest level of log events that are written.",
        setting_parsers.parse_log_level,
        default="INFO",
    )
    http_address: str = setting(
        "Address on which HTTP is served, host:port; port 0 selects a free port.",
        setting_parsers.parse_address,
        default="127.0.0.1:0",
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of `marigoldsill entry`."""

    control_addresses: tuple[str, ...] = setting(
        "Thrift addresses of the control processes, separated by commas.",
        setting_parsers.parse_addresses,
    )
    threads_count: int = setting(
        "Maximum number of caller connections served at a time.",
        setting_parsers.parse_integer(1, 4096),
        default=256,
    )
    body_limit_bytes: int = setting(
        "Maximum size of a request body, in bytes.",
        setting_parsers.parse_integer(1, 1 << 30),
        default=1 << 20,
    )
    drain_limit_s: int = setting(
        "How long requests in flight may take after SIGTERM, in seconds.",
        setting_parsers.parse_integer(0, 3600),
        default=30,
    )
    notice_s: int = setting(
        "Time for the load balancer to notice that this process stops, in seconds.",
        setting_parsers.parse_integer(0, 600),
        default=0,
    )
    request_timeout_s: int = setting(
        "How long a caller may take to send a request, in seconds.",
        setting_parsers.parse_integer(1, 600),
        default=10,
    )
    claim_life_s: int = setting(
        "How long an idempotency key is retained, in seconds; has to be longer "
        "than any caller keeps repeating a request.",
        setting_parsers.parse_integer(60, 7 * 86_400),
        default=3600,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlSettings(ProcessSettings):
    """Settings of `marigoldsill control run`."""

    thrift_address: str = setting(
        "Address on which thrift is served, host:port; port 0 selects a free port.",
        setting_parsers.parse_address,
        default="127.0.0.1:0",
    )
    data_folder: str = setting(
        "Folder of the durable state.", setting_parsers.parse_path
    )
    threads_count: int = setting(
        "Maximum number of thrift connections served at a time.",
        setting_parsers.parse_integer(1, 8192),
        default=1024,
    )
    election_timeout_ms: int = setting(
        "Time without contact to the leader after which a new one is elected, in "
        "milliseconds.",
        setting_parsers.parse_integer(100, 60_000),
        default=1000,
    )
    tokens_file: str = setting(
        "File of operator tokens, with a line 'operator token' for each "
        "operator; empty to require no token.",
        setting_parsers.parse_text,
        default="",
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlInitSettings:
    """Settings of `marigoldsill control init`."""

    name: str = setting(
        "Name of this control process.", setting_parsers.parse_name
    )
    data_folder: str = setting(
        "Folder of the durable state.", setting_parsers.parse_path
    )
    members: tuple[setting_parsers.MemberAddresses, ...] = setting(
        "All control processes of the group, including this one, separated by "
        "commas: name=thrift host:port=http host:port.",
        setting_parsers.parse_members,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlRecoverSettings:
    """Settings of `marigoldsill control recover`."""

    name: str = setting(
        "Name of the surviving control process.", setting_parsers.parse_name
    )
    data_folder: str = setting(
        "Folder of the durable state.", setting_parsers.parse_path
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentSettings(ProcessSettings):
    """Settings of `marigoldsill agent`."""

    control_addresses: tuple[str, ...] = setting(
        "Thrift addresses of the control processes, separated by commas.",
        setting_parsers.parse_addresses,
    )
    rack: str = setting(
        "Rack of this worker.", setting_parsers.parse_name, default="rack1"
    )
    worker_url: str = setting(
        "URL of the platform's interface to this worker, http://host:port.",
        setting_parsers.parse_url,
    )
    thrift_address: str = setting(
        "Address on which thrift is served, host:port; port 0 selects a free port.",
        setting_parsers.parse_address,
        default="127.0.0.1:0",
    )
    threads_count: int = setting(
        "Maximum number of entry connections served at a time.",
        setting_parsers.parse_integer(1, 8192),
        default=256,
    )
    heartbeat_ms: int = setting(
        "Time between heartbeats, in milliseconds.",
        setting_parsers.parse_integer(50, 60_000),
        default=500,
    )
    checkpoint_interval_s: int = setting(
        "Time between checkpoints of a running batch job, in seconds; the loss "
        "of a worker costs at most this much of the job's work.",
        setting_parsers.parse_integer(1, 86_400),
        default=60,
    )
    queue_count: int = setting(
        "Maximum number of requests that wait for a slot of one service.",
        setting_parsers.parse_integer(0, 10_000),
        default=100,
    )
    drain_limit_s: int = setting(
        "How long requests in flight may take after SIGTERM, in seconds.",
        setting_parsers.parse_integer(0, 3600),
        default=30,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlatformSideSettings:
    """Settings of `marigoldsill platform side`."""

    metrics_port: int = setting(
        "Port on which metrics are served; 0 to serve none.",
        setting_parsers.parse_integer(0, 65_535),
        default=0,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlatformEdgeSettings(PlatformSideSettings):
    """Settings of `marigoldsill platform edge`."""

    advertise_address: str = setting(
        "Address that other processes connect to, host:port, if this process is "
        "behind a NAT or a port mapping; seeds have to name the same address. "
        "Empty: the listen address.",
        setting_parsers.parse_reachable_address,
        default="",
    )
    admission: str = setting(
        "Whether jobs may be rejected: those that surely would end too late to be of "
        "use, and those beyond the limits of waiting jobs; on or off.",
        setting_parsers.parse_switch,
        default="on",
    )
    waiting_jobs_limit: int = setting(
        "Maximum number of accepted jobs that have not started.",
        setting_parsers.parse_integer(1, 10_000_000),
        default=50_000,
    )
    waiting_bytes_limit: int = setting(
        "Maximum memory of the records of accepted jobs that have not started, in "
        "bytes.",
        setting_parsers.parse_integer(1, 1 << 40),
        default=64 << 20,
    )
    queue_shares: setting_parsers.QueueShares = setting(
        "Guaranteed shares of the dominant resource of a pool, "
        "queue=ratio or priority-N=ratio, separated by commas, which sum to at "
        "most 1; the same on all processes. Empty: no shares.",
        setting_parsers.parse_queue_shares,
        default=setting_parsers.QueueShares(),
    )
    share_reclaim_s: int = setting(
        "How long a step of a share below its guarantee waits until runs of other "
        "queues are evicted for it, in seconds.",
        setting_parsers.parse_integer(1, 3600),
        default=2,
    )
    job_concurrency: str = setting(
        "Limit on the best-effort jobs of a pool that are under way at once: "
        "`unlimited`; `count:N` for N jobs; `predicted-end` for as many as can all "
        "end within their objectives. Processes that may lead need the same value.",
        setting_parsers.parse_job_concurrency,
        default=concurrency_limits.UNLIMITED,
    )
    spread_racks: int = setting(
        "1 to spread the tasks of wide steps over racks, and equally suited tasks "
        "over data centres; 0 to use the first suited worker.",
        setting_parsers.parse_integer(0, 1),
        default=0,
    )
    worker_ramp_up_s: int = setting(
        "How long a worker that is added, or is back after a loss or an "
        "evacuation, gets its tasks step by step, in seconds; longer while it "
        "announces to be cold. 0 to give it tasks at once.",
        setting_parsers.parse_integer(0, 600),
        default=0,
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LocalSettings:
    """Settings of `marigoldsill local`."""

    workers_count: int = setting(
        "Number of stand-in workers.",
        setting_parsers.parse_integer(1, 20),
        default=2,
    )
    worker_cores_count: int = setting(
        "Cores of each stand-in worker.",
        setting_parsers.parse_integer(1, 1024),
        default=30,
    )
    worker_memory_bytes: int = setting(
        "Memory of each stand-in worker, in bytes.",
        setting_parsers.parse_integer(1 << 20, 1 << 50),
        default=130 << 30,
    )
    entry_http_address: str = setting(
        "Address on which callers are served, host:port; port 0 selects a free port.",
        setting_parsers.parse_address,
        default="127.0.0.1:0",
    )
    control_http_address: str = setting(
        "Address on which operators are served, host:port; port 0 selects a free port.",
        setting_parsers.parse_address,
        default="127.0.0.1:0",
    )
    data_folder: str = setting(
        "Folder of the durable state; empty for a temporary folder that is "
        "deleted when the process ends.",
        setting_parsers.parse_text,
        default="",
    )
    log_level: str = setting(
        "Lowest level of log events that are written.",
        setting_parsers.parse_log_level,
        default="WARNING",
    )
