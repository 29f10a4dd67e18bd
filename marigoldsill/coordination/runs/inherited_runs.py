"""Runs that an earlier agent of the same name may have started."""

import threading
import time

from marigoldsill.coordination.leadership import leases
from marigoldsill.coordination.runs import lease_renewer
from marigoldsill.coordination.runs import run_events


class InheritedRuns:
    """Tracks runs that an earlier agent of the same name may have started.

    These are the runs in the orders that this agent receives first, up to those that
    its first lease covers. Later runs were granted after this agent had replaced the
    earlier one, which has received no orders since.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._runs: set[run_events.RunId] = set()
        self._orders_position: tuple[int, int] | None = None
        self._first_lease: lease_renewer.AgentLease | None = None
        self._is_complete = False
        self._settled_after_ns: int | None = None

    def __contains__(self, run: run_events.RunId) -> bool:
        """Whether an earlier agent may have started a run."""
        return run in self._runs

    def record_orders(
        self, term: int, version: int, runs: set[run_events.RunId]
    ) -> None:
        """Records the runs of orders, unless earlier ones covered the first lease."""
        with self._lock:
            if self._is_complete:
                return
            self._runs |= runs
            self._orders_position = (term, version)
            self._complete_if_covered()

    def record_lease(self, lease: lease_renewer.AgentLease) -> None:
        """Begins the wait for earlier requests with the first lease."""
        with self._lock:
            if self._first_lease is not None or not lease.length_ms:
                return
            self._first_lease = lease
            # Until then, another agent of the same name may still hold a
            # lease, and what it requested may still take effect.
            longest_lease_s = lease.length_ms / 1000 * leases.DRIFT_RATIO
            wait_s = longest_lease_s + leases.MARGIN_S
            self._settled_after_ns = time.monotonic_ns() + int(wait_s * 1e9)
            self._complete_if_covered()

    def is_settled(self, *, at_ns: int) -> bool:
        """Whether no request of an earlier agent could take effect at a time."""
        settled_after_ns = self._settled_after_ns
        return settled_after_ns is not None and at_ns > settled_after_ns

    def retain_runs(
        self, term: int, version: int, runs: set[run_events.RunId]
    ) -> None:
        """Drops all runs except `runs`, those in these orders or listed."""
        with self._lock:
            # Runs of newer orders may have been recorded in the meantime.
            if (term, version) >= (self._orders_position or (0, 0)):
                self._runs &= runs

    def _complete_if_covered(self) -> None:
        if self._first_lease is None or self._orders_position is None:
            return
        term, version = self._orders_position
        self._is_complete = self._first_lease.covers_orders(
            term=term, version=version
        )
