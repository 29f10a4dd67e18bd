"""What the leader of control does for agents and entries."""

import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination import claim_service
from marigoldsill.coordination import configuration
from marigoldsill.coordination import endpoints as endpoints_module
from marigoldsill.coordination import leases as leases_module
from marigoldsill.coordination import orders
from marigoldsill.coordination import replica as replica_module
from marigoldsill.coordination import usage as usage_module
from marigoldsill.coordination import watch_hub
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import machine

_PROPOSE_TIMEOUT_S = 2.0
_WAIT_LIMIT_MS = 30_000


class ControlService:
    """Handles the thrift service `Control`.

    Attributes:
        leases: Leases that this process gave as leader.
        endpoints: Endpoints announced to it as leader.
        usage: Late measurements sent to it as leader.
    """

    def __init__(self, *, replica: replica_module.Replica):
        self._replica = replica
        self._hub = watch_hub.WatchHub()
        self._orders_version: dict[str, int] = {}
        self.leases = leases_module.LeaseTable()
        self.endpoints = endpoints_module.EndpointRegistry()
        self.usage = usage_module.UsageTable()
        replica.on_applied(self._on_applied)

    def become_leader(self) -> None:
        """Starts the soft state of a new leader over."""
        with self._replica.lock:
            lease_ms = self._replica.tables.policy.lease_ms
        self.leases.reset(lease_ms=lease_ms)
        self.endpoints.reset()
        self._hub.wake_all()

    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Renews an agent's lease and records what it reports."""
        self._require_leader()
        with self._replica.lock:
            known = self._replica.tables.workers.get(heartbeat.agent)
            lease_ms = self._replica.tables.policy.lease_ms
        if heartbeat.worker is not None:
            self._record_worker(heartbeat.worker, known)
        elif (
            known is None
            or known.incarnation != heartbeat.incarnation
            or known.state == ttypes.WorkerState.LOST
        ):
            return self._unknown_agent()
        if heartbeat.endpoints is not None:
            self._record_endpoints(heartbeat)
        elif not self.endpoints.knows(heartbeat.agent):
            return self._unknown_agent()
        self.usage.put(heartbeat.agent, heartbeat.usage)
        if heartbeat.events:
            self._propose(
                record_run_events=ttypes.RecordRunEvents(
                    events=heartbeat.events
                )
            )
        self._require_leader()
        self.leases.renew(heartbeat.agent, lease_ms=lease_ms)
        return ttypes.HeartbeatReply(
            term=self._replica.term,
            lease_ms=lease_ms,
            acknowledged_events=[e.event_id for e in heartbeat.events],
        )

    def watch(self, request: ttypes.WatchRequest) -> ttypes.WatchReply:
        """Answers when there is something new, or when the wait is over."""
        self._require_leader()
        if request.config_version == 0:
            self._confirm_leadership()
        wait_ms = min(max(request.wait_ms, 0), _WAIT_LIMIT_MS)
        self._hub.wait(
            request.subscriber,
            lambda: self._has_news(request),
            timeout_s=wait_ms / 1000,
        )
        self._require_leader()
        return self._watch_reply(request)

    def claim(self, claim: ttypes.PutClaim) -> ttypes.CommandResult:
        """Claims a key for a non-idempotent request."""
        self._require_leader()
        return claim_service.put(self._replica, claim)

    def end_claim(self, end: ttypes.EndClaim) -> ttypes.CommandResult:
        """Records how a claimed request ended."""
        self._require_leader()
        return claim_service.end(self._replica, end)

    def endpoints_changed(self) -> None:
        """Tells entries that routes changed."""
        self._hub.wake_all()

    def forget_agent(self, agent: str) -> None:
        """Takes an agent whose lease is over out of the routes."""
        if self.endpoints.remove(agent):
            self._hub.wake_all()

    def _watch_reply(self, request: ttypes.WatchRequest) -> ttypes.WatchReply:
        with self._replica.lock:
            tables = self._replica.tables
            term = self._replica.term
            reply = ttypes.WatchReply(
                term=term,
                config=configuration.delta_since(
                    tables, request.config_version, request.config_checksum
                ),
            )
            if request.role == ttypes.Role.AGENT:
                version = self._orders_version.get(request.subscriber, 0)
                if (request.orders_term, request.orders_version) != (
                    term,
                    version,
                ):
                    reply.orders = orders.for_worker(tables, request.subscriber)
                    reply.orders_version = version
            else:
                version = self.endpoints.version
                if (request.routes_term, request.routes_version) != (
                    term,
                    version,
                ):
                    reply.routes = self.endpoints.routes(tables.workers)
                    reply.routes_version = version
        return reply

    def _has_news(self, request: ttypes.WatchRequest) -> bool:
        if not self._replica.is_leader:
            return True
        tables = self._replica.tables
        if request.config_version != tables.state_version:
            return True
        if request.config_checksum != tables.config_checksum:
            return True
        term = self._replica.term
        if request.role == ttypes.Role.AGENT:
            version = self._orders_version.get(request.subscriber, 0)
            held = (request.orders_term, request.orders_version)
            return held != (term, version)
        held = (request.routes_term, request.routes_version)
        return held != (term, self.endpoints.version)

    def _on_applied(self, command: ttypes.Command) -> None:
        tables = self._replica.tables
        touched = tables.take_touched()
        for worker in touched:
            version = self._orders_version.get(worker, 0)
            self._orders_version[worker] = version + 1
        match machine.body_of(command):
            case ttypes.ConfirmPlan() | ttypes.PutWorker():
                self.endpoints.changed()
                self._hub.wake_all()
            case _:
                self._hub.wake(touched)

    def _record_worker(
        self, worker: ttypes.Worker, known: ttypes.Worker | None
    ) -> None:
        if known is not None and worker.incarnation < known.incarnation:
            raise ttypes.NotLeader()
        state = ttypes.WorkerState.ACTIVE
        reason = ""
        if known is not None and known.state != ttypes.WorkerState.LOST:
            state, reason = known.state, known.reason
        worker.state, worker.reason = state, reason
        if worker != known:
            self._propose(put_worker=ttypes.PutWorker(worker=worker))

    def _record_endpoints(self, heartbeat: ttypes.Heartbeat) -> None:
        if self.endpoints.put(heartbeat.agent, heartbeat.endpoints):
            self._hub.wake_all()

    def _unknown_agent(self) -> ttypes.HeartbeatReply:
        return ttypes.HeartbeatReply(
            term=self._replica.term, lease_ms=0, resend_worker=True
        )

    def _require_leader(self) -> None:
        if self._replica.is_leader:
            return
        leader = self._replica.leader
        raise ttypes.NotLeader(
            leader_address=leader.address if leader else "",
            leader_http_address=leader.http_address if leader else "",
        )

    def _confirm_leadership(self) -> None:
        try:
            self._replica.confirm_leadership(timeout_s=_PROPOSE_TIMEOUT_S)
        except errors.NotLeaderError as error:
            raise ttypes.NotLeader() from error
        except errors.NoQuorumError as error:
            raise ttypes.NoQuorum() from error

    def _propose(self, **body: object) -> ttypes.CommandResult:
        command = ttypes.Command(
            command_id=str(uuid.uuid4()),
            proposed_unix_ms=time.time_ns() // 1_000_000,
            **body,
        )
        try:
            return self._replica.propose(command, timeout_s=_PROPOSE_TIMEOUT_S)
        except errors.NotLeaderError as error:
            raise ttypes.NotLeader() from error
        except errors.NoQuorumError as error:
            raise ttypes.NoQuorum() from error
