"""Tests that the product does no worse than simpler policies in simulations."""

import dataclasses
import statistics

import pytest

from experiments import loads
from experiments import policies
from experiments import simulation

_SHORT_DAY_SEEDS = (1, 2, 3)
_SHORT_DAY = dataclasses.replace(loads.load(loads.find("full")), length_s=24.0)
_OVERLOAD_SEEDS = (1, 2, 3, 4, 5, 6)
_OVERLOAD = loads.load(loads.find("overload"))
_WHOLE_DAY_SEEDS = (1, 2, 3, 4, 5, 6)
_WHOLE_DAY = loads.load(loads.find("full"))


def _mean_worth(
    name: str,
    load: loads.Load = _SHORT_DAY,
    seeds: tuple[int, ...] = _SHORT_DAY_SEEDS,
) -> float:
    with policies.POLICIES[name]():
        return statistics.fmean(
            simulation.simulate(load, seed).worth for seed in seeds
        )


@pytest.mark.timeout(400)
def test_the_product_earns_no_less_than_first_fit_on_short_days() -> None:
    """Large jobs earned less with the product where every worker is shared.

    On the load `full`, days of 75 s and six seeds, large jobs earned 0.456 of
    their worth with the product and 0.689 with first-in-first-out order and
    first-fit placement; long-running ones 0.936 and 0.958. The cause is not
    known. Shortest-first order alone changes nothing, so the difference lies in
    placement.
    """
    assert _mean_worth("product") >= _mean_worth("fifo-first-fit")


@pytest.mark.timeout(600)
def test_the_product_earns_no_less_than_first_fit_on_whole_days() -> None:
    """Filling small workers with latency-critical tasks cost others capacity.

    On days of 75 s and six seeds, the product earned 0.808 of all worth when it
    chose the smallest workers first, against 0.882 for first fit; with the
    largest workers first the figures were 0.899 and 0.879. Short days differ
    more between seeds than between policies.
    """
    worths = [
        _mean_worth(name, _WHOLE_DAY, _WHOLE_DAY_SEEDS)
        for name in ("product", "fifo-first-fit")
    ]
    assert worths[0] >= worths[1]


@pytest.mark.timeout(400)
def test_in_an_overload_late_jobs_are_not_starved() -> None:
    """Late jobs were never served while jobs that could be in time kept coming.

    On the load `overload` large jobs request more than long-running tasks leave, so
    there is always a job that can still be in time. Serving all of these first leaves
    more callers without any result.
    """
    assert _mean_unserved("product") < _mean_unserved("late-last")


def _mean_unserved(name: str) -> float:
    """Returns the mean share of best-effort jobs that were of no use."""
    with policies.POLICIES[name]():
        return statistics.fmean(
            simulation.simulate(_OVERLOAD, seed).filling_unserved
            for seed in _OVERLOAD_SEEDS
        )
