"""The status of a member of the group, for operators and tests."""

import dataclasses
import time

from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import node as node_module
from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """A peer as seen by its leader.

    Attributes:
        match_index: The last entry known to be durable on the peer.
        unresponsive_s: Time since the latest request that the peer answered.
    """

    member: ttypes.Member
    match_index: int
    unresponsive_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status of one member.

    Attributes:
        cluster_id: The id of its cluster, or 0 if it has none.
        peers: The peers of a leader; empty on other members.
        log_bytes: Bytes written to the log since the start.
        syncs_count: Number of syncs of the log to the disk since the start.
    """

    name: str
    incarnation: int
    cluster_id: int
    role: str
    term: int
    leader_name: str
    first_index: int
    last_index: int
    durable_index: int
    commit_index: int
    applied_index: int
    members: list[ttypes.Member]
    peers: list[PeerStatus]
    log_bytes: int
    syncs_count: int


def build_status(node: node_module.Node) -> ReplicaStatus:
    """Returns the current status of a node."""
    group = node.group
    with group.lock:
        is_leader = group.role is group_module.Role.LEADER
        return ReplicaStatus(
            name=group.name,
            incarnation=group.incarnation,
            cluster_id=group.cluster_id,
            role=group.role.name.lower(),
            term=group.term,
            leader_name=group.leader_name,
            first_index=group.log.base_index + 1,
            last_index=group.log.last_index,
            durable_index=group.log.durable_index,
            commit_index=group.commit_index,
            applied_index=group.applied_index,
            members=group.membership.members,
            peers=_peer_statuses(node) if is_leader else [],
            log_bytes=group.log.written_bytes,
            syncs_count=group.log.syncs_count,
        )


def build_group_view(node: node_module.Node) -> ttypes.GroupView:
    """Returns the group as known by this member, with term 0 if it has none."""
    group = node.group
    with group.lock:
        members = group.membership.members
        if not members:
            return ttypes.GroupView(addresses=[])
        leader = group.membership.find(group.leader_name)
        return ttypes.GroupView(
            term=group.term,
            members_index=group.membership.index,
            addresses=[member.address for member in members],
            leader_address=leader.address if leader else "",
        )


def _peer_statuses(node: node_module.Node) -> list[PeerStatus]:
    now_s = time.monotonic()
    return [
        PeerStatus(
            member=peer.member,
            match_index=peer.progress.match_index,
            unresponsive_s=now_s - peer.progress.last_contact_s,
        )
        for peer in node.replication.peers.values()
    ]
