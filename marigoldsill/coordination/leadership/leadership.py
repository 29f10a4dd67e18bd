"""Checks for requests that only the leader may answer."""

from collections.abc import Callable

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.protocol.generated import ttypes


def require(replica: replica_module.Replica) -> None:
    """Checks that this process is the leader, by its own state alone.

    Raises:
        NotLeaderError: Another process leads, or no leader is known.
    """
    if replica.is_leader:
        return
    leader = replica.leader
    raise errors.NotLeaderError(
        f"{replica.member.name} is not the leader; "
        f"the leader is {leader.name if leader else 'unknown'}",
        leader_address=leader.address if leader else "",
        leader_http=leader.http_address if leader else "",
    )


def not_leader_error(
    replica: replica_module.Replica,
    *,
    referral_address: Callable[[], str] = lambda: "",
) -> ttypes.NotLeader:
    """Returns the error for a process that called this one as leader.

    Args:
        replica: This process's replica.
        referral_address: Returns the address to refer to while the replica
            knows no leader, or an empty string. A process that is not a member
            yet may have received the leader's address in a view.
    """
    leader = replica.leader
    return ttypes.NotLeader(
        leader_address=leader.address if leader else referral_address(),
        leader_http_address=leader.http_address if leader else "",
    )


def to_thrift_error(
    error: errors.NotLeaderError | errors.NoQuorumError,
) -> ttypes.NotLeader | ttypes.NoQuorum:
    """Returns the Thrift error for a command that was not committed.

    This is not a context manager, because those set attributes of the errors
    that pass through them, and Thrift's generated errors do not allow that.
    """
    if isinstance(error, errors.NotLeaderError):
        return ttypes.NotLeader()
    return ttypes.NoQuorum()


def confirm(replica: replica_module.Replica, *, timeout_s: float) -> None:
    """Checks with a majority that this process is the leader now.

    Raises:
        NotLeaderError: Another process leads, or no leader is known.
        NoQuorumError: No majority answered in time.
    """
    require(replica)
    replica.confirm_leadership(timeout_s=timeout_s)
