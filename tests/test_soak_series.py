"""Tests of series of faults: their draws, their injection and how they are replayed."""

import collections
import hashlib
import itertools
import types

import pytest

from soak import fault_plans
from soak import fault_series
from soak import faults
from soak import injector
from soak import machines as machines_module
from soak import plans

_MACHINES = machines_module.Machines(
    members=("edge-1", "edge-2", "edge-3"),
    stateless_edges=("edge-4", "edge-5", "edge-6"),
    sides=("side-1", "side-2", "side-3"),
)
_SEEDS = range(20)
_DURATION_S = 15.0
_MIN_INTERVAL_S, _MAX_INTERVAL_S = 0.3, 1.5
_TOLERANCE_S = 1e-6
# SHA-256 of the plans without series of recorded seeds, the first 16 digits.
_RECORDED_PLANS = {
    9147: "fcec1af65abaa725",
    9331: "c88b72c8a183e2d0",
    9348: "2c06033ff6d0bed0",
    9401: "b9572544cfeff088",
    9506: "0f01d1793b9162c6",
    9621: "b94ee644ddb60e6c",
    9640: "afa08303d663cf02",
    9647: "c7a0b5e894655035",
}


def _draw(seed: int) -> list[faults.PlannedFault]:
    return fault_series.draw_series(
        seed, duration_s=_DURATION_S, machines=_MACHINES
    )


@pytest.mark.parametrize("seed", _RECORDED_PLANS)
def test_recorded_seeds_keep_their_plans(seed: int) -> None:
    plan = fault_plans.draw_plan(
        seed,
        duration_s=_DURATION_S,
        edges=list(_MACHINES.members),
        sides=list(_MACHINES.sides),
        stateless_edges=list(_MACHINES.stateless_edges),
    )
    digest = hashlib.sha256(repr(plan).encode()).hexdigest()
    assert digest.startswith(_RECORDED_PLANS[seed])


def test_equal_seeds_give_equal_series() -> None:
    assert _draw(7) == _draw(7)
    assert _draw(7) != _draw(8)


@pytest.mark.parametrize("seed", _SEEDS)
def test_each_fault_is_repeated_after_equal_short_intervals(seed: int) -> None:
    starts_s = collections.defaultdict(list)
    for item in _draw(seed):
        starts_s[item.fault, item.duration_s].append(item.at_s)
    for times_s in starts_s.values():
        intervals_s = [b - a for a, b in itertools.pairwise(times_s)]
        # A fault that two groups draw has a pause between its series.
        series_s = [x for x in intervals_s if x <= _MAX_INTERVAL_S]
        assert all(x >= _MIN_INTERVAL_S - _TOLERANCE_S for x in series_s)
    assert max(len(times_s) for times_s in starts_s.values()) >= 4


@pytest.mark.parametrize("seed", _SEEDS)
def test_faults_of_a_series_end_before_they_are_repeated(seed: int) -> None:
    by_fault = collections.defaultdict(list)
    for item in _draw(seed):
        by_fault[item.fault, item.duration_s].append(item)
    lasting = [
        pair
        for (fault, _), items in by_fault.items()
        if isinstance(fault, faults.DelayedCalls | faults.RefusedCalls)
        for pair in itertools.pairwise(items)
    ]
    assert all(
        one.at_s + one.duration_s <= other.at_s + _TOLERANCE_S
        for one, other in lasting
    )


def test_series_draw_each_kind_for_workers_and_for_edges() -> None:
    drawn = {
        (type(item.fault), name.partition("-")[0])
        for seed in _SEEDS
        for item in _draw(seed)
        for name in _names(item.fault)
    }
    assert drawn == {
        (faults.ConnectionReset, "side"),
        (faults.RefusedCalls, "side"),
        (faults.DelayedCalls, "side"),
        (faults.WorkerCrash, "side"),
        (faults.ProcessKill, "side"),
        (faults.ProcessPause, "side"),
        (faults.ProcessReload, "side"),
        (faults.ConnectionReset, "edge"),
        (faults.LeaderKill, "edge"),
        (faults.ProcessPause, "edge"),
        (faults.ProcessReload, "edge"),
    }


def _names(fault: faults.Fault) -> tuple[str, ...]:
    match fault:
        case faults.ConnectionReset(names=names):
            return names
        case faults.LeaderKill():
            return _MACHINES.members
        case (
            faults.ProcessKill()
            | faults.ProcessPause()
            | faults.ProcessReload()
        ):
            return (fault.process,)
        case _:
            return (fault.worker,)


def test_resets_refusals_and_late_starts_meet_at_one_worker() -> None:
    assert any(
        _is_active(plan, reset, faults.RefusedCalls)
        and _is_active(plan, reset, faults.DelayedCalls)
        for seed in _SEEDS
        for plan in (_draw(seed),)
        for reset in plan
        if isinstance(reset.fault, faults.ConnectionReset)
    )


def _is_active(
    plan: list[faults.PlannedFault],
    reset: faults.PlannedFault,
    kind: type[faults.Fault],
) -> bool:
    """Whether a fault is active at a worker whose connections are reset."""
    return any(
        item.at_s <= reset.at_s <= item.at_s + item.duration_s
        and item.fault.worker in reset.fault.names
        for item in plan
        if isinstance(item.fault, kind)
    )


@pytest.mark.parametrize(
    ("options", "ending"),
    [
        (set(), "--edges 6"),
        ({"has_series"}, "--edges 6 --series"),
        ({"has_losses"}, "--edges 6 --losses"),
        ({"has_misbehaviour"}, "--edges 6 --misbehaviour"),
    ],
)
def test_the_command_that_replays_a_soak_tells_of_its_options(
    options: set[str], ending: str
) -> None:
    names = ("has_series", "has_losses", "has_misbehaviour")
    arguments = plans.replay_arguments(
        7, 15.0, 3, 6, **{name: name in options for name in names}
    )
    assert arguments == (
        f"--seeds 1 --first 7 --seconds 15 --workers 3 {ending}"
    )


class _System:
    """A system with one process that records whether it was killed."""

    def __init__(self, leader: str | None):
        self.calls: list[str] = []
        self.processes = {
            "edge-2": types.SimpleNamespace(
                kill=lambda: self.calls.append("kill")
            )
        }
        self._leader = leader

    def find_current_leader(self) -> str | None:
        return self._leader

    def restart(self, name: str) -> None:
        self.calls.append(f"restart {name}")


def test_a_leader_is_killed_and_recorded_by_its_name() -> None:
    system = _System("edge-2")
    tested = injector.Injector(system, {}, {}, {})
    tested.inject([faults.PlannedFault(0.0, 0.01, faults.LeaderKill())])
    assert system.calls == ["kill", "restart edge-2"]
    assert [item.fault for item in tested.started_ns] == [
        faults.ProcessKill("edge-2")
    ]
    assert list(tested.ended_ns) == list(tested.started_ns)


def test_without_a_leader_no_fault_is_recorded() -> None:
    system = _System(None)
    tested = injector.Injector(system, {}, {}, {})
    tested.inject([faults.PlannedFault(0.0, 0.01, faults.LeaderKill())])
    assert system.calls == []
    assert tested.started_ns == {}
