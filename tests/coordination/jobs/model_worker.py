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
from tests.coordination.jobs import model_requests
from tests.coordination.jobs import stepped_agent

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
        before_answer: Called once before the next call that was carried out is
            answered, if not None.
        breaking: Names of calls whose connection breaks after it was reused. The first
            request is carried out late; unless the client sends the call once, a second
            one is sent and answered.
        lateness_s: How late calls without an answer are carried out by themselves.
        incarnations_count: How many incarnations there were.
    """

    def __init__(
        self,
        name: str,
        *,
        work_s_of: Callable[[str], float],
        on_start: Callable[["ModelWorker", task_names.RunKey, bool], None],
        on_request: Callable[["ModelWorker", task_names.RunKey], None],
    ):
        """Initializes the worker without runs.

        Args:
            name: The name of its agent.
            work_s_of: Returns how long the runs of a task take.
            on_start: Called after each start, with whether its call was late.
            on_request: Called before each request to start a run is handled.
        """
        self._name = name
        super().__init__(self._incarnation_id(1))
        self._work_s_of = work_s_of
        self._on_start = on_start
        self._on_request = on_request
        self._deadline_ms = 0
        self._began_s: dict[task_names.RunKey, float] = {}
        self._is_late = False
        self._token = 0
        self.incarnations_count = 1
        self.before_answer: Callable[[], None] | None = None
        self.breaking: set[str] = set()
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
        self.expire_runs()
        self._on_request(self, key)

        def begin() -> None:
            self._check_token(token)
            self._begin(key, start.deadline_ms)

        return self._call("start", worker_id, key, begin)

    def stop(self, worker_id: str, task: str, run: int, *, token: int) -> int:
        """Stops a run."""
        key = (task, run)

        def stop() -> None:
            self._check_token(token)
            self._stop(key)

        return self._call("stop", worker_id, key, stop)

    def renew_lease(
        self, worker_id: str, **arguments: object
    ) -> run_worker.RunListing:
        """Extends the lease and lists runs."""

        def extend() -> None:
            self.expire_runs()
            self._check_token(arguments["token"])
            self._extend_lease(arguments["deadline_ms"] or 0)

        self._check_open()
        if "renew" in self.unanswered:
            self._keep("renew", worker_id, None, extend)
            raise errors.TransportError("no answer", sent=True, timed_out=True)
        self._break_connection("renew", worker_id, None, extend)
        self._check_incarnation(worker_id)
        extend()
        listing = super().renew_lease(worker_id, **arguments)
        self._wait_for_answer()
        return listing

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
        self.restart(self._incarnation_id(self.incarnations_count))
        self._deadline_ms = self._token = 0
        self.is_closed = False

    def leave(self) -> None:
        """Ends with all runs; another incarnation may follow."""
        self.running.clear()
        self.is_closed = True

    def begin_unordered(self, key: task_names.RunKey) -> None:
        """Begins a run by a request of another writer."""
        self._start(key)
        self._began_s[key] = clock.now_s()

    def forget(self, key: task_names.RunKey) -> None:
        """Takes back the begin of a run."""
        self.running.pop(key, None)

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

    def _incarnation_id(self, number: int) -> str:
        return f"{self._name}-incarnation{number}"

    def _call(
        self, name: str, worker_id: str, key: task_names.RunKey, action
    ) -> int:
        self.expire_runs()
        self._check_open()
        if name in self.unanswered:
            self.calls.append((name, key))
            self._keep(name, worker_id, key, action)
            raise errors.TransportError("no answer", sent=True)
        self._break_connection(name, worker_id, key, action)
        clock_ms = super()._call(name, worker_id, key, action)
        self._wait_for_answer()
        return clock_ms

    def _break_connection(
        self,
        name: str,
        worker_id: str,
        key: task_names.RunKey | None,
        action: Callable[[], None],
    ) -> None:
        """Leaves a first request for later if the connection of a call breaks.

        Raises:
            TransportError: The client does not send it again.
        """
        if name not in self.breaking:
            return
        self._keep(name, worker_id, key, action)
        if model_requests.is_sent_once(name):
            raise errors.TransportError("connection reset", sent=True)

    def _wait_for_answer(self) -> None:
        before_answer, self.before_answer = self.before_answer, None
        if before_answer is not None:
            before_answer()

    def _check_open(self) -> None:
        if self.is_closed:
            raise errors.TransportError("refused", sent=False, refused=True)

    def _check_token(self, token: int) -> None:
        if token < self._token:
            reason = run_worker.RefusalReason.FENCED
            raise errors.RunRefusedError("409", reason=reason)
        self._token = token

    def _keep(
        self,
        name: str,
        worker_id: str,
        key: task_names.RunKey | None,
        action: Callable[[], None],
    ) -> None:
        def call() -> None:
            self._check_open()
            self._check_incarnation(worker_id)
            action()

        now_s = clock.now_s()
        due_s = now_s + self.lateness_s
        self.late_calls.append(_LateCall(name, key, now_s, due_s, call))

    def _extend_lease(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + stepped_agent.HOLD_LIMIT_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit_ms))

    def _begin(self, key: task_names.RunKey, deadline_ms: int) -> None:
        self.expire_runs()
        if self.clock_ms() > deadline_ms:
            reason = run_worker.RefusalReason.TOO_LATE
            raise errors.RunRefusedError("409", reason=reason)
        self._extend_lease(deadline_ms)
        if key in self.running:
            return
        self._start(key)
        self._began_s[key] = clock.now_s()
        self._on_start(self, key, self._is_late)


class RestartingModelWorker(ModelWorker, fake_worker.RestartingWorker):
    """A worker that keeps its name when it restarts.

    It carries out late calls that were meant for an earlier incarnation.
    """

    def _incarnation_id(self, number: int) -> str:
        return f"{self._name}@{100 * number}"
