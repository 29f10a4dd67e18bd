"""Handles agents' heartbeats at the leader: leases, run events and endpoints.

A lease is granted only if the agent is the newest incarnation of its name, the
heartbeat is newer than the previous one, the agent's worker responds, and no loss of
the worker's runs remains to be recorded.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time

import prometheus_client

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.configuration import (
    endpoint_registry as endpoint_registry_module,
)
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.coordination.learning import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_HEARTBEATS = prometheus_client.Counter(
    "marigoldsill_heartbeats", "Heartbeats by what came of them.", ["outcome"]
)
# Kinds of run ends that are known only to the worker that had the run.
_WORKER_REPORTED_ENDS = frozenset(
    {ttypes.RunEventKind.COMPLETED, ttypes.RunEventKind.FAILED}
)


class HeartbeatHandler:
    """Handles heartbeats while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        leases: leases_module.LeaseTable,
        endpoints: endpoint_registry_module.EndpointRegistry,
        usage: usage_module.UsageTable,
        propose: Callable[..., ttypes.CommandResult],
        orders_version: Callable[[str], int],
        routes_changed: Callable[[], None],
    ):
        """Initializes the handler.

        Args:
            replica: The replicated state.
            leases: The leases granted by this leader.
            endpoints: The endpoints announced to this leader.
            usage: The table that usage measurements are added to.
            propose: Proposes a command; its body is the keyword argument named
                after the command's field.
            orders_version: Returns the version of an agent's orders; must be called
                with the replica's lock held.
            routes_changed: Called when endpoints have changed.
        """
        self._replica = replica
        self._leases = leases
        self._endpoints = endpoints
        self._usage = usage
        self._propose = propose
        self._orders_version = orders_version
        self._routes_changed = routes_changed
        self._lock = threading.Lock()
        self._sequences: dict[str, tuple[int, int]] = {}

    def reset(self) -> None:
        """Discards the sequence numbers of heartbeats from earlier terms."""
        with self._lock:
            self._sequences.clear()

    def handle(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Records what an agent reports, and grants it a lease if allowed."""
        term = self._replica.term
        with self._replica.lock:
            known = self._replica.tables.workers.get(heartbeat.agent)
        if known is not None and heartbeat.incarnation < known.incarnation:
            return self._refuse_replaced(heartbeat, term, known.incarnation)
        if not self._record_if_newest(heartbeat):
            return _refusal(term, "out_of_order")
        if heartbeat.worker is not None:
            self._record_worker(heartbeat.worker, known)
        elif not _is_registered(known, heartbeat):
            return _refusal(term, "unknown", resend_worker=True)
        if heartbeat.endpoints is not None:
            if self._endpoints.set_endpoints(
                heartbeat.agent, heartbeat.endpoints
            ):
                self._routes_changed()
        elif not self._endpoints.has_agent(heartbeat.agent):
            return _refusal(term, "unknown", resend_worker=True)
        if heartbeat.usage:
            self._usage.add(
                heartbeat.agent, heartbeat.usage, now_s=time.monotonic()
            )
        self._record_events(heartbeat.events)
        return self._build_reply(heartbeat, term)

    def _refuse_replaced(
        self, heartbeat: ttypes.Heartbeat, term: int, replaced_by: int
    ) -> ttypes.HeartbeatReply:
        """Records the run ends of a replaced agent's worker and refuses a lease.

        Without this, a job that had ended on that worker would be recorded as lost
        and run again on another one. Runs that the replaced agent reports as lost
        are ignored, because they may be on the other agent's worker.
        """
        self._record_events(
            e for e in heartbeat.events if e.kind in _WORKER_REPORTED_ENDS
        )
        reply = _refusal(term, "replaced", replaced_by=replaced_by)
        reply.acknowledged_events = _event_ids(heartbeat)
        return reply

    def _record_events(self, events: Iterable[ttypes.RunEvent]) -> None:
        recorded = list(events)
        if recorded:
            self._propose(
                record_run_events=ttypes.RecordRunEvents(events=recorded)
            )

    def _build_reply(
        self, heartbeat: ttypes.Heartbeat, term: int
    ) -> ttypes.HeartbeatReply:
        lease_ms, orders_version = 0, 0
        if not heartbeat.worker_silent:
            lease_ms, orders_version = self._grant_lease(heartbeat.agent, term)
        _HEARTBEATS.labels("lease" if lease_ms else "no_lease").inc()
        return ttypes.HeartbeatReply(
            term=term,
            lease_ms=lease_ms,
            orders_version=orders_version,
            acknowledged_events=_event_ids(heartbeat),
        )

    def _grant_lease(self, agent: str, term: int) -> tuple[int, int]:
        """Grants a lease if the agent may have one.

        Returns:
            The length of the lease in milliseconds, or 0 if none was granted, and
            the version of the agent's orders at that time.
        """
        with self._replica.lock:
            if not self._replica.is_leader or self._replica.term != term:
                return 0, 0
            tables = self._replica.tables
            lease_ms = tables.policy.lease_ms
            if not self._leases.renew(agent, lease_ms=lease_ms):
                if tables.tasks_on(agent):
                    return 0, 0
                self._leases.reopen(agent)
                self._leases.renew(agent, lease_ms=lease_ms)
            return lease_ms, self._orders_version(agent)

    def _record_if_newest(self, heartbeat: ttypes.Heartbeat) -> bool:
        """Returns whether a heartbeat is the newest; records its number if so."""
        number = (heartbeat.incarnation, heartbeat.sequence)
        with self._lock:
            if number <= self._sequences.get(heartbeat.agent, (0, 0)):
                return False
            self._sequences[heartbeat.agent] = number
            return True

    def _record_worker(
        self, worker: ttypes.Worker, known: ttypes.Worker | None
    ) -> None:
        worker.state, worker.reason = ttypes.WorkerState.ACTIVE, ""
        if known is not None:
            worker.draining = known.draining
        if known is not None and known.state != ttypes.WorkerState.LOST:
            worker.state, worker.reason = known.state, known.reason
        if worker != known:
            self._propose(put_worker=ttypes.PutWorker(worker=worker))
            logs.event(
                "worker_registered",
                worker=worker.name,
                incarnation=worker.incarnation,
                cpu_millicores=worker.capacity.cpu_millicores,
            )


def _event_ids(heartbeat: ttypes.Heartbeat) -> list[int]:
    return [event.event_id for event in heartbeat.events]


def _is_registered(
    known: ttypes.Worker | None, heartbeat: ttypes.Heartbeat
) -> bool:
    return (
        known is not None
        and known.incarnation == heartbeat.incarnation
        and known.state != ttypes.WorkerState.LOST
    )


def _refusal(
    term: int,
    outcome: str,
    *,
    resend_worker: bool = False,
    replaced_by: int = 0,
) -> ttypes.HeartbeatReply:
    _HEARTBEATS.labels(outcome).inc()
    return ttypes.HeartbeatReply(
        term=term,
        lease_ms=0,
        resend_worker=resend_worker,
        replaced_by=replaced_by,
    )
