"""The platform's interface to one worker.

All calls to the platform go through `WorkerInterface`, so support for another
platform only needs another subclass.
"""

import abc
import dataclasses
import json
from typing import Any

from marigoldsill import errors
from marigoldsill.transport import http_client

_TIMEOUT_S = 2.0
_STATUS_OK = 200
# With these the platform did nothing: the request is invalid, or the operation failed.
_REFUSED_STATUSES = range(400, 501)


@dataclasses.dataclass(slots=True, frozen=True)
class StartSpec:
    """A request to the platform to start a run.

    Attributes:
        task: Name of the task.
        epoch: Epoch of the run.
        kind: "service", "batch_job" or "watcher".
        owner: Name of the service, batch job or watcher.
        command: The task's command, passed unchanged.
        cpu_millicores: Reserved processor time.
        memory_bytes: Reserved memory.
        accelerators_count: Reserved accelerators.
        lease_end_ns: When the platform stops the task unless its lease is
            renewed, on the VM's monotonic clock. Agent and platform share this
            clock, so a frozen agent cannot start a run after its lease.
        checkpoint_id: The checkpoint to resume from; empty to start from the
            beginning.
        worked_ms: Work that the checkpoint contains.
        run_time_ms: Declared run time of a batch job.
        slots_count: Maximum concurrent requests of a service.
        connections_count: Maximum connections of a service.
    """

    task: str
    epoch: int
    kind: str
    owner: str
    command: str
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    lease_end_ns: int
    checkpoint_id: str = ""
    worked_ms: int = 0
    run_time_ms: int = 0
    slots_count: int = 0
    connections_count: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformTask:
    """A task in the platform's list.

    Attributes:
        task: Name of the task.
        epoch: Epoch of the run.
        state: "running", "completed", "failed" or "stopped".
        cpu_millicores: Reserved processor time.
        memory_bytes: Reserved memory.
        accelerators_count: Reserved accelerators.
        progress_ms: Work done so far, including that of the checkpoint it resumed.
        checkpoint_id: The last checkpoint, or empty.
        checkpoint_worked_ms: Work that the last checkpoint contains.
        throttled: Whether it is throttled.
        detail: Why it failed or was stopped.
    """

    task: str
    epoch: int
    state: str
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    progress_ms: int = 0
    checkpoint_id: str = ""
    checkpoint_worked_ms: int = 0
    throttled: bool = False
    detail: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformUsage:
    """A delayed measurement of a task.

    Attributes:
        task: Name of the task.
        cpu_millicores: Processor time used.
        memory_bytes: Memory used.
        age_ms: Age of the measurement.
        latency_p99_us: 99th percentile latency of a service's requests.
        progress_ms: Work done by a batch job.
    """

    task: str
    cpu_millicores: int
    memory_bytes: int
    age_ms: int
    latency_p99_us: int = 0
    progress_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformCapacity:
    """The total resources of the worker."""

    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int


class WorkerInterface(abc.ABC):
    """The platform's operations on one worker.

    Each method raises `PlatformError` if the platform refuses or fails and
    `TransportError` if no answer came.
    """

    @abc.abstractmethod
    def capacity(self) -> PlatformCapacity:
        """Returns the total resources of the worker."""

    @abc.abstractmethod
    def tasks(self) -> list[PlatformTask]:
        """Lists all tasks on the worker; ended ones until `remove_ended`."""

    @abc.abstractmethod
    def usage(self) -> list[PlatformUsage]:
        """Returns the latest measurements, which are delayed."""

    @abc.abstractmethod
    def start(self, spec: StartSpec) -> None:
        """Starts a run; repeating it for the same task and epoch has no effect.

        Raises:
            CapacityError: The run does not fit; it was not started.
            LeaseOverError: Its lease has expired; it was not started.
        """

    @abc.abstractmethod
    def renew(self, *, lease_end_ns: int) -> None:
        """Renews the leases of all running tasks until `lease_end_ns`."""

    @abc.abstractmethod
    def checkpoint(self, task: str, *, epoch: int) -> PlatformTask:
        """Checkpoints a run and returns the task with its new checkpoint."""

    @abc.abstractmethod
    def throttle(self, task: str, *, epoch: int, throttled: bool) -> None:
        """Throttles a run or ends its throttling."""

    @abc.abstractmethod
    def stop(self, task: str, *, epoch: int) -> None:
        """Stops a run and returns after it has stopped."""

    @abc.abstractmethod
    def remove_ended(self, task: str, *, epoch: int) -> None:
        """Removes an ended run from the list."""


