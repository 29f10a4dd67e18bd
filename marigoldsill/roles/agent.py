"""The agent role: handles the runs and requests of one worker."""

import time

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.coordination.configuration import (
    subscriber as subscriber_module,
)
from marigoldsill.coordination.requests import admission as admission_module
from marigoldsill.coordination.requests import agent_service
from marigoldsill.coordination.requests import request_latency
from marigoldsill.coordination.runs import graceful_worker
from marigoldsill.coordination.runs import heartbeat_sender
from marigoldsill.coordination.runs import run_reconciler
from marigoldsill.coordination.runs import usage_collector
from marigoldsill.protocol import endpoint_announcements
from marigoldsill.protocol import message_validation
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import Agent as AgentThrift
from marigoldsill.protocol.generated import ttypes
from marigoldsill.roles import common
from marigoldsill.transport import http_server
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions
from marigoldsill.transport import thrift_server

_BODY_LIMIT_BYTES = 1 << 20
_HTTP_THREADS_COUNT = 8
# Minimum time that a stopping agent keeps answering. Entries still send requests until
# they learn of the drain; the agent refuses these, and entries try other agents.
_DRAIN_NOTICE_S = 1.0
_POLL_S = 0.05


class Agent:
    """An agent process.

    Attributes:
        http_address: Address at which endpoints announce themselves.
        thrift_address: Address to which entries send requests.
    """

    def __init__(self, settings: settings_module.AgentSettings):
        self._settings = settings
        self._partitions = network_partitions.NetworkPartitions(
            own_name=settings.name
        )
        self._worker = worker_interface.HttpWorker(base_url=settings.worker_url)
        latency = request_latency.RequestLatency()
        self._usage = usage_collector.UsageCollector(
            worker=self._worker, latency=latency
        )
        self._admission = admission_module.AdmissionController(
            queue_count=settings.queue_count
        )
        self._runs = run_reconciler.RunReconciler(
            worker=graceful_worker.GracefulWorker(
                worker=self._worker,
                admission=self._admission,
                drain_limit_s=settings.drain_limit_s,
            ),
            checkpoint_interval_s=settings.checkpoint_interval_s,
            on_event=lambda: self._heartbeats.wake(),
        )
        self._subscriber = subscriber_module.Subscriber(
            name=settings.name,
            role=ttypes.Role.AGENT,
            control_addresses=settings.control_addresses,
            on_reply=self._on_reply,
            partitions=self._partitions,
            get_incarnation=lambda: self._heartbeats.incarnation,
        )
        self._thrift = thrift_server.ThriftServer(
            address=settings.thrift_address,
            connections_count=settings.threads_count,
            name=settings.name,
        )
        self._thrift.add_service(
            "agent",
            AgentThrift.Processor(
                message_validation.ValidatingHandler(
                    agent_service.AgentService(
                        admission=self._admission,
                        get_incarnation=lambda: self._heartbeats.incarnation,
                        latency=latency,
                    )
                )
            ),
        )
        self._http = http_server.HttpServer(
            address=settings.http_address,
            app=common.create_application(
                self._handle,
                is_ready=self._subscriber.ready.is_set,
                body_limit_bytes=_BODY_LIMIT_BYTES,
            ),
            threads_count=_HTTP_THREADS_COUNT,
        )
        self._heartbeats = heartbeat_sender.HeartbeatSender(
            agent=settings.name,
            control_addresses=settings.control_addresses,
            interval_s=settings.heartbeat_ms / 1000,
            reconciler=self._runs,
            usage_collector=self._usage,
            describe_worker=self._describe_worker,
            endpoints=self._admission.announced_endpoints,
            partitions=self._partitions,
        )
        self.http_address = self._http.address
        self.thrift_address = self._thrift.address

    def start(self) -> None:
        """Starts serving and sending heartbeats."""
        self._thrift.start()
        self._http.start()
        self._runs.start()
        self._subscriber.start()
        self._usage.start()
        self._heartbeats.start()
        logs.event(
            "started", http=self.http_address, thrift=self.thrift_address
        )

    def stop(self) -> None:
        """Refuses new requests, waits for those in flight, then stops serving."""
        self._admission.set_draining("stop", draining=True)
        self._heartbeats.wake()
        end_s = time.monotonic() + self._settings.drain_limit_s
        notice_end_s = time.monotonic() + _DRAIN_NOTICE_S
        while time.monotonic() < end_s and (
            sum(self._admission.request_counts())
            or time.monotonic() < notice_end_s
        ):
            time.sleep(_POLL_S)
        self._heartbeats.stop()
        self._usage.stop()
        self._subscriber.stop()
        self._runs.stop()
        self._thrift.stop()
        self._http.stop()
        logs.event("stopped")

    def _on_reply(self, reply: ttypes.WatchReply) -> None:
        if reply.orders is not None:
            self._runs.update_orders(
                reply.term, reply.orders_version, reply.orders
            )
        draining = self._subscriber.configuration.draining_workers
        self._admission.set_draining(
            "configuration", draining=self._settings.name in draining
        )

    def _handle(self, request: wrappers.Request) -> wrappers.Response:
        if request.path != "/endpoints" or request.method != "POST":
            raise errors.NotFoundError(
                f"no handler for {request.path!r}: expected POST '/endpoints'"
            )
        self._admission.replace_endpoints(
            endpoint_announcements.parse(request.get_data())
        )
        return common.json_response({})

    def _describe_worker(
        self, incarnation: int, capacity: ttypes.Resources
    ) -> ttypes.Worker:
        return ttypes.Worker(
            name=self._settings.name,
            data_centre=self._settings.data_centre,
            rack=self._settings.rack,
            capacity=capacity,
            agent_address=self.thrift_address,
            incarnation=incarnation,
        )


def run(settings: settings_module.AgentSettings) -> None:
    """Runs an agent until a stop signal."""
    common.run(lambda: Agent(settings))
