"""How long calls that were meant for an earlier incarnation may still have an effect.

A worker that restarts under its name carries out calls that were meant for an earlier
incarnation, and a message that names the worker may be about an earlier incarnation.
"""

from collections.abc import Iterable
import math

from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# How long after a call it may still be carried out if it got no answer.
LATE_CALL_LIMIT_S = 12.0
# A worker that has not answered for this time is reported as unresponsive. From then on
# one that may restart under its name gets no calls that begin runs or renew the lease,
# so that the time of the last such call is known.
UNRESPONSIVE_S = 2.0
# How much slower than this machine's clock the worker's clock may be.
_CLOCK_RATIO = 1.02


def effect_limit_s(lease_limit_s: float) -> float:
    """Returns how long after a call a run that it begins or renews may be alive.

    A later incarnation may carry the call out late. The deadline in it counts from
    another start of the worker, so only the longest lease bounds it.

    Args:
        lease_limit_s: The longest lease that the worker accepts.
    """
    return LATE_CALL_LIMIT_S + lease_limit_s * _CLOCK_RATIO


class LateCalls:
    """Times of the last restart and of calls that may have a late effect.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        has_restarted: Whether the current incarnation took over the name of another.
        restarted_s: When it first answered in that case.
    """

    def __init__(self, *, effect_limit_s: float):
        """Initializes the record without any calls.

        Args:
            effect_limit_s: See `effect_limit_s`.
        """
        self._effect_limit_s = effect_limit_s
        self.has_restarted = False
        self.restarted_s = -math.inf
        self._answered_s = -math.inf
        # The last renewal and the last acknowledgement without an answer, of the current
        # incarnation and of earlier ones of its name.
        self._unanswered_renewal_s = self._late_renewal_s = -math.inf
        self._unanswered_acknowledgement_s = -math.inf
        self._late_acknowledgement_s = -math.inf
        # The incarnation that answered an acknowledgement last, and its number.
        self._answered_acknowledgement = ("", 0)
        self._is_acknowledgement_withheld = False

    def record_confirmed(
        self,
        worker_id: str,
        *,
        last_id: str,
        now_s: float,
        late_starts_count: int,
    ) -> None:
        """Records that an incarnation has answered after another one.

        Args:
            worker_id: The incarnation.
            last_id: The incarnation that was current before.
            now_s: The time.
            late_starts_count: The runs that it must refuse.
        """
        self.has_restarted = incarnation_ids.share_name(worker_id, last_id)
        self.restarted_s = now_s if self.has_restarted else -math.inf
        if self.has_restarted:
            self._late_renewal_s = max(
                self._late_renewal_s, self._unanswered_renewal_s
            )
            self._late_acknowledgement_s = max(
                self._late_acknowledgement_s, self._unanswered_acknowledgement_s
            )
        else:
            self._late_renewal_s = self._late_acknowledgement_s = -math.inf
        self._unanswered_renewal_s = -math.inf
        self._unanswered_acknowledgement_s = -math.inf
        self._answered_s = now_s
        if self.has_restarted:
            logs.event(
                "worker_restarted",
                worker_id=worker_id,
                before=last_id,
                runs_count=late_starts_count,
            )

    def withholds_calls(self, worker_id: str, *, now_s: float) -> bool:
        """Whether calls that begin runs or renew the lease must not be made now."""
        return (
            now_s - self._answered_s > UNRESPONSIVE_S
            and incarnation_ids.keeps_name(worker_id)
        )

    def acknowledgement_for(self, worker_id: str, number: int) -> int:
        """Returns up to which number a call lets an incarnation discard its ends.

        If a later incarnation may carry out the call, each number is sent until it is
        answered, and none while the worker does not answer: the later incarnation is
        not used for a time after each one without an answer.

        Args:
            worker_id: The current incarnation.
            number: Ends up to this number are recorded by control.
        """
        if not incarnation_ids.keeps_name(worker_id):
            return number
        is_answered = self._answered_acknowledgement == (worker_id, number)
        return 0 if is_answered or self._is_acknowledgement_withheld else number

    def record_answer(
        self, worker_id: str, *, acknowledged: int, now_s: float
    ) -> None:
        """Records that an incarnation has answered a call and its acknowledgement."""
        self._answered_s = now_s
        self._is_acknowledgement_withheld = False
        if acknowledged:
            self._answered_acknowledgement = (worker_id, acknowledged)

    def record_unanswered_acknowledgement(self, *, now_s: float) -> None:
        """Records an acknowledgement that the worker may still carry out."""
        self._unanswered_acknowledgement_s = now_s
        self._is_acknowledgement_withheld = True

    def record_unanswered_renewal(self, *, now_s: float) -> None:
        """Records a renewal of the lease that the worker may still carry out."""
        self._unanswered_renewal_s = now_s

    def record_unanswered_start(
        self, worker_id: str, *, current_id: str, now_s: float
    ) -> None:
        """Records a start request, which renews the lease of whoever carries it out.

        Args:
            worker_id: The incarnation that was called.
            current_id: The current incarnation, or empty.
            now_s: The time.
        """
        if current_id in ("", worker_id):
            self._unanswered_renewal_s = now_s
        elif incarnation_ids.share_name(current_id, worker_id):
            self._late_renewal_s = now_s

    def prolonged_runs(
        self, keys: Iterable[task_names.RunKey], *, now_s: float
    ) -> list[ttypes.LateStart]:
        """Returns those of the current incarnation's runs that may outlive its lease.

        Args:
            keys: The runs of the current incarnation.
            now_s: The time.
        """
        left_s = self._late_renewal_s + self._effect_limit_s - now_s
        if left_s <= 0:
            return []
        return [
            ttypes.LateStart(
                task=task, run=run, remaining_ms=math.ceil(1000 * left_s)
            )
            for task, run in keys
        ]

    @property
    def renewals_end_s(self) -> float:
        """When no renewal with a deadline on another clock has an effect any more."""
        return self.restarted_s + self._effect_limit_s

    def may_extend_lease(self, *, now_s: float) -> bool:
        """Whether a renewal with a deadline on another clock may have an effect."""
        return now_s < self.renewals_end_s

    def starts_refused_s(self, *, now_s: float) -> float:
        """Returns for how long the worker must start no run; 0 if it may start one.

        It may carry out an earlier incarnation's acknowledgement until then, and the
        end of a run that is done would be lost.
        """
        end_s = self._late_acknowledgement_s + LATE_CALL_LIMIT_S
        return max(0.0, end_s - now_s)
