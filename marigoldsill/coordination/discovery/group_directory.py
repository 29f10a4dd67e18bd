"""The newest view of the group, from this process's own state or from others.

Settings name only a few processes, which may keep no state, and all processes may
restart at once. So each process that serves others keeps the newest view of the
group that it has received, and passes it on.
"""

from collections.abc import Callable
import itertools
import threading

from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# Far above the size of any group; bounds what a faulty peer can make others store.
_ADDRESSES_LIMIT = 64


class GroupDirectory:
    """Stores the newest view of the group."""

    def __init__(
        self,
        *,
        own_address: str,
        own_view: Callable[[], ttypes.GroupView],
    ):
        """Starts with the view of this process's own state.

        Args:
            own_address: Where other processes reach this one.
            own_view: Returns the group according to this process's replica, or
                a view of term 0 if there is none.
        """
        self._own_address = own_address
        self._own_view = own_view
        self._received = ttypes.GroupView(addresses=[])
        self._lock = threading.Lock()
        self._next_positions = itertools.count()

    def newest_view(self) -> ttypes.GroupView:
        """Returns the newest of the received views and the own state's view."""
        own = self._own_view()
        with self._lock:
            return max(self._received, own, key=_freshness)

    def merge_view(self, view: ttypes.GroupView, *, source: str) -> None:
        """Stores the view of another process if it is newer.

        Args:
            view: The view. One without addresses, or with too many, is ignored.
            source: The address of the process that sent it, for the log.
        """
        if not 0 < len(view.addresses) <= _ADDRESSES_LIMIT:
            return
        known = self.newest_view()
        if _freshness(view) <= _freshness(known):
            return
        received = records.replace(view, teller_address="")
        with self._lock:
            self._received = max(self._received, received, key=_freshness)
        if view.leader_address != known.leader_address:
            logs.event(
                "group_found",
                term=view.term,
                leader=view.leader_address,
                members=",".join(view.addresses),
                teller=source,
            )

    def own_members(self) -> list[str]:
        """Returns the members by this process's own state, not by received views.

        Empty while the state is not open: then no log updates this process, even
        if it is listed as a member.
        """
        return self._own_view().addresses

    def other_members(self) -> list[str]:
        """Returns the known members except this process, the leader first."""
        view = self.newest_view()
        others = [a for a in view.addresses if a != self._own_address]
        return sorted(others, key=lambda a: a != view.leader_address)

    def next_control_address(self) -> str:
        """Returns the leader's address, or each member's in turn if unknown.

        Empty if this process knows no other process of the group.
        """
        leader_address = self.newest_view().leader_address
        if leader_address not in ("", self._own_address):
            return leader_address
        others = self.other_members()
        return (
            others[next(self._next_positions) % len(others)] if others else ""
        )


def _freshness(view: ttypes.GroupView) -> tuple[int, int, bool]:
    """Returns a key that rises with each leader and each change of members."""
    return view.term, view.members_index, bool(view.leader_address)
