"""The leader's scheduling loop: records lost runs and proposes decisions."""

from concurrent import futures
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.deciding import control_service
from marigoldsill.coordination.deciding import decision_engine
from marigoldsill.coordination.deciding import worker_state_changes
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.placement import fleet
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs

_ROUND_INTERVAL_S = 0.1
_PROPOSE_TIMEOUT_S = 2.0
_LOSS_CHECK_INTERVAL_S = 0.3
_BODY_NAMES = {
    ttypes.AssignRuns: "assign_runs",
    ttypes.EvictRuns: "evict_runs",
    ttypes.ThrottleRuns: "throttle_runs",
    ttypes.MarkTasks: "mark_tasks",
    ttypes.PutWorker: "put_worker",
}


class Scheduler:
    """Runs scheduling rounds while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        service: control_service.ControlService,
    ):
        self._replica = replica
        self._service = service
        self._engine = decision_engine.DecisionEngine()
        self._tables: tables_module.Tables | None = None
        self._term = 0
        self._losses_checked_s = 0.0
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "scheduler")

    def start(self) -> None:
        """Starts the loop, which runs rounds whenever this process leads."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stops the loop without waiting for the current round."""
        self._stopping.set()
        self._pool.shutdown(wait=False)

    def _loop(self) -> None:
        while not self._stopping.wait(_ROUND_INTERVAL_S):
            if not self._replica.is_leader:
                with self._replica.lock:
                    self._service.take_changes()
                continue
            self._service.become_leader()
            if self._service.led_term != self._term:
                self._term = self._service.led_term
                self._tables = None
            try:
                self._run_round()
            except errors.MarigoldsillError as error:
                logs.event(
                    "scheduler_waits", level="WARNING", reason=error.message
                )
            except Exception as error:  # the loop must not end
                logs.event(
                    "scheduler_failed",
                    level="ERROR",
                    kind=type(error).__name__,
                    reason=error,
                )

    def _run_round(self) -> None:
        self._record_losses()
        with self._replica.lock:
            bodies = self._decide()
        for body in bodies:
            self._propose(**{_BODY_NAMES[type(body)]: body})

    def _record_losses(self) -> None:
        if time.monotonic() < self._losses_checked_s + _LOSS_CHECK_INTERVAL_S:
            return
        self._losses_checked_s = time.monotonic()
        with self._replica.lock:
            # An expired lease proves a loss only while no later leader renews it.
            term = self._service.led_term
            lost_runs = self._find_lost_runs()
            lost_workers = self._find_lost_workers()
        if lost_runs:
            self._propose(
                record_run_events=ttypes.RecordRunEvents(
                    events=lost_runs, decided_term=term
                )
            )
        for worker in lost_workers:
            self._propose(
                put_worker=ttypes.PutWorker(worker=worker, decided_term=term)
            )
            self._service.remove_agent(worker.name)

    def _decide(self) -> list[decision_engine.Body]:
        tables = self._replica.tables
        live = self._service.leases.live_agents()
        changes = self._service.take_changes()
        now = fleet.Now(time.monotonic(), commands.now_unix_ms())
        if tables is not self._tables:
            self._tables = tables
            self._engine = decision_engine.DecisionEngine()
            self._service.wait_reason = self._engine.wait_reason
            estimates = self._engine.fleet.estimates
            self._service.run_time_ms = estimates.run_time_ms
            self._engine.rebuild(tables, live=live, now=now)
        else:
            self._engine.apply_changes(tables, changes, live=live, now=now)
        self._engine.observe(
            tables, self._service.usage.take_measurements(), now=now
        )
        bodies = self._engine.run_round(tables, now=now)
        self._service.absent_watchers = self._engine.absent_watchers
        return bodies

    def _find_lost_runs(self) -> list[ttypes.RunEvent]:
        tables = self._replica.tables
        return [
            ttypes.RunEvent(
                task=task.name,
                epoch=task.epoch,
                kind=ttypes.RunEventKind.LOST,
                detail=f"the lease of {worker} ran out",
            )
            for worker in list(tables.tasks_by_worker)
            if self._service.leases.close_if_expired(worker)
            for task in tables.tasks_on(worker)
        ]

    def _find_lost_workers(self) -> list[ttypes.Worker]:
        tables = self._replica.tables
        return [
            _lost_record(worker)
            for worker in tables.workers.values()
            if worker.state != ttypes.WorkerState.LOST
            and self._service.leases.close_if_expired(worker.name)
        ]

    def _propose(self, **body: object) -> None:
        command = commands.new(**body)
        self._replica.propose(command, timeout_s=_PROPOSE_TIMEOUT_S)


def _lost_record(worker: ttypes.Worker) -> ttypes.Worker:
    return worker_state_changes.with_state(
        worker, ttypes.WorkerState.LOST, "its lease ran out"
    )
