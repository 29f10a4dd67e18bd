"""Runs that a call meant for an earlier incarnation may begin on a later one.

A worker that restarts under its name cannot tell calls meant for its earlier
incarnation from its own, and a call without an answer may be carried out seconds later.
The end of such a run may only be reported once the current incarnation has refused it
for good, as the leader then grants its task elsewhere.
"""

from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# For how many runs to remember start requests without an answer.
_UNANSWERED_LIMIT = 1_000
# Ends that are reported as the worker lists them; after any other end of a late run, the
# loss of the incarnation it was meant for is reported.
_CONCLUSIVE_KINDS = (ttypes.RunEndKind.DONE, ttypes.RunEndKind.FAILED)
# Ends of the incarnation it was meant for that the stop of a late run does not replace.
_KEPT_KINDS = (
    *_CONCLUSIVE_KINDS,
    ttypes.RunEndKind.LOST,
    ttypes.RunEndKind.CRASHED,
)


@dataclasses.dataclass(slots=True)
class _Pending:
    """A run to be refused by the current incarnation.

    Attributes:
        name: The name of its worker.
        called_s: When a call that may begin it was made at the latest.
        end: The end to report then, or None.
    """

    name: str
    called_s: float
    end: ttypes.RunEnd | None


class LateStarts:
    """Ends that are held back, and start requests that may still have an effect.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        unanswered_count: How many runs got a first start request without an answer.
    """

    def __init__(self, *, effect_limit_s: float):
        """Initializes the record without any runs.

        Args:
            effect_limit_s: See `late_calls.effect_limit_s`.
        """
        self._effect_limit_s = effect_limit_s
        self._answered_s = -math.inf
        self.unanswered_count = 0
        self._pending: dict[task_names.RunKey, _Pending] = {}
        # Incarnation and time of the last request, the oldest first.
        self._unanswered: dict[task_names.RunKey, tuple[str, float]] = {}

    @property
    def pending_keys(self) -> list[task_names.RunKey]:
        """The runs that the current incarnation must refuse."""
        return list(self._pending)

    def is_pending(self, key: task_names.RunKey) -> bool:
        """Whether the current incarnation must refuse a run."""
        return key in self._pending

    def record_unanswered(
        self,
        key: task_names.RunKey,
        worker_id: str,
        *,
        current_id: str,
        now_s: float,
    ) -> None:
        """Records a start request that may still be carried out.

        Args:
            key: The run.
            worker_id: The incarnation that was called.
            current_id: The current incarnation, or empty.
            now_s: The time.
        """
        if incarnation_ids.started_unix_ms_of(worker_id) is None:
            return
        if self._unanswered.pop(key, None) is None:
            self.unanswered_count += 1
        self._unanswered[key] = (worker_id, now_s)
        if len(self._unanswered) > _UNANSWERED_LIMIT:
            del self._unanswered[next(iter(self._unanswered))]
        if worker_id != current_id and incarnation_ids.share_name(
            worker_id, current_id
        ):
            self.add(key, worker_id, called_s=now_s)

    def record_answer(self, *, called_s: float, received_s: float) -> None:
        """Records an answer of the worker, by when older calls cannot be late any more.

        Args:
            called_s: When the answered call was made; the answer may have been delayed.
            received_s: When the answer arrived.
        """
        self._answered_s = received_s
        self._unanswered = {
            key: (called_id, sent_s)
            for key, (called_id, sent_s) in self._unanswered.items()
            if called_s - sent_s <= late_calls.LATE_CALL_LIMIT_S
        }

    def remaining(self, *, now_s: float) -> list[ttypes.LateStart]:
        """Returns the runs that may still begin or be alive, and for how long.

        The times hold also if the worker does not answer from now on.
        """
        called_s = {
            key: sent_s for key, (_, sent_s) in self._unanswered.items()
        }
        for key, pending in self._pending.items():
            called_s[key] = max(pending.called_s, called_s.get(key, -math.inf))
        return [
            ttypes.LateStart(
                task=task, run=run, remaining_ms=math.ceil(1000 * left_s)
            )
            for (task, run), last_s in called_s.items()
            if (left_s := self._latest_end_s(last_s) - now_s) > 0
        ]

    def may_begin(
        self,
        key: task_names.RunKey,
        worker_id: str,
        *,
        current_id: str,
        was_listed: bool,
    ) -> bool:
        """Whether a later incarnation may begin a run of one that has ended.

        Args:
            key: The run.
            worker_id: The incarnation that it was meant for.
            current_id: The current incarnation, or empty.
            was_listed: Whether the incarnation that it was meant for listed it.
        """
        if current_id not in ("", worker_id):
            if not incarnation_ids.share_name(worker_id, current_id):
                return False
        elif incarnation_ids.started_unix_ms_of(worker_id) is None:
            return False
        return not was_listed or key in self._unanswered

    def has_late_request(self, key: task_names.RunKey, *, now_s: float) -> bool:
        """Whether an unanswered request for a run may still be carried out."""
        if key not in self._unanswered:
            return False
        _, sent_s = self._unanswered[key]
        return now_s - sent_s <= late_calls.LATE_CALL_LIMIT_S

    def last_call_s(
        self, key: task_names.RunKey, *, was_listed: bool, now_s: float
    ) -> float:
        """Returns when a call that may still begin a run was made at the latest.

        Args:
            key: The run.
            was_listed: Whether the incarnation that it was meant for listed it, so that
                only calls without an answer may begin it again.
            now_s: The time.
        """
        if was_listed and key in self._unanswered:
            return self._unanswered[key][1]
        if self._answered_s == -math.inf:
            return now_s
        return min(now_s, self._answered_s + late_calls.UNRESPONSIVE_S)

    def add(
        self,
        key: task_names.RunKey,
        worker_id: str,
        *,
        called_s: float,
        end: ttypes.RunEnd | None = None,
    ) -> None:
        """Adds a run that an incarnation must refuse, and its end to report then.

        Args:
            key: The run.
            worker_id: The incarnation.
            called_s: When a call that may begin the run was made at the latest.
            end: The end, or None.
        """
        name = incarnation_ids.name_of(worker_id)
        pending = self._pending.setdefault(key, _Pending(name, called_s, end))
        pending.called_s = max(pending.called_s, called_s)
        if pending.end is None:
            pending.end = end

    def add_unanswered(
        self, worker_id: str, *, is_first: bool, now_s: float
    ) -> None:
        """Adds the runs of unanswered requests to an incarnation's worker.

        Args:
            worker_id: The incarnation.
            is_first: Whether no incarnation answered before. Then requests to this one
                begin runs that it may have.
            now_s: The time.
        """
        name = incarnation_ids.name_of(worker_id)
        for key, (called_id, sent_s) in list(self._unanswered.items()):
            if now_s > self._latest_end_s(sent_s):
                del self._unanswered[key]
            elif is_first and called_id == worker_id:
                continue
            elif incarnation_ids.name_of(called_id) == name:
                self.add(key, worker_id, called_s=sent_s)

    def add_unordered(
        self,
        keys: Iterable[task_names.RunKey],
        worker_id: str,
        *,
        now_s: float,
    ) -> None:
        """Adds runs that the current incarnation may have but the leader does not order.

        A call meant for an earlier incarnation may have begun such a run, or the leader
        has recorded its end by other evidence. Nothing else would end it, as the lease
        is renewed for all runs of the worker.
        """
        for key in keys:
            if key not in self._pending:
                logs.event("run_unordered", task=key[0], run=key[1])
                self.add(key, worker_id, called_s=now_s)

    def settle(self, key: task_names.RunKey) -> ttypes.RunEnd | None:
        """Removes a run that cannot begin any more; returns its end to report."""
        pending = self._pending.pop(key, None)
        return None if pending is None else pending.end

    def settle_listed(
        self, end: ttypes.RunEnd, known: ttypes.RunEnd | None
    ) -> ttypes.RunEnd:
        """Returns the end to report for a run that the worker lists as ended.

        Args:
            end: The listed end.
            known: The end that is about to be reported, or None.
        """
        held = self.settle((end.task, end.run))
        if known is not None and known.kind == ttypes.RunEndKind.DONE:
            # The run of a done task may begin again on a later incarnation and fail.
            return known
        if end.kind in _CONCLUSIVE_KINDS:
            return end
        if known is not None and known.kind in _KEPT_KINDS:
            return known
        return held or end

    def take_ends(
        self, worker_id: str, *, now_s: float
    ) -> Iterable[ttypes.RunEnd]:
        """Removes runs that need not be waited for, and returns their ends.

        Args:
            worker_id: The current incarnation of the worker, or empty.
            now_s: The time.
        """
        name = incarnation_ids.name_of(worker_id)
        settled = [
            key
            for key, pending in self._pending.items()
            if (
                pending.name != name
                if worker_id
                else now_s > self._latest_end_s(pending.called_s)
            )
        ]
        ends = [self.settle(key) for key in settled]
        return [end for end in ends if end is not None]

    def _latest_end_s(self, called_s: float) -> float:
        """Returns when a run is over if a call of a time begins it.

        Calls that renew the lease may follow until the worker counts as unresponsive.
        """
        renewed_s = self._answered_s + late_calls.UNRESPONSIVE_S
        return max(called_s, renewed_s) + self._effect_limit_s
