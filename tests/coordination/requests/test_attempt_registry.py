"""Tests that no attempt runs twice on an agent or after it was refused."""

import pytest

from marigoldsill.coordination.requests import attempt_registry
from marigoldsill.protocol.generated import ttypes


def _request(name: str, *, sequence: int = 0) -> ttypes.CallRequest:
    return ttypes.CallRequest(
        request_id=name, attempt=1, claim_sequence=sequence
    )


def _refusal_reason(registry, request) -> ttypes.RefusalReason:
    with pytest.raises(ttypes.Refused) as caught:
        registry.register(request)
    return caught.value.reason


def _resolve(name: str, *, sequence: int, end: bool) -> ttypes.ResolveRequest:
    return ttypes.ResolveRequest(
        request_id=name, attempt=1, claim_sequence=sequence, end=end
    )


def test_second_copy_is_refused_as_a_duplicate():
    registry = attempt_registry.AttemptRegistry()
    attempt = registry.register(_request("a"))
    registry.mark_running(attempt)
    duplicate = ttypes.RefusalReason.DUPLICATE
    assert _refusal_reason(registry, _request("a")) == duplicate
    registry.mark_unknown(attempt)
    assert _refusal_reason(registry, _request("a")) == duplicate


def test_late_copy_of_a_refused_attempt_is_refused():
    registry = attempt_registry.AttemptRegistry()
    registry.mark_refused(registry.register(_request("a")))
    cancelled = ttypes.RefusalReason.CANCELLED
    assert _refusal_reason(registry, _request("a")) == cancelled


def test_attempt_cancelled_before_its_arrival_is_refused():
    registry = attempt_registry.AttemptRegistry()
    assert registry.cancel("a", 1)
    cancelled = ttypes.RefusalReason.CANCELLED
    assert _refusal_reason(registry, _request("a")) == cancelled


def test_attempt_cancelled_while_queued_does_not_run():
    registry = attempt_registry.AttemptRegistry()
    attempt = registry.register(_request("a"))
    assert registry.cancel("a", 1)
    with pytest.raises(ttypes.Refused):
        registry.mark_running(attempt)


def test_claim_resolved_as_not_run_never_runs_after_its_cancellation():
    registry = attempt_registry.AttemptRegistry(records_limit=2)
    registry.cancel("a", 1)
    reply = registry.resolve(_resolve("a", sequence=7, end=True))
    assert reply.state == ttypes.ClaimState.NOT_RUN
    for name in ("b", "c"):
        registry.mark_refused(registry.register(_request(name)))

    too_old = ttypes.RefusalReason.CLAIM_TOO_OLD
    assert _refusal_reason(registry, _request("a", sequence=7)) == too_old


@pytest.mark.parametrize(("sequence", "is_cancelled"), [(0, True), (7, False)])
def test_only_a_running_request_without_a_claim_is_cancelled(
    sequence: int, is_cancelled: bool
):
    registry = attempt_registry.AttemptRegistry()
    attempt = registry.register(_request("a", sequence=sequence))
    registry.mark_running(attempt)
    cancelled = []
    registry.set_cancel_callback(attempt, lambda: cancelled.append("ended"))
    assert not registry.cancel("a", 1)
    assert bool(cancelled) == is_cancelled


def test_claim_older_than_a_dropped_record_is_refused():
    registry = attempt_registry.AttemptRegistry(records_limit=2)
    for sequence in range(1, 5):
        attempt = registry.register(_request(f"a{sequence}", sequence=sequence))
        registry.mark_running(attempt)
        registry.mark_unknown(attempt)
    too_old = ttypes.RefusalReason.CLAIM_TOO_OLD
    assert _refusal_reason(registry, _request("a1", sequence=1)) == too_old
    unknown = registry.resolve(_resolve("a1", sequence=1, end=True))
    assert unknown.state == ttypes.ClaimState.UNKNOWN
    assert not registry.cancel("a1", 1)


@pytest.mark.parametrize(
    ("end", "state"),
    [
        (False, ttypes.ClaimState.CLAIMED),
        (True, ttypes.ClaimState.NOT_RUN),
    ],
)
def test_resolving_an_unknown_claim_cancels_it_only_on_request(end, state):
    registry = attempt_registry.AttemptRegistry()
    reply = registry.resolve(_resolve("a", sequence=5, end=end))
    assert reply.state == state
    if end:
        assert _refusal_reason(registry, _request("a", sequence=5))
    else:
        registry.register(_request("a", sequence=5))


def test_answer_to_a_claimed_request_is_stored_for_repeats():
    registry = attempt_registry.AttemptRegistry()
    attempt = registry.register(_request("a", sequence=5))
    registry.mark_running(attempt)
    reply = ttypes.CallReply(request_id="a", status_code=200, body=b"x")
    assert registry.mark_done(attempt, reply)
    resolved = registry.resolve(_resolve("a", sequence=5, end=True))
    assert (resolved.state, resolved.reply) == (ttypes.ClaimState.DONE, reply)
