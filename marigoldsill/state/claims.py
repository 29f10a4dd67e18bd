"""Claims of non-idempotent requests, which run at most once per key.

A claim names the one agent, and its incarnation, that may run the attempt. A
key can be claimed again only if its last attempt certainly did not run. The new
claim has the next attempt number, so that late messages about an older attempt
have no effect.
"""

import itertools

from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

# Maximum number of expired claims that one new claim removes.
_EXPIRATIONS_LIMIT = 8
_OPEN = (ttypes.ClaimState.CLAIMED, ttypes.ClaimState.UNKNOWN)


def put(
    tables: tables_module.Tables,
    claim: ttypes.Claim,
    now_unix_ms: int,
    *,
    supersedes_attempt: int = 0,
) -> ttypes.CommandResult:
    """Claims a key, or returns the claim that already exists for it.

    Args:
        tables: The state.
        claim: The claim; attempt, state, time and sequence number are set here.
        now_unix_ms: When the leader proposed it.
        supersedes_attempt: The same entry's earlier attempt that certainly did
            not run and is replaced by this claim; 0 for none.

    Returns:
        OK with the new claim, or with the old one if the same claim was sent
        again. KEY_REUSED if the key belongs to a different request, ALREADY if
        it is claimed, has run or may have run; both with the old claim.
    """
    _remove_expired(tables, now_unix_ms)
    old = _find_unexpired(tables, claim.key, now_unix_ms)
    if old is None:
        return _claim(tables, claim, 1, now_unix_ms)
    if old.request_digest != claim.request_digest:
        return _result(tables, ttypes.Outcome.KEY_REUSED, old)
    if _is_resent(old, claim):
        return _result(tables, ttypes.Outcome.OK, old)
    if old.state == ttypes.ClaimState.NOT_RUN or (
        old.state == ttypes.ClaimState.CLAIMED
        and old.entry == claim.entry
        and old.attempt == supersedes_attempt
    ):
        return _claim(tables, claim, old.attempt + 1, now_unix_ms)
    return _result(tables, ttypes.Outcome.ALREADY, old)


def end(
    tables: tables_module.Tables, end_claim: ttypes.EndClaim
) -> ttypes.CommandResult:
    """Records how an attempt ended.

    An unknown outcome may still become known; a known one never changes.
    """
    old = tables.claims.get(end_claim.key)
    if old is None:
        return _result(tables, ttypes.Outcome.NOT_FOUND, None)
    if old.attempt != end_claim.attempt:
        return _result(tables, ttypes.Outcome.CONFLICT, old)
    if old.state not in _OPEN:
        return _result(tables, ttypes.Outcome.ALREADY, old)
    new = records.replace(
        old,
        state=end_claim.state,
        status_code=end_claim.status_code,
        body=end_claim.body,
        content_type=end_claim.content_type,
        body_kept=end_claim.body_kept,
    )
    tables.claims[end_claim.key] = new
    return _result(tables, ttypes.Outcome.OK, new)


def _claim(
    tables: tables_module.Tables,
    claim: ttypes.Claim,
    attempt: int,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    new = records.replace(
        claim,
        attempt=attempt,
        state=ttypes.ClaimState.CLAIMED,
        claimed_unix_ms=now_unix_ms,
        sequence=tables.next_claim_sequence,
    )
    tables.next_claim_sequence += 1
    # Inserted last, so that the table is in order of age for _remove_expired.
    tables.claims.pop(claim.key, None)
    tables.claims[claim.key] = new
    return _result(tables, ttypes.Outcome.OK, new)


def _is_resent(old: ttypes.Claim, claim: ttypes.Claim) -> bool:
    return (
        bool(claim.claim_id)
        and old.claim_id == claim.claim_id
        and old.state == ttypes.ClaimState.CLAIMED
    )


def _find_unexpired(
    tables: tables_module.Tables, key: str, now_unix_ms: int
) -> ttypes.Claim | None:
    old = tables.claims.get(key)
    if old is None or old.expires_unix_ms < now_unix_ms:
        return None
    return old


def _remove_expired(tables: tables_module.Tables, now_unix_ms: int) -> None:
    oldest = itertools.islice(tables.claims.values(), _EXPIRATIONS_LIMIT)
    expired = [c.key for c in oldest if c.expires_unix_ms < now_unix_ms]
    for key in expired:
        del tables.claims[key]


def _result(
    tables: tables_module.Tables,
    outcome: ttypes.Outcome,
    claim: ttypes.Claim | None,
) -> ttypes.CommandResult:
    return ttypes.CommandResult(
        outcome=outcome, state_version=tables.state_version, claim=claim
    )
