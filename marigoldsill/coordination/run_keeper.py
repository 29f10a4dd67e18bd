"""An agent's runs: brings its worker to what control ordered.

Nothing is durable here. The worker's own task list says what runs; events are
sent until control acknowledged them, and only then an ended run is forgotten.
"""

from concurrent import futures
import itertools
import threading
import time

from marigoldsill import errors
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_TICK_S = 0.1
_KINDS = {
    ttypes.Kind.SERVICE: "service",
    ttypes.Kind.BATCH_JOB: "batch_job",
    ttypes.Kind.WATCHER: "watcher",
}
_ENDED_EVENTS = {
    "completed": ttypes.RunEventKind.COMPLETED,
    "failed": ttypes.RunEventKind.FAILED,
    "stopped": ttypes.RunEventKind.STOPPED,
}


class RunKeeper:
    """Holds the runs of one worker."""

    def __init__(self, *, worker: worker_interface.WorkerInterface):
        self._worker = worker
        self._lock = threading.Lock()
        self._term = 0
        self._orders: list[ttypes.Order] | None = None
        self._lease_end_ns = 0
        self._events: dict[int, ttypes.RunEvent] = {}
        self._reported: dict[tuple[str, int, int], int] = {}
        self._event_ids = itertools.count(1)
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "run-keeper")

    def start(self) -> None:
        """Begins to bring the worker to the orders."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Leaves off; runs go on until their leases run out."""
        self._stopping.set()
        self._wake.set()
        self._pool.shutdown(wait=False)

    def take_orders(self, term: int, orders: list[ttypes.Order]) -> None:
        """Takes complete orders; those of an older leader are refused."""
        with self._lock:
            if term < self._term:
                return
            self._term = term
            self._orders = orders
        self._wake.set()

    def renew_lease(self, lease_end_ns: int) -> None:
        """Notes until when control's lease holds, on the monotonic clock."""
        with self._lock:
            self._lease_end_ns = max(self._lease_end_ns, lease_end_ns)
        self._wake.set()

    def events(self) -> list[ttypes.RunEvent]:
        """Events that control has not acknowledged."""
        with self._lock:
            return list(self._events.values())

    def acknowledge(self, event_ids: list[int]) -> None:
        """Drops events that control has recorded."""
        with self._lock:
            done = [self._events.pop(i, None) for i in event_ids]
        for event in (e for e in done if e is not None):
            if event.kind in _ENDED_EVENTS.values():
                self._forget(event)

    def _loop(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(_TICK_S)
            self._wake.clear()
            try:
                self._reconcile()
            except errors.MarigoldsillError as error:
                logs.event(
                    "worker_trouble", level="WARNING", reason=error.message
                )
            except Exception as error:  # must go on keeping runs
                logs.event(
                    "run_keeper_failed", level="ERROR", reason=repr(error)
                )

    def _reconcile(self) -> None:
        with self._lock:
            orders = self._orders
            lease_end_ns = self._lease_end_ns
        if orders is None or time.monotonic_ns() > lease_end_ns:
            return
        self._worker.renew(lease_end_ns=lease_end_ns)
        listed = {(t.task, t.epoch): t for t in self._worker.tasks()}
        wanted = {(o.task, o.epoch): o for o in orders}
        for key, task in listed.items():
            if task.state != "running":
                self._report_end(task)
            elif key not in wanted:
                self._worker.stop(task.task, epoch=task.epoch)
        for key, order in wanted.items():
            self._follow(order, listed.get(key), lease_end_ns)

    def _follow(
        self,
        order: ttypes.Order,
        task: worker_interface.PlatformTask | None,
        lease_end_ns: int,
    ) -> None:
        match order.desire:
            case ttypes.Desire.RUN | ttypes.Desire.THROTTLE if task is None:
                self._start(order, lease_end_ns)
            case ttypes.Desire.RUN | ttypes.Desire.THROTTLE:
                self._keep(order, task)
            case _ if task is None:
                self._report(order, ttypes.RunEventKind.LOST, "not there")
            case ttypes.Desire.CHECKPOINT_AND_STOP:
                self._checkpoint_and_stop(order, task)
            case ttypes.Desire.STOP:
                self._worker.stop(order.task, epoch=order.epoch)

    def _start(self, order: ttypes.Order, lease_end_ns: int) -> None:
        if order.started:
            self._report(
                order, ttypes.RunEventKind.LOST, "the worker lost the run"
            )
            return
        if self._already_ended(order):
            return
        try:
            self._worker.start(_spec(order, lease_end_ns))
        except errors.CapacityError as error:
            self._report(order, ttypes.RunEventKind.REFUSED, error.message)
            return
        except errors.PlatformError as error:
            self._report(order, ttypes.RunEventKind.FAILED, error.message)
            return
        logs.event("run_started", task=order.task, epoch=order.epoch)
        self._report(order, ttypes.RunEventKind.STARTED, "")

    def _keep(
        self, order: ttypes.Order, task: worker_interface.PlatformTask
    ) -> None:
        if task.state != "running":
            return
        if not order.started:
            self._report(order, ttypes.RunEventKind.STARTED, "")
        throttled = order.desire == ttypes.Desire.THROTTLE
        if throttled != task.throttled:
            self._worker.throttle(
                order.task, epoch=order.epoch, throttled=throttled
            )

    def _checkpoint_and_stop(
        self, order: ttypes.Order, task: worker_interface.PlatformTask
    ) -> None:
        if task.state != "running":
            return
        self._worker.checkpoint(order.task, epoch=order.epoch)
        self._worker.stop(order.task, epoch=order.epoch)

    def _already_ended(self, order: ttypes.Order) -> bool:
        kinds = (*_ENDED_EVENTS.values(), ttypes.RunEventKind.REFUSED)
        with self._lock:
            return any(
                (order.task, order.epoch, kind) in self._reported
                for kind in kinds
            )

    def _report_end(self, task: worker_interface.PlatformTask) -> None:
        self._add(
            ttypes.RunEvent(
                task=task.task,
                epoch=task.epoch,
                kind=_ENDED_EVENTS[task.state],
                checkpoint_id=task.checkpoint_id,
                worked_ms=task.checkpoint_worked_ms,
                detail=task.detail,
            )
        )

    def _report(
        self, order: ttypes.Order, kind: ttypes.RunEventKind, detail: str
    ) -> None:
        self._add(
            ttypes.RunEvent(
                task=order.task, epoch=order.epoch, kind=kind, detail=detail
            )
        )

    def _add(self, event: ttypes.RunEvent) -> None:
        key = (event.task, event.epoch, event.kind)
        with self._lock:
            if key in self._reported:
                return
            event.event_id = next(self._event_ids)
            self._reported[key] = event.event_id
            self._events[event.event_id] = event

    def _forget(self, event: ttypes.RunEvent) -> None:
        try:
            self._worker.forget(event.task, epoch=event.epoch)
        except errors.MarigoldsillError as error:
            logs.event("forget_failed", level="WARNING", reason=error.message)


def _spec(order: ttypes.Order, lease_end_ns: int) -> worker_interface.StartSpec:
    return worker_interface.StartSpec(
        task=order.task,
        epoch=order.epoch,
        kind=_KINDS[order.kind],
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
