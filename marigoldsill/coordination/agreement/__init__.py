"""Replicates one log among control processes with Raft.

The package elects the leader, commits entries and changes the members of the
group. Other packages use the modules listed here only.
"""

__all__ = [
    "founding_plan",
    "peers",
    "replica",
]
