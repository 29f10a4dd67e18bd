"""Execution of an agent's runs: leases, starts, checkpoints, stops, events.

The package decides which operations an agent requests from its worker, so that
the worker runs what control ordered.
Other packages use only the modules listed here.
"""

__all__ = [
    "graceful_worker",
    "heartbeat_sender",
    "run_reconciler",
    "usage_collector",
]
