"""Answers requests whose idempotency key has been claimed before."""

import time

from marigoldsill import errors
from marigoldsill.coordination.requests import agent_connection_pool
from marigoldsill.coordination.requests import attempts
from marigoldsill.coordination.requests import claims_client
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes

_QUERY_TIMEOUT_S = 0.5
_CLOCK_SKEW_MARGIN_MS = 2_000
_IN_PROGRESS_RETRY_AFTER_MS = 1_000


class ClaimResolver:
    """Finds the outcome of a claimed request in its claim or at its agent."""

    def __init__(
        self,
        *,
        claims: claims_client.ClaimsClient,
        connections: agent_connection_pool.AgentConnectionPool,
    ):
        self._claims = claims
        self._connections = connections

    def resolve(
        self, call: attempts.Call, claim: ttypes.Claim
    ) -> attempts.Answer | None:
        """Finds the answer to the request that has claimed the key.

        Args:
            call: The repeated request.
            claim: The claim of its key.

        Returns:
            The answer, or None if the claimed request was certainly not run.
            This is recorded, so that the key can be claimed again.

        Raises:
            InProgressError: The claimed request is in progress.
            UnknownOutcomeError: It may have run; its outcome is unknown.
            AnswerNotKeptError: It has run, but its answer was not stored.
            NoQuorumError: It was not run, but this could not be recorded.
        """
        if claim.state == ttypes.ClaimState.DONE:
            return _answer_from_claim(claim)
        reply = self._query_agent(call, claim)
        match reply.state:
            case ttypes.ClaimState.DONE:
                return self._answer_from_agent(claim, reply.reply)
            case ttypes.ClaimState.NOT_RUN:
                self._claims.record_end(claim, ttypes.ClaimState.NOT_RUN)
                return None
            case ttypes.ClaimState.UNKNOWN if _has_entry_given_up(claim):
                if claim.state == ttypes.ClaimState.CLAIMED:
                    self._claims.record_end_in_background(
                        claim, ttypes.ClaimState.UNKNOWN
                    )
                raise _unknown_outcome_error(call)
            case _ if claim.state == ttypes.ClaimState.UNKNOWN:
                raise _unknown_outcome_error(call)
            case _:
                raise errors.InProgressError(
                    f"the request with idempotency key {call.key!r} is in "
                    "progress; repeat the call to get its answer",
                    retry_after_ms=_IN_PROGRESS_RETRY_AFTER_MS,
                )

    def _query_agent(
        self, call: attempts.Call, claim: ttypes.Claim
    ) -> ttypes.ResolveReply:
        request = ttypes.ResolveRequest(
            request_id=request_id(claim),
            attempt=claim.attempt,
            claim_sequence=claim.sequence,
            agent_incarnation=claim.agent_incarnation,
            end=_has_entry_given_up(claim),
        )
        try:
            connection = self._connections.acquire(claim.agent_address)
            reply = connection.call(
                "resolve",
                request,
                timeout_s=max(
                    0.01, min(_QUERY_TIMEOUT_S, call.deadline.remaining_s())
                ),
            )
        except errors.TransportError:
            connection.close()
            return ttypes.ResolveReply(state=ttypes.ClaimState.UNKNOWN)
        self._connections.release(connection)
        return reply

    def _answer_from_agent(
        self, claim: ttypes.Claim, reply: ttypes.CallReply | None
    ) -> attempts.Answer:
        if reply is None or codec.digest(reply.body) != reply.body_digest:
            raise _answer_not_kept_error(claim)
        answer = attempts.Answer(
            reply.status_code,
            tuple((h.name, h.value) for h in reply.headers),
            reply.body,
        )
        self._claims.record_end_in_background(
            claim, ttypes.ClaimState.DONE, answer
        )
        return answer


def request_id(claim: ttypes.Claim) -> str:
    """Returns the request id of a claimed request at agents."""
    return f"{claim.key}#{claim.claim_id}"


def _answer_from_claim(claim: ttypes.Claim) -> attempts.Answer:
    if not claim.body_kept:
        raise _answer_not_kept_error(claim)
    headers = (
        (("content-type", claim.content_type),) if claim.content_type else ()
    )
    return attempts.Answer(claim.status_code, headers, claim.body)


def _has_entry_given_up(claim: ttypes.Claim) -> bool:
    """Whether the entry that made the claim has certainly stopped waiting.

    The margin allows for clock skew between VMs. If the skew is larger, a request
    that is still queued is cancelled, and then it is indeed never run.
    """
    end_unix_ms = (
        claim.claimed_unix_ms + claim.budget_ms + _CLOCK_SKEW_MARGIN_MS
    )
    return time.time_ns() // 1_000_000 > end_unix_ms


def _unknown_outcome_error(call: attempts.Call) -> errors.UnknownOutcomeError:
    return errors.UnknownOutcomeError(
        f"the outcome of the request with idempotency key {call.key!r} is "
        "unknown; it will not be run again with this key"
    )


def _answer_not_kept_error(claim: ttypes.Claim) -> errors.AnswerNotKeptError:
    return errors.AnswerNotKeptError(
        f"the request with key {claim.key!r} has run, but its answer was not "
        "stored; it will not be run again with this key"
    )
