"""The thrift service that a control process offers to its peers."""

from marigoldsill import errors
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import node as node_module
from marigoldsill.protocol import message_validation
from marigoldsill.protocol.generated import Peer
from marigoldsill.protocol.generated import ttypes

_PROPOSE_TIMEOUT_S = 5.0


class PeerHandler:
    """Implements the `Peer` service of the IDL for one node."""

    def __init__(self, node: node_module.Node):
        self._node = node

    def request_vote(self, request: ttypes.VoteRequest) -> ttypes.VoteReply:
        """Grants or denies a vote."""
        return self._handle_locked(
            self._node.election.handle_vote_request, request
        )

    def append_entries(
        self, request: ttypes.AppendRequest
    ) -> ttypes.AppendReply:
        """Receives entries from a leader."""
        return self._handle_locked(
            self._node.log_receiver.append_entries, request
        )

    def install_snapshot(
        self, chunk: ttypes.SnapshotChunk
    ) -> ttypes.SnapshotReply:
        """Receives a chunk of a leader's snapshot."""
        return self._handle_locked(
            self._node.log_receiver.install_snapshot, chunk
        )

    def propose(self, command: ttypes.Command) -> ttypes.CommandResult:
        """Proposes a command, if this process is the leader.

        Raises:
            NotLeader: Another process is the leader; its addresses are given if known.
            NoQuorum: No leader is known or no majority responds; nothing was done.
        """
        try:
            return self._node.proposals.propose(
                command, timeout_s=_PROPOSE_TIMEOUT_S
            )
        except errors.NotLeaderError as error:
            raise ttypes.NotLeader(
                leader_address=error.leader_address,
                leader_http_address=error.leader_http,
            ) from error
        except errors.NoQuorumError as error:
            raise ttypes.NoQuorum(
                retry_after_ms=error.retry_after_ms or 0
            ) from error

    def _handle_locked(self, handle, request):
        group: group_module.Group = self._node.group
        try:
            with group.lock:
                if group.stopping:
                    raise errors.MembershipError(
                        f"{group.name} has stopped and no longer participates in the group"
                    )
                return handle(request)
        except errors.StorageError as error:
            group.fail(error)
            raise


def processor(node: node_module.Node) -> Peer.Processor:
    """Returns the thrift processor to register under `peers.SERVICE_NAME`."""
    return Peer.Processor(
        message_validation.ValidatingHandler(PeerHandler(node))
    )
