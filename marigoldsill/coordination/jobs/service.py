"""Thrift handler for calls about queues, jobs and agents on the control leader."""

from collections.abc import Callable
import threading

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.configuration import watch_hub
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import begun_jobs
from marigoldsill.coordination.job_admission import begun_runs
from marigoldsill.coordination.job_admission import submission_handler
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import urgency
from marigoldsill.coordination.jobs import job_event_logger
from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.coordination.jobs import queue_index
from marigoldsill.coordination.jobs import report_handler
from marigoldsill.coordination.jobs import unresponsive_agents
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.leadership import late_start_bounds
from marigoldsill.coordination.leadership import leadership
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock

# A commit takes two syncs and a round trip; a slow disk adds some hundred ms.
_PROPOSE_TIMEOUT_S = 2.0
_CONFIRM_TIMEOUT_S = 1.0
_ORDERS_WAIT_LIMIT_MS = 5_000


class JobService:
    """Handles the calls of the thrift service `Control` that are about jobs.

    Attributes:
        agents: The agents that reported in this term.
        leases: The leases that this process granted as leader.
        orders: The orders of this term.
        interference: What was learnt of interference between tasks of one worker.
        unresponsive_agents: Agents recorded as unresponsive in the log.
        hub: Lets agents wait for new orders.
        led_term: The last term in which this process led.
    """

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        lease_ms: int,
        is_settled: Callable[[], bool] = lambda: True,
        on_change: Callable[[], None] = lambda: None,
        referral_address: Callable[[], str] = lambda: "",
        admission: admission_module.Admission | None = None,
    ):
        """Initializes the service.

        Args:
            replica: The replicated state.
            lease_ms: The duration of an agent's lease.
            is_settled: Whether the group no longer waits for members before it
                accepts commands.
            on_change: Called when the scheduler may have something to decide.
            referral_address: Returns the address to which callers are referred
                while the replica knows no leader; empty if there is none.
            admission: Decides which jobs are accepted, by the load that the
                scheduler publishes; None for one that knows no load.
        """
        self._referral_address = referral_address
        self._replica = replica
        self._is_settled = is_settled
        self._on_change = on_change
        self._lease_ms = lease_ms
        self._lock = threading.Lock()
        self.led_term = 0
        self.agents = agents_module.Agents()
        self.leases = leases_module.LeaseTable()
        self.orders = orders_module.Orders()
        self.interference = interference_model.InterferenceModel()
        self.hub = watch_hub.WatchHub()
        self.unresponsive_agents = unresponsive_agents.UnresponsiveAgents(
            replica=replica, lease_ms=lease_ms
        )
        self.late_start_bounds = late_start_bounds.LateStartBounds()
        self._begun_jobs = begun_jobs.BegunJobs()
        self._begun_runs = begun_runs.BegunRuns()
        self._changed_agents: set[str] = set()
        self._event_logger = job_event_logger.JobEventLogger()
        self._queue_index = queue_index.QueueIndex()
        self._submission_handler = submission_handler.SubmissionHandler(
            replica=replica,
            admission=admission
            or admission_module.Admission(
                admission_settings.AdmissionSettings(),
                urgency=urgency.Urgency(),
            ),
            propose=self.propose,
            require_leader=self._require_leader,
        )
        self._report_handler = report_handler.ReportHandler(
            replica=replica,
            agents=self.agents,
            leases=self.leases,
            late_start_bounds=self.late_start_bounds,
            begun_jobs=self._begun_jobs,
            begun_runs=self._begun_runs,
            orders=self.orders,
            lease_ms=lease_ms,
            propose=self.propose,
            on_change=on_change,
        )
        replica.on_applied(self._on_applied)

    def become_leader(self) -> None:
        """Resets the state that is not replicated, once for each term that is led."""
        with self._lock, self._replica.lock:
            term = self._replica.term
            if term == self.led_term:
                return
            self.leases.reset(lease_ms=self._lease_ms)
            self.agents.reset()
            self.late_start_bounds.reset(now_s=clock.now_s())
            self._begun_jobs.reset()
            self._begun_runs.reset()
            self.orders.reset(self._replica.tables, term=term)
            job_metrics.EVACUATED_DATA_CENTRES.set(
                len(self._replica.tables.evacuated_data_centres)
            )
            self._changed_agents = set()
            self.led_term = term
        self.hub.wake_all()

    def submit_job(
        self, address: ttypes.JobAddress, job: ttypes.Job
    ) -> ttypes.JobReply:
        """Accepts a job or rejects it; an accepted one is stored on a majority.

        A rejected job was not stored, and none of its attempts may be.
        """
        return self._submission_handler.handle(
            job,
            find_queue=lambda: self._find_queue(address),
            call_age_s=address.call_age_ms / 1000,
        )

    def job_state(self, address: ttypes.JobAddress) -> ttypes.JobReply:
        """Returns the state of a job."""
        self._require_leader()
        with self._replica.lock:
            record = self._find_job(address)
            state = None if record is None else record.state
        self._require_leader()
        if state is None:
            return ttypes.JobReply(outcome=ttypes.JobOutcome.NO_JOB)
        return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED, state=state)

    def cancel_job(self, address: ttypes.JobAddress) -> ttypes.JobReply:
        """Cancels a job; returns once a majority has stored that.

        That of a job that is not known is stored as well, as its submission may still
        arrive.
        """
        self._require_leader(require_settled=True)
        job_id = queue_index.job_id_of(address)
        result = self.propose(cancel_job=ttypes.CancelJob(job_id=job_id))
        if result.outcome == ttypes.Outcome.NOT_FOUND:
            return ttypes.JobReply(outcome=ttypes.JobOutcome.NO_JOB)
        return ttypes.JobReply(outcome=ttypes.JobOutcome.ACCEPTED)

    def pending_jobs(self, address: ttypes.JobAddress) -> ttypes.JobReply:
        """Returns of how many accepted jobs of a queue no worker has begun a run."""
        self._require_leader()
        with self._replica.lock:
            queue = self._find_queue(address)
            if isinstance(queue, ttypes.JobReply):
                reply = queue
            else:
                reply = ttypes.JobReply(
                    outcome=ttypes.JobOutcome.ACCEPTED,
                    pending_count=self._begun_jobs.count_waiting(
                        self._replica.tables.jobs, queue.name
                    ),
                )
        self._require_leader()
        return reply

    def replace_routing(self, routing: ttypes.Routing) -> None:
        """Replaces the routing, unless a later version is in force."""
        self._require_leader(require_settled=True)
        self.propose(replace_routing=ttypes.ReplaceRouting(routing=routing))

    def routing(self) -> ttypes.RoutingReply:
        """Returns the routing in force, as confirmed by a majority after the call."""
        self._require_leader()
        try:
            self._replica.confirm_leadership(timeout_s=_CONFIRM_TIMEOUT_S)
        except (errors.NotLeaderError, errors.NoQuorumError) as error:
            raise leadership.to_thrift_error(error) from error
        with self._replica.lock:
            document = self._replica.tables.jobs.routing.document
        return ttypes.RoutingReply(document=document)

    def set_evacuation(
        self, evacuation: ttypes.SetEvacuation, command_id: str
    ) -> None:
        """Begins or ends the evacuation of a data centre.

        The orders of different callers take effect in the order of the log.

        Args:
            evacuation: The data centre, and whether it is evacuated from now on.
            command_id: Identifies the order; a repeated one has no effect, also
                after a later order.
        """
        self._require_leader(require_settled=True)
        self.propose(command_id=command_id, set_evacuation=evacuation)

    def agent_report(self, report: ttypes.AgentReport) -> ttypes.AgentReply:
        """Records an agent's report and renews its lease."""
        self._require_leader()
        reply = self._report_handler.handle(report)
        self._require_leader()
        return reply

    def agent_orders(self, request: ttypes.OrdersRequest) -> ttypes.OrdersReply:
        """Returns an agent's new orders, or none once the wait has timed out."""
        self._require_leader()
        wait_ms = min(max(request.wait_ms, 0), _ORDERS_WAIT_LIMIT_MS)
        self.hub.wait(
            request.agent,
            lambda: self._has_new_orders(request),
            role=ttypes.Role.AGENT,
            timeout_s=wait_ms / 1000,
        )
        with self._replica.lock:
            # Read once, as it may change at any moment.
            term = self._replica.term
            if self.orders.term != term:
                # A term began during the wait, and its orders are not computed yet.
                raise ttypes.NoQuorum()
            reply = self.orders.changes_since(
                self._replica.tables, request, term=term
            )
            known_version = (request.term, request.interference_version)
            if known_version != (term, self.interference.version):
                reply.interference_version = self.interference.version
                reply.interference = self.interference.published_pairs()
            members = self._replica.tables.members
            reply.control_addresses = [m.address for m in members]
        # This check comes last, as the process may have been frozen at any point above.
        self._require_leader()
        return reply

    def propose(
        self,
        *,
        command_id: str = "",
        term: int | None = None,
        **body: object,
    ) -> ttypes.CommandResult:
        """Proposes a command and waits until it is applied.

        Args:
            command_id: Identifies the command for retries; without one, its
                result is not stored.
            term: The only term in which it may be proposed; None for any term.
            **body: The body of the command, by the name of its field.

        Raises:
            NotLeader: Another process leads; nothing was done.
            NoQuorum: No majority answers; nothing was done.
            UnknownOutcomeError: The command may still be applied.
        """
        command = commands.new(command_id=command_id, **body)
        try:
            with job_metrics.COMMIT_SECONDS.time():
                return self._replica.propose(
                    command, timeout_s=_PROPOSE_TIMEOUT_S, term=term
                )
        except (errors.NotLeaderError, errors.NoQuorumError) as error:
            raise leadership.to_thrift_error(error) from error

    def refresh_orders(self, agents: set[str]) -> None:
        """Computes agents' orders again and wakes the agents whose orders changed.

        Called with the replica's lock held.
        """
        tables = self._replica.tables
        changed = {a for a in agents if self.orders.refresh(tables, a)}
        if changed:
            self.hub.wake(changed)

    def is_responsive(self, agent: str) -> bool:
        """Whether an agent's lease is live and was renewed recently.

        A run granted to another one waits until the lease has expired, and its loss
        would count against its task.
        """
        return self.leases.is_live(agent) and self.leases.was_renewed_within(
            agent, unresponsive_agents.UNRENEWED_S
        )

    def pop_changed_agents(self) -> set[str]:
        """Returns the agents whose runs changed since the last call.

        Called with the replica's lock held.
        """
        touched, self._changed_agents = self._changed_agents, set()
        return touched

    def _has_new_orders(self, request: ttypes.OrdersRequest) -> bool:
        if not self._replica.is_leader:
            return True
        current = (self._replica.term, self.orders.version(request.agent))
        return (request.term, request.version) != current

    def _find_queue(
        self, address: ttypes.JobAddress
    ) -> ttypes.Queue | ttypes.JobReply:
        """Returns the queue of an address, or the reply if there is none."""
        routing = self._replica.tables.jobs.routing
        if not routing.document:
            return ttypes.JobReply(outcome=ttypes.JobOutcome.NO_ROUTING)
        queue = self._queue_index.find(routing, address)
        if queue is None:
            return ttypes.JobReply(outcome=ttypes.JobOutcome.NO_QUEUE)
        return queue

    def _find_job(self, address: ttypes.JobAddress) -> ttypes.JobRecord | None:
        job_id = queue_index.job_id_of(address)
        return self._replica.tables.jobs.jobs.get(job_id)

    def _on_applied(self, command: ttypes.Command) -> None:
        jobs = self._replica.tables.jobs
        self.unresponsive_agents.observe_command(command)
        agents = jobs.pop_changed_agents()
        if self.led_term != self._replica.term:
            # Only the leader needs this; a new leader computes everything anew.
            return
        self._changed_agents |= agents
        self.refresh_orders(agents)
        self._event_logger.log_command(self._replica.tables, command)
        if self.orders.refresh_evacuations(self._replica.tables):
            self.hub.wake_all()
            self._on_change()
        if jobs.changed_jobs:
            self._on_change()

    def _require_leader(self, *, require_settled: bool = False) -> None:
        """Checks that this process leads, and prepares it for a new term.

        Args:
            require_settled: Whether the group must no longer wait for members.

        Raises:
            NotLeader: This process does not lead.
            NoQuorum: The group still waits for members.
        """
        if not self._replica.is_leader:
            raise leadership.not_leader_error(
                self._replica, referral_address=self._referral_address
            )
        self.become_leader()
        if require_settled and not self._is_settled():
            raise ttypes.NoQuorum()
