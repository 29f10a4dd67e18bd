"""The thrift service of the control leader, for agents and entries."""

from collections.abc import Callable

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.configuration import (
    endpoint_registry as endpoint_registry_module,
)
from marigoldsill.coordination.configuration import watch_service
from marigoldsill.coordination.deciding import heartbeat_handler
from marigoldsill.coordination.deciding import watcher_absence
from marigoldsill.coordination.leadership import change_set
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.leadership import leadership
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.coordination.learning import usage as usage_module
from marigoldsill.coordination.requests import claim_service
from marigoldsill.protocol.generated import ttypes

_PROPOSE_TIMEOUT_S = 2.0


class ControlService:
    """Handles the thrift service `Control`.

    Attributes:
        leases: Leases that this process granted as leader.
        endpoints: Endpoints announced to this process as leader.
        usage: Delayed usage measurements sent to this process as leader.
        led_term: The last term that this process led. Decisions that it makes from
            leases are valid only in that term.
        watches: Serves the watch requests of agents and entries.
        wait_reason: Returns why a task waits, as of the leader's last decision
            about it.
        run_time_ms: Returns the expected run time of a job, in milliseconds, from
            the job's name and declared run time, as learnt by the leader.
        absent_watchers: Watchers that are absent for longer than their limit.
    """

    def __init__(self, *, replica: replica_module.Replica):
        self._replica = replica
        self.led_term = 0
        self.leases = leases_module.LeaseTable()
        self.endpoints = endpoint_registry_module.EndpointRegistry()
        self.usage = usage_module.UsageTable()
        self.watches = watch_service.WatchService(
            replica=replica, endpoints=self.endpoints
        )
        self._heartbeat_handler = heartbeat_handler.HeartbeatHandler(
            replica=replica,
            leases=self.leases,
            endpoints=self.endpoints,
            usage=self.usage,
            propose=self._propose,
            orders_version=self.watches.orders_version,
            routes_changed=self.watches.notify_routes_changed,
        )
        self.wait_reason: Callable[[str], str] = lambda task: ""
        self.run_time_ms: Callable[[str, int], float] = (
            lambda owner, declared_ms: declared_ms
        )
        self.absent_watchers: list[watcher_absence.WatcherAbsence] = []
        self._changes = change_set.ChangeSet()
        replica.on_applied(self._on_applied)

    def become_leader(self) -> None:
        """Resets the soft state, once for each term that this process leads.

        A process that lost the leadership and regained it may not have noticed, and
        another leader may have renewed leases in between.
        """
        with self._replica.lock:
            term = self._replica.term
            if term == self.led_term:
                return
            self.led_term = term
            lease_ms = self._replica.tables.longest_lease_ms
            agents = [
                worker.name
                for worker in self._replica.tables.workers.values()
                if worker.state != ttypes.WorkerState.LOST
            ]
        self._heartbeat_handler.reset()
        self.leases.reset(lease_ms=lease_ms)
        self.endpoints.reset(awaited_agents=agents)
        self.watches.reset()

    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Renews an agent's lease and records what it reports."""
        self._require_leader()
        reply = self._heartbeat_handler.handle(heartbeat)
        self._require_leader()
        return reply

    def watch(self, request: ttypes.WatchRequest) -> ttypes.WatchReply:
        """Replies when there is a newer version, or when the wait has timed out."""
        return self.watches.watch(request)

    def claim(self, claim: ttypes.PutClaim) -> ttypes.CommandResult:
        """Claims a key for a non-idempotent request."""
        self._require_leader()
        return claim_service.put_claim(self._replica, claim)

    def end_claim(self, end: ttypes.EndClaim) -> ttypes.CommandResult:
        """Records how a claimed request ended."""
        self._require_leader()
        return claim_service.end_claim(self._replica, end)

    def remove_agent(self, agent: str) -> None:
        """Removes an agent whose lease has expired from the routes."""
        if self.endpoints.remove_agent(agent):
            self.watches.notify_routes_changed()

    def take_changes(self) -> change_set.ChangeSet:
        """Returns what commands changed since the last call.

        The caller must hold the replica's lock.
        """
        taken, self._changes = self._changes, change_set.ChangeSet()
        return taken

    def _on_applied(self, command: ttypes.Command) -> None:
        tables = self._replica.tables
        workers = tables.pop_changed_workers()
        self._changes.add(
            command, workers=workers, tasks=tables.pop_changed_tasks()
        )
        self.watches.on_applied(command, workers)

    def _require_leader(self) -> None:
        if self._replica.is_leader:
            self.become_leader()
            return
        raise leadership.not_leader_error(self._replica)

    def _propose(self, **body: object) -> ttypes.CommandResult:
        command = commands.new(**body)
        try:
            return self._replica.propose(command, timeout_s=_PROPOSE_TIMEOUT_S)
        except (errors.NotLeaderError, errors.NoQuorumError) as error:
            raise leadership.to_thrift_error(error) from error
