"""Tests of the spread of steps over racks and data centres, through rounds."""

import collections

import pytest

from marigoldsill.coordination.job_locality import locality_settings
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_RACKS = ("r1", "r2", "r3", "r4")


def _create_leader(*, spreads: bool) -> leader_harness.LeaderHarness:
    """Creates a leader with four racks in two data centres."""
    locality = locality_settings.LocalitySettings(spreads_racks=spreads)
    leader = leader_harness.LeaderHarness(locality=locality)
    for position, rack in enumerate(_RACKS):
        for number in range(3):
            leader.set_worker(
                f"{rack}-{number}",
                cores=16,
                rack=rack,
                data_centre=f"dc{position // 2}",
            )
    return leader


@pytest.fixture
def leader() -> leader_harness.LeaderHarness:
    return _create_leader(spreads=True)


def _count_by_rack(leader: leader_harness.LeaderHarness) -> collections.Counter:
    return collections.Counter(
        agent.split("-")[0] for agent in leader.run_round().values()
    )


def test_the_loss_of_a_rack_costs_a_wide_step_only_its_share(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against the loss of a rack that runs most tasks of a step.

    Without the setting six tasks of eight are in two of four racks.
    """
    leader.submit("j1", builders.step(8))
    assert set(_count_by_rack(leader).values()) == {2}
    other = _create_leader(spreads=False)
    other.submit("j1", builders.step(8))
    assert max(_count_by_rack(other).values()) == 3


def test_a_step_is_spread_over_rounds_as_well(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", builders.step(8))
    step = builders.step(8, resources=leader_harness.resources(16))
    leader.ineligible = {f"r1-{n}" for n in range(3)}
    leader.submit("j2", step)
    leader.run_round()
    leader.ineligible = set()
    assert _count_by_rack(leader)["r1"] >= 1


def test_small_jobs_go_to_all_data_centres_alike(
    leader: leader_harness.LeaderHarness,
) -> None:
    """Guards against ties that all go to the workers with the first names."""
    counts: collections.Counter = collections.Counter()
    for number in range(4):
        leader.submit(f"j{number}")
        counts += _count_by_rack(leader)
    assert counts["r1"] + counts["r2"] == counts["r3"] + counts["r4"] == 2
    other = _create_leader(spreads=False)
    for number in range(4):
        other.submit(f"j{number}")
    assert _count_by_rack(other) == {"r1": 3, "r2": 1}


def test_a_clearly_less_loaded_worker_goes_before_the_spread(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.ineligible = {f"r1-{number}" for number in range(3)}
    step = builders.step(9, resources=leader_harness.resources(8))
    leader.submit("j1", step)
    leader.run_round()
    leader.ineligible = set()
    leader.submit("j2", builders.step(4))
    assert _count_by_rack(leader) == {"r1": 4}


def test_latency_critical_tasks_stay_packed(
    leader: leader_harness.LeaderHarness,
) -> None:
    fields = leader_harness.latency_critical_fields(cores=2)
    leader.submit("j1", builders.step(8, **fields))
    assert list(_count_by_rack(leader).values()) == [8]


def test_best_effort_tasks_do_not_interfere_more_for_the_spread() -> None:
    """Their workers are chosen by interference, and only ties are spread."""
    rounds = []
    for spreads in (False, True):
        leader = _create_leader(spreads=spreads)
        for number, (agent, view) in enumerate(leader.views.items()):
            view.worker.labels = [agent]
            fields = leader_harness.latency_critical_fields(cores=4 + number)
            step = builders.step(required_label=agent, **fields)
            leader.submit(f"l{number}", step)
        leader.run_round()
        leader.submit(
            "j1", builders.step(3, **leader_harness.best_effort_fields())
        )
        rounds.append(sorted(leader.run_round().values()))
    assert rounds[0] == rounds[1]


def test_a_step_bound_to_a_rack_is_not_spread(
    leader: leader_harness.LeaderHarness,
) -> None:
    leader.submit("j1", builders.step(8, preferred_rack="r3"))
    assert _count_by_rack(leader) == {"r3": 8}
