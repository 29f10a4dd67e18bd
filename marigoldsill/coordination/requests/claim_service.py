"""Proposes claims of non-idempotent requests to the replicated state.

Each claim waits on its own thread, so concurrent claims share a group commit of
the log. The command id is derived from the claim, so an entry that got no answer
can send the same claim again without making a second one.
"""

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.leadership import leadership
from marigoldsill.protocol.generated import ttypes

_PROPOSE_TIMEOUT_S = 1.0


def put_claim(
    replica: replica_module.Replica, claim: ttypes.PutClaim
) -> ttypes.CommandResult:
    """Claims an idempotency key.

    Raises:
        NotLeader: This process is not the leader; nothing was claimed.
        NoQuorum: No majority answers; nothing was claimed.
    """
    claim_id = claim.claim.claim_id
    command_id = f"claim/{claim_id}" if claim_id else ""
    return _propose(replica, command_id=command_id, put_claim=claim)


def end_claim(
    replica: replica_module.Replica, claim_end: ttypes.EndClaim
) -> ttypes.CommandResult:
    """Records how a claimed request ended.

    Raises:
        NotLeader: This process is not the leader; nothing was recorded.
        NoQuorum: No majority answers; nothing was recorded.
    """
    return _propose(replica, command_id="", end_claim=claim_end)


def _propose(
    replica: replica_module.Replica, *, command_id: str, **body: object
) -> ttypes.CommandResult:
    command = commands.new(command_id=command_id, **body)
    try:
        return replica.propose(command, timeout_s=_PROPOSE_TIMEOUT_S)
    except (errors.NotLeaderError, errors.NoQuorumError) as error:
        raise leadership.to_thrift_error(error) from error
