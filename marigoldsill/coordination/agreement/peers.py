"""A peer of the group: its replication progress and its connection."""

import dataclasses
import math

from thrift import Thrift

from marigoldsill import errors
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.protocol.generated import Peer as PeerService  # noqa: N811
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.transport import clock
from marigoldsill.transport import logs
from marigoldsill.transport import network_partitions
from marigoldsill.transport import thrift_client

SERVICE_NAME = "peer"


@dataclasses.dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent to a peer."""

    snapshot: snapshot_module.Snapshot
    offset_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """The replication progress of a peer in one term of a leader.

    Attributes:
        next_index: The next entry to send.
        match_index: The last entry known to be durable on the peer.
        last_contact_s: When the latest request that the peer answered was sent.
        last_sent_s: When the latest request was sent.
        retry_at_s: Until when nothing is sent, because the peer did not answer.
        snapshot_transfer: The snapshot being sent to the peer, or None.
    """

    next_index: int
    match_index: int = 0
    last_contact_s: float = -math.inf
    last_sent_s: float = -math.inf
    retry_at_s: float = -math.inf
    snapshot_transfer: SnapshotTransfer | None = None


class Peer:
    """Another member as seen by this process.

    Attributes:
        member: Its record in the current members.
        progress: Its progress in this process's latest term as leader.
        reported_incarnation: The incarnation that it reported when that was not
            the one of `member`, or 0.
        requested_ballot: The last ballot in which its vote was requested.
        is_removed: Whether its task must end.
        is_foreign: Whether it replied as a member of another cluster.
        is_transfer_announced: Whether this member's resignation as leader was sent
            to it.
    """

    def __init__(
        self,
        *,
        group: group_module.Group,
        member: ttypes.Member,
        partitions: network_partitions.NetworkPartitions | None,
    ):
        self.member = member
        self.progress = Progress(next_index=1)
        self.reported_incarnation = 0
        self.requested_ballot: object = None
        self.is_removed = False
        self.is_foreign = False
        self.is_transfer_announced = False
        self._group = group
        self._connection = thrift_client.Connection(
            address=member.address,
            service_name=SERVICE_NAME,
            client_class=PeerService.Client,
            peer_name=member.name,
            partitions=partitions,
        )

    @property
    def name(self) -> str:
        """The peer's name."""
        return self.member.name

    def reset_progress(self, *, last_contact_s: float = -math.inf) -> None:
        """Resets the progress for a new term or incarnation."""
        self.progress = Progress(
            next_index=self._group.log.last_index + 1,
            last_contact_s=last_contact_s,
        )

    def back_off(self) -> None:
        """Suspends requests to the peer for one heartbeat interval."""
        heartbeat_s = self._group.settings.heartbeat_s
        self.progress.retry_at_s = clock.now_s() + heartbeat_s

    def call(self, method: str, request: object) -> object | None:
        """Sends a request and returns the reply, or None if the call failed."""
        timeout_s = self._group.settings.election_timeout_s
        try:
            return self._connection.call(method, request, timeout_s=timeout_s)
        except (errors.TransportError, Thrift.TException) as error:
            logs.event(
                "peer_silent", level="DEBUG", peer=self.name, reason=error
            )
            return None

    def close(self) -> None:
        """Marks the peer as removed and aborts its connection."""
        self.is_removed = True
        self._connection.abort()

    def disconnect(self) -> None:
        """Closes the connection; called by the peer's own task."""
        self._connection.close()
