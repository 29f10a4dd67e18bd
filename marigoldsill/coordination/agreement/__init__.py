"""Agrees on one log among control processes: elections, replication, members.

The room decides who leads, what is committed and who belongs to the group.
Other rooms use the modules listed here only.
"""

__all__ = [
    "peers",
    "replica",
]
