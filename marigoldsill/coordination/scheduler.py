"""The leader's loop: ends lost runs and places queued ones."""

from concurrent import futures
import threading
import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination import control_service
from marigoldsill.coordination import placement
from marigoldsill.coordination import replica as replica_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_TICK_S = 0.1
_PROPOSE_TIMEOUT_S = 2.0
_BATCH_LIMIT = 500


class Scheduler:
    """Decides while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        service: control_service.ControlService,
    ):
        self._replica = replica
        self._service = service
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "scheduler")

    def start(self) -> None:
        """Begins to decide whenever this process leads."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Leaves off."""
        self._stopping.set()
        self._pool.shutdown(wait=False)

    def _loop(self) -> None:
        while not self._stopping.wait(_TICK_S):
            if not self._replica.is_leader:
                continue
            self._service.become_leader()
            try:
                self._tick()
            except errors.MarigoldsillError as error:
                logs.event(
                    "scheduler_waits", level="WARNING", reason=error.message
                )
            except Exception as error:  # must go on deciding
                logs.event(
                    "scheduler_failed",
                    level="ERROR",
                    kind=type(error).__name__,
                    reason=error,
                )

    def _tick(self) -> None:
        with self._replica.lock:
            # What leases say holds only while no later leader renews them.
            term = self._service.led_term
            lost = self._lost_runs()
            gone = self._lost_workers()
        if lost:
            self._propose(
                record_run_events=ttypes.RecordRunEvents(
                    events=lost, decided_term=term
                )
            )
        for worker in gone:
            self._propose(
                put_worker=ttypes.PutWorker(worker=worker, decided_term=term)
            )
            self._service.forget_agent(worker.name)
        with self._replica.lock:
            grants = placement.place_queued(
                self._replica.tables,
                live_agents=self._service.leases.live(),
                limit=_BATCH_LIMIT,
            )
        if grants:
            self._propose(assign_runs=ttypes.AssignRuns(assignments=grants))

    def _lost_runs(self) -> list[ttypes.RunEvent]:
        tables = self._replica.tables
        return [
            ttypes.RunEvent(
                task=task.name,
                epoch=task.epoch,
                kind=ttypes.RunEventKind.LOST,
                detail=f"the lease of {worker} ran out",
            )
            for worker in list(tables.tasks_by_worker)
            if self._service.leases.expired(worker)
            for task in tables.tasks_on(worker)
        ]

    def _lost_workers(self) -> list[ttypes.Worker]:
        tables = self._replica.tables
        return [
            _as_lost(worker)
            for worker in tables.workers.values()
            if worker.state != ttypes.WorkerState.LOST
            and self._service.leases.expired(worker.name)
        ]

    def _propose(self, **body: object) -> None:
        command = ttypes.Command(
            command_id=str(uuid.uuid4()),
            proposed_unix_ms=time.time_ns() // 1_000_000,
            **body,
        )
        self._replica.propose(command, timeout_s=_PROPOSE_TIMEOUT_S)


def _as_lost(worker: ttypes.Worker) -> ttypes.Worker:
    values = {slot: getattr(worker, slot) for slot in ttypes.Worker.__slots__}
    values |= {"state": ttypes.WorkerState.LOST, "reason": "its lease ran out"}
    return ttypes.Worker(**values)
