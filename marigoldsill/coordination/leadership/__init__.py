"""What depends on leadership: commands, leases and calls to the leader.

The package decides whether a process may answer as leader, and how long the
leases that it granted may be live. Other packages import only the modules
listed here.
"""

__all__ = [
    "audit_logger",
    "change_set",
    "call_facts",
    "commands",
    "control_addresses",
    "control_link",
    "late_start_bounds",
    "leader_outage",
    "leadership",
    "leases",
]
