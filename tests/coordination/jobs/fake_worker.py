"""A worker in memory that behaves as the interface says, with faults."""

import itertools

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock


class FakeWorker(run_worker.RunWorker):
    """Starts, stops and lists runs at once; no time passes in it.

    Attributes:
        incarnation: The incarnation that answers.
        running: What runs.
        refusal: Reason to refuse starts with, or empty.
        unanswered: Calls, by name, that give no answer until removed here.
        late: What such calls will do when `deliver_late` is called.
        calls: Names of the calls that came, with their run.
        quotas: The pace that each run was given.
        held_incarnations: The incarnations that calls to hold meant, in turn.
        lost_lives: Incarnations of which calls get no answer.
        unread: Runs whose row of the list can't be read.
        unread_ended_count: How many rows of ends can't be read.
        lingering: Whether runs go on after their stop was confirmed.
    """

    def __init__(self, incarnation: str = "a1-life1"):
        self.incarnation = incarnation
        self.running: dict[task_names.RunKey, ttypes.RunSample] = {}
        self.refusal = ""
        self.unwell = False
        self.unanswered: set[str] = set()
        self.late: list = []
        self.calls: list[tuple[str, task_names.RunKey]] = []
        self.quotas: dict[task_names.RunKey, int] = {}
        self.deadlines: list[int | None] = []
        self.acknowledged = 0
        self.held_incarnations: list[str] = []
        self.lost_lives: set[str] = set()
        self.unread: set[task_names.RunKey] = set()
        self.unread_ended_count = 0
        self.lingering = False
        self._stopping: set[task_names.RunKey] = set()
        self._ended: list[run_worker.EndedRun] = []
        self._numbers = itertools.count(1)
        self._highest_over: dict[str, int] = {}
        self._zero_s = clock.now_s()

    def clock_ms(self, at_s: float | None = None) -> int:
        """The worker's own clock at a time of this machine, or now."""
        moment_s = clock.now_s() if at_s is None else at_s
        return 1_000 + int((moment_s - self._zero_s) * 1000)

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

    def hold(
        self,
        worker_id: str,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> run_worker.Listing:
        """Lists."""
        self.held_incarnations.append(worker_id)
        if worker_id in self.lost_lives:
            raise errors.TransportError("no answer", sent=True)
        self._check_life(worker_id)
        self.deadlines.append(deadline_ms)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self._ended = [e for e in self._ended if e.number > acknowledged]
        if not self.lingering:
            for key in self._stopping & self.running.keys():
                self._end(key, ttypes.RunEndKind.STOPPED)
        read = [
            sample
            for key, sample in self.running.items()
            if key not in self.unread
        ]
        return run_worker.Listing(
            clock_ms=self.clock_ms(),
            running=read,
            ended=list(self._ended),
            unread_running_count=len(self.running) - len(read),
            unread_ended_count=self.unread_ended_count,
        )

    def throttle(
        self, worker_id: str, task: str, run: int, *, percent: int, token: int
    ) -> int:
        """Notes a pace."""
        self.quotas[task, run] = percent
        return self.clock_ms()

    def end(self, key: task_names.RunKey, kind: ttypes.RunEndKind) -> None:
        """Ends a run by itself."""
        self._end(key, kind)

    def deliver_late(self) -> None:
        """Carries out the calls that were not answered."""
        late, self.late = self.late, []
        for action in late:
            try:
                action()
            except errors.PlatformError:
                continue

    def _call(
        self, name: str, worker_id: str, key: task_names.RunKey, action
    ) -> int:
        self.calls.append((name, key))
        self._check_life(worker_id)
        if self.unwell:
            raise errors.WorkerUnwellError("503")
        if name in self.unanswered:
            self.late.append(action)
            raise errors.TransportError("no answer", sent=True)
        action()
        return self.clock_ms()

    def _check_life(self, worker_id: str) -> None:
        if worker_id != self.incarnation:
            raise errors.OtherWorkerError("421")

    def _start(self, key: task_names.RunKey) -> None:
        if key in self.running:
            return
        task, run = key
        if run <= self._highest_over.get(task, 0):
            reason = run_worker.RefusalReason.OUTDATED
            raise errors.RunRefusedError("409", reason=reason)
        if self.refusal:
            raise errors.RunRefusedError("409", reason=self.refusal)
        self.running[key] = ttypes.RunSample(
            task=task, run=run, percent=0, load=0
        )

    def _stop(self, key: task_names.RunKey) -> None:
        task, run = key
        self._highest_over[task] = max(self._highest_over.get(task, 0), run)
        self._stopping.add(key)
        if key in self.running and not self.lingering:
            self._end(key, ttypes.RunEndKind.STOPPED)

    def _end(self, key: task_names.RunKey, kind: ttypes.RunEndKind) -> None:
        del self.running[key]
        task, run = key
        self._highest_over[task] = max(self._highest_over.get(task, 0), run)
        end = ttypes.RunEnd(task=task, run=run, kind=kind)
        self._ended.append(run_worker.EndedRun(next(self._numbers), end))
