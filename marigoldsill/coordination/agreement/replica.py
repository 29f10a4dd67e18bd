"""A replica of the state that control processes replicate by a log.

With a data folder the replica is one member of a group; without one it is on its
own and keeps everything in memory, for a system embedded in one process.
"""

from collections.abc import Callable
from collections.abc import Sequence
import pathlib

from thrift import Thrift

from marigoldsill import errors
from marigoldsill.coordination.agreement import applier
from marigoldsill.coordination.agreement import group
from marigoldsill.coordination.agreement import membership
from marigoldsill.coordination.agreement import node
from marigoldsill.coordination.agreement import peer_service
from marigoldsill.coordination.agreement import replica_status
from marigoldsill.coordination.agreement import storage
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import files
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions

ReplicaSettings = group.ReplicaSettings
initialise = storage.initialise
recover = storage.recover

LeaderListener = Callable[[ttypes.Member | None, int], None]


class Replica:
    """Proposes commands to the group and applies committed commands.

    Attributes:
        member: This process's own name and addresses.
    """

    def __init__(
        self,
        *,
        member: ttypes.Member,
        data_folder: str | pathlib.Path | None = None,
        members: Sequence[ttypes.Member] = (),
        settings: ReplicaSettings | None = None,
        on_fatal: Callable[[errors.StorageError], None] | None = None,
        partitions: network_partitions.NetworkPartitions | None = None,
        open_files: Callable[[pathlib.Path], files.Files] = files.Files,
    ):
        """Opens the data folder; participates in the group only after `start`.

        Args:
            member: This process's own name and addresses.
            data_folder: Folder of the durable state, or None for state in memory.
            members: All members according to the settings; only compared with
                the members in the log, which apply.
            settings: Timeouts and sizes; None for the defaults.
            on_fatal: Called once when the disk fails; the process must stop.
            partitions: Simulated network partitions, for tests.
            open_files: Opens the data folder; replaced in tests.

        Raises:
            MembershipError: The folder belongs to another member or is in use.
            StorageError: The disk failed.
        """
        self.member = member
        self._node: node.Node | None = None
        self._state = applier.AppliedState(tables_module.Tables())
        self._leader_listeners: list[LeaderListener] = []
        self._reported_leader: tuple[bool, str, int] = (False, "", 0)
        if data_folder is None:
            self._state.tables.members = [member]
            return
        self._node = node.Node(
            name=member.name,
            files=open_files(pathlib.Path(data_folder)),
            settings=settings or ReplicaSettings(),
            on_fatal=on_fatal or _log_fatal_error,
            partitions=partitions
            or network_partitions.NetworkPartitions(own_name=member.name),
        )
        self._state = self._node.state
        self._check_members(members)

    @property
    def lock(self):
        """Guards `tables`; hold it while reading them."""
        return self._state.lock

    @property
    def tables(self) -> tables_module.Tables:
        """The state applied by this process; access it anew under each lock."""
        return self._state.tables

    @property
    def is_leader(self) -> bool:
        """Whether this process leads with a lease from a majority.

        False until all entries that earlier leaders committed are applied.
        """
        return self._node is None or self._node.proposals.is_leader

    @property
    def term(self) -> int:
        """The current term."""
        return 1 if self._node is None else self._node.group.term

    @property
    def leader(self) -> ttypes.Member | None:
        """The known leader, or None."""
        if self._node is None:
            return self.member
        group_ = self._node.group
        return group_.membership.find(group_.leader_name)

    @property
    def processor(self) -> Thrift.TProcessor:
        """The processor to register on the server as `peers.SERVICE_NAME`."""
        return peer_service.processor(self._require_node())

    def on_applied(self, listener: Callable[[ttypes.Command], None]) -> None:
        """Calls `listener` after each applied command, with `lock` held.

        It must return soon and must not propose.
        """
        self._state.applied_listeners.append(listener)

    def on_tables_replaced(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after a snapshot replaced the tables, `lock` held."""
        self._state.replaced_listeners.append(listener)

    def on_leader_change(self, listener: LeaderListener) -> None:
        """Calls `listener` with the leader and term when either changes.

        Also called when `is_leader` of this process changes; no lock is held.
        """
        self._leader_listeners.append(listener)

    def propose(
        self,
        command: ttypes.Command,
        *,
        timeout_s: float,
        term: int | None = None,
    ) -> ttypes.CommandResult:
        """Replicates and applies a command, and returns its result.

        Args:
            command: The command.
            timeout_s: How long to wait for the result.
            term: The only term in which it may be proposed; None for any term.

        Raises:
            NotLeaderError: This process does not lead; nothing was done.
            NoQuorumError: No majority responds; nothing was done.
            OverloadedError: Too many commands are pending; nothing was done.
            UnknownOutcomeError: The command was logged, but is not known to be
                committed. Propose it again with the same command id for its result.
        """
        if self._node is None:
            return self._state.apply(command)
        return self._node.proposals.propose(
            command, timeout_s=timeout_s, term=term
        )

    def confirm_leadership(self, *, timeout_s: float) -> None:
        """Waits until a majority confirms this leader after the call.

        The state in `tables` is then no older than the call.

        Raises:
            NotLeaderError: This process does not lead.
            NoQuorumError: No majority responded in time.
        """
        if self._node is not None:
            self._node.proposals.confirm_leadership(timeout_s=timeout_s)

    def put_member(self, member: ttypes.Member, *, timeout_s: float) -> None:
        """Adds a member or changes the addresses of an existing one.

        A new member is a learner first and may vote once it has caught up.

        Raises:
            NotLeaderError: This process does not lead.
            NoQuorumError: No majority responds.
            ConflictError: Another change of the members is in progress.
            UnknownOutcomeError: The change may still take effect.
        """
        self._require_node().proposals.change_members(
            lambda members: membership.with_member_addresses(members, member),
            timeout_s=timeout_s,
        )

    def remove_member(self, name: str, *, timeout_s: float) -> None:
        """Removes a member from the group.

        Raises:
            NotFoundError: No member has that name.
            MembershipError: The member is the leader; stop its process first.
            NotLeaderError: This process does not lead.
            NoQuorumError: No majority responds.
            ConflictError: Another change of the members is in progress.
            UnknownOutcomeError: The change may still take effect.
        """
        proposals = self._require_node().proposals
        if name == self.member.name:
            raise errors.MembershipError(
                f"{name} leads the group; stop its process, then remove it "
                "through the next leader"
            )
        proposals.change_members(
            lambda members: membership.without_member(members, name),
            timeout_s=timeout_s,
        )

    def status(self) -> replica_status.ReplicaStatus:
        """Returns the status of this member and, on a leader, of its peers."""
        return replica_status.build_status(self._require_node())

    def group_view(self) -> ttypes.GroupView:
        """Returns the group's addresses and leader as known by this member."""
        return replica_status.build_group_view(self._require_node())

    def start(self) -> None:
        """Starts participating in the group."""
        if self._node is not None:
            self._node.start(self._notify_leader_listeners)

    def stop(self) -> None:
        """Stops participating in the group; the state on disk stays."""
        if self._node is not None:
            self._node.stop()

    def _check_members(self, members: Sequence[ttypes.Member]) -> None:
        logged = {m.name: m.address for m in self.status().members}
        if not logged:
            return
        for member in members:
            if logged.get(member.name) != member.address:
                logs.event(
                    "member_differs",
                    level="WARNING",
                    member=member.name,
                    setting=member.address,
                    in_force=logged.get(member.name, "no member"),
                )

    def _require_node(self) -> node.Node:
        if self._node is None:
            raise errors.MembershipError(
                f"{self.member.name} keeps its state in memory and has no "
                "peers; set a data folder to make it a member of a group"
            )
        return self._node

    def _notify_leader_listeners(self) -> None:
        leader, term = self.leader, self.term
        reported = (self.is_leader, leader.name if leader else "", term)
        if reported == self._reported_leader:
            return
        self._reported_leader = reported
        for listener in self._leader_listeners:
            listener(leader, term)


def _log_fatal_error(error: errors.StorageError) -> None:
    logs.event("process_must_stop", level="CRITICAL", reason=error)
