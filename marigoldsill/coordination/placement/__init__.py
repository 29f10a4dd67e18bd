"""Placement of the tasks of services, batch jobs and watchers on workers.

The package decides which worker a task starts on, which tasks share a worker
and which runs are evicted.
Other packages use the modules listed here only.
"""

__all__ = [
    "descheduler",
    "eviction",
    "feasibility",
    "fleet",
    "interference_mitigation",
    "placement_simulator",
    "queue_simulation",
    "sharing",
    "task_placer",
    "task_view",
]
