"""Tests which queues a share covers and what it allows."""

import pytest

from marigoldsill import errors
from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.cli import platform as platform_commands
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders


def _load(text: str, **flags: str) -> settings_module.PlatformEdgeSettings:
    return setting_sources.load(
        settings_module.PlatformEdgeSettings,
        {"queue_shares": text} | flags,
        environment={},
    )


def _settings(**ratios: float) -> shares_module.ShareSettings:
    return shares_module.ShareSettings(ratios=ratios, reclaim_s=2)


def _status(
    ratio: float, cores: float, gigabytes: int = 0
) -> shares_module.ShareStatus:
    return shares_module.ShareStatus(
        guaranteed_ratio=ratio,
        allocated=leader_harness.resources(cores, gigabytes),
        capacity=leader_harness.resources(10, 100),
    )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("reports", "invalid share 'reports'"),
        ("reports=0.5,", "invalid share ''"),
        (",", "invalid share ''"),
        ("=0.5", "invalid queue ''"),
        ("a b=0.5", "invalid queue 'a b'"),
        ("é=0.5", "invalid queue 'é'"),
        ("reports=", "invalid ratio ''"),
        ("reports=0", "invalid ratio '0'"),
        ("reports=0.000", "invalid ratio '0.000'"),
        ("reports=-0.1", "invalid ratio '-0.1'"),
        ("reports=1.01", "invalid ratio '1.01'"),
        ("reports=nan", "invalid ratio 'nan'"),
        ("reports=inf", "invalid ratio 'inf'"),
        ("reports=1e-1", "invalid ratio '1e-1'"),
        ("reports=30%", "invalid ratio '30%'"),
        ("reports=.", "invalid ratio '.'"),
        ("reports=٠.٥", "invalid ratio '٠.٥'"),
        ("reports=0." + "9" * 5000, "invalid ratio '0.999"),
        ("reports=0.5=0.5", "invalid ratio '0.5=0.5'"),
        ("reports=0.3,other=0.4,priority-0=0.4", "sum to 1.1"),
        ("reports=0.3,reports=0.3", "duplicate share 'reports'"),
        ("priority-1=0.3,priority-01=0.3", "duplicate share 'priority-1'"),
    ],
)
def test_an_invalid_share_is_refused_with_its_flag_and_value(
    text: str, expected: str
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        _load(text)
    assert caught.value.message.startswith("--queue-shares: ")
    assert expected in caught.value.message
    assert "expected" in caught.value.message


@pytest.mark.parametrize("text", ["0", "-1", "3601", "x", ""])
def test_an_invalid_time_to_reclaim_is_refused(text: str) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        _load("", share_reclaim_s=text)
    assert caught.value.message.startswith("--share-reclaim-s: ")


def test_shares_may_sum_to_one_exactly() -> None:
    settings = _load("a=0.1, b=0.2 ,priority-0=.7")
    assert [(s.name, s.ratio) for s in settings.queue_shares.shares] == [
        ("a", 0.1),
        ("b", 0.2),
        ("priority-0", 0.7),
    ]


def test_settings_reach_the_policies_of_the_leader() -> None:
    scheduling = platform_commands._scheduling_of(
        _load("reports=0.5", share_reclaim_s="7")
    )
    assert scheduling.shares.ratios == {"reports": 0.5}
    assert scheduling.shares.reclaim_s == 7
    assert len(scheduling.create_offer_policies()) == 1


@pytest.mark.parametrize("text", ["", " "])
def test_without_shares_no_policy_is_installed(text: str) -> None:
    scheduling = platform_commands._scheduling_of(_load(text))
    assert scheduling == scheduling_settings.SchedulingSettings()
    assert scheduling.create_offer_policies() == []


def test_a_queue_belongs_to_its_name_before_its_priority() -> None:
    settings = _settings(**{"reports": 0.2, "priority-1": 0.3})
    assert settings.share_of("reports", 1) == "reports"
    assert settings.share_of("other", 1) == "priority-1"
    assert settings.share_of("other", 0) == shares_module.UNGUARANTEED
    # A queue named like a priority has no share by that name.
    assert _settings(other=0.2).share_of("priority-1", 0) == ""


def test_usage_is_summed_over_the_queues_of_a_share_by_pool() -> None:
    state = builders.State(
        builders.queue("a", priority=1), builders.queue("b", priority=1)
    )
    for job_id, queue in (("j1", "a"), ("j2", "b")):
        job = builders.job(job_id)
        job.queue = queue
        state.submit(job)
        state.grant(builders.grant(builders.task_name(job_id=job_id)))
    usage = usage_module.Usage()
    usage.refresh(state.tables.jobs, state.tables.jobs.pop_changed_jobs())
    key = shares_module.ShareKey(builders.POOL, "priority-1")
    totals = _settings(**{"priority-1": 0.5}).sum_usage(usage)
    assert list(totals) == [key]
    assert totals[key].cpu_millicores == 2_000


def test_usage_is_the_dominant_share() -> None:
    assert _status(0.5, 1, 40).usage_ratio == pytest.approx(0.4)
    assert _status(0.5, 5, 40).usage_ratio == pytest.approx(0.5)
    assert _status(0.5, 5, 40).is_covered
    assert not _status(0.5, 4, 40).is_covered
    assert _status(0.0, 0).is_covered


def test_no_share_reclaims_beyond_its_guarantee() -> None:
    one_core = leader_harness.resources(1, 0)
    assert _status(0.5, 4).may_reclaim(one_core)
    assert not _status(0.5, 4.5).may_reclaim(one_core)
    assert not _status(0.0, 0).may_reclaim(one_core)
    # A share without any run gets a task that is larger than its guarantee.
    assert _status(0.05, 0).may_reclaim(one_core)


def test_no_share_gives_back_what_is_guaranteed_to_it() -> None:
    one_core = leader_harness.resources(1, 0)
    assert _status(0.5, 6).may_give_back(one_core)
    assert not _status(0.5, 5.5).may_give_back(one_core)
    assert _status(0.0, 1).may_give_back(one_core)


def test_rounding_denies_no_share_its_last_task() -> None:
    third = shares_module.ShareStatus(
        guaranteed_ratio=0.1 + 0.2,
        allocated=leader_harness.resources(2, 0),
        capacity=leader_harness.resources(10, 0),
    )
    assert third.may_reclaim(leader_harness.resources(1, 0))
    assert third.add(ttypes.Resources(cpu_millicores=1_000)).is_covered
