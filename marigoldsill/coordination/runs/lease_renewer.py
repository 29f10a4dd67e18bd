"""Renews the leases of a worker's runs, independently of the agent's other work.

Renewal has a thread of its own, so that a checkpoint or a start that hangs does
not let the leases of other runs expire.
"""

from concurrent import futures
import dataclasses
import threading
import time

import prometheus_client

from marigoldsill import errors
from marigoldsill.protocol import worker_interface
from marigoldsill.transport import logs

_RENEWAL_INTERVAL_S = 1.0
_UNRESPONSIVE_LEASE_RATIO = 0.5
_WORKER_UNRESPONSIVE = prometheus_client.Gauge(
    "marigoldsill_worker_silent", "1 while the worker renews no lease."
)


@dataclasses.dataclass(slots=True, frozen=True)
class AgentLease:
    """A lease of an agent, granted by control.

    Attributes:
        end_ns: When it expires, on the monotonic clock; its length counts from
            the sending of the heartbeat that requested it.
        length_ms: Its length when it was granted.
        term: Term of the leader that granted it.
        min_orders_version: Version of the orders in force when it was granted;
            a run may be started only by these orders or newer ones.
    """

    end_ns: int = 0
    length_ms: int = 0
    term: int = 0
    min_orders_version: int = 0

    @property
    def is_live(self) -> bool:
        """Whether it has not expired."""
        return time.monotonic_ns() < self.end_ns

    def covers_orders(self, *, term: int, version: int) -> bool:
        """Whether orders are new enough to be followed under this lease."""
        return (term, version) >= (self.term, self.min_orders_version)


class LeaseRenewer:
    """Holds the agent's lease and renews the leases of its worker's runs."""

    def __init__(self, *, worker: worker_interface.WorkerInterface):
        self._worker = worker
        self._lock = threading.Lock()
        self._lease = AgentLease()
        self._last_answer_s: float | None = None
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(1, "lease-renewer")

    @property
    def lease(self) -> AgentLease:
        """The current lease, which may have expired."""
        return self._lease

    @property
    def is_worker_unresponsive(self) -> bool:
        """Whether the worker has not renewed for half the length of the lease.

        Control then grants no further lease, and relies on the runs stopping
        when their own leases expire.
        """
        last_answer_s, length_ms = self._last_answer_s, self._lease.length_ms
        if last_answer_s is None or not length_ms:
            return False
        limit_s = length_ms / 1000 * _UNRESPONSIVE_LEASE_RATIO
        is_unresponsive = time.monotonic() - last_answer_s > limit_s
        _WORKER_UNRESPONSIVE.set(is_unresponsive)
        return is_unresponsive

    def start(self) -> None:
        """Starts the thread that renews leases."""
        self._pool.submit(self._loop)

    def stop(self) -> None:
        """Stops renewing; the runs continue until their leases expire."""
        self._stopping.set()
        self._wake.set()
        self._pool.shutdown(wait=False)

    def update_lease(self, lease: AgentLease) -> None:
        """Sets a lease granted by control; one that is not later is ignored."""
        with self._lock:
            if self._last_answer_s is None:
                self._last_answer_s = time.monotonic()
            if (lease.term, lease.end_ns) <= (
                self._lease.term,
                self._lease.end_ns,
            ):
                return
            self._lease = lease
        self._wake.set()

    def _loop(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait(_RENEWAL_INTERVAL_S)
            self._wake.clear()
            try:
                self._renew_on_worker()
            except errors.MarigoldsillError as error:
                logs.event(
                    "renewal_failed", level="WARNING", reason=error.message
                )
            except Exception as error:  # must continue renewing
                logs.event("renewal_failed", level="ERROR", reason=repr(error))

    def _renew_on_worker(self) -> None:
        lease = self._lease
        if not lease.length_ms:
            return
        # An expired lease is sent too: the call then only checks whether the
        # worker answers.
        self._worker.renew(lease_end_ns=lease.end_ns)
        self._last_answer_s = time.monotonic()
