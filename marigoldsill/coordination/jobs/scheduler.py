"""The leader's scheduling loop for jobs: grants and evicts runs, ends lost ones.

A round reads what changed while it holds the replica's lock, decides without the lock,
and proposes its decisions as commands. Parts of a command that are outdated by then are
ignored when it is applied.
"""

from concurrent import futures
import threading

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import decision_log
from marigoldsill.coordination.job_admission import load_publisher
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import run_time_sampler
from marigoldsill.coordination.job_placing import urgency
from marigoldsill.coordination.job_placing import worker_health
from marigoldsill.coordination.job_queueing import policy_chain
from marigoldsill.coordination.job_queueing import share_reclaimer
from marigoldsill.coordination.jobs import evictor
from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.coordination.jobs import leader_load
from marigoldsill.coordination.jobs import learning_recorder
from marigoldsill.coordination.jobs import lease_monitor
from marigoldsill.coordination.jobs import retention
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.jobs import ticket_manager
from marigoldsill.coordination.jobs import timetable
from marigoldsill.coordination.jobs import worker_refresher
from marigoldsill.coordination.leadership import commands
from marigoldsill.protocol import adviser as adviser_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
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
        self._service: service_module.JobService | None = None
        self._backlog = backlog_module.Backlog()
        self._urgency = urgency.Urgency()
        self.admission = admission_module.Admission(
            settings.admission, urgency=self._urgency
        )
        self._load_publisher: load_publisher.LoadPublisher | None = None
        self._run_time_sampler = run_time_sampler.RunTimeSampler(
            remote_run_ratio=self._settings.locality.remote_run_ratio
        )
        self._retention = retention.Retention(retention_s=job_retention_s)
        self._timetable = timetable.Timetable()
        self._learning_recorder = learning_recorder.LearningRecorder()
        self._ticket_manager = ticket_manager.TicketManager(
            adviser=adviser, lock=replica.lock, on_answer=self.wake
        )
        self._evictor: evictor.Evictor | None = None
        self._placement: placement_module.Placement | None = None
        self._worker_refresher: worker_refresher.WorkerRefresher | None = None
        self._applied_grants: list[ttypes.RunGrant] = []
        self._policies = policy_chain.PolicyChain()
        self._share_reclaimer: share_reclaimer.ShareReclaimer | None = None
        self._lease_monitor: lease_monitor.LeaseMonitor | None = None
        self._load = leader_load.LeaderLoad()
        self._woken_s = 0.0
        self._term = 0
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "job-scheduler")
        self._health = worker_health.WorkerHealth(
            is_leader=lambda: replica.is_leader
        )
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
        # Only the leader knows which runs are throttled, so only it times runs.
        if self._service is not None and self._leads_term():
            self._run_time_sampler.observe_command(
                self._replica.tables.jobs, command
            )
            if command.grant_runs is not None:
                self._applied_grants += command.grant_runs.grants
        self._health.observe_command(command)
        self._ticket_manager.observe_command(command)

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
        if not self._replica.is_leader:
            return _IDLE_INTERVAL_S
        return self._timetable.wait_s(
            now_unix_ms=commands.now_unix_ms(), limit_s=_IDLE_INTERVAL_S
        )

    def _run_round(self) -> int:
        """Runs one round; returns how many runs it granted."""
        self._service.become_leader()
        now_s = clock.now_s()
        self._lease_monitor.check(now_s=now_s)
        with self._replica.lock:
            self._apply_changes(now_s)
            due_occurrences = self._timetable.due_occurrences(
                now_unix_ms=commands.now_unix_ms()
            )
            learning_record = self._learning_recorder.due_record(
                self._replica.tables.jobs.learnt,
                self._service.interference,
                self._urgency.run_times,
                now_s=now_s,
            )
        waiting = self._backlog.rank_steps(
            self._urgency, now_unix_ms=commands.now_unix_ms()
        )
        job_metrics.WAITING.set(len(waiting))
        offered = self._policies.offer(
            waiting,
            capacity_of=self._placement.index.pool_capacity,
            urgency=self._urgency,
            now_s=now_s,
            now_unix_ms=commands.now_unix_ms(),
        )
        grants = self._placement.place(offered, now_s=now_s)
        slow_evictions = self._evictor.find_slow(self._placement, now_s=now_s)
        with self._replica.lock:
            self._handle_tickets(waiting, grants, now_s)
            self._evictor.evict_slow(slow_evictions)
        # Capacity that `find_slow` reserved is free again until the task is granted there.
        self._worker_refresher.mark_stale(
            eviction.next_agent for eviction in slow_evictions
        )
        self._propose_grants(grants)
        if due_occurrences:
            self._begin_occurrences(due_occurrences)
        if learning_record is not None:
            self._service.propose(record_learnt=learning_record)
        self._remove_expired_jobs()
        # Last, as grants must not wait for a summary of a long backlog.
        self._publish_load(waiting, now_s)
        self._share_reclaimer.reclaim(
            self._replica,
            waiting,
            grants,
            placement=self._placement,
            agents=self._service.agents,
            evicted=self._service.orders.evicted,
            evict=self._evictor.evict_reclaimed,
            now_s=now_s,
        )
        return len(grants)

    def _publish_load(
        self, waiting: list[backlog_module.WaitingStep], now_s: float
    ) -> None:
        """Tells the admission the load, at intervals."""
        if not self._load_publisher.is_due(now_s=now_s):
            return
        summary = self._load_publisher.summarize(
            self._backlog,
            waiting,
            self._urgency,
            self._placement,
            pools=self._replica.tables.jobs.pools,
            now_s=now_s,
            now_unix_ms=commands.now_unix_ms(),
            is_order_final=not self._policies.policies,
        )
        self.admission.publish(summary)
        decision_log.record_waiting(
            jobs_count=self.admission.waiting_count,
            size_bytes=self.admission.waiting_bytes,
        )

    def _propose_grants(self, grants: list[ttypes.RunGrant]) -> None:
        if not grants:
            return
        is_decided = True
        try:
            # Another leader may have granted runs between two terms of this one.
            result = self._service.propose(
                term=self._term, grant_runs=ttypes.GrantRuns(grants=grants)
            )
            outdated_count = len(grants) - result.applied_count
            job_metrics.OUTDATED_GRANTS.inc(outdated_count)
        except errors.UnknownOutcomeError:
            is_decided = False
            raise
        finally:
            agents = self._placement.update_pending_grants(
                grants, is_decided=is_decided
            )
            self._worker_refresher.mark_stale(agents)

    def _handle_tickets(
        self,
        waiting: list[backlog_module.WaitingStep],
        grants: list[ttypes.RunGrant],
        now_s: float,
    ) -> None:
        """Attaches tickets to grants, and requests those that waiting steps need.

        Called with the replica's lock held.
        """
        jobs = self._replica.tables.jobs
        self._ticket_manager.attach_tickets(
            jobs, grants, self._service.orders, now_s=now_s
        )
        workers = self._placement.index.workers.values()
        self._ticket_manager.request_tickets(waiting, workers, now_s=now_s)

    def _leads_term(self) -> bool:
        """Whether this process leads and has started to schedule in its term."""
        return self._replica.is_leader and self._term == self._replica.term

    def _begin_occurrences(self, due: list[ttypes.OccurrenceDue]) -> None:
        self._service.propose(
            begin_occurrences=ttypes.BeginOccurrences(due=due)
        )
        for item in due:
            logs.event("occurrence_begun", job=item.job_id, number=item.number)

    def _remove_expired_jobs(self) -> None:
        due = self._retention.due_jobs(now_s=clock.now_s())
        if not due:
            return
        self._service.propose(forget_jobs=ttypes.ForgetJobs(job_ids=due))
        self._retention.drop_due(len(due))
        logs.event("jobs_forgotten", jobs_count=len(due), first=due[0])

    def _apply_changes(self, now_s: float) -> None:
        """Updates the scheduling state by what changed since the last round.

        Called with the replica's lock held.
        """
        jobs = self._replica.tables.jobs
        touched = jobs.pop_changed_jobs()
        if self._service.led_term != self._term:
            self._begin_term()
            touched = set(jobs.jobs)
        self._retention.observe_jobs(jobs, touched, now_s=now_s)
        self._timetable.observe_jobs(jobs, touched)
        self._backlog.refresh(jobs, touched, now_s=now_s)
        self.admission.observe_jobs(jobs, touched)
        self._policies.refresh(jobs, touched)
        views = self._service.agents.take_changed()
        self._learn_from_reports(jobs, views)
        self._health.begin_due_probations()
        self._evictor.evict_stalled(jobs, views)
        self._evictor.evict_incomplete_gangs(jobs, touched)
        applied, self._applied_grants = self._applied_grants, []
        self._worker_refresher.mark_stale(
            self._placement.update_pending_grants(applied, is_decided=True)
        )
        self._worker_refresher.mark_stale(self._service.pop_changed_agents())
        self._worker_refresher.mark_stale(view.name for view in views)
        self._worker_refresher.refresh(self._replica.tables, now_s=now_s)
        job_metrics.LIVE_AGENTS.set(len(self._placement.index.workers))

    def _begin_term(self) -> None:
        """Resets the scheduling state, as this process leads a new term."""
        self._term = self._service.led_term
        self._backlog = backlog_module.Backlog()
        self.admission.begin_term(self._term)
        self._load_publisher = load_publisher.LoadPublisher(
            term=self._term, now_s=clock.now_s()
        )
        self._policies = policy_chain.PolicyChain(
            self._settings.create_offer_policies()
        )
        self._share_reclaimer = share_reclaimer.ShareReclaimer(
            self._settings.shares, self._policies.policies
        )
        self._retention = retention.Retention(retention_s=self._job_retention_s)
        self._timetable = timetable.Timetable()
        self._run_time_sampler = run_time_sampler.RunTimeSampler(
            remote_run_ratio=self._settings.locality.remote_run_ratio
        )
        self._learning_recorder = learning_recorder.LearningRecorder()
        self._ticket_manager.begin_term()
        learnt = self._replica.tables.jobs.learnt
        self._service.interference.restore(learnt.interference.values())
        self._urgency.run_times.restore(learnt.run_times.values())
        logs.event(
            "learning_restored",
            term=self._term,
            pairs_count=len(learnt.interference),
            queues_count=len(learnt.run_times),
        )
        self._evictor = evictor.Evictor(
            service=self._service, urgency=self._urgency, health=self._health
        )
        self._placement = placement_module.Placement(
            interference=self._service.interference,
            health=self._health,
            tickets=self._ticket_manager.tickets,
            is_live=self._service.is_responsive,
            admits=self._share_reclaimer.admits,
            locality=self._settings.locality,
            predict_run_ms=self._urgency.run_times.predict_ms,
        )
        self._worker_refresher = worker_refresher.WorkerRefresher(
            agents=self._service.agents,
            leases=self._service.leases,
            health=self._health,
            placement=self._placement,
        )
        self._applied_grants = []

    def _learn_from_reports(
        self,
        jobs: job_tables.JobTables,
        views: list[agents_module.AgentView],
    ) -> None:
        """Learns interference and run times from reports and finished runs."""
        self._service.interference.learn(jobs, views)
        self._run_time_sampler.exclude_slowed(views)
        for sample in self._run_time_sampler.take_samples():
            self._urgency.run_times.observe(
                sample.queue,
                estimated_ms=sample.estimated_ms,
                run_ms=sample.run_ms,
            )
