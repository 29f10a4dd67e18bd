"""How processes find the group by a few seeds, and become members of it.

The package decides which view of the group is the newest, and which process may
form the group. Other packages import only the modules listed here.
"""

__all__ = [
    "entry_registry",
    "formation_client",
    "formation_service",
    "founder_election",
    "group_directory",
    "referral_service",
    "view_exchange",
]
