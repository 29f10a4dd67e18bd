"""Claims of non-idempotent requests: at most one run per key."""

import itertools

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

_EXPIRE_AT_ONCE = 8


def put(
    tables: tables_module.Tables, claim: ttypes.Claim, now_unix_ms: int
) -> ttypes.CommandResult:
    """Claims a key, or says who holds it and how it ended.

    A key whose last attempt was surely not run may be claimed again with the
    next attempt number.
    """
    _expire(tables, now_unix_ms)
    old = tables.claims.get(claim.key)
    if old is not None and old.request_digest != claim.request_digest:
        return _result(tables, ttypes.Outcome.KEY_REUSED, old)
    if old is not None and old.state != ttypes.ClaimState.NOT_RUN:
        return _result(tables, ttypes.Outcome.ALREADY, old)
    attempt = old.attempt + 1 if old is not None else 1
    new = ttypes.Claim(
        key=claim.key,
        request_digest=claim.request_digest,
        entry=claim.entry,
        agent=claim.agent,
        attempt=attempt,
        expires_unix_ms=claim.expires_unix_ms,
    )
    tables.claims.pop(claim.key, None)
    tables.claims[claim.key] = new
    return _result(tables, ttypes.Outcome.OK, new)


def end(
    tables: tables_module.Tables, end_claim: ttypes.EndClaim
) -> ttypes.CommandResult:
    """Records how an attempt ended; a later record of it changes nothing."""
    old = tables.claims.get(end_claim.key)
    if old is None:
        return _result(tables, ttypes.Outcome.NOT_FOUND, None)
    if old.attempt != end_claim.attempt:
        return _result(tables, ttypes.Outcome.CONFLICT, old)
    if old.state not in (ttypes.ClaimState.CLAIMED, ttypes.ClaimState.UNKNOWN):
        return _result(tables, ttypes.Outcome.ALREADY, old)
    values = {slot: getattr(old, slot) for slot in ttypes.Claim.__slots__}
    new = ttypes.Claim(
        **(
            values
            | {
                "state": end_claim.state,
                "status_code": end_claim.status_code,
                "body": end_claim.body,
                "content_type": end_claim.content_type,
            }
        )
    )
    tables.claims[end_claim.key] = new
    return _result(tables, ttypes.Outcome.OK, new)


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
