"""Tests of losses of workers in series and of the jobs beside them."""

import collections
import hashlib
import itertools
import random

import pytest

from soak import fault_losses
from soak import faults
from soak import loss_jobs
from soak import machines as machines_module
from standins import pool_run

_MACHINES = machines_module.Machines(
    members=("edge-1", "edge-2", "edge-3"),
    stateless_edges=("edge-4", "edge-5", "edge-6"),
    sides=("side-1", "side-2", "side-3"),
)
_SEEDS = range(20)
_DURATION_S = 40.0
# SHA-256 of the losses of recorded seeds within 30 s, the first 16 digits.
_RECORDED_DURATION_S = 30.0
_RECORDED_LOSSES = {
    10301: "71ce6f65ff51a224",
    10302: "02ac5bb2d8c06e6f",
    10303: "8e160b34f134b843",
    10305: "ef61397d221d38f5",
    20301: "c926e054993ef2a9",
    20303: "464ff26bf189734c",
}
_MIN_OUTAGES_COUNT = 4
_MAX_OUTAGE_PAUSE_S = 1.5
_MIN_CRASH_INTERVAL_S, _MAX_CRASH_INTERVAL_S = 1.2, 2.0
_TOLERANCE_S = 1e-6
_OUTAGES = (
    faults.ControlLinkFault
    | faults.ProcessPause
    | faults.ProcessKill
    | faults.PowerLoss
)


def _draw(
    seed: int, machines: machines_module.Machines = _MACHINES
) -> list[faults.PlannedFault]:
    return fault_losses.draw_losses(
        seed, duration_s=_DURATION_S, machines=machines
    )


def _agent(fault: faults.Fault) -> str:
    match fault:
        case faults.ControlLinkFault(callers=(agent,)):
            return agent
        case faults.PowerLoss(processes=(agent,)):
            return agent
        case _:
            return fault.process


def _outages(
    plan: list[faults.PlannedFault],
) -> dict[str, list[faults.PlannedFault]]:
    """Returns the outages in a plan by agent."""
    found = collections.defaultdict(list)
    for item in plan:
        if isinstance(item.fault, _OUTAGES):
            found[_agent(item.fault)].append(item)
    return found


@pytest.mark.parametrize("seed", _RECORDED_LOSSES)
def test_recorded_seeds_keep_their_losses(seed: int) -> None:
    losses = fault_losses.draw_losses(
        seed, duration_s=_RECORDED_DURATION_S, machines=_MACHINES
    )
    digest = hashlib.sha256(repr(losses).encode()).hexdigest()
    assert digest.startswith(_RECORDED_LOSSES[seed])


def test_equal_seeds_give_equal_losses() -> None:
    assert _draw(7) == _draw(7)
    assert _draw(7) != _draw(8)


@pytest.mark.parametrize("seed", _SEEDS)
def test_outages_of_the_same_few_agents_follow_each_other(seed: int) -> None:
    outages = _outages(_draw(seed))
    assert 1 <= len(outages) < len(_MACHINES.sides)
    for items in outages.values():
        assert len(items) >= _MIN_OUTAGES_COUNT
        for one, other in itertools.pairwise(items):
            pause_s = other.at_s - one.at_s - one.duration_s
            assert 0 < pause_s <= _MAX_OUTAGE_PAUSE_S


def test_a_third_of_many_agents_has_no_outages() -> None:
    many = machines_module.Machines(
        _MACHINES.members,
        _MACHINES.stateless_edges,
        tuple(f"side-{n}" for n in range(1, 31)),
    )
    counts = {len(_outages(_draw(seed, many))) for seed in _SEEDS}
    assert 10 < max(counts) <= 20


def test_outages_of_each_kind_and_of_different_lengths_are_drawn() -> None:
    items = [
        item
        for seed in _SEEDS
        for outages in _outages(_draw(seed)).values()
        for item in outages
    ]
    assert {type(item.fault) for item in items} == {
        faults.ControlLinkFault,
        faults.ProcessPause,
        faults.ProcessKill,
        faults.PowerLoss,
    }
    assert min(item.duration_s for item in items) < 5.0
    assert max(item.duration_s for item in items) > 8.0


def _crash_times_s(seed: int) -> dict[str, list[float]]:
    """Returns when workers crash, by worker."""
    starts_s = collections.defaultdict(list)
    for item in _draw(seed):
        if isinstance(item.fault, faults.WorkerCrash):
            starts_s[item.fault.worker].append(item.at_s)
    return starts_s


def test_most_soaks_have_flapping_workers() -> None:
    with_flapping = [seed for seed in _SEEDS if _crash_times_s(seed)]
    assert len(_SEEDS) / 2 < len(with_flapping) < len(_SEEDS)


@pytest.mark.parametrize("seed", [s for s in _SEEDS if _crash_times_s(s)])
def test_flapping_workers_crash_after_equal_intervals(seed: int) -> None:
    intervals_s = [
        b - a
        for times_s in _crash_times_s(seed).values()
        for a, b in itertools.pairwise(times_s)
    ]
    assert min(intervals_s) >= _MIN_CRASH_INTERVAL_S - _TOLERANCE_S
    assert any(x <= _MAX_CRASH_INTERVAL_S + _TOLERANCE_S for x in intervals_s)


def test_flapping_workers_restart_under_their_id_or_a_new_one() -> None:
    kept = {
        item.fault.keeps_id
        for seed in _SEEDS
        for item in _draw(seed)
        if isinstance(item.fault, faults.WorkerCrash)
    }
    assert kept == {False, True}


def test_some_workers_are_silent_until_they_crash() -> None:
    plan = list(itertools.chain.from_iterable(map(_draw, _SEEDS)))
    crashes = [i for i in plan if isinstance(i.fault, faults.WorkerCrash)]
    silences = [i for i in plan if isinstance(i.fault, faults.LinkFault)]
    ends = {(s.fault.name, s.at_s + s.duration_s) for s in silences}
    silent = [c for c in crashes if (c.fault.worker, c.at_s) in ends]
    assert 0 < len(silent) == len(silences) < len(crashes)


def test_long_jobs_outlast_the_intervals_between_crashes() -> None:
    numbers = random.Random(1)
    bodies = [loss_jobs.draw_long_job("a", numbers)[1] for _ in range(50)]
    times_ms = [int(body["spec"].removeprefix("work ")) for body in bodies]
    assert min(times_ms) >= 1_000 * _MAX_CRASH_INTERVAL_S


def test_a_task_crashes_its_workers_at_different_ages_in_turn() -> None:
    _, body = loss_jobs.draw_crashing_job("a", random.Random(1))
    ages_ms = [
        _crash_age_ms(pool_run.PoolRun("a.0.0.0", run, body["spec"], 0, 0))
        for run in range(1, 7)
    ]
    assert sorted(ages_ms[:3]) == [200, 2_000, 6_000]
    assert ages_ms[3:] == ages_ms[:3]


def test_a_checkpoint_does_not_change_when_a_worker_crashes() -> None:
    resumed = pool_run.PoolRun("a.0.0.0", 1, "crash 200", 0, 0)
    resumed.resume("00006000")
    assert _crash_age_ms(resumed) == 200


def _crash_age_ms(run: pool_run.PoolRun) -> int:
    """Returns the age at which a run crashes its worker, in steps of 100 ms."""
    return next(
        now_ms
        for now_ms in itertools.count(100, 100)
        if run.advance(now_ms) == pool_run.CRASHED
    )
