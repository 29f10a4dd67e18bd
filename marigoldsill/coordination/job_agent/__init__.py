"""An agent's handling of jobs: its leader's orders, its lease and its worker.

The package decides which calls an agent makes to its worker, and when a run has
certainly ended.
Other packages use only the modules listed here.
"""

__all__ = [
    "agent_state",
    "departure_watch",
    "executor",
    "lease_renewer",
    "order_watch",
    "reporter",
]