class HttpWorker(WorkerInterface):
    """Calls a worker by HTTP with JSON bodies."""

    def __init__(self, *, base_url: str):
        self._base_url = base_url

    def capacity(self) -> PlatformCapacity:
        """Returns the total resources of the worker."""
        return PlatformCapacity(**self._call("GET", "/capacity"))

    def tasks(self) -> list[PlatformTask]:
        """Lists all tasks on the worker."""
        return [PlatformTask(**item) for item in self._call("GET", "/tasks")]

    def usage(self) -> list[PlatformUsage]:
        """Returns the latest measurements."""
        return [PlatformUsage(**item) for item in self._call("GET", "/usage")]

    def start(self, spec: StartSpec) -> None:
        """Starts a run."""
        # The answer to another copy would hide that the first may begin the run.
        self._call("POST", "/start", dataclasses.asdict(spec), single_copy=True)

    def renew(self, *, lease_end_ns: int) -> None:
        """Renews all leases."""
        self._call("POST", "/renew", {"lease_end_ns": lease_end_ns})

    def checkpoint(self, task: str, *, epoch: int) -> PlatformTask:
        """Checkpoints a run."""
        body = {"task": task, "epoch": epoch}
        return PlatformTask(**self._call("POST", "/checkpoint", body))

    def throttle(self, task: str, *, epoch: int, throttled: bool) -> None:
        """Throttles a run or ends its throttling."""
        body = {"task": task, "epoch": epoch, "throttled": throttled}
        self._call("POST", "/throttle", body)

    def stop(self, task: str, *, epoch: int) -> None:
        """Stops a run."""
        self._call("POST", "/stop", {"task": task, "epoch": epoch})

    def remove_ended(self, task: str, *, epoch: int) -> None:
        """Removes an ended run from the list."""
        self._call("POST", "/forget", {"task": task, "epoch": epoch})

    def _call(
        self,
        method: str,
        path: str,
        body: dict[str, object] | None = None,
        *,
        single_copy: bool = False,
    ) -> Any:
        data = json.dumps(body).encode() if body is not None else b""
        answer = http_client.fetch(
            self._base_url + path,
            method=method,
            body=data,
            headers=(("Content-Type", "application/json"),),
            timeout_s=_TIMEOUT_S,
            single_copy=single_copy,
        )
        if answer.status_code == 409:
            raise errors.CapacityError(_error_detail(answer))
        if answer.status_code == 410:
            raise errors.LeaseOverError(_error_detail(answer))
        if answer.status_code in _REFUSED_STATUSES:
            raise errors.PlatformError(
                f"{path} gave {answer.status_code}: {_error_detail(answer)}"
            )
        if answer.status_code != _STATUS_OK:
            raise errors.UnexpectedStatusError(
                f"{path} gave {answer.status_code}: {_error_detail(answer)}"
            )
        return _decode(path, answer)


def _decode(path: str, answer: http_client.HttpResponse) -> Any:
    try:
        return json.loads(answer.body) if answer.body else None
    except ValueError as error:
        raise errors.UnexpectedStatusError(
            f"{path} gave an unreadable answer: {error}"
        ) from error


def _error_detail(answer: http_client.HttpResponse) -> str:
    return answer.body.decode(errors="replace")[:200]
