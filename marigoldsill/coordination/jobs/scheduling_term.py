"""What a leader's scheduler holds for one term, and the decisions of a round.

A round reads what changed while it holds the replica's lock, decides without the lock,
and proposes its decisions as commands. Parts of a command that are outdated by then are
ignored when it is applied.
"""

import dataclasses

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import decision_log
from marigoldsill.coordination.job_admission import load_publisher
from marigoldsill.coordination.job_learning import term_learning
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_queueing import policy_chain
from marigoldsill.coordination.job_queueing import share_reclaimer
from marigoldsill.coordination.jobs import evictor
from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.coordination.jobs import retention
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.jobs import ticket_manager as ticket_module
from marigoldsill.coordination.jobs import timetable
from marigoldsill.coordination.jobs import worker_refresher
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


@dataclasses.dataclass(slots=True, frozen=True)
class LastingParts:
    """What the scheduler keeps from one term to the next.

    Attributes:
        replica: The replicated state.
        service: Handles the calls about jobs, and proposes commands.
        settings: The optional parts of the decisions.
        job_retention_s: How long the state of an ended job must be available.
        admission: Decides which jobs are accepted.
        urgency: Orders waiting steps by what they can still earn.
        health: Which workers fail or stall what they run.
        tickets: Requests and attaches the adviser's tickets.
    """

    replica: replica_module.Replica
    service: service_module.JobService
    settings: scheduling_settings.SchedulingSettings
    job_retention_s: float
    admission: admission_module.Admission
    urgency: urgency_module.Urgency
    health: worker_health.WorkerHealth
    tickets: ticket_module.TicketManager


class SchedulingTerm:
    """The scheduling state of one term, which a new term starts without.

    Attributes:
        number: The term.
    """

    def __init__(self, parts: LastingParts):
        """Initializes the state of the term that the service leads.

        Called with the replica's lock held.

        Args:
            parts: What lasts longer than the term.
        """
        self.number = parts.service.led_term
        self._replica = parts.replica
        self._service = parts.service
        self._admission = parts.admission
        self._urgency = parts.urgency
        self._health = parts.health
        self._ticket_manager = parts.tickets
        self._are_changes_known = False
        self._applied_grants: list[ttypes.RunGrant] = []
        self._backlog = backlog_module.Backlog()
        self._admission.begin_term(self.number)
        self._load_publisher = load_publisher.LoadPublisher(
            term=self.number, now_s=clock.now_s()
        )
        settings = parts.settings
        self._policies = policy_chain.PolicyChain(
            settings.create_offer_policies()
        )
        self._share_reclaimer = share_reclaimer.ShareReclaimer(
            settings.shares, self._policies.policies
        )
        self._retention = retention.Retention(retention_s=parts.job_retention_s)
        self._timetable = timetable.Timetable()
        self._ticket_manager.begin_term()
        self._learning = term_learning.TermLearning(
            interference=self._service.interference,
            run_times=self._urgency.run_times,
            remote_run_ratio=settings.locality.remote_run_ratio,
        )
        self._learning.restore(self._replica.tables.jobs, term=self.number)
        self._evictor = evictor.Evictor(
            service=self._service, urgency=self._urgency, health=self._health
        )
        self._placement = placement_module.Placement(
            interference=self._service.interference,
            health=self._health,
            tickets=self._ticket_manager.tickets,
            is_live=self._service.is_responsive,
            admits=self._share_reclaimer.admits,
            locality=settings.locality,
            predict_run_ms=self._urgency.run_times.predict_ms,
        )
        self._worker_refresher = worker_refresher.WorkerRefresher(
            agents=self._service.agents,
            leases=self._service.leases,
            health=self._health,
            placement=self._placement,
        )

    def wait_s(self, *, limit_s: float) -> float:
        """Returns seconds until an occurrence of a job is due, up to a limit."""
        return self._timetable.wait_s(
            now_unix_ms=commands.now_unix_ms(), limit_s=limit_s
        )

    def observe_command(self, command: ttypes.Command) -> None:
        """Observes an applied command of this term."""
        self._learning.observe_command(self._replica.tables.jobs, command)
        if command.grant_runs is not None:
            self._applied_grants += command.grant_runs.grants

    def apply_changes(self, *, now_s: float) -> None:
        """Updates the state by what changed since the last round.

        Called with the replica's lock held.
        """
        jobs = self._replica.tables.jobs
        touched = jobs.pop_changed_jobs()
        if not self._are_changes_known:
            self._are_changes_known = True
            touched = set(jobs.jobs)
        self._retention.observe_jobs(jobs, touched, now_s=now_s)
        self._timetable.observe_jobs(jobs, touched)
        self._backlog.refresh(jobs, touched, now_s=now_s)
        self._admission.observe_jobs(jobs, touched)
        self._policies.refresh(jobs, touched)
        views = self._service.agents.take_changed()
        self._learning.learn_from_reports(jobs, views)
        self._health.begin_due_probations()
        self._evictor.evict_stalled(jobs, views)
        # Else a worker that reports a stall each round would never be tried.
        self._health.begin_wanted_probations(self._placement.take_wanted())
        self._evictor.evict_incomplete_gangs(jobs, touched)
        applied, self._applied_grants = self._applied_grants, []
        self._worker_refresher.mark_stale(
            self._placement.update_pending_grants(applied, is_decided=True)
        )
        self._worker_refresher.mark_stale(self._service.pop_changed_agents())
        self._worker_refresher.mark_stale(view.name for view in views)
        self._worker_refresher.refresh(self._replica.tables, now_s=now_s)
        job_metrics.LIVE_AGENTS.set(len(self._placement.index.workers))

    def run_round(self, *, now_s: float) -> int:
        """Decides on what waits, and proposes that; returns how many runs it granted."""
        with self._replica.lock:
            due_occurrences = self._timetable.due_occurrences(
                now_unix_ms=commands.now_unix_ms()
            )
            learning_record = self._learning.due_record(
                self._replica.tables.jobs, now_s=now_s
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
        self._admission.publish(summary)
        decision_log.record_waiting(
            jobs_count=self._admission.waiting_count,
            size_bytes=self._admission.waiting_bytes,
        )

    def _propose_grants(self, grants: list[ttypes.RunGrant]) -> None:
        if not grants:
            return
        is_decided = True
        try:
            # Another leader may have granted runs between two terms of this one.
            result = self._service.propose(
                term=self.number, grant_runs=ttypes.GrantRuns(grants=grants)
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
        workers = self._placement.workers_to_advise()
        self._ticket_manager.request_tickets(waiting, workers, now_s=now_s)

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
