"""When the worker answered last, and how the contact with it was lost since."""

import math

from marigoldsill.protocol import task_names

# A renewal that takes longer than this has reached the worker and waits there.
_WAITING_S = 0.1


class WorkerContact:
    """The contact with the current incarnation of the worker.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        last_answer_s: When it answered last; negative infinity if it has not.
        is_lost: Whether a call since then got no answer.
        broken_starts: Runs whose start request broke off since then.
        has_successor: Whether another incarnation has answered since the last listing.
    """

    def __init__(self):
        self.last_answer_s = -math.inf
        self.is_lost = False
        self.broken_starts: set[task_names.RunKey] = set()
        self.has_successor = False
        # When the first call since the last answer broke off, or infinity.
        self._broken_s = math.inf
        # Whether the worker was waiting for an end of a run as it ended.
        self._was_waiting = False

    def record_answer(self, *, now_s: float) -> None:
        """Records an answer."""
        self.last_answer_s = now_s
        self.is_lost = False
        self.broken_starts.clear()
        self._broken_s = math.inf
        self._was_waiting = False

    def record_loss(self, *, now_s: float, is_broken: bool) -> None:
        """Records a call without an answer.

        Args:
            now_s: The time.
            is_broken: Whether its connection was refused or broke, as it does if the
                worker crashes.
        """
        if is_broken and not self.is_lost:
            self._broken_s = now_s
        if not is_broken:
            # The worker may have lived on.
            self._was_waiting = False
        self.is_lost = True

    def record_broken_wait(self, *, duration_s: float, limit_s: float) -> None:
        """Records a renewal that broke off while it waited for an end of a run.

        Args:
            duration_s: How long it took.
            limit_s: How long the worker was to wait for an end.
        """
        if _WAITING_S <= duration_s <= limit_s:
            self._was_waiting = True

    def ended_s(self, *, now_s: float) -> float:
        """Returns when it ended at the latest, which is when a call broke off, or now."""
        return min(self._broken_s, now_s)

    def unseen_s(self, seen_s: float, *, now_s: float) -> float:
        """Returns for how long a run may have been over before the worker ended.

        Args:
            seen_s: When the run was last known to be at work.
            now_s: The time.
        """
        if self._was_waiting:
            return 0.0
        return self.ended_s(now_s=now_s) - seen_s
