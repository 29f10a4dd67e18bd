"""Pool of an entry's connections to agents."""

import collections
from concurrent import futures
import threading

from marigoldsill import errors
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.protocol.generated import Agent
from marigoldsill.transport import network_partitions
from marigoldsill.transport import thrift_client

SERVICE_NAME = "agent"
_IDLE_PER_AGENT_LIMIT = 64
_CANCEL_TIMEOUT_S = 0.5
_CANCEL_THREADS = 4
_PENDING_CANCELS_LIMIT = 200


class AgentConnectionPool:
    """Pools connections by agent address; each carries one call at a time."""

    def __init__(
        self, *, partitions: network_partitions.NetworkPartitions | None = None
    ):
        self._partitions = partitions
        self._lock = threading.Lock()
        self._idle: dict[str, list[thrift_client.Connection]] = (
            collections.defaultdict(list)
        )
        self._cancel_executor = futures.ThreadPoolExecutor(
            _CANCEL_THREADS, "cancel"
        )
        self._pending_cancels_count = 0

    def acquire(self, address: str) -> thrift_client.Connection:
        """Returns an idle connection or a new one, for exclusive use."""
        with self._lock:
            idle = self._idle[address]
            if idle:
                return idle.pop()
        return thrift_client.Connection(
            address=address,
            service_name=SERVICE_NAME,
            client_class=Agent.Client,
            partitions=self._partitions,
        )

    def release(self, connection: thrift_client.Connection) -> None:
        """Returns a connection to the pool after a call without a failure."""
        with self._lock:
            idle = self._idle[connection.address]
            if len(idle) < _IDLE_PER_AGENT_LIMIT:
                idle.append(connection)
                return
        connection.close()

    def retain_agents(self, agent_addresses: set[str]) -> None:
        """Closes idle connections to all agents except the given ones."""
        with self._lock:
            removed = [
                connection
                for address in self._idle.keys() - agent_addresses
                for connection in self._idle.pop(address)
            ]
        for connection in removed:
            connection.close()

    def send_cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Cancels an attempt at an agent, in the background.

        The cancellation uses another connection, as the attempt's is closed. If
        too many cancellations are pending, none is sent, and the attempt ends
        at its deadline on the agent.
        """
        with self._lock:
            if self._pending_cancels_count >= _PENDING_CANCELS_LIMIT:
                return
            self._pending_cancels_count += 1
        request_metrics.ABANDONED_ATTEMPTS.inc()
        try:
            self._cancel_executor.submit(
                self._call_cancel, address, request_id, attempt
            )
        except RuntimeError:  # the process is stopping
            return

    def stop(self) -> None:
        """Drops pending cancellations and closes all idle connections."""
        self._cancel_executor.shutdown(wait=False, cancel_futures=True)
        self.retain_agents(set())

    def _call_cancel(self, address: str, request_id: str, attempt: int) -> None:
        try:
            connection = self.acquire(address)
            connection.call(
                "cancel", request_id, attempt, timeout_s=_CANCEL_TIMEOUT_S
            )
            self.release(connection)
        except errors.TransportError:
            return
        finally:
            with self._lock:
                self._pending_cancels_count -= 1
