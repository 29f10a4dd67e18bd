"""Tests the limits on jobs under way, without jobs or workers."""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_queueing import concurrency_limits

_PREDICTED_END = concurrency_limits.PredictedEndLimit()


def _job(
    time_left_s: float = 18.0,
    core_time_s: float = 100.0,
    critical_path_s: float = 8.0,
) -> concurrency_limits.PredictedJob:
    return concurrency_limits.PredictedJob(
        time_left_s=time_left_s,
        critical_path_s=critical_path_s,
        core_time_s=core_time_s,
    )


def _allows_beside(
    *under_way: concurrency_limits.PredictedJob,
    candidate: concurrency_limits.PredictedJob | None = None,
    cores_count: float = 30.0,
) -> bool:
    return _PREDICTED_END.allows(
        candidate or _job(), under_way, cores_count=cores_count
    )


def test_a_count_allows_jobs_up_to_it() -> None:
    limit = concurrency_limits.CountLimit(2)
    assert limit.allows(_job(), [_job()], cores_count=1.0)
    assert not limit.allows(_job(), [_job(), _job()], cores_count=1_000.0)


def test_a_job_is_allowed_while_all_can_end_in_time() -> None:
    assert _allows_beside(_job())
    assert not _allows_beside(_job(), _job())
    assert _allows_beside(_job(), _job(), cores_count=60.0)


def test_a_job_is_not_allowed_at_the_cost_of_one_under_way() -> None:
    nearly_late = _job(time_left_s=8.0)
    assert not _allows_beside(nearly_late)
    assert not _allows_beside(_job(), candidate=nearly_late)


def test_a_job_that_needs_little_waits_for_little_of_the_others() -> None:
    small = _job(time_left_s=4.0, core_time_s=10.0, critical_path_s=1.0)
    huge = _job(time_left_s=1_000.0, core_time_s=5_000.0)
    assert _allows_beside(huge, candidate=small)
    assert _allows_beside(small, candidate=huge)


@pytest.mark.parametrize("cores_count", [0.0, 1.0])
def test_a_job_alone_is_always_allowed(cores_count: float) -> None:
    too_large = _job(core_time_s=1e9)
    assert _allows_beside(candidate=too_large, cores_count=cores_count)


def test_hopeless_jobs_block_nobody() -> None:
    hopeless = _job(time_left_s=7.0, core_time_s=1e9)
    assert hopeless.is_hopeless
    assert _allows_beside(hopeless, hopeless, hopeless)


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("unlimited", None),
        ("predicted-end", _PREDICTED_END),
        ("count:1", concurrency_limits.CountLimit(1)),
        ("count:1000000", concurrency_limits.CountLimit(1_000_000)),
    ],
)
def test_valid_limits_are_parsed(
    text: str, limit: concurrency_limits.ConcurrencyLimit | None
) -> None:
    assert concurrency_limits.parse(text) == limit


@pytest.mark.parametrize(
    "text",
    [
        "",
        "Unlimited",
        "predicted-end ",
        "count",
        "count:",
        "count:0",
        "count:-1",
        "count:+1",
        "count: 2",
        "count:1.5",
        "count:²",
        "count:٣",
        "count:1000001",
        "count:" + "9" * 5000,
        "4",
    ],
)
def test_an_invalid_limit_is_reported_with_what_is_accepted(text: str) -> None:
    with pytest.raises(errors.SettingsError) as raised:
        concurrency_limits.parse(text)
    message = raised.value.message
    assert repr(text) in message
    for accepted in ("unlimited", "predicted-end", "count:N", "from 1 to"):
        assert accepted in message
