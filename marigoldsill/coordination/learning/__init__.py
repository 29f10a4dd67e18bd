"""Models learnt from delayed measurements: run times, interference, worker health.

The package estimates properties of tasks and workers beyond what was declared.
Other packages use the modules listed here only.
"""

__all__ = [
    "estimates",
    "interference",
    "latency",
    "quarantine",
    "colocation",
    "run_times",
    "utilization",
    "usage",
    "worker_health",
    "worker_restarts",
]
