"""Queues and their jobs, on the leader and on the way to it.

The package decides whether a job is taken in and where its tasks run.
Other packages use the modules listed here only.
"""

__all__ = [
    "client",
    "scheduler",
    "service",
]
