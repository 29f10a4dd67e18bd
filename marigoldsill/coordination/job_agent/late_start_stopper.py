"""Stops runs on the current incarnation that were meant for an earlier one.

A worker refuses a run that was stopped there before it began. So each run in
`late_starts` is stopped, also if it is not listed, and its end is reported once a
listing made after the stop does not contain it.
"""

from concurrent import futures
import dataclasses

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import order_progress
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.transport import clock
from marigoldsill.transport import logs


@dataclasses.dataclass(slots=True)
class _Progress(order_progress.CallProgress):
    """The progress of stopping a run on one incarnation.

    Attributes:
        stop_listings_count: The count of complete listings beyond which a listing was
            certainly made after the stop; 0 until the stop is confirmed.
    """

    stop_listings_count: int = 0


class LateStartStopper:
    """Makes the calls that stop such runs."""

    def __init__(
        self,
        *,
        state: agent_state.AgentState,
        worker: run_worker.RunWorker,
        pool: futures.Executor,
        retry_s: float,
    ):
        self._state = state
        self._worker = worker
        self._pool = pool
        self._retry_s = retry_s
        self._progress: dict[tuple[str, task_names.RunKey], _Progress] = {}

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return any(progress.is_busy for progress in self._progress.values())

    def reconcile(self) -> bool:
        """Begins the calls that are due; the caller must hold the state's lock.

        Returns:
            Whether runs remain, so that another round is necessary soon.
        """
        state = self._state
        if state.unreported_ends.release(state.worker_id):
            state.changed.notify_all()
        now_s = clock.now_s()
        if not state.lease.is_live and state.late_calls.may_extend_lease(
            now_s=now_s
        ):
            # The runs may continue after the lease that the agent passed on.
            for key in state.held.listed:
                state.late_starts.add(
                    key,
                    state.worker_id,
                    called_s=state.late_calls.restarted_s,
                )
        worker_id = state.worker_id
        self._progress = {
            (called_id, key): progress
            for (called_id, key), progress in self._progress.items()
            if progress.is_busy
            or (called_id == worker_id and state.late_starts.is_pending(key))
        }
        if worker_id:
            for key in state.late_starts.pending_keys:
                self._reconcile_run(worker_id, key)
        return bool(state.late_starts.pending_keys)

    def _reconcile_run(self, worker_id: str, key: task_names.RunKey) -> None:
        state = self._state
        progress = self._progress.setdefault((worker_id, key), _Progress())
        if progress.is_busy or progress.retry_s > clock.now_s():
            return
        if not progress.stop_listings_count:
            progress.is_busy = True
            self._pool.submit(self._stop, worker_id, key, progress)
        elif state.held.listings.lack(
            key, after_count=progress.stop_listings_count
        ):
            state.settle_late_start(key)

    def _stop(
        self, worker_id: str, key: task_names.RunKey, progress: _Progress
    ) -> None:
        state = self._state
        task, run = key
        with progress.end_call(
            "stop", key, changed=state.changed, pause_s=self._retry_s
        ):
            self._worker.stop(worker_id, task, run, token=state.term)
            with state.changed:
                progress.stop_listings_count = state.held.listings.next_count
            logs.event(
                "late_start_refused", task=task, run=run, worker_id=worker_id
            )
