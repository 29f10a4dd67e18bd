"""What the leader of control does for agents and entries."""

import time
import uuid

from marigoldsill import errors
from marigoldsill.coordination import configuration
from marigoldsill.coordination import endpoints as endpoints_module
from marigoldsill.coordination import heartbeats as heartbeats_module
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
        led_term: The last term that it led; what it decides from leases holds
            only for that term.
    """

    def __init__(self, *, replica: replica_module.Replica):
        self._replica = replica
        self._hub = watch_hub.WatchHub()
        self.led_term = 0
        self._orders_version: dict[str, int] = {}
        self.leases = leases_module.LeaseTable()
        self.endpoints = endpoints_module.EndpointRegistry()
        self.usage = usage_module.UsageTable()
        self._heartbeats = heartbeats_module.Heartbeats(
            replica=replica,
            leases=self.leases,
            endpoints=self.endpoints,
            usage=self.usage,
            propose=self._propose,
            orders_version=lambda agent: self._orders_version.get(agent, 0),
            routes_changed=self._hub.wake_all,
        )
        replica.on_applied(self._on_applied)

    def become_leader(self) -> None:
        """Starts the soft state over, once for each term that is led.

        A process that lost its lead and has it again may not have noticed;
        meanwhile another leader may have renewed leases.
        """
        with self._replica.lock:
            term = self._replica.term
            if term == self.led_term:
                return
            self.led_term = term
            lease_ms = self._replica.tables.longest_lease_ms
        self._heartbeats.reset()
        self.leases.reset(lease_ms=lease_ms)
        self.endpoints.reset()
        self._hub.wake_all()

    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Renews an agent's lease and records what it reports."""
        self._require_leader()
        reply = self._heartbeats.take(heartbeat)
        self._require_leader()
        return reply

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
        return self._propose(put_claim=claim)

    def end_claim(self, end: ttypes.EndClaim) -> ttypes.CommandResult:
        """Records how a claimed request ended."""
        self._require_leader()
        return self._propose(end_claim=end)

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

    def _require_leader(self) -> None:
        if self._replica.is_leader:
            self.become_leader()
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
