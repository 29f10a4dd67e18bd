"""Leader side of log replication: progress, lease, commit and members."""

from collections.abc import Callable
from concurrent import futures
import math

from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import membership as membership_module
from marigoldsill.coordination.agreement import peers as peers_module
from marigoldsill.protocol import codec
from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions

_PEER_TASKS_LIMIT = 16
# The lease is shorter than the election timeout, because a leader's clock may run
# slower than a follower's by this ratio.
_LEASE_RATIO = 0.9
# How long a voter is unresponsive before a standby member replaces it: longer than a
# restart of a process and than usual freezes and network partitions.
_REPLACE_AFTER_S = 3.0
# Maximum number of snapshot intervals of entries retained for slow peers.
_RETAINED_SNAPSHOT_INTERVALS = 8


class Replication:
    """Replicates the leader's log to the peers.

    Methods are called with `group.lock` held unless stated otherwise.

    Attributes:
        peers: The other members, by name.
        read_barrier_s: Only requests sent after this time confirm leadership.
    """

    def __init__(
        self,
        group: group_module.Group,
        *,
        partitions: network_partitions.NetworkPartitions | None,
    ):
        self._group = group
        self._partitions = partitions
        self._pool: futures.ThreadPoolExecutor | None = None
        self._run_peer: Callable[[peers_module.Peer], None] | None = None
        self.peers: dict[str, peers_module.Peer] = {}
        self.read_barrier_s = -math.inf
        self._previous_commit_index = 0

    def start(self, run_peer: Callable[[peers_module.Peer], None]) -> None:
        """Starts one task for each peer, also for peers that join later."""
        self._run_peer = run_peer
        self._pool = futures.ThreadPoolExecutor(
            _PEER_TASKS_LIMIT, f"{self._group.name}-peer"
        )
        self.update_peers()

    def stop(self) -> None:
        """Stops the peers' tasks; called without the lock."""
        for peer in list(self.peers.values()):
            peer.close()
        if self._pool is not None:
            self._pool.shutdown(wait=True)

    def update_peers(self) -> None:
        """Updates the peers to the current members."""
        group = self._group
        others = [m for m in group.membership.members if m.name != group.name]
        names = {member.name for member in others}
        for name in self.peers.keys() - names:
            self.peers.pop(name).close()
        for member in others:
            self._update_peer(member)

    def become_leader(self, granted_s: dict[str, float]) -> None:
        """Begins this member's term as leader.

        Args:
            granted_s: When the vote was requested from each voter that granted it,
                by name; a granted vote also grants a leader's lease.
        """
        group = self._group
        for name, peer in self.peers.items():
            peer.reset_progress(last_contact_s=granted_s.get(name, -math.inf))
        group.leader_since_s = clock.now_s()
        logs.event("leader_elected", term=group.term, leader=group.name)
        command = ttypes.Command(
            no_operation=ttypes.NoOperation(term=group.term)
        )
        group.term_start_index = self.append(codec.encode(command))

    def choose_successor(self) -> str:
        """Returns the best voter to lead next, or "" if there is none."""
        voters = [peer for peer in self.peers.values() if peer.member.voter]
        best = max(
            voters,
            key=lambda p: (p.progress.match_index, p.progress.last_contact_s),
            default=None,
        )
        return "" if best is None else best.name

    def append(self, command: bytes, *, changes_members: bool = False) -> int:
        """Appends a command to the leader's log and returns its index."""
        group = self._group
        index = group.log.last_index + 1
        entry = ttypes.LogEntry(
            index=index,
            term=group.term,
            command=command,
            changes_members=changes_members,
        )
        group.log.append([entry])
        group.work_available.notify_all()
        return index

    def change_members(self, members: list[ttypes.Member]) -> int:
        """Appends a change of the members, which takes effect immediately."""
        change = ttypes.ChangeMembers(members=members)
        command = codec.encode(ttypes.Command(change_members=change))
        index = self.append(command, changes_members=True)
        self._group.membership.append(index, members)
        self.update_peers()
        return index

    @property
    def can_change_members(self) -> bool:
        """Whether the last change and an entry of this term are committed."""
        group = self._group
        return (
            group.role is group_module.Role.LEADER
            and group.commit_index >= group.term_start_index
            and group.commit_index >= group.membership.index
        )

    @property
    def compaction_limit_index(self) -> int:
        """The index after which entries are retained for responsive peers.

        Otherwise, the log would be compacted repeatedly before a peer that is slow
        or receives a snapshot could catch up, and under load it never would.
        """
        log, settings = self._group.log, self._group.settings
        if self._group.role is not group_module.Role.LEADER:
            return log.last_index
        needed = [
            peer.progress.snapshot_transfer.snapshot.last_index
            if peer.progress.snapshot_transfer is not None
            else peer.progress.match_index
            for peer in self.peers.values()
            if self._is_responsive(peer)
        ]
        limit_count = (
            _RETAINED_SNAPSHOT_INTERVALS * settings.snapshot_every_count
        )
        return max(
            min(needed, default=log.last_index), log.last_index - limit_count
        )

    def maintain_membership(self) -> None:
        """Re-adds a member that lost its disk, else promotes or demotes a member."""
        previous_commit_index, self._previous_commit_index = (
            self._previous_commit_index,
            self._group.commit_index,
        )
        if not self.can_change_members:
            return
        members = self._group.membership.members
        for peer in self.peers.values():
            member = _rejoined_member(peer)
            if member is not None:
                changed = membership_module.with_member(members, member)
                self.change_members(changed)
                return
        self._rebalance_voters(members, previous_commit_index)

    def _rebalance_voters(
        self, members: list[ttypes.Member], previous_commit_index: int
    ) -> None:
        group = self._group
        changed = membership_module.rebalance_voters(
            members,
            target_count=group.settings.voters_count,
            leader=group.name,
            caught_up={
                name
                for name, peer in self.peers.items()
                if self._has_caught_up(peer, previous_commit_index)
            },
            unresponsive={
                name
                for name, peer in self.peers.items()
                if self._unresponsive_s(peer) > _REPLACE_AFTER_S
            },
        )
        if changed is None:
            return
        before = {m.name for m in members if m.voter}
        after = {m.name for m in changed if m.voter}
        for name in after - before:
            logs.event("member_promoted", member=name)
        for name in before - after:
            logs.event("member_demoted", level="WARNING", member=name)
        self.change_members(changed)

    @property
    def has_lease(self) -> bool:
        """Whether a majority responded within the lease; needs no lock."""
        timeout_s = self._group.settings.election_timeout_s
        valid_s = timeout_s * _LEASE_RATIO
        return clock.now_s() < self.quorum_contact_s + valid_s

    @property
    def quorum_contact_s(self) -> float:
        """When the latest requests that a majority answered were sent; needs no lock."""
        return self._quorum_value(
            math.inf, lambda peer: peer.progress.last_contact_s, -math.inf
        )

    def advance_commit(self) -> None:
        """Commits the entries that a majority holds, if the last is of this term."""
        group = self._group
        if group.role is not group_module.Role.LEADER:
            return
        index = self._quorum_value(
            group.log.durable_index, lambda p: p.progress.match_index, 0
        )
        if index <= group.commit_index:
            return
        if group.log.term_at(index) == group.term:
            group.commit_index = index
            group.committed.notify_all()

    def _quorum_value(self, own_value, peer_value, missing_value):
        membership = self._group.membership
        values = [
            own_value
            if member.name == self._group.name
            else peer_value(self.peers[member.name])
            if member.name in self.peers
            else missing_value
            for member in membership.voters
        ]
        if not values:
            return missing_value
        return sorted(values, reverse=True)[len(values) // 2]

    def _has_caught_up(
        self, peer: peers_module.Peer, previous_commit_index: int
    ) -> bool:
        return (
            bool(peer.member.incarnation)
            and self._is_responsive(peer)
            and peer.progress.match_index >= max(1, previous_commit_index)
        )

    def _unresponsive_s(self, peer: peers_module.Peer) -> float:
        """Returns for how long a peer has not responded to this leader."""
        contact_s = max(
            peer.progress.last_contact_s, self._group.leader_since_s
        )
        return clock.now_s() - contact_s

    def _is_responsive(self, peer: peers_module.Peer) -> bool:
        elapsed_s = clock.now_s() - peer.progress.last_contact_s
        return elapsed_s < self._group.settings.election_timeout_s

    def _update_peer(self, member: ttypes.Member) -> None:
        peer = self.peers.get(member.name)
        if peer is not None and peer.member.address == member.address:
            is_renewed = peer.member.incarnation != member.incarnation
            peer.member = member
            if is_renewed:
                peer.reported_incarnation = 0
                peer.reset_progress()
            return
        if peer is not None:
            peer.close()
        peer = peers_module.Peer(
            group=self._group, member=member, partitions=self._partitions
        )
        peer.reset_progress()
        self.peers[member.name] = peer
        if self._pool is not None:
            self._pool.submit(self._run_peer, peer)


def _rejoined_member(peer: peers_module.Peer) -> ttypes.Member | None:
    """Returns a member that joins or lost its disk as a learner, or None."""
    member, incarnation = peer.member, peer.reported_incarnation
    if incarnation in (0, member.incarnation):
        return None
    _log_rejoin(member, incarnation)
    return records.replace(member, incarnation=incarnation, voter=False)


def _log_rejoin(member: ttypes.Member, incarnation: int) -> None:
    if not member.incarnation:
        logs.event("member_joined", member=member.name, incarnation=incarnation)
        return
    logs.event(
        "member_replaced",
        level="WARNING",
        member=member.name,
        was_voter=member.voter,
        incarnation=incarnation,
    )
