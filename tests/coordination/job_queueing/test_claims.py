"""Tests how long reclaimed capacity is kept for the tasks that claimed it."""

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_KEY = shares_module.ShareKey(builders.POOL, "reports")
_STEP_KEY = ("r", 0, 0)


def _claims(count: int = 1) -> claims_module.Claims:
    settings = shares_module.ShareSettings(ratios={"reports": 0.5}, reclaim_s=2)
    claims = claims_module.Claims(settings)
    _begin(claims, count, now_s=100.0)
    return claims


def _begin(
    claims: claims_module.Claims, count: int, *, now_s: float, agent: str = "a1"
) -> None:
    claims.begin(
        [
            claims_module.Claim(_KEY, _STEP_KEY, builders.step(), agent)
            for _ in range(count)
        ],
        now_s=now_s,
    )


def _update(
    claims: claims_module.Claims,
    *,
    now_s: float,
    granted_count: int = 0,
    granted_agent: str = "a1",
    is_waiting: bool = True,
    agents: tuple[str, ...] = ("a1",),
) -> list[claims_module.EndedReclaim]:
    return claims.update(
        granted=[(_STEP_KEY, granted_agent)] * granted_count,
        waiting=[_STEP_KEY] if is_waiting else [],
        agents=agents,
        now_s=now_s,
    )


def _admits(
    claims: claims_module.Claims, queue: str, agent: str = "a1", **fields
) -> bool:
    step = builders.step(**fields)
    waiting = backlog_module.WaitingStep(
        key=("j", 0, 0),
        step=step,
        queue=ttypes.Queue(name=queue, pool=builders.POOL),
        waiting_indexes=[0],
        tasks=[],
        record=ttypes.JobRecord(),
        job=ttypes.Job(),
        occurrence=ttypes.Occurrence(),
    )
    return claims.admits(agent, waiting)


def test_claimed_capacity_is_kept_from_other_shares() -> None:
    claims = _claims()
    assert _admits(claims, "reports")
    assert not _admits(claims, "flood")
    assert _admits(claims, "flood", "a2")
    # Time in which a long-running task does not run is lost.
    assert _admits(claims, "flood", long_running=True)


def test_each_grant_ends_one_claim() -> None:
    claims = _claims(2)
    assert _update(claims, now_s=100.2, granted_count=1) == []
    assert not _admits(claims, "flood")
    (ended,) = _update(claims, now_s=100.4, granted_count=1)
    assert (ended.granted_count, ended.failed_count) == (2, 0)
    assert _admits(claims, "flood")
    assert claims.may_begin(_KEY, now_s=100.4)


def test_a_grant_ends_the_claim_on_its_own_worker() -> None:
    """Guards against grants that end the claim on a worker still being cleared.

    Borrowers would then take what the evicted runs there give back one by one.
    """
    claims = _claims()
    _begin(claims, 1, now_s=100.0, agent="a2")
    _update(
        claims,
        now_s=100.2,
        granted_count=1,
        granted_agent="a2",
        agents=("a1", "a2"),
    )
    assert not _admits(claims, "flood", "a1")
    assert _admits(claims, "flood", "a2")


def test_a_grant_elsewhere_ends_a_claim_that_is_not_needed() -> None:
    claims = _claims()
    (ended,) = _update(claims, now_s=100.2, granted_count=1, granted_agent="a2")
    assert ended.granted_count == 1


def test_grants_without_a_claim_end_nothing() -> None:
    claims = _claims()
    (ended,) = _update(claims, now_s=100.2, granted_count=3)
    assert ended.granted_count == 1
    assert _update(claims, now_s=100.4, granted_count=3) == []


def test_a_claim_ends_with_its_step_or_worker() -> None:
    for options in ({"is_waiting": False}, {"agents": ("a2",)}):
        claims = _claims()
        (ended,) = _update(claims, now_s=100.2, **options)
        assert (ended.granted_count, ended.failed_count) == (0, 0)
        assert _admits(claims, "flood")
        assert not claims.avoids("a1", now_s=100.2)


def test_a_claim_that_takes_too_long_fails_and_its_worker_is_avoided() -> None:
    claims = _claims()
    assert _update(claims, now_s=104.9) == []
    (ended,) = _update(claims, now_s=105.0)
    assert ended.failed_count == 1
    assert _admits(claims, "flood")
    assert claims.avoids("a1", now_s=134.9)
    assert not claims.avoids("a1", now_s=135.0)


def test_a_share_whose_claims_fail_pauses_longer_each_time() -> None:
    claims = _claims()
    now_s, pauses_s = 105.0, []
    for _ in range(8):
        _update(claims, now_s=now_s)
        pause_s = next(
            second
            for second in range(1, 1_000)
            if claims.may_begin(_KEY, now_s=now_s + second)
        )
        pauses_s.append(pause_s)
        _begin(claims, 1, now_s=now_s + pause_s)
        now_s += pause_s + 5
    assert pauses_s == [1, 2, 4, 8, 16, 32, 60, 60]
    _update(claims, now_s=now_s - 1, granted_count=1)
    assert claims.may_begin(_KEY, now_s=now_s)
