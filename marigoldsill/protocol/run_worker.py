"""The interface to a worker that runs tasks of jobs.

Runs are numbered, and calls carry fencing tokens. An agent calls its worker only
through `RunWorker`, so support for another platform only needs another subclass.
"""

import abc
import dataclasses

from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """The state that a worker announces periodically.

    Attributes:
        worker: Its capacity, state and other properties that the leader uses.
        sequence: Increases with each announcement of one incarnation of the worker.
    """

    worker: ttypes.PoolWorker
    sequence: int


@dataclasses.dataclass(slots=True, frozen=True)
class RunStart:
    """A request to start a run on a worker.

    Attributes:
        task: Name of the task.
        run: Number of the run; a worker only starts a run that is newer than
            the runs of the task that have ended there.
        command: The task's command, passed unchanged.
        deadline_ms: When the lease of all runs on the worker ends, on the
            worker's clock.
        checkpoint_id: The checkpoint to resume from; empty to start from the
            beginning.
        ticket: The adviser's ticket, if the queue requires one.
    """

    task: str
    run: int
    command: str
    deadline_ms: int
    checkpoint_id: str = ""
    ticket: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class EndedRun:
    """The end of a run, which the worker lists until it is acknowledged.

    Attributes:
        number: Counts the ends on this incarnation of the worker, from 1.
        end: The run and how it ended.
    """

    number: int
    end: ttypes.RunEnd


@dataclasses.dataclass(slots=True, frozen=True)
class RunListing:
    """All runs of a worker and the ends that are not acknowledged yet.

    Attributes:
        clock_ms: The worker's clock when it answered.
        running: The running tasks.
        ended: Unacknowledged ends, the oldest first; may be incomplete.
        unread_running_count: Number of unreadable rows of running tasks.
        unread_ended_count: Number of unreadable rows of ends.
        is_ends_partial: Whether an unacknowledged end may be missing in `ended`.
        read_ended_count: How many ends come before the first unreadable row of an end;
            None if there is no such row.
    """

    clock_ms: int
    running: list[ttypes.RunSample]
    ended: list[EndedRun]
    unread_running_count: int = 0
    unread_ended_count: int = 0
    is_ends_partial: bool = False
    read_ended_count: int | None = None

    @property
    def read_end_number(self) -> int:
        """The number up to which no listed end is unreadable; 0 if there is none."""
        read = self.ended[: self.read_ended_count]
        return max((ended.number for ended in read), default=0)


class RunWorker(abc.ABC):
    """The calls to one incarnation of a worker.

    Each method raises `TransportError` if no answer of this incarnation came; the call
    may still take effect later, also on a later incarnation of the same name (see
    `incarnation_ids`). It raises `OtherWorkerError` if another incarnation of the worker
    answered, and `WorkerUnwellError` if the worker did not execute the call. An order
    that raises `OtherWorkerError` had no effect, but a lease renewal may have had.
    """

    @abc.abstractmethod
    def start(self, worker_id: str, start: RunStart, *, token: int) -> int:
        """Starts a run; has no effect if it is already running.

        Returns:
            The worker's clock, in milliseconds.

        Raises:
            RunRefusedError: It was not started; `reason` gives the cause.
        """

    @abc.abstractmethod
    def stop(self, worker_id: str, task: str, run: int, *, token: int) -> int:
        """Stops a run; if it has not started yet, its start is refused from now on.

        Returns:
            The worker's clock, in milliseconds.

        Raises:
            RunRefusedError: The worker has seen a later token.
        """

    @abc.abstractmethod
    def renew_lease(
        self,
        worker_id: str,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> RunListing:
        """Renews the lease of all runs and lists them.

        Args:
            worker_id: The incarnation of the worker that is addressed.
            token: The fencing token: the leader's term.
            acknowledged: The worker may discard ends up to this number.
            deadline_ms: The new end of the lease on the worker's clock; None
                leaves it unchanged.
            wait_ms: How long to wait until there is an end to list.

        Raises:
            RunRefusedError: The worker has seen a later token.
        """

    @abc.abstractmethod
    def throttle(
        self, worker_id: str, task: str, run: int, *, percent: int, token: int
    ) -> int:
        """Limits a run to a percentage of its full speed.

        Returns:
            The worker's clock, in milliseconds.

        Raises:
            RunRefusedError: The run is not running there, or the worker has seen a later
                token.
        """


class RefusalReason:
    """Why a worker or its agent refused a run: values of `RunRefusedError.reason`."""

    FENCED = "fenced"
    OUTDATED = "outdated"
    TOO_LATE = "too-late"
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    EVACUATED = "its data centre is evacuated"
    SPREAD_LIMIT = "the worker may have as many runs of the step as its limit"
