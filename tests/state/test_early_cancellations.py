"""Jobs that are cancelled before their submission arrives."""

import pytest

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import early_cancellations
from marigoldsill.state import tables as tables_module
from tests.coordination.jobs import builders

_KEPT_MS = early_cancellations.KEPT_MS
_CANCELLED_MS = 1_000_000
_CANCELLED = ttypes.Outcome.CANCELLED
_OK = ttypes.Outcome.OK


def _cancel(
    state: builders.State, job_id: str = "j1", at_unix_ms: int = _CANCELLED_MS
) -> ttypes.Outcome:
    cancel = ttypes.CancelJob(job_id=job_id)
    return state.apply(at_unix_ms=at_unix_ms, cancel_job=cancel).outcome


def _submit(
    state: builders.State, job_id: str = "j1", *, after_ms: int = 0
) -> ttypes.CommandResult:
    return state.apply(
        at_unix_ms=_CANCELLED_MS + after_ms,
        submit_job=ttypes.SubmitJob(job=builders.job(job_id)),
    )


@pytest.fixture
def state() -> builders.State:
    return builders.State()


def test_a_job_that_was_cancelled_before_is_not_accepted_for_a_while(
    state: builders.State,
) -> None:
    """Guards against a job that runs after its cancelling was answered."""
    assert _cancel(state) == ttypes.Outcome.NOT_FOUND
    result = _submit(state, after_ms=_KEPT_MS - 1)
    assert (result.outcome, result.retry_after_ms) == (_CANCELLED, 1)
    assert not state.tables.jobs.jobs
    assert _submit(state, "j2").outcome == _OK
    assert _submit(state, after_ms=_KEPT_MS).outcome == _OK


def test_a_repeated_cancellation_has_no_effect_on_an_accepted_job(
    state: builders.State,
) -> None:
    _submit(state)
    assert _cancel(state) == _OK
    assert _submit(state).outcome == ttypes.Outcome.ALREADY


def test_cancellations_are_part_of_a_snapshot(state: builders.State) -> None:
    _cancel(state)
    once = state.tables.to_bytes()
    _cancel(state)
    assert state.tables.to_bytes() == once
    state.tables = tables_module.Tables.from_bytes(once)
    assert state.tables.to_bytes() == once
    assert _submit(state).outcome == _CANCELLED


@pytest.mark.parametrize(
    ("skew_ms", "outcome"),
    [(5_000, _CANCELLED), (_KEPT_MS, _OK), (3_600_000, _OK)],
)
def test_a_clock_that_is_behind_does_not_keep_a_cancellation_for_long(
    state: builders.State, skew_ms: int, outcome: ttypes.Outcome
) -> None:
    """Guards against an id that is refused for hours after clocks jumped."""
    _cancel(state)
    assert _submit(state, after_ms=-skew_ms).outcome == outcome


def test_the_number_and_the_size_of_cancellations_are_limited(
    state: builders.State,
) -> None:
    """Guards against memory use that grows with each id that callers cancel."""
    for number in range(early_cancellations.COUNT_LIMIT + 10):
        _cancel(state, f"j{number}")
    _cancel(state, "j" * 60_000)
    stored = state.tables.jobs.early_cancellations.to_records()
    assert len(stored) == early_cancellations.COUNT_LIMIT
    assert max(len(record.job_id) for record in stored) < 10
    assert _submit(state, "j9").outcome == _OK
    assert _submit(state, "j10").outcome == _CANCELLED
    _cancel(state, at_unix_ms=_CANCELLED_MS + _KEPT_MS)
    stored = state.tables.jobs.early_cancellations.to_records()
    assert [record.job_id for record in stored] == ["j1"]
