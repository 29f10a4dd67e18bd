"""Tests of simulated days: reproducible, core-seconds add up, faults matter."""

import dataclasses
import pathlib

import pytest

from experiments import loads
from experiments import pairs
from experiments import policies
from experiments import simulation
from marigoldsill import errors

_SHORT = dataclasses.replace(
    loads.load(loads.find("full")), name="short", length_s=8.0
)


def test_a_seed_reproduces_the_same_day() -> None:
    assert simulation.simulate(_SHORT, 3) == simulation.simulate(_SHORT, 3)
    assert simulation.simulate(_SHORT, 3) != simulation.simulate(_SHORT, 4)


def test_every_core_second_is_accounted_for() -> None:
    use = simulation.simulate(_SHORT, 1).use
    large_count = 4
    cores = _SHORT.worker_cores * (_SHORT.workers_count + 0.5 * large_count)
    available = cores * _SHORT.length_s * 1.25
    used = use.served + use.batch + use.filled + use.idle
    assert used == pytest.approx(available, rel=0.02)


def test_failed_workers_lose_the_work_of_their_runs() -> None:
    outage = dataclasses.replace(_SHORT, failing_share=1.0)
    undisturbed, disturbed = (
        simulation.simulate(_SHORT, 1),
        simulation.simulate(outage, 1),
    )
    assert disturbed.serving_credit < undisturbed.serving_credit
    assert disturbed.use.thrown_away > undisturbed.use.thrown_away


def test_best_effort_jobs_without_contention_complete_in_time() -> None:
    uncontended = dataclasses.replace(
        _SHORT, lasting_jobs_count=0, filling_jobs_per_s=0.3
    )
    outcome = simulation.simulate(uncontended, 2)
    assert outcome.filling_credit == outcome.filling_in_time == 1.0
    assert outcome.over_s == 0.0


@pytest.mark.parametrize("name", policies.POLICIES)
def test_every_policy_runs_and_restores_the_product(name: str) -> None:
    very_short = dataclasses.replace(_SHORT, length_s=2.0)
    before = simulation.simulate(very_short, 1)
    with policies.POLICIES[name]():
        simulation.simulate(very_short, 1)
    assert simulation.simulate(very_short, 1) == before


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("workers_cuont = 3", "unknown key workers_cuont"),
        ("workers_count = 1.5", "expected an integer"),
        ("load_ratio = -1", "0 or more"),
        ("filling_burst_s = [1.0]", "expected numbers"),
    ],
)
def test_an_invalid_load_is_reported_with_its_key(
    tmp_path: pathlib.Path, line: str, message: str
) -> None:
    path = tmp_path / "load.toml"
    path.write_text(line)
    with pytest.raises(errors.BadInputError, match=message):
        loads.load(path)


def test_differences_are_paired_by_seed() -> None:
    mean, error = pairs.paired_difference([1.0, 5.0, 9.0], [2.0, 6.0, 10.0])
    assert (mean, error) == (1.0, 0.0)


def test_recovery_from_an_outage_respects_latency_targets() -> None:
    """All workers fail at once and return empty.

    If best-effort tasks start beside latency-critical tasks whose load has not
    been sampled yet, these are 97 s over their target in a day and earn 0.77 of
    their users' credit (means of ten seeds of the load `outage`), against 35 s
    and 0.86 otherwise. An outage must cost them no more than a day without one.
    """
    outage = loads.load(loads.find("outage"))
    undisturbed = dataclasses.replace(outage, failing_share=0.0)
    seeds = range(3)
    disturbed_s = sum(
        simulation.simulate(outage, seed).over_s for seed in seeds
    )
    assert disturbed_s <= sum(
        simulation.simulate(undisturbed, seed).over_s for seed in seeds
    )
