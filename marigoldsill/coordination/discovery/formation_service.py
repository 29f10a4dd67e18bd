"""Forms the group of control processes, or joins it, without an operator.

When the system starts for the first time, exactly one process forms the group
(see `founder_election`). All others join: the leader adds each one as a learner,
which becomes a voter once it has caught up.
"""

from collections.abc import Sequence
import contextlib
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.discovery import entry_registry
from marigoldsill.coordination.discovery import formation_client
from marigoldsill.coordination.discovery import founder_election
from marigoldsill.coordination.discovery import group_directory
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

_RETRY_INTERVAL_S = 0.2
_MEMBERSHIP_CHECK_INTERVAL_S = 1.0
_CHANGE_TIMEOUT_S = 1.0
# How long the group waits for the wanted number of voters. All machines start within
# 0.3 s, and a process within about a second.
_SETTLE_LIMIT_S = 8.0


class FormationService:
    """Handles the thrift service `Formation`, and makes this process a member.

    Attributes:
        replica: This process's copy of the state, once it is open.
    """

    def __init__(
        self,
        *,
        member: ttypes.Member,
        data_folder: str,
        election: founder_election.FounderElection,
        seed_addresses: Sequence[str],
        directory: group_directory.GroupDirectory,
        entries: entry_registry.EntryRegistry,
    ):
        self.replica: replica_module.Replica | None = None
        self._directory = directory
        self._entries = entries
        self._member = member
        self._data_folder = data_folder
        self._election = election
        self._seeds = list(seed_addresses)
        self._started_s = time.monotonic()
        self._stopping = threading.Event()

    @property
    def is_settle_time_over(self) -> bool:
        """Whether the group may begin with fewer voters than wanted."""
        return time.monotonic() - self._started_s > _SETTLE_LIMIT_S

    def resume_election(self) -> bool:
        """Continues with the plan that this process had before a restart.

        Returns:
            Whether `form_group` has to wait for the result of an election.
        """
        return self._election.resume()

    def form_group(self) -> None:
        """Forms the group if this process is elected to do so.

        At the first start it waits for the result of the election.
        """
        with contextlib.suppress(errors.MembershipError):
            if not self._election.wait_for_result(self._stopping):
                return
            cluster_id = replica_module.initialise(
                self._data_folder,
                [self._member],
                own_name=self._member.name,
                planned_cluster_id=self._election.planned_cluster_id,
            )
            logs.event("group_formed", cluster=cluster_id)

    def run(self) -> None:
        """Requests to join while this process is not a member, until `stop`."""
        while not self._stopping.is_set():
            if self._is_member():
                self._stopping.wait(_MEMBERSHIP_CHECK_INTERVAL_S)
                continue
            self._request_to_join()
            self._stopping.wait(_RETRY_INTERVAL_S)

    def replace_seeds(self, seed_addresses: Sequence[str]) -> None:
        """Replaces the seeds."""
        self._seeds = list(seed_addresses)

    def stop(self) -> None:
        """Ends `form_group` and `run`."""
        self._stopping.set()

    def join(self, request: ttypes.JoinRequest) -> ttypes.JoinReply:
        """Adds a member if this process leads, or refers to processes that may."""
        replica = self.replica
        if replica is None:
            return ttypes.JoinReply(
                control_addresses=self._directory.newest_view().addresses
            )
        leader = replica.leader
        if not replica.is_leader:
            known = self._directory.newest_view().addresses
            addresses = [leader.address] if leader else known
            return ttypes.JoinReply(control_addresses=addresses)
        if not _is_listed(replica, request.member):
            self._add_member(replica, request.member)
        members = replica.status().members
        return ttypes.JoinReply(control_addresses=[m.address for m in members])

    def founder(self, request: ttypes.FounderRequest) -> ttypes.FounderReply:
        """Answers a candidate in the election of the founder."""
        return self._election.handle_request(request)

    def exchange_views(self, view: ttypes.GroupView) -> ttypes.GroupView:
        """Merges the view of another process; returns the newest view."""
        self._directory.merge_view(view, source=view.teller_address)
        self._entries.record_contact(view.teller_address)
        return self._directory.newest_view()

    def _add_member(
        self, replica: replica_module.Replica, member: ttypes.Member
    ) -> None:
        try:
            replica.put_member(member, timeout_s=_CHANGE_TIMEOUT_S)
        except errors.MarigoldsillError as error:
            logs.event("member_waits", member=member.name, reason=error.message)
            return
        logs.event("member_added", member=member.name, address=member.address)

    def _is_member(self) -> bool:
        return _is_listed(self.replica, self._member)

    def _request_to_join(self) -> None:
        """Calls `join` on the seeds and on the processes that they refer to."""
        contacted: set[str] = {self._member.address}
        addresses = list(self._seeds)
        while addresses and not self._stopping.is_set():
            address = addresses.pop(0)
            if address in contacted:
                continue
            contacted.add(address)
            reply = self._call_join(address)
            if reply is not None:
                addresses = [*reply.control_addresses, *addresses]

    def _call_join(self, address: str) -> ttypes.JoinReply | None:
        request = ttypes.JoinRequest(member=self._member)
        return formation_client.call(address, "join", request)


def _is_listed(replica: replica_module.Replica, member: ttypes.Member) -> bool:
    """Whether a process is a member with its current address."""
    return any(
        m.name == member.name and m.address == member.address
        for m in replica.status().members
    )
