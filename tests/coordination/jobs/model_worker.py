"""A worker of the cluster model: enforces its lease, and carries out calls late."""

from collections.abc import Callable
import dataclasses
import math

from marigoldsill import errors
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker

# The worker's clock is slower than that of its agent.
_CLOCK_RATIO = 0.98


@dataclasses.dataclass(slots=True, frozen=True)
class _LateCall:
    """A call without an answer.

    Attributes:
        name: The name of the call.
        key: The run that it is about, or None.
        sent_s: When it was made.
        due_s: When it is carried out by itself.
        carry_out: Carries it out.
    """

    name: str
    key: task_names.RunKey | None
    sent_s: float
    due_s: float
    carry_out: Callable[[], None]


class ModelWorker(fake_worker.FakeWorker):
    """A worker that starts what it is told to start, and tells of each start.

    Attributes:
        late_calls: The calls without an answer, which may still be carried out.
        lateness_s: How late calls without an answer are carried out by themselves.
        incarnations_count: How many incarnations there were.
    """

    def __init__(
        self,
        name: str,
        *,
        work_s_of: Callable[[str], float],
        on_start: Callable[["ModelWorker", task_names.RunKey, bool], None],
    ):
        """Initializes the worker without runs.

        Args:
            name: The name of its agent.
            work_s_of: Returns how long the runs of a task take.
            on_start: Called after each start, with whether its call was late.
        """
        super().__init__(f"{name}-incarnation1")
        self._name = name
        self._work_s_of = work_s_of
        self._on_start = on_start
        self._deadline_ms = 0
        self._began_s: dict[task_names.RunKey, float] = {}
        self._is_late = False
        self.incarnations_count = 1
        self.lateness_s = math.inf
        self.late_calls: list[_LateCall] = []

    def clock_ms(self, at_s: float | None = None) -> int:
        """Returns the worker's clock."""
        local_s = clock.now_s() if at_s is None else at_s
        passed_s = local_s - self._created_s
        return 1_000 + int(passed_s * 1_000 * _CLOCK_RATIO)

    def start(
        self, worker_id: str, start: run_worker.RunStart, *, token: int
    ) -> int:
        """Starts a run whose deadline has not passed."""
        key = (start.task, start.run)
        return self._call(
            "start", worker_id, key, lambda: self._begin(key, start.deadline_ms)
        )

    def renew_lease(
        self, worker_id: str, **arguments: object
    ) -> run_worker.RunListing:
        """Extends the lease and lists runs."""

        def extend() -> None:
            self.expire_runs()
            deadline_ms = arguments["deadline_ms"] or 0
            self._deadline_ms = max(self._deadline_ms, deadline_ms)

        if "renew" in self.unanswered:
            self._keep("renew", worker_id, None, extend)
            raise errors.TransportError("no answer", sent=True, timed_out=True)
        self._check_incarnation(worker_id)
        extend()
        return super().renew_lease(worker_id, **arguments)

    def expire_runs(self) -> None:
        """Ends runs that are done, and all runs if their lease has expired."""
        if self.clock_ms() > self._deadline_ms:
            for key in list(self.running):
                self._end(key, ttypes.RunEndKind.LAPSED)
        for key in list(self.running):
            age_s = clock.now_s() - self._began_s[key]
            if age_s >= self._work_s_of(key[0]):
                self._end(key, ttypes.RunEndKind.DONE)

    def restart_as_next(self) -> None:
        """Crashes and starts again as another incarnation."""
        self.incarnations_count += 1
        self.restart(f"{self._name}-incarnation{self.incarnations_count}")
        self._deadline_ms = 0

    def has_late_start(self, task: str) -> bool:
        """Whether a start of some run of a task may still be carried out."""
        return any(
            call.name == "start" and call.key[0] == task
            for call in self.late_calls
        )

    def run_late_call(self, position: int) -> None:
        """Carries out a call that was left unanswered."""
        if self.late_calls:
            index = position % len(self.late_calls)
            self._carry_out(self.late_calls.pop(index))

    def run_due_calls(self) -> None:
        """Carries out the late calls that are due, and drops those that are too old."""
        now_s = clock.now_s()
        due = [call for call in self.late_calls if call.due_s <= now_s]
        oldest_s = now_s - late_calls.LATE_CALL_LIMIT_S
        self.late_calls = [
            call
            for call in self.late_calls
            if call.due_s > now_s and call.sent_s > oldest_s
        ]
        for call in due:
            self._carry_out(call)

    def _carry_out(self, call: _LateCall) -> None:
        self._is_late = True
        try:
            call.carry_out()
        except errors.MarigoldsillError:
            return
        finally:
            self._is_late = False

    def _call(
        self, name: str, worker_id: str, key: task_names.RunKey, action
    ) -> int:
        self.expire_runs()
        if name in self.unanswered:
            self.calls.append((name, key))
            self._keep(name, worker_id, key, action)
            raise errors.TransportError("no answer", sent=True)
        return super()._call(name, worker_id, key, action)

    def _keep(
        self,
        name: str,
        worker_id: str,
        key: task_names.RunKey | None,
        action: Callable[[], None],
    ) -> None:
        def call() -> None:
            self._check_incarnation(worker_id)
            action()

        now_s = clock.now_s()
        due_s = now_s + self.lateness_s
        self.late_calls.append(_LateCall(name, key, now_s, due_s, call))

    def _begin(self, key: task_names.RunKey, deadline_ms: int) -> None:
        self.expire_runs()
        if self.clock_ms() > deadline_ms:
            reason = run_worker.RefusalReason.TOO_LATE
            raise errors.RunRefusedError("409", reason=reason)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        if key in self.running:
            return
        self._start(key)
        self._began_s[key] = clock.now_s()
        self._on_start(self, key, self._is_late)
