"""Operations that an agent requests from its worker, each safe to repeat.

Operations run on a small thread pool, one at a time for each run, so that one
that hangs does not delay other runs. Their results go to the outbox.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading
import time

import prometheus_client

from marigoldsill import errors
from marigoldsill.coordination.runs import lease_renewer
from marigoldsill.coordination.runs import run_events
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import failpoints
from marigoldsill.transport import logs

_THREADS_COUNT = 4
_KIND_NAMES = {
    ttypes.Kind.SERVICE: "service",
    ttypes.Kind.BATCH_JOB: "batch_job",
    ttypes.Kind.WATCHER: "watcher",
}
_OPERATIONS = prometheus_client.Counter(
    "marigoldsill_run_steps",
    "Steps asked of the worker, by what came of them.",
    ["step", "outcome"],
)


@dataclasses.dataclass(slots=True, frozen=True)
class StartAttempt:
    """A start that may still take effect on the worker.

    Attributes:
        resources: Resources of the run.
        lease_end_ns: When the lease expires, on the monotonic clock; the worker
            refuses the start after that.
        is_repeat_refused: Whether the worker left it unanswered and refused to
            repeat it.
    """

    resources: ttypes.Resources
    lease_end_ns: int
    is_repeat_refused: bool = False


class RunOperations:
    """Starts, checkpoints, throttles and stops runs of one worker."""

    def __init__(
        self,
        *,
        worker: worker_interface.WorkerInterface,
        outbox: run_events.EventOutbox,
        on_done: Callable[[], None],
    ):
        self._worker = worker
        self._outbox = outbox
        self._on_done = on_done
        self._lock = threading.Lock()
        self._busy: set[run_events.RunId] = set()
        self._starts: dict[run_events.RunId, StartAttempt] = {}
        self._unanswered_starts: dict[run_events.RunId, StartAttempt] = {}
        self._pool = futures.ThreadPoolExecutor(
            _THREADS_COUNT, "run-operations"
        )

    def shut_down(self) -> None:
        """Cancels queued operations and accepts no further ones."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def is_busy(self, run: run_events.RunId) -> bool:
        """Whether an operation of the run is queued or in progress."""
        with self._lock:
            return run in self._busy

    def unconfirmed_starts(self) -> dict[run_events.RunId, StartAttempt]:
        """Returns the starts that may have taken effect or may still do so."""
        with self._lock:
            return dict(self._starts)

    def has_unanswered_start(self, run: run_events.RunId) -> bool:
        """Whether a start that the worker left unanswered may still take effect."""
        return self._find_unanswered_start(run) is not None

    def remove_settled_starts(
        self, listed: set[run_events.RunId], *, listing_began_ns: int
    ) -> None:
        """Removes starts that the worker listed or would have refused before.

        Args:
            listed: The runs on the worker's list.
            listing_began_ns: When the list was requested, on the monotonic clock;
                starts may have taken effect after that.
        """
        with self._lock:
            self._unanswered_starts = {
                run: attempt
                for run, attempt in self._unanswered_starts.items()
                if attempt.lease_end_ns >= listing_began_ns
            }
            settled = [
                run
                for run, attempt in self._starts.items()
                if run in listed
                or (
                    attempt.lease_end_ns < listing_began_ns
                    and run not in self._busy
                )
            ]
            for run in settled:
                del self._starts[run]

    def start(
        self, order: ttypes.Order, lease: lease_renewer.AgentLease
    ) -> None:
        """Starts a run under a lease."""
        run = run_events.run_id_of(order)
        with self._lock:
            self._starts[run] = StartAttempt(order.resources, lease.end_ns)
        self._submit("start", run, self._start, order, lease.end_ns)

    def checkpoint(
        self, order: ttypes.Order, *, on_result: Callable[[bool], None]
    ) -> None:
        """Checkpoints a run and passes to `on_result` whether it succeeded."""
        self._submit(
            "checkpoint",
            run_events.run_id_of(order),
            self._checkpoint,
            order,
            on_result,
        )

    def throttle(self, order: ttypes.Order, *, throttled: bool) -> None:
        """Throttles a run or ends its throttling."""
        self._submit(
            "throttle",
            run_events.run_id_of(order),
            lambda: self._worker.throttle(
                order.task, epoch=order.epoch, throttled=throttled
            ),
        )

    def stop(self, run: run_events.RunId) -> None:
        """Stops a run; the worker's list then shows how it ended."""
        self._submit("stop", run, self._stop, run)

    def forget(self, run: run_events.RunId) -> None:
        """Removes a run whose end is recorded from the worker's list."""
        self._submit(
            "forget",
            run,
            lambda: self._worker.remove_ended(run.task, epoch=run.epoch),
        )

    def _submit(
        self,
        step: str,
        run: run_events.RunId,
        operation: Callable,
        *arguments: object,
    ) -> None:
        with self._lock:
            if run in self._busy:
                return
            self._busy.add(run)
        self._pool.submit(self._run_operation, step, run, operation, arguments)

    def _run_operation(
        self,
        step: str,
        run: run_events.RunId,
        operation: Callable,
        arguments: tuple,
    ) -> None:
        outcome = "ok"
        try:
            operation(*arguments)
        except errors.MarigoldsillError as error:
            outcome = error.kind
            logs.event(
                "run_step_failed",
                level="WARNING",
                step=step,
                task=run.task,
                epoch=run.epoch,
                reason=error.message,
            )
        except Exception as error:  # the pool must keep working
            outcome = type(error).__name__
            logs.event(
                "run_step_failed", level="ERROR", step=step, reason=repr(error)
            )
        finally:
            _OPERATIONS.labels(step, outcome).inc()
            with self._lock:
                self._busy.discard(run)
            self._on_done()

    def _start(self, order: ttypes.Order, lease_end_ns: int) -> None:
        failpoints.reach("start.before")
        # Read before the call: it may take effect while an answer is under way.
        earlier = self._find_unanswered_start(run_events.run_id_of(order))
        try:
            self._worker.start(_start_spec(order, lease_end_ns))
        except errors.LeaseOverError:
            self._handle_refused_start(order, earlier)
            raise
        except errors.CapacityError as error:
            self._handle_refused_start(
                order, earlier, ttypes.RunEventKind.REFUSED, error.message
            )
            raise
        except errors.UnexpectedStatusError:
            self._record_unanswered_start(order, lease_end_ns)
            raise
        except errors.PlatformError as error:
            self._handle_refused_start(
                order, earlier, ttypes.RunEventKind.FAILED, error.message
            )
            raise
        except errors.TransportError as error:
            if error.sent:
                self._record_unanswered_start(order, lease_end_ns)
            else:
                self._handle_refused_start(order, earlier)
            raise
        failpoints.reach("start.done")
        logs.event("run_started", task=order.task, epoch=order.epoch)
        self._report(order, ttypes.RunEventKind.STARTED, "")
        failpoints.reach("start.reported")

    def _checkpoint(
        self, order: ttypes.Order, on_result: Callable[[bool], None]
    ) -> None:
        failpoints.reach("checkpoint.before")
        try:
            task = self._worker.checkpoint(order.task, epoch=order.epoch)
        except errors.MarigoldsillError:
            on_result(False)
            raise
        failpoints.reach("checkpoint.done")
        self._outbox.add(
            ttypes.RunEvent(
                task=order.task,
                epoch=order.epoch,
                kind=ttypes.RunEventKind.CHECKPOINTED,
                checkpoint_id=task.checkpoint_id,
                worked_ms=task.checkpoint_worked_ms,
            )
        )
        failpoints.reach("checkpoint.reported")
        on_result(True)

    def _stop(self, run: run_events.RunId) -> None:
        failpoints.reach("stop.before")
        self._worker.stop(run.task, epoch=run.epoch)
        failpoints.reach("stop.done")

    def _record_unanswered_start(
        self, order: ttypes.Order, lease_end_ns: int
    ) -> None:
        run = run_events.run_id_of(order)
        with self._lock:
            earlier = self._unanswered_starts.get(run)
            if earlier is not None:
                lease_end_ns = max(lease_end_ns, earlier.lease_end_ns)
            self._unanswered_starts[run] = StartAttempt(
                order.resources, lease_end_ns
            )
            if run in self._starts:
                self._starts[run] = self._unanswered_starts[run]

    def _handle_refused_start(
        self,
        order: ttypes.Order,
        earlier: StartAttempt | None,
        kind: ttypes.RunEventKind | None = None,
        detail: str = "",
    ) -> None:
        """Handles a start without effect; reports it unless an earlier one may have."""
        run = run_events.run_id_of(order)
        with self._lock:
            if earlier is not None:
                self._starts[run] = dataclasses.replace(
                    earlier, is_repeat_refused=kind is not None
                )
                return
            self._starts.pop(run, None)
        if kind is not None:
            self._report(order, kind, detail)

    def _find_unanswered_start(
        self, run: run_events.RunId
    ) -> StartAttempt | None:
        """Returns the latest start without an answer that may still take effect."""
        with self._lock:
            attempt = self._unanswered_starts.get(run)
        if attempt is None or attempt.lease_end_ns < time.monotonic_ns():
            return None
        return attempt

    def _report(
        self, order: ttypes.Order, kind: ttypes.RunEventKind, detail: str
    ) -> None:
        self._outbox.add(
            ttypes.RunEvent(
                task=order.task, epoch=order.epoch, kind=kind, detail=detail
            )
        )


def _start_spec(
    order: ttypes.Order, lease_end_ns: int
) -> worker_interface.StartSpec:
    return worker_interface.StartSpec(
        task=order.task,
        epoch=order.epoch,
        kind=_KIND_NAMES[order.kind],
        owner=order.owner,
        command=order.command,
        cpu_millicores=order.resources.cpu_millicores,
        memory_bytes=order.resources.memory_bytes,
        accelerators_count=order.resources.accelerators_count,
        lease_end_ns=lease_end_ns,
        checkpoint_id=order.checkpoint_id,
        worked_ms=order.worked_ms,
        run_time_ms=order.run_time_ms,
        slots_count=order.slots_count,
        connections_count=order.connections_count,
    )
