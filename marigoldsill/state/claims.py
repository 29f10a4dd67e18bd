"""Claims of non-idempotent requests: at most one run per key.

A claim names the one agent, and the incarnation of it, that may run the
attempt. A key is given out again only when its last attempt was surely not
run, under the next attempt number, so that whatever still arrives for an older
attempt changes nothing.
"""

import itertools

from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_EXPIRE_AT_ONCE = 8
_OPEN = (ttypes.ClaimState.CLAIMED, ttypes.ClaimState.UNKNOWN)


def put(
    tables: tables_module.Tables,
    claim: ttypes.Claim,
    now_unix_ms: int,
    *,
    supersedes_attempt: int = 0,
) -> ttypes.CommandResult:
    """Claims a key, or says who holds it and how it ended.

    Args:
        tables: The state.
        claim: What is claimed; the state gives attempt and sequence.
        now_unix_ms: When the leader proposed it.
        supersedes_attempt: The holder's own attempt that was surely not run
            and that this claim replaces; 0 for none.
    """
    _expire(tables, now_unix_ms)
    old = _live(tables, claim.key, now_unix_ms)
    if old is None:
        return _take(tables, claim, 1, now_unix_ms)
    if old.request_digest != claim.request_digest:
        return _result(tables, ttypes.Outcome.KEY_REUSED, old)
    if _is_same(old, claim):
        return _result(tables, ttypes.Outcome.OK, old)
    if old.state == ttypes.ClaimState.NOT_RUN or (
        old.state == ttypes.ClaimState.CLAIMED
        and old.entry == claim.entry
        and old.attempt == supersedes_attempt
    ):
        return _take(tables, claim, old.attempt + 1, now_unix_ms)
    return _result(tables, ttypes.Outcome.ALREADY, old)


def end(
    tables: tables_module.Tables, end_claim: ttypes.EndClaim
) -> ttypes.CommandResult:
    """Records how an attempt ended; a later record of it changes nothing.

    An unknown outcome may still become known; a known one never changes.
    """
    old = tables.claims.get(end_claim.key)
    if old is None:
        return _result(tables, ttypes.Outcome.NOT_FOUND, None)
    if old.attempt != end_claim.attempt:
        return _result(tables, ttypes.Outcome.CONFLICT, old)
    if old.state not in _OPEN:
        return _result(tables, ttypes.Outcome.ALREADY, old)
    new = records.changed(
        old,
        state=end_claim.state,
        status_code=end_claim.status_code,
        body=end_claim.body,
        content_type=end_claim.content_type,
        body_kept=end_claim.body_kept,
    )
    tables.claims[end_claim.key] = new
    return _result(tables, ttypes.Outcome.OK, new)


def _take(
    tables: tables_module.Tables,
    claim: ttypes.Claim,
    attempt: int,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    new = records.changed(
        claim,
        attempt=attempt,
        state=ttypes.ClaimState.CLAIMED,
        claimed_unix_ms=now_unix_ms,
        sequence=tables.next_claim_sequence,
    )
    tables.next_claim_sequence += 1
    # Put last: the oldest are found, and expire, from the front.
    tables.claims.pop(claim.key, None)
    tables.claims[claim.key] = new
    return _result(tables, ttypes.Outcome.OK, new)


def _is_same(old: ttypes.Claim, claim: ttypes.Claim) -> bool:
    return (
        bool(claim.claim_id)
        and old.claim_id == claim.claim_id
        and old.state == ttypes.ClaimState.CLAIMED
    )


def _live(
    tables: tables_module.Tables, key: str, now_unix_ms: int
) -> ttypes.Claim | None:
    old = tables.claims.get(key)
    if old is None or old.expires_unix_ms < now_unix_ms:
        return None
    return old


def _expire(tables: tables_module.Tables, now_unix_ms: int) -> None:
    oldest = itertools.islice(tables.claims.values(), _EXPIRE_AT_ONCE)
    gone = [c.key for c in oldest if c.expires_unix_ms < now_unix_ms]
    for key in gone:
        del tables.claims[key]


def _result(
    tables: tables_module.Tables,
    outcome: ttypes.Outcome,
    claim: ttypes.Claim | None,
) -> ttypes.CommandResult:
    return ttypes.CommandResult(
        outcome=outcome, state_version=tables.state_version, claim=claim
    )
