"""Runs that an earlier agent of the same name may have started."""

import time

from marigoldsill.coordination.leadership import leases
from marigoldsill.coordination.runs import lease_renewer
from marigoldsill.coordination.runs import run_events


class InheritedRuns:
    """Tracks runs that an earlier agent of the same name may have started.

    These are the runs in the first orders that this agent receives.
    """

    def __init__(self):
        self._runs: set[run_events.RunId] = set()
        self._settled_after_ns: int | None = None

    def __contains__(self, run: run_events.RunId) -> bool:
        """Whether an earlier agent may have started a run."""
        return run in self._runs

    def record_runs(self, runs: set[run_events.RunId]) -> None:
        """Records the runs of the first orders."""
        self._runs = runs

    def record_lease(self, lease: lease_renewer.AgentLease) -> None:
        """Begins the wait for earlier requests with the first lease."""
        if self._settled_after_ns is None and lease.length_ms:
            # Until then, another agent of the same name may still hold a
            # lease, and what it requested may still take effect.
            longest_lease_s = lease.length_ms / 1000 * leases.DRIFT_RATIO
            wait_s = longest_lease_s + leases.MARGIN_S
            self._settled_after_ns = time.monotonic_ns() + int(wait_s * 1e9)

    def is_settled(self, *, at_ns: int) -> bool:
        """Whether no request of an earlier agent could take effect at a time."""
        settled_after_ns = self._settled_after_ns
        return settled_after_ns is not None and at_ns > settled_after_ns

    def retain_runs(self, runs: set[run_events.RunId]) -> None:
        """Drops all runs except `runs`, those still ordered or listed."""
        self._runs &= runs
