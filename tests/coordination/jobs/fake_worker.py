"""An in-memory worker for tests, with faults that can be switched on."""

import itertools

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock

NO_ANSWER = errors.TransportError("no answer", sent=True, timed_out=True)
BROKEN_CONNECTION = errors.TransportError("connection broke", sent=True)
UNEXPECTED_STATUS = errors.UnexpectedStatusError("500")


class FakeWorker(run_worker.RunWorker):
    """Starts, stops and lists runs without delay.

    Attributes:
        incarnation: The incarnation that answers.
        running: Samples of the running runs.
        refusal: Reason to refuse starts with, or empty.
        is_unwell: Whether starts and stops fail because it is not healthy.
        has_unexpected_status: Whether starts are carried out, and answered with a status
            that does not tell it.
        unanswered: Names of calls that get no answer until removed here.
        delayed_calls: Unanswered calls, which `run_delayed_calls` executes.
        calls: Names of the received calls, with their run.
        quotas: The quota that each run was given, in percent.
        deadlines_ms: The deadlines in calls of `renew_lease`, on the worker's clock.
        acknowledged: The highest number of an end that was acknowledged.
        acknowledgements: The number in each call of `renew_lease`, answered or not.
        called_incarnations: The incarnation that each call of `renew_lease` addressed.
        unreachable_incarnations: Incarnations for which `renew_lease` gets no answer.
        unanswered_error: What calls of `renew_lease` without an answer raise.
        unreadable: Runs whose row of the listing cannot be read.
        unread_ended_count: How many rows of ends cannot be read.
        unreadable_ends: Runs whose row in the listed ends cannot be read.
        listed_ends_limit: Maximum number of ends in a listing.
        has_slow_stops: Whether runs continue after their stop was confirmed.
        is_closed: Whether no process listens at its address.
    """

    def __init__(self, incarnation: str = "a1-incarnation1"):
        self.incarnation = incarnation
        self.running: dict[task_names.RunKey, ttypes.RunSample] = {}
        self.refusal = ""
        self.is_unwell = False
        self.has_unexpected_status = False
        self.unanswered: set[str] = set()
        self.delayed_calls: list = []
        self.calls: list[tuple[str, task_names.RunKey]] = []
        self.quotas: dict[task_names.RunKey, int] = {}
        self.deadlines_ms: list[int | None] = []
        self.acknowledged = 0
        self.acknowledgements: list[int] = []
        self.called_incarnations: list[str] = []
        self.unreachable_incarnations: set[str] = set()
        self.unanswered_error: errors.MarigoldsillError = NO_ANSWER
        self.unreadable: set[task_names.RunKey] = set()
        self.unread_ended_count = 0
        self.unreadable_ends: set[task_names.RunKey] = set()
        self.listed_ends_limit = 500
        self.has_slow_stops = False
        self.is_closed = False
        self._stopping: set[task_names.RunKey] = set()
        self._ended: list[run_worker.EndedRun] = []
        self._numbers = itertools.count(1)
        self._last_ended_runs: dict[str, int] = {}
        self._created_s = clock.now_s()

    def clock_ms(self, at_s: float | None = None) -> int:
        """Returns the worker's clock at a time of this machine, or now."""
        local_s = clock.now_s() if at_s is None else at_s
        return 1_000 + int((local_s - self._created_s) * 1000)

    def start(
        self, worker_id: str, start: run_worker.RunStart, *, token: int
    ) -> int:
        """Starts a run."""
        key = (start.task, start.run)
        return self._call("start", worker_id, key, lambda: self._start(key))

    def stop(self, worker_id: str, task: str, run: int, *, token: int) -> int:
        """Stops a run."""
        key = (task, run)
        return self._call("stop", worker_id, key, lambda: self._stop(key))

    def renew_lease(
        self,
        worker_id: str,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> run_worker.RunListing:
        """Lists running and ended runs without waiting."""
        if self.is_closed:
            raise errors.TransportError(
                "connection refused", sent=False, refused=True
            )
        self.called_incarnations.append(worker_id)
        self.acknowledgements.append(acknowledged)
        if worker_id in self.unreachable_incarnations:
            raise self.unanswered_error
        self._check_incarnation(worker_id)
        self.deadlines_ms.append(deadline_ms)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self._ended = [e for e in self._ended if e.number > acknowledged]
        if not self.has_slow_stops:
            for key in self._stopping & self.running.keys():
                self._end(key, ttypes.RunEndKind.STOPPED)
        readable = [
            sample
            for key, sample in self.running.items()
            if key not in self.unreadable
        ]
        listed = self._ended[: self.listed_ends_limit]
        is_read = [
            (e.end.task, e.end.run) not in self.unreadable_ends for e in listed
        ]
        unread_count = self.unread_ended_count + is_read.count(False)
        return run_worker.RunListing(
            clock_ms=self.clock_ms(),
            running=readable,
            ended=list(itertools.compress(listed, is_read)),
            unread_running_count=len(self.running) - len(readable),
            unread_ended_count=unread_count,
            is_ends_partial=(
                unread_count > 0 or len(listed) >= self.listed_ends_limit
            ),
            read_ended_count=None if all(is_read) else is_read.index(False),
        )

    def throttle(
        self, worker_id: str, task: str, run: int, *, percent: int, token: int
    ) -> int:
        """Records a quota."""
        self.quotas[task, run] = percent
        return self.clock_ms()

    def end_run(self, key: task_names.RunKey, kind: ttypes.RunEndKind) -> None:
        """Ends a run without a call to stop it."""
        self._end(key, kind)

    def restart(self, incarnation: str) -> None:
        """Restarts without any state."""
        self.incarnation = incarnation
        self.running.clear()
        self._stopping.clear()
        self._ended.clear()
        self._last_ended_runs.clear()
        self._numbers = itertools.count(1)
        self._created_s = clock.now_s()

    def run_delayed_calls(self) -> None:
        """Executes the calls that were not answered."""
        calls, self.delayed_calls = self.delayed_calls, []
        for call in calls:
            try:
                call()
            except errors.PlatformError:
                continue

    def _call(
        self, name: str, worker_id: str, key: task_names.RunKey, action
    ) -> int:
        self.calls.append((name, key))
        self._check_incarnation(worker_id)
        if self.is_unwell:
            raise errors.WorkerUnwellError("503")
        if name in self.unanswered:
            self._delay(worker_id, action)
            raise self.unanswered_error
        action()
        if name == "start" and self.has_unexpected_status:
            raise errors.UnexpectedStatusError("500")
        return self.clock_ms()

    def _delay(self, worker_id: str, action) -> None:
        """Keeps a call that gets no answer."""
        self.delayed_calls.append(action)

    def _check_incarnation(self, worker_id: str) -> None:
        if worker_id != self.incarnation:
            raise errors.OtherWorkerError("421")

    def _start(self, key: task_names.RunKey) -> None:
        if key in self.running:
            return
        task, run = key
        if run <= self._last_ended_runs.get(task, 0):
            reason = run_worker.RefusalReason.OUTDATED
            raise errors.RunRefusedError("409", reason=reason)
        if self.refusal:
            raise errors.RunRefusedError("409", reason=self.refusal)
        self.running[key] = ttypes.RunSample(
            task=task, run=run, percent=0, load=0
        )

    def _stop(self, key: task_names.RunKey) -> None:
        task, run = key
        self._last_ended_runs[task] = max(
            self._last_ended_runs.get(task, 0), run
        )
        self._stopping.add(key)
        if key in self.running and not self.has_slow_stops:
            self._end(key, ttypes.RunEndKind.STOPPED)

    def _end(self, key: task_names.RunKey, kind: ttypes.RunEndKind) -> None:
        del self.running[key]
        task, run = key
        self._last_ended_runs[task] = max(
            self._last_ended_runs.get(task, 0), run
        )
        end = ttypes.RunEnd(task=task, run=run, kind=kind)
        self._ended.append(run_worker.EndedRun(next(self._numbers), end))


class RestartingWorker(FakeWorker):
    """A worker that keeps its name when it restarts, and then knows nothing of before.

    Calls are addressed to its name, so it executes those meant for an earlier
    incarnation; only a listing tells which incarnation made it.
    """

    def __init__(self, incarnation: str = "w1@100"):
        super().__init__(incarnation)

    def renew_lease(
        self, worker_id: str, **arguments: object
    ) -> run_worker.RunListing:
        """Lists runs; raises if another incarnation was addressed."""
        listing = super().renew_lease(worker_id, **arguments)
        if worker_id != self.incarnation:
            raise errors.OtherWorkerError(
                "another incarnation answered", answering_id=self.incarnation
            )
        return listing

    def _check_incarnation(self, worker_id: str) -> None:
        if worker_id.partition("@")[0] != self.incarnation.partition("@")[0]:
            raise errors.OtherWorkerError("421")
