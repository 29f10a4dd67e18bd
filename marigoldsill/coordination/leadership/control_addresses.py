"""Addresses of control processes, shared by all links of a process.

If each link had its own addresses, one that knew fewer could lose contact alone:
an agent that still received orders, but whose reports reached no leader, lost its
lease and its runs.
"""

from collections.abc import Sequence


class ControlAddresses:
    """The seeds, and the members as last received from a leader.

    The seeds are kept in addition to the members, because a group that is just
    forming has only a few of its later members.
    """

    def __init__(self, seeds: Sequence[str]):
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()

    def update_members(self, members: Sequence[str]) -> None:
        """Replaces the members by those received from a leader."""
        self._members = tuple(members)

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Replaces the seeds; an empty sequence is ignored."""
        if seeds:
            self._seeds = tuple(seeds)

    def all(self) -> list[str]:
        """Returns all known addresses without duplicates, members first."""
        return list(dict.fromkeys((*self._members, *self._seeds)))
