"""A run that a worker may hold, whatever its order says."""

from collections.abc import Iterable
import dataclasses
import enum

from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts


class StartRequest(enum.Enum):
    """The progress of the newest start request for a run."""

    NONE = enum.auto()
    DUE = enum.auto()
    SENT = enum.auto()


@dataclasses.dataclass(slots=True)
class HeldRun:
    """What is known of a run that the worker may hold.

    Attributes:
        order: The last order for it; None if it is listed without one, so that nobody
            knows what it reserves.
        removed_s: When the leader removed the order although the worker may have the
            run, or None. It removes an order once it has recorded the run's end, which
            it may have concluded, or not have from the worker.
        request: The start request in progress.
        has_unanswered_start: Whether an earlier start request, of this process or a
            previous one, may still arrive at the worker or have begun the run.
        is_started: Whether a start request was answered with success.
        start_listings_count: The count of complete listings beyond which a listing was
            certainly made after that answer.
        stop_listings_count: The same for the answer to a stop; 0 until there is one.
        is_sent_reachably: Whether a start request to the current incarnation was sent
            while that one answered, and may have begun the run.
        started_s: When it was first known to be on the current incarnation, or None.
        seen_s: When it was last known to be at work there, or None.
        was_listed: Whether the current incarnation has listed it.
    """

    order: ttypes.RunOrder | None
    removed_s: float | None = None
    request: StartRequest = StartRequest.NONE
    has_unanswered_start: bool = False
    is_started: bool = False
    start_listings_count: int = 0
    stop_listings_count: int = 0
    is_sent_reachably: bool = False
    started_s: float | None = None
    seen_s: float | None = None
    was_listed: bool = False

    @property
    def may_have_begun(self) -> bool:
        """Whether a start request may have begun it, on any incarnation."""
        return (
            self.request is StartRequest.SENT
            or self.has_unanswered_start
            or self.is_started
        )

    @property
    def is_held(self) -> bool:
        """Whether the worker may hold it or is about to, also if it does not list it."""
        return self.order is not None and (
            self.removed_s is not None
            or self.request is not StartRequest.NONE
            or self.has_unanswered_start
            or self.started_s is not None
        )

    @property
    def resources(self) -> ttypes.Resources:
        """What it reserves, as far as known."""
        if self.order is None:
            return amounts.ZERO
        return self.order.resources or amounts.ZERO

    def min_age_s(self, last_answer_s: float) -> float | None:
        """Returns its age at the worker's last answer at least, or None if unknown.

        If its start request is unanswered, it may have begun: age 0. That one sent while
        the worker was unreachable has no age: it may begin as well, but a crash of the
        worker is likely to have come before it.
        """
        if self.started_s is not None:
            return max(0.0, last_answer_s - self.started_s)
        return 0.0 if self.is_sent_reachably else None

    def is_over(self, *, now_s: float) -> bool:
        """Whether it has no order and cannot begin late, so ends once unlisted."""
        if self.removed_s is None:
            return self.order is None
        # A start request without an answer may still be carried out.
        return now_s - self.removed_s > late_calls.LATE_CALL_LIMIT_S

    def record_on_worker(self, *, now_s: float) -> None:
        """Records that the current incarnation has it."""
        self.is_sent_reachably = False
        self.seen_s = now_s
        if self.started_s is None:
            self.started_s = now_s

    def record_off_worker(self) -> None:
        """Records that the current incarnation does not have it any more."""
        self.is_sent_reachably = self.was_listed = False
        self.started_s = self.seen_s = None


def share_worker(runs: Iterable[HeldRun]) -> bool:
    """Whether best-effort and latency-critical tasks are among runs."""
    orders = [run.order for run in runs if run.order is not None]
    return any(o.best_effort for o in orders) and any(
        o.tail_target_ms for o in orders
    )
