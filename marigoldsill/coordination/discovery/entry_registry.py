"""Addresses of processes without state that contacted a leader, kept in the log.

Such processes ('entries') find the group by their seeds, which may all be without
state too. If none of those seeds is named in the settings of a member, no process
could send them a view after all of them have restarted. So the leader contacts the
entries that do not contact it.
"""

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# Time without contact after which the leader contacts an entry. Longer than the
# interval at which a process that knows the group contacts it.
_CONTACT_TIMEOUT_S = 6.0
# Entries contacted in one round; some may have no power, and each of those costs a
# timeout.
_ENTRIES_PER_ROUND_COUNT = 6
_PROPOSAL_TIMEOUT_S = 1.0


class EntryRegistry:
    """Records entries, and chooses those that the leader contacts.

    Attributes:
        replica: This process's copy of the state, once it is open.
    """

    def __init__(self):
        self.replica: replica_module.Replica | None = None
        self._last_contact_s: dict[str, float] = {}
        self._last_chosen_s: dict[str, float] = {}

    def record_contact(self, address: str) -> None:
        """Records that a process contacted this one, if this one leads.

        A process that is neither a member nor known is added to the log.
        """
        replica = self.replica
        if not address or replica is None or not replica.is_leader:
            return
        self._last_contact_s[address] = clock.now_s()
        with replica.lock:
            is_known = address in replica.tables.entry_addresses
        if is_known or address in replica.group_view().addresses:
            return
        note = ttypes.NoteEntries(addresses=[address])
        command = commands.new(command_id="", note_entries=note)
        try:
            replica.propose(command, timeout_s=_PROPOSAL_TIMEOUT_S)
        except errors.MarigoldsillError as error:
            # The process makes contact again within seconds.
            logs.event("entry_unnoted", address=address, reason=error.message)

    def due_addresses(self) -> list[str]:
        """Chooses the entries to contact now.

        These are a few of those without recent contact, the least recently chosen
        first.
        """
        replica = self.replica
        if replica is None or not replica.is_leader:
            return []
        with replica.lock:
            known = list(replica.tables.entry_addresses)
        self._retain(known)
        now_s = clock.now_s()
        members = replica.group_view().addresses
        overdue = [
            address
            for address in known
            if now_s - self._last_contact_s.get(address, -_CONTACT_TIMEOUT_S)
            >= _CONTACT_TIMEOUT_S
            and address not in members
        ]
        overdue.sort(key=lambda address: self._last_chosen_s.get(address, 0.0))
        due = overdue[:_ENTRIES_PER_ROUND_COUNT]
        self._last_chosen_s |= dict.fromkeys(due, now_s)
        return due

    def _retain(self, known: list[str]) -> None:
        """Drops the times of all addresses that are no longer known."""
        self._last_chosen_s = {
            a: s for a, s in self._last_chosen_s.items() if a in known
        }
        for address in [a for a in self._last_contact_s if a not in known]:
            self._last_contact_s.pop(address, None)
