"""Keeps the configuration and the routes or orders of a process up to date."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import threading
import time

import prometheus_client

from marigoldsill import errors
from marigoldsill.coordination.configuration import (
    configuration as configuration_module,
)
from marigoldsill.coordination.leadership import (
    control_addresses as control_addresses_module,
)
from marigoldsill.coordination.leadership import control_link
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions

_POLL_TIMEOUT_MS = 2_000
_REPLY_MARGIN_S = 1.0
_REPLY_TIMEOUT_S = _POLL_TIMEOUT_MS / 1000 + _REPLY_MARGIN_S
_RETRY_DELAY_S = 0.1
_RECENT_CALLS_S = 30.0

_VERSION_GAUGE = prometheus_client.Gauge(
    "marigoldsill_config_version",
    "Version of the configuration in force here.",
)
_REFUSALS_COUNTER = prometheus_client.Counter(
    "marigoldsill_config_refused_total",
    "Answers refused: of an older leader, older, late, or failing their check.",
)


class Subscriber:
    """Watches control for one process, with long polls in a thread of its own.

    Attributes:
        configuration: The configuration in force in this process.
        ready: Set once the configuration was read from a confirmed leader.
    """

    def __init__(
        self,
        *,
        name: str,
        role: ttypes.Role,
        control_addresses: Sequence[str],
        on_reply: Callable[[ttypes.WatchReply], None],
        partitions: network_partitions.NetworkPartitions | None = None,
        clock_s: Callable[[], float] = time.monotonic,
        get_incarnation: Callable[[], int] = lambda: 0,
    ):
        self.configuration = configuration_module.Configuration()
        self.ready = threading.Event()
        self._name = name
        self._role = role
        self._on_reply = on_reply
        self._clock_s = clock_s
        self._get_incarnation = get_incarnation
        self._link = control_link.ControlLink(
            addresses=control_addresses_module.ControlAddresses(
                control_addresses
            ),
            partitions=partitions,
        )
        # Term and version of the routes or orders that were last received.
        self._list_term = 0
        self._list_version = 0
        self._term = 0
        self._last_calls_s: dict[str, float] = {}
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "subscriber")

    def start(self) -> None:
        """Starts watching."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Stops watching."""
        self._stopping.set()
        self._link.close()
        self._pool.shutdown(wait=False)

    def record_call(self, service: str) -> None:
        """Records that a service had a caller, which control is informed of."""
        self._last_calls_s[service] = time.monotonic()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._watch_once()
            except errors.MarigoldsillError as error:
                logs.event("watch_waits", level="DEBUG", reason=error.message)
                self._stopping.wait(_RETRY_DELAY_S)
            except Exception as error:  # the thread must continue
                logs.event("watch_failed", level="ERROR", reason=repr(error))
                self._stopping.wait(_RETRY_DELAY_S)

    def _watch_once(self) -> None:
        start_s = self._clock_s()
        reply = self._link.call(
            "watch", self._build_request(), timeout_s=_REPLY_TIMEOUT_S
        )
        if self._clock_s() - start_s > _REPLY_TIMEOUT_S:
            # This process was frozen, so the reply may be out of date.
            _REFUSALS_COUNTER.inc()
            logs.event("late_answer", level="WARNING", term=reply.term)
            return
        self._apply_reply(reply)

    def _build_request(self) -> ttypes.WatchRequest:
        current = self.configuration
        return ttypes.WatchRequest(
            role=self._role,
            subscriber=self._name,
            config_version=0 if current.needs_full_delta else current.version,
            config_checksum=0 if current.needs_full_delta else current.checksum,
            routes_term=self._list_term,
            routes_version=self._list_version,
            orders_term=self._list_term,
            orders_version=self._list_version,
            wait_ms=_POLL_TIMEOUT_MS if self.ready.is_set() else 0,
            incarnation=self._get_incarnation(),
            called_services=self._recently_called(),
        )

    def _recently_called(self) -> list[str]:
        # All of them in each request, because a new leader knows of none.
        oldest_s = time.monotonic() - _RECENT_CALLS_S
        last_calls_s = dict(self._last_calls_s)
        return sorted(n for n, at_s in last_calls_s.items() if at_s > oldest_s)

    def _apply_reply(self, reply: ttypes.WatchReply) -> None:
        if reply.term < self._term:
            _REFUSALS_COUNTER.inc()
            logs.event("stale_leader", term=reply.term, known=self._term)
            self._link.switch_address()
            return
        self._term = reply.term
        delta = codec.decode(ttypes.ConfigDelta(), reply.encoded_config)
        refused_count = self.configuration.refused_count
        if self.configuration.apply(delta, term=reply.term):
            _VERSION_GAUGE.set(delta.version)
            logs.event("config_in_force", version=delta.version)
        _REFUSALS_COUNTER.inc(self.configuration.refused_count - refused_count)
        if self.configuration.needs_full_delta:
            logs.event(
                "config_check_failed", level="ERROR", delta=delta.version
            )
            return
        if reply.routes is not None or reply.orders is not None:
            self._list_term = reply.term
            self._list_version = max(reply.routes_version, reply.orders_version)
        self._on_reply(reply)
        if self.configuration.is_loaded:
            self.ready.set()
