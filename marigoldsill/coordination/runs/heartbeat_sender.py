"""Heartbeats of an agent, which renew its lease and report its events."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import threading
import time

import prometheus_client

from marigoldsill import errors
from marigoldsill.coordination.leadership import (
    control_addresses as control_addresses_module,
)
from marigoldsill.coordination.leadership import control_link
from marigoldsill.coordination.runs import lease_renewer
from marigoldsill.coordination.runs import run_reconciler
from marigoldsill.coordination.runs import (
    usage_collector as usage_collector_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import failpoints
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions

_CALL_TIMEOUT_S = 1.0
_MIN_INTERVAL_S = 0.02
_EVENTS_LIMIT = 100
_HEARTBEAT_SECONDS = prometheus_client.Histogram(
    "marigoldsill_heartbeat_seconds",
    "Time from a heartbeat's sending to its answer.",
    buckets=(0.005, 0.02, 0.1, 0.5, 1.0),
)


class HeartbeatSender:
    """Sends heartbeats at an interval, and at once when there is an event."""

    def __init__(
        self,
        *,
        agent: str,
        control_addresses: Sequence[str],
        interval_s: float,
        reconciler: run_reconciler.RunReconciler,
        usage_collector: usage_collector_module.UsageCollector,
        describe_worker: Callable[[int, ttypes.Resources], ttypes.Worker],
        endpoints: Callable[[], list[ttypes.EndpointInfo]],
        partitions: network_partitions.NetworkPartitions | None = None,
    ):
        """Creates a sender that has not started.

        Args:
            agent: The worker's name.
            control_addresses: Thrift addresses of the control processes.
            interval_s: Maximum time between heartbeats, in seconds.
            reconciler: Source of the events, and receiver of the leases.
            usage_collector: Source of the measurements.
            describe_worker: Returns the worker's record for an incarnation and
                a capacity.
            endpoints: Returns the endpoints announced at present.
            partitions: Simulated network partitions, for tests.
        """
        self._agent = agent
        self._interval_s = interval_s
        self._reconciler = reconciler
        self._usage_collector = usage_collector
        self._describe_worker = describe_worker
        self._endpoints = endpoints
        self._link = control_link.ControlLink(
            addresses=control_addresses_module.ControlAddresses(
                control_addresses
            ),
            partitions=partitions,
        )
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._must_resend = True
        self._has_lease = False
        self._is_replaced = False
        self._sent_endpoints: list[ttypes.EndpointInfo] | None = None
        self._sent_capacity: ttypes.Resources | None = None
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "heartbeat")

    @property
    def incarnation(self) -> int:
        """Identifies this start of the agent; it is higher than all earlier ones."""
        return self._incarnation

    def start(self) -> None:
        """Starts the thread that sends heartbeats."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stops sending."""
        self._stopping.set()
        self._wake.set()
        self._link.close()
        self._pool.shutdown(wait=False)

    def wake(self) -> None:
        """Sends the next heartbeat at once."""
        self._wake.set()

    def _loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self._send_heartbeat()
            except errors.MarigoldsillError as error:
                logs.event(
                    "heartbeat_failed", level="WARNING", reason=error.message
                )
            except Exception as error:  # must continue sending
                logs.event(
                    "heartbeat_failed", level="ERROR", reason=repr(error)
                )
            self._stopping.wait(_MIN_INTERVAL_S)
            self._wake.wait(self._interval_s)
            self._wake.clear()

    def _send_heartbeat(self) -> None:
        capacity = self._reconciler.worker_capacity.total
        if self._is_replaced:
            self._report_last_events()
            return
        if capacity is None:
            return
        endpoints = self._endpoints()
        heartbeat = self._build_heartbeat(capacity, endpoints)
        sent_ns = time.monotonic_ns()
        with _HEARTBEAT_SECONDS.time():
            reply = self._link.call(
                "heartbeat", heartbeat, timeout_s=_CALL_TIMEOUT_S
            )
        failpoints.reach("heartbeat.answered")
        if reply.replaced_by:
            self._handle_replaced(reply.replaced_by)
            return
        self._must_resend = reply.resend_worker
        if reply.resend_worker:
            self._wake.set()
            return
        self._sent_endpoints, self._sent_capacity = endpoints, capacity
        self._reconciler.acknowledge(reply.acknowledged_events)
        if not reply.lease_ms:
            return
        self._has_lease = True
        self._reconciler.update_lease(
            lease_renewer.AgentLease(
                end_ns=sent_ns + reply.lease_ms * 1_000_000,
                length_ms=reply.lease_ms,
                term=reply.term,
                min_orders_version=reply.orders_version,
            )
        )

    def _report_last_events(self) -> None:
        """Reports ends of runs that started before this agent was replaced."""
        events = self._reconciler.pending_events(limit=_EVENTS_LIMIT)
        if not events:
            return
        self._sequence += 1
        heartbeat = ttypes.Heartbeat(
            agent=self._agent,
            incarnation=self._incarnation,
            sequence=self._sequence,
            events=events,
            worker_silent=True,
        )
        reply = self._link.call(
            "heartbeat", heartbeat, timeout_s=_CALL_TIMEOUT_S
        )
        self._reconciler.acknowledge(reply.acknowledged_events)

    def _build_heartbeat(
        self,
        capacity: ttypes.Resources,
        endpoints: list[ttypes.EndpointInfo],
    ) -> ttypes.Heartbeat:
        self._sequence += 1
        includes_worker = self._must_resend or capacity != self._sent_capacity
        includes_endpoints = (
            self._must_resend or endpoints != self._sent_endpoints
        )
        return ttypes.Heartbeat(
            agent=self._agent,
            incarnation=self._incarnation,
            sequence=self._sequence,
            worker=self._describe_worker(self._incarnation, capacity)
            if includes_worker
            else None,
            endpoints=endpoints if includes_endpoints else None,
            events=self._reconciler.pending_events(limit=_EVENTS_LIMIT),
            usage=self._usage_collector.take_measurements(),
            worker_silent=self._reconciler.renewer.is_worker_unresponsive,
        )

    def _handle_replaced(self, incarnation: int) -> None:
        if not self._has_lease:
            # The VM's wall clock went back after the previous agent's start.
            self._incarnation = incarnation + 1
            self._wake.set()
            return
        self._is_replaced = True
        logs.event(
            "replaced",
            level="ERROR",
            reason="another agent with this name has started; the runs of "
            "this agent stop when their leases expire",
            incarnation=incarnation,
        )
