"""Queues and their jobs: the leader's decisions and the client that calls it.

The package decides whether a job is accepted and where its tasks run.
Other packages use only the modules listed here.
"""

__all__ = [
    "client",
    "scheduler",
    "scheduling_settings",
    "service",
]
