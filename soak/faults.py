"""Faults of a soak and their times."""

import dataclasses

from soak import proxy

# CPU capacity of a worker, unless it is reduced.
CAPACITY_MILLICORES = 8_000


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessKill:
    """A process is killed and later started again."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class LeaderKill:
    """The leader at that time is killed and later started again."""


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessTermination:
    """A process gets SIGTERM and is started again after its end."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessPause:
    """A process is suspended temporarily."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessReload:
    """A process gets SIGHUP and reloads its settings."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class DiskLoss:
    """A member loses its disk and is replaced by an empty one at its address."""

    process: str


@dataclasses.dataclass(slots=True, frozen=True)
class PowerLoss:
    """Processes and their workers are killed at the same time and start again."""

    processes: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class GroupTermination:
    """Processes get SIGTERM at the same time and start again after their end."""

    processes: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SeedsChange:
    """The seeds in the settings of all processes change permanently."""

    names: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerCrash:
    """A worker crashes and restarts without runs.

    Attributes:
        worker: The worker.
        keeps_id: Whether it restarts under the same id, if its workers tell when they
            started; else under a new one.
    """

    worker: str
    keeps_id: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class DelayedCalls:
    """A worker does not answer one kind of call and carries it out later.

    Attributes:
        worker: The worker.
        call: The kind of call.
        delay_s: How much later.
    """

    worker: str
    call: str
    delay_s: float = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class RefusedCalls:
    """A worker refuses some calls, as an unhealthy one does.

    Attributes:
        worker: The worker.
        share: The share of calls that are refused.
        status: The status of the refusals.
    """

    worker: str
    share: float
    status: int


@dataclasses.dataclass(slots=True, frozen=True)
class BadWorker:
    """A worker refuses some starts, or some of its runs fail at once.

    Attributes:
        worker: The worker.
        refused_share: The share of starts that are refused.
        failed_share: The share of runs that fail.
    """

    worker: str
    refused_share: float = 0.0
    failed_share: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class CapacityReduction:
    """A worker's CPU capacity is reduced temporarily."""

    worker: str
    cpu_millicores: int


@dataclasses.dataclass(slots=True, frozen=True)
class ForeignHeartbeats:
    """An agent gets heartbeats of unknown workers and malformed requests."""

    worker: str
    seed: int


@dataclasses.dataclass(slots=True, frozen=True)
class MisusedId:
    """An agent gets heartbeats of another writer under the id of its worker."""

    worker: str
    seed: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionReset:
    """The open connections to machines are reset once.

    Those to a worker's machine lead to the worker and to its agent, those to an edge's
    machine come from callers and from other processes.
    """

    names: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class LinkFault:
    """The connections to a machine's address are disturbed.

    Attributes:
        name: The machine.
        mode: How they are disturbed.
    """

    name: str
    mode: proxy.Mode


@dataclasses.dataclass(slots=True, frozen=True)
class ControlLinkFault:
    """The control connections between some processes are disturbed.

    Attributes:
        callers: The calling processes.
        targets: The called processes; only edges among them are affected.
        both_ways: Whether calls in the other direction are disturbed too.
        mode: How the connections are disturbed.
    """

    callers: tuple[str, ...]
    targets: tuple[str, ...]
    both_ways: bool
    mode: proxy.Mode


Fault = (
    ProcessKill
    | LeaderKill
    | ProcessTermination
    | ProcessPause
    | ProcessReload
    | DiskLoss
    | PowerLoss
    | GroupTermination
    | SeedsChange
    | WorkerCrash
    | DelayedCalls
    | RefusedCalls
    | BadWorker
    | CapacityReduction
    | ForeignHeartbeats
    | MisusedId
    | ConnectionReset
    | LinkFault
    | ControlLinkFault
)


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedFault:
    """A fault with its time.

    Attributes:
        at_s: When it starts, from the start of the soak.
        duration_s: How long it lasts.
        fault: The fault.
    """

    at_s: float
    duration_s: float
    fault: Fault
