"""The leader's scheduling loop for jobs: grants and evicts runs, ends lost ones."""

from concurrent import futures
import threading

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_placing import urgency
from marigoldsill.coordination.jobs import leader_load
from marigoldsill.coordination.jobs import lease_monitor
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import scheduling_term
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.jobs import ticket_manager
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol import adviser as adviser_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# Interval of rounds without changes, for what depends only on time, such as expired
# leases.
_IDLE_INTERVAL_S = 0.25
# How long a round waits for further changes, so that it decides on them together.
_BATCH_S = 0.005
_DEFAULT_SETTINGS = scheduling_settings.SchedulingSettings()


class JobScheduler:
    """Schedules jobs while this process leads.

    Attributes:
        admission: Decides which jobs are accepted, by the load that rounds publish.
    """

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        job_retention_s: float,
        adviser: adviser_module.Adviser | None = None,
        settings: scheduling_settings.SchedulingSettings = _DEFAULT_SETTINGS,
    ):
        """Initializes the scheduler.

        Args:
            replica: The replicated state.
            job_retention_s: How long the state of an ended job must be available.
            adviser: Gives the tickets that some queues need. If None, jobs of such
                queues wait.
            settings: The optional parts of the decisions.
        """
        self._replica = replica
        self._settings = settings
        self._job_retention_s = job_retention_s
        self._urgency = urgency.Urgency()
        self.admission = admission_module.Admission(
            settings.admission, urgency=self._urgency
        )
        self._ticket_manager = ticket_manager.TicketManager(
            adviser=adviser, lock=replica.lock, on_answer=self.wake
        )
        self._health = worker_health.WorkerHealth(
            is_leader=lambda: replica.is_leader
        )
        self._service: service_module.JobService | None = None
        self._lease_monitor: lease_monitor.LeaseMonitor | None = None
        self._lasting_parts: scheduling_term.LastingParts | None = None
        self._term: scheduling_term.SchedulingTerm | None = None
        self._load = leader_load.LeaderLoad()
        self._woken_s = 0.0
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "job-scheduler")
        replica.on_applied(self._on_applied)

    def start(self, service: service_module.JobService) -> None:
        """Starts the loop, which schedules whenever this process leads.

        Args:
            service: Handles the calls about jobs, and proposes commands.
        """
        self._service = service
        self._lease_monitor = lease_monitor.LeaseMonitor(
            replica=self._replica, service=service
        )
        self._lasting_parts = scheduling_term.LastingParts(
            replica=self._replica,
            service=service,
            settings=self._settings,
            job_retention_s=self._job_retention_s,
            admission=self.admission,
            urgency=self._urgency,
            health=self._health,
            tickets=self._ticket_manager,
        )
        self._ticket_manager.start()
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stops the loop; does not wait for the current round."""
        self._stopping.set()
        self._wake.set()
        self._ticket_manager.stop()
        self._pool.shutdown(wait=False)

    def wake(self) -> None:
        """Starts a round soon."""
        if not self._wake.is_set():
            self._woken_s = clock.now_s()
        self._wake.set()

    def _on_applied(self, command: ttypes.Command) -> None:
        if self._leads_term():
            self._term.observe_command(command)
        self._health.observe_command(command)
        self._ticket_manager.observe_command(command)

    def _leads_term(self) -> bool:
        """Whether this process leads and has started to schedule in its term."""
        return (
            self._term is not None
            and self._replica.is_leader
            and self._term.number == self._replica.term
        )

    def _loop(self) -> None:
        while not self._stopping.is_set():
            is_woken = self._wake.wait(self._wait_s())
            batch_s = clock.now_s()
            self._stopping.wait(_BATCH_S)
            start_s = clock.now_s()
            woken_s = self._woken_s if is_woken else start_s
            self._wake.clear()
            if not self._replica.is_leader:
                continue
            try:
                granted_count = self._run_round()
                end_s = clock.now_s()
                self._load.observe(
                    leader_load.RoundTimes(
                        lag_s=max(0.0, start_s - batch_s - _BATCH_S),
                        round_s=end_s - start_s,
                        delay_s=end_s - woken_s if granted_count else None,
                    ),
                    now_s=end_s,
                )
            except errors.MarigoldsillError as error:
                logs.event(
                    "scheduler_waits", level="WARNING", reason=error.message
                )
            except (ttypes.NotLeader, ttypes.NoQuorum) as error:
                logs.event(
                    "scheduler_waits", level="WARNING", reason=repr(error)
                )
            except Exception as error:  # keeps the loop alive
                logs.event(
                    "scheduler_failed",
                    level="ERROR",
                    kind=type(error).__name__,
                    reason=error,
                )

    def _wait_s(self) -> float:
        if self._term is None or not self._replica.is_leader:
            return _IDLE_INTERVAL_S
        return self._term.wait_s(limit_s=_IDLE_INTERVAL_S)

    def _run_round(self) -> int:
        """Runs one round; returns how many runs it granted."""
        self._service.become_leader()
        now_s = clock.now_s()
        self._lease_monitor.check(now_s=now_s)
        with self._replica.lock:
            if (
                self._term is None
                or self._term.number != self._service.led_term
            ):
                self._term = scheduling_term.SchedulingTerm(self._lasting_parts)
            self._term.apply_changes(now_s=now_s)
        return self._term.run_round(now_s=now_s)
