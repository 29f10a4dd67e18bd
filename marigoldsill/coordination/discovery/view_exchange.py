"""Gossip of the newest view of the group between processes and their seeds.

Members exchange views regularly with the seeds that are not members: such a seed
loses its view when it restarts, and processes that know only their seeds ask there.
"""

from collections.abc import Sequence
import threading

from marigoldsill.coordination.discovery import entry_registry
from marigoldsill.coordination.discovery import formation_client
from marigoldsill.coordination.discovery import group_directory
from marigoldsill.protocol import records

# A restarted seed does not know the group for up to this time; agents keep their
# workers' leases 7 s without a leader.
_MEMBER_INTERVAL_S = 1.0
# A process that does not know the group is of no use to others.
_SEARCH_INTERVAL_S = 0.3
# Other calls contact leaders all the time; this interval is for replacements of
# members that they do not reveal.
_REFRESH_INTERVAL_S = 5.0


class ViewExchange:
    """Exchanges views with other processes until it is stopped."""

    def __init__(
        self,
        *,
        directory: group_directory.GroupDirectory,
        entries: entry_registry.EntryRegistry,
        own_address: str,
        seed_addresses: Sequence[str],
    ):
        self._directory = directory
        self._entries = entries
        self._own_address = own_address
        self._seeds = tuple(seed_addresses)
        self._wake = threading.Event()
        self._stopping = False

    def run(self) -> None:
        """Runs rounds of exchanges until `stop`."""
        while not self._stopping:
            self.run_round()
            self._wake.wait(self._interval_s())
            self._wake.clear()

    def run_round(self) -> None:
        """Exchanges views once with each process that needs it.

        These are seeds, and entries that the leader has to contact. A process
        that is not a member exchanges views with one member as well, because its
        seeds may have ended, or know no more than itself.
        """
        for address in self._seeds_to_contact():
            self._exchange(address)
        for address in self._entries.due_addresses():
            self._exchange(address)
        if self._is_member():
            return
        for address in self._directory.other_members():
            if self._exchange(address):
                return

    def _exchange(self, address: str) -> bool:
        """Exchanges views with one process; returns whether it answered."""
        if self._stopping:
            return False
        known = records.replace(
            self._directory.newest_view(), teller_address=self._own_address
        )
        view = formation_client.call(address, "exchange_views", known)
        if view is not None:
            self._directory.merge_view(view, source=address)
        return view is not None

    def replace_seeds(self, seed_addresses: Sequence[str]) -> None:
        """Replaces the seeds and begins a round at once."""
        self._seeds = tuple(seed_addresses)
        self._wake.set()

    def stop(self) -> None:
        """Ends `run` after the exchange in progress."""
        self._stopping = True
        self._wake.set()

    def _seeds_to_contact(self) -> list[str]:
        others = [a for a in self._seeds if a != self._own_address]
        if not self._is_member():
            return others
        # Members know each other by the log.
        members = self._directory.newest_view().addresses
        return [a for a in others if a not in members]

    def _is_member(self) -> bool:
        return self._own_address in self._directory.own_members()

    def _interval_s(self) -> float:
        if self._is_member():
            return _MEMBER_INTERVAL_S
        if self._directory.newest_view().term:
            return _REFRESH_INTERVAL_S
        return _SEARCH_INTERVAL_S
