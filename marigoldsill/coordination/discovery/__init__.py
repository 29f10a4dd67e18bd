"""How processes find the group, and become members of it, by a few seeds.

The room decides what is believed of where the group is, and who may form it.
Other rooms use the modules listed here only.
"""

__all__ = [
    "directory",
    "formation_calls",
    "founding",
    "joining",
    "known_entries",
    "referral",
    "view_exchange",
]
