"""Answers the watch requests of agents and entries at the leader of control."""

import itertools
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.configuration import configuration
from marigoldsill.coordination.configuration import (
    endpoint_registry as endpoint_registry_module,
)
from marigoldsill.coordination.configuration import orders
from marigoldsill.coordination.configuration import watch_hub
from marigoldsill.coordination.leadership import leadership
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

RECENT_CALLS_S = 30.0
_CONFIRM_TIMEOUT_S = 2.0
_POLL_TIMEOUT_LIMIT_MS = 30_000


class WatchService:
    """Answers long polls with the changes that a subscriber lacks.

    Attributes:
        hub: The subscribers that wait.
        delta_cache: Encoded deltas of the configuration, shared by subscribers.
    """

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        endpoints: endpoint_registry_module.EndpointRegistry,
    ):
        self._replica = replica
        self._endpoints = endpoints
        self._orders_version: dict[str, int] = {}
        self._config = _config_version(replica.tables)
        self._called_lock = threading.Lock()
        self._last_calls_s: dict[str, float] = {}
        self.hub = watch_hub.WatchHub()
        self.delta_cache = configuration.DeltaCache()

    def reset(self) -> None:
        """Resets the service for a new leader."""
        with self._replica.lock:
            self._config = _config_version(self._replica.tables)
        self.hub.wake_all()

    def notify_routes_changed(self) -> None:
        """Wakes entries because routes changed."""
        self.hub.wake_role(ttypes.Role.ENTRY)

    def recently_called_services(self) -> set[str]:
        """Returns the services that entries received requests for lately."""
        oldest_s = time.monotonic() - RECENT_CALLS_S
        with self._called_lock:
            return {
                n for n, at_s in self._last_calls_s.items() if at_s > oldest_s
            }

    def watch(self, request: ttypes.WatchRequest) -> ttypes.WatchReply:
        """Answers once there are changes, or after the wait that was requested."""
        self._require_leader()
        self._record_calls(request.called_services)
        wait_ms = min(max(request.wait_ms, 0), _POLL_TIMEOUT_LIMIT_MS)
        self.hub.wait(
            request.subscriber,
            lambda: self._has_changes(request),
            role=request.role,
            timeout_s=wait_ms / 1000,
        )
        if request.config_version == 0:
            # The subscriber may have been restarted. It then knows no version or
            # term by which it could refuse an older leader.
            self._confirm_leadership()
        reply = self._build_reply(request)
        # This check is last, as the process may have been frozen at any time before.
        self._require_leader()
        return reply

    def _build_reply(self, request: ttypes.WatchRequest) -> ttypes.WatchReply:
        with self._replica.lock:
            tables = self._replica.tables
            term = self._replica.term
            reply = ttypes.WatchReply(
                term=term,
                encoded_config=self.delta_cache.encode_delta(
                    tables, request.config_version, request.config_checksum
                ),
            )
            if not self._has_list_changes(request):
                return reply
            version = self._list_version(request)
            if request.role == ttypes.Role.AGENT:
                reply.orders = orders.build_orders(tables, request.subscriber)
                reply.orders_version = version
            else:
                reply.routes = self._endpoints.build_routes(tables)
                reply.routes_version = version
            return reply

    def _has_changes(self, request: ttypes.WatchRequest) -> bool:
        if not self._replica.is_leader:
            return True
        tables = self._replica.tables
        held = (request.config_version, request.config_checksum)
        current = _config_version(tables)
        if held != current and held[0] <= current[0]:
            return True
        return self._has_list_changes(request)

    def _has_list_changes(self, request: ttypes.WatchRequest) -> bool:
        """Whether a subscriber's orders or routes are to be replaced."""
        term = self._replica.term
        held_term, held_version = _held_list_version(request)
        if (held_term, held_version) == (term, self._list_version(request)):
            return False
        if request.role == ttypes.Role.AGENT:
            return not self._is_replaced(request)
        # Routes of an earlier leader serve better than a part of this one's.
        is_of_earlier_leader = held_version and held_term < term
        return self._endpoints.is_complete or not is_of_earlier_leader

    def _is_replaced(self, request: ttypes.WatchRequest) -> bool:
        """Whether a request is from an agent that a newer one of its name replaced.

        The newer one starts the runs that are granted from then on.
        """
        if request.role != ttypes.Role.AGENT or not request.incarnation:
            return False
        worker = self._replica.tables.workers.get(request.subscriber)
        return worker is not None and request.incarnation < worker.incarnation

    def orders_version(self, agent: str) -> int:
        """Returns the current version of an agent's orders.

        The caller must hold the replica's lock.
        """
        return self._orders_version.get(agent, 0)

    def _list_version(self, request: ttypes.WatchRequest) -> int:
        """Returns the current version of the orders or routes of a subscriber."""
        if request.role == ttypes.Role.AGENT:
            return self.orders_version(request.subscriber)
        return self._endpoints.version

    def on_applied(self, command: ttypes.Command, touched: set[str]) -> None:
        """Wakes the subscribers that an applied command concerns.

        The caller must hold the replica's lock.

        Args:
            command: The command.
            touched: The workers whose orders it changed.
        """
        tables = self._replica.tables
        for worker in touched:
            version = self._orders_version.get(worker, 0)
            self._orders_version[worker] = version + 1
        config = _config_version(tables)
        if config != self._config:
            self._config = config
            if _has_drain_changed(tables):
                self._endpoints.mark_changed()
            self.hub.wake_all()
            return
        if isinstance(state_machine.body_of(command), ttypes.PutWorker):
            self._endpoints.mark_changed()
            self.notify_routes_changed()
        self.hub.wake(touched)

    def _record_calls(self, services: list[str]) -> None:
        now_s = time.monotonic()
        with self._called_lock:
            self._last_calls_s |= dict.fromkeys(services, now_s)
            oldest_s = now_s - RECENT_CALLS_S
            self._last_calls_s = {
                n: at_s
                for n, at_s in self._last_calls_s.items()
                if at_s > oldest_s
            }

    def _require_leader(self) -> None:
        if self._replica.is_leader:
            return
        raise leadership.not_leader_error(self._replica)

    def _confirm_leadership(self) -> None:
        try:
            self._replica.confirm_leadership(timeout_s=_CONFIRM_TIMEOUT_S)
        except (errors.NotLeaderError, errors.NoQuorumError) as error:
            raise leadership.to_thrift_error(error) from error


def _config_version(tables: tables_module.Tables) -> tuple[int, int]:
    """Returns the version and the checksum of the configuration."""
    return tables.config_version, tables.config_checksum


def _has_drain_changed(tables: tables_module.Tables) -> bool:
    """Whether the current configuration version drains or undrains a worker."""
    latest = itertools.takewhile(
        lambda v: v.version == tables.config_version,
        reversed(tables.config_versions.values()),
    )
    return any(v.subject.startswith("worker/") for v in latest)


def _held_list_version(request: ttypes.WatchRequest) -> tuple[int, int]:
    """Returns term and version of the orders or routes that a subscriber has."""
    if request.role == ttypes.Role.AGENT:
        return request.orders_term, request.orders_version
    return request.routes_term, request.routes_version
