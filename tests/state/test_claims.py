"""At most one run per key, as the state keeps it."""

import pytest

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import claims
from marigoldsill.state import tables as tables_module

_LIFE_MS = 1000


def _claim(claim_id: str, *, digest: bytes = b"d", entry: str = "entry-1"):
    return ttypes.Claim(
        key="billing/k",
        request_digest=digest,
        entry=entry,
        agent="worker-1",
        claim_id=claim_id,
        expires_unix_ms=_LIFE_MS,
    )


def _end(tables, attempt: int, state: ttypes.ClaimState):
    return claims.end(
        tables, ttypes.EndClaim(key="billing/k", attempt=attempt, state=state)
    )


def test_a_claim_that_is_sent_again_is_the_same_claim():
    tables = tables_module.Tables()
    first = claims.put(tables, _claim("a"), 0)
    again = claims.put(tables, _claim("a"), 1)
    assert again.outcome == ttypes.Outcome.OK
    assert again.claim == first.claim


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        (ttypes.ClaimState.NOT_RUN, ttypes.Outcome.OK),
        (ttypes.ClaimState.DONE, ttypes.Outcome.ALREADY),
        (ttypes.ClaimState.UNKNOWN, ttypes.Outcome.ALREADY),
        (ttypes.ClaimState.CLAIMED, ttypes.Outcome.ALREADY),
    ],
)
def test_only_a_key_that_surely_did_not_run_is_given_out_again(state, outcome):
    tables = tables_module.Tables()
    claims.put(tables, _claim("a"), 0)
    _end(tables, 1, state)
    assert claims.put(tables, _claim("b"), 1).outcome == outcome


def test_a_late_not_run_does_not_end_a_later_attempt():
    tables = tables_module.Tables()
    claims.put(tables, _claim("a"), 0)
    _end(tables, 1, ttypes.ClaimState.NOT_RUN)
    second = claims.put(tables, _claim("b"), 1).claim
    late = _end(tables, 1, ttypes.ClaimState.NOT_RUN)
    assert late.outcome == ttypes.Outcome.CONFLICT
    assert tables.claims["billing/k"] == second
    assert second.attempt == 2


def test_a_known_outcome_never_changes():
    tables = tables_module.Tables()
    claims.put(tables, _claim("a"), 0)
    _end(tables, 1, ttypes.ClaimState.UNKNOWN)
    _end(tables, 1, ttypes.ClaimState.DONE)
    _end(tables, 1, ttypes.ClaimState.NOT_RUN)
    assert tables.claims["billing/k"].state == ttypes.ClaimState.DONE


def test_only_the_holder_supersedes_its_own_attempt():
    tables = tables_module.Tables()
    first = claims.put(tables, _claim("a"), 0).claim
    other = claims.put(
        tables, _claim("b", entry="entry-2"), 1, supersedes_attempt=1
    )
    assert other.outcome == ttypes.Outcome.ALREADY
    own = claims.put(tables, _claim("c"), 1, supersedes_attempt=1)
    assert own.claim.attempt == 2
    assert own.claim.sequence > first.sequence


def test_another_request_under_a_known_key_is_refused():
    tables = tables_module.Tables()
    claims.put(tables, _claim("a"), 0)
    result = claims.put(tables, _claim("b", digest=b"e"), 1)
    assert result.outcome == ttypes.Outcome.KEY_REUSED


def test_sequences_go_on_over_a_snapshot():
    tables = tables_module.Tables()
    first = claims.put(tables, _claim("a"), 0).claim
    restored = tables_module.Tables.from_bytes(tables.to_bytes())
    assert restored.claims["billing/k"] == first
    again = claims.put(restored, _claim("b"), _LIFE_MS + 1).claim
    assert again.sequence == first.sequence + 1
