"""Background requests to the adviser for the tickets that waiting steps need."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import itertools
import threading

from marigoldsill import errors
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.protocol import adviser as adviser_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# The adviser needs time for each worker in a call and accepts at most 100. A call names
# as many as a step usually needs to find capacity.
_WORKERS_LIMIT = 30
# Maximum number of steps with queued requests; the others are added in later rounds.
_REQUESTS_LIMIT = 16
# The adviser may have to answer calls of other machines before this one.
_TIMEOUT_FACTOR = 2.0
_TIMEOUT_MARGIN_S = 2.0
_RETRY_PAUSE_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class TicketRequest:
    """A request for tickets to start the tasks of a step.

    Attributes:
        key: The key of the step.
        worker_ids: Workers with free capacity for the step.
        expected_s: How long the adviser is expected to take.
        valid_ms: How long the tickets are valid.
    """

    key: task_names.StepKey
    worker_ids: tuple[str, ...]
    expected_s: float
    valid_ms: int


def build_requests(
    steps: Iterable[backlog_module.WaitingStep],
    workers: Collection[free_capacity.FreeCapacity],
    tickets: tickets_module.Tickets,
    *,
    now_s: float,
) -> list[TicketRequest]:
    """Builds the requests that steps of queues with an adviser need to start.

    Args:
        steps: The waiting steps, in the order in which they should start.
        workers: The free capacity of all workers.
        tickets: The answers of the adviser so far.
        now_s: The time now.

    Returns:
        The requests in the order of the steps; only the first of them if there
        are many.
    """
    candidates = (
        _build_request(waiting, workers, tickets, now_s) for waiting in steps
    )
    requests = (request for request in candidates if request is not None)
    return list(itertools.islice(requests, _REQUESTS_LIMIT))


class TicketRequester:
    """Sends requests to the adviser on a thread of its own, one at a time."""

    def __init__(
        self,
        *,
        adviser: adviser_module.Adviser,
        lock: threading.RLock,
        on_answer: Callable[[], None],
    ):
        """Initializes the requester without any request.

        Args:
            adviser: The adviser to call.
            lock: The lock that guards the tickets.
            on_answer: Called after each request, successful or not.
        """
        self._adviser = adviser
        self._lock = lock
        self._on_answer = on_answer
        self._changed = threading.Condition()
        self._requests: list[TicketRequest] = []
        self._current: task_names.StepKey | None = None
        self._tickets = tickets_module.Tickets()
        self._is_stopping = False
        self._pool = futures.ThreadPoolExecutor(1, "advising")

    def start(self) -> None:
        """Starts the thread."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Stops after the current call; does not wait for it."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()
        self._pool.shutdown(wait=False)

    def set_requests(
        self, requests: list[TicketRequest], tickets: tickets_module.Tickets
    ) -> None:
        """Replaces the queued requests.

        The step of the current call is left out.

        Args:
            requests: The requests, in the order to be sent.
            tickets: Where the answers are stored.
        """
        with self._changed:
            self._requests = [r for r in requests if r.key != self._current]
            self._tickets = tickets
            self._changed.notify_all()

    def _run(self) -> None:
        while (item := self._next_request()) is not None:
            request, tickets = item
            try:
                self._send(request, tickets)
            except errors.MarigoldsillError as error:
                logs.event(
                    "advice_failed",
                    level="WARNING",
                    step=task_names.name_of_step(request.key),
                    kind=error.kind,
                    reason=error.message,
                )
                with self._changed:
                    self._changed.wait_for(
                        lambda: self._is_stopping, _RETRY_PAUSE_S
                    )
            with self._changed:
                self._current = None
            self._on_answer()

    def _next_request(
        self,
    ) -> tuple[TicketRequest, tickets_module.Tickets] | None:
        """Waits for the next request; None when the requester stops."""
        with self._changed:
            self._changed.wait_for(lambda: self._is_stopping or self._requests)
            if self._is_stopping:
                return None
            request = self._requests.pop(0)
            self._current = request.key
            return request, self._tickets

    def _send(
        self, request: TicketRequest, tickets: tickets_module.Tickets
    ) -> None:
        sent_s = clock.now_s()
        step = task_names.name_of_step(request.key)
        granted = self._adviser.advise(
            step,
            request.worker_ids,
            timeout_s=_TIMEOUT_FACTOR * request.expected_s + _TIMEOUT_MARGIN_S,
        )
        now_s = clock.now_s()
        with self._lock:
            tickets.record_answer(
                request.key,
                request.worker_ids,
                granted,
                valid_ms=request.valid_ms,
                now_s=now_s,
            )
        logs.event(
            "advice_taken",
            step=step,
            workers_count=len(request.worker_ids),
            good_count=len(granted),
            took_ms=int((now_s - sent_s) * 1000),
        )


def _build_request(
    waiting: backlog_module.WaitingStep,
    workers: Collection[free_capacity.FreeCapacity],
    tickets: tickets_module.Tickets,
    now_s: float,
) -> TicketRequest | None:
    """Builds a request; None if the answers for all fitting workers are known."""
    ids = [
        free.worker.worker_id
        for free in workers
        if free.admits(waiting.step, waiting.queue.pool)
    ]
    unknown = tickets.unknown_workers(waiting.key, ids, now_s=now_s)
    if not unknown:
        return None
    worker_ids = tuple(unknown[:_WORKERS_LIMIT])
    return TicketRequest(
        key=waiting.key,
        worker_ids=worker_ids,
        expected_s=_expected_s(waiting.queue, len(worker_ids)),
        valid_ms=waiting.queue.advice_validity_ms,
    )


def _expected_s(queue: ttypes.Queue, workers_count: int) -> float:
    """How long the adviser is expected to take for a call."""
    total_ms = queue.advice_decision_ms + queue.advice_period_ms * workers_count
    return total_ms / 1000
