"""Ends of runs that control has not recorded yet.

Ends are reported at once, unless a call meant for an earlier incarnation may still
begin the run (see `late_starts`).
"""

from collections.abc import Iterable

from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import lost_worker
from marigoldsill.coordination.worker_incarnations import late_starts
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock


class UnreportedEnds:
    """Ends to report now or later.

    Not thread-safe: the owner's lock must be held for every call.

    Attributes:
        by_run: Ends to report now, by (task, run).
        late_starts: Runs that a call meant for an earlier incarnation may begin, and
            their ends.
    """

    def __init__(self, *, effect_limit_s: float):
        """Initializes the ends without any.

        Args:
            effect_limit_s: See `late_calls.effect_limit_s`.
        """
        self.by_run: dict[task_names.RunKey, ttypes.RunEnd] = {}
        self.late_starts = late_starts.LateStarts(effect_limit_s=effect_limit_s)
        # Ends that control has recorded and that the worker may still list, as an
        # unreadable end before them is not acknowledged.
        self._recorded: dict[task_names.RunKey, ttypes.RunEnd] = {}

    def record_listed(self, ended: Iterable[run_worker.EndedRun]) -> None:
        """Records ends that the worker lists and control has not recorded."""
        listed = {(row.end.task, row.end.run): row.end for row in ended}
        self._recorded = {
            k: end for k, end in self._recorded.items() if k in listed
        }
        for key, end in listed.items():
            if self._recorded.get(key) != end:
                self.by_run[key] = self.late_starts.settle_listed(
                    end, self.by_run.get(key)
                )

    def remove(self, ends: Iterable[ttypes.RunEnd]) -> None:
        """Removes ends that control has recorded.

        An end that has replaced one of them in the meantime is still to be reported.
        """
        for end in ends:
            key = (end.task, end.run)
            if self.by_run.get(key) == end:
                del self.by_run[key]
            self._recorded[key] = end

    def record_lost_worker(
        self,
        worker: ttypes.PoolWorker,
        held: held_runs.HeldRuns,
        *,
        is_planned: bool,
        unlisted_s: float,
        lease_end_s: float,
    ) -> None:
        """Records the loss of the current incarnation and of its runs.

        Args:
            worker: The incarnation that has ended.
            held: The runs that it may have.
            is_planned: Whether it announced that it drains, or its end.
            unlisted_s: Time since its last listing.
            lease_end_s: When the lease of its runs had certainly expired.
        """
        ends = lost_worker.end_runs(
            worker,
            held,
            is_planned=is_planned,
            unlisted_s=unlisted_s,
            lease_end_s=lease_end_s,
        )
        for end in ends:
            self.record_lost(
                end,
                worker.worker_id,
                current_id=worker.worker_id,
                was_listed=held.was_listed((end.task, end.run)),
            )

    def record_lost(
        self,
        end: ttypes.RunEnd,
        worker_id: str,
        *,
        current_id: str,
        was_listed: bool,
    ) -> None:
        """Reports the loss of a run, or holds it back while the run may still begin.

        Args:
            end: The end to report.
            worker_id: The incarnation that the run was meant for.
            current_id: The current incarnation, or empty.
            was_listed: Whether the incarnation that it was meant for listed it.
        """
        key = (end.task, end.run)
        if self.late_starts.may_begin(
            key, worker_id, current_id=current_id, was_listed=was_listed
        ):
            if key not in self.by_run:
                called_s = self.late_starts.last_call_s(
                    key, was_listed=was_listed, now_s=clock.now_s()
                )
                self.late_starts.add(key, worker_id, called_s=called_s, end=end)
        else:
            self.by_run.setdefault(key, end)

    def record_stale(
        self,
        order: ttypes.RunOrder,
        *,
        current_id: str,
        may_have_begun: bool,
    ) -> None:
        """Records the loss of a run whose incarnation has ended, if it has no end yet.

        Args:
            order: The order for an incarnation that has ended.
            current_id: The current incarnation, or empty.
            may_have_begun: Whether a start request may have begun the run there.
        """
        key = (order.task, order.run)
        if key in self.by_run or self.late_starts.is_pending(key):
            return
        end = ttypes.RunEnd(
            task=order.task,
            run=order.run,
            kind=ttypes.RunEndKind.LOST,
            detail=(
                f"worker {order.worker_id} is gone; the run "
                f"{'may have begun' if may_have_begun else 'never began'} on it"
            ),
            is_excused=not may_have_begun,
            has_worker_ended=may_have_begun,
        )
        self.record_lost(
            end, order.worker_id, current_id=current_id, was_listed=False
        )

    def settle_late_start(self, key: task_names.RunKey) -> None:
        """Reports the end of a run that the current incarnation refuses for good."""
        end = self.late_starts.settle(key)
        if end is not None:
            self.by_run.setdefault(key, end)

    def release(self, current_id: str) -> bool:
        """Reports ends that no later incarnation has to confirm.

        Returns:
            Whether there were any.
        """
        ends = self.late_starts.take_ends(current_id, now_s=clock.now_s())
        for end in ends:
            self.by_run.setdefault((end.task, end.run), end)
        return bool(ends)
