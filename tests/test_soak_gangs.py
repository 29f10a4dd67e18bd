"""Tests of gangs beside bad workers in soaks, and of the checks of gangs."""

import itertools
import pathlib
import random
import types

import pytest

from marigoldsill.transport import http_client
from soak import bounds
from soak import faults
from soak import gang_invariants
from soak import gang_jobs
from soak import history as history_module
from soak import injector
from soak import invariants
from soak import machines as machines_module
from soak import misbehaviour_plans
from standins import pool_worker
from tests import soak_histories as histories
from tests import stand_in_workers

_MACHINES = machines_module.Machines(
    members=("edge-1", "edge-2", "edge-3"),
    stateless_edges=("edge-4", "edge-5", "edge-6"),
    sides=("side-1", "side-2", "side-3", "side-4"),
)
_SEEDS = range(20)
_DURATION_S = 30.0
_FAULT = histories.injected_fault(faults.BadWorker("side-1"), 5, 10)
_CALM_S = 10 + bounds.FINISH_S
_TASK_NUMBERS = itertools.count()
_TASKS_PER_WORKER = faults.CAPACITY_MILLICORES // bounds.TASK_MILLICORES


def _bad_spells(seed: int) -> dict[str, list[faults.PlannedFault]]:
    """Returns when workers are bad, by worker."""
    spells: dict[str, list[faults.PlannedFault]] = {}
    for item in misbehaviour_plans.draw(
        seed, duration_s=_DURATION_S, machines=_MACHINES
    ):
        if isinstance(item.fault, faults.BadWorker):
            spells.setdefault(item.fault.worker, []).append(item)
    return spells


def test_equal_seeds_give_equal_misbehaviour() -> None:
    plans = [
        misbehaviour_plans.draw(
            seed, duration_s=_DURATION_S, machines=_MACHINES
        )
        for seed in (7, 7, 8)
    ]
    assert plans[0] == plans[1] != plans[2]


@pytest.mark.parametrize("seed", _SEEDS)
def test_half_of_the_workers_are_never_bad_and_the_others_become_good(
    seed: int,
) -> None:
    spells = _bad_spells(seed)
    assert 1 <= len(spells) <= len(_MACHINES.sides) / 2
    for items in spells.values():
        assert len(items) >= 3
        for one, other in itertools.pairwise(items):
            assert other.at_s - one.at_s - one.duration_s >= 1.0


def test_bad_workers_refuse_or_fail_all_starts_or_a_share() -> None:
    drawn = [
        item.fault
        for seed in _SEEDS
        for items in _bad_spells(seed).values()
        for item in items
    ]
    for name in ("refused_share", "failed_share"):
        shares = {getattr(fault, name) for fault in drawn}
        assert {0.0, 1.0} < shares
        assert any(0.3 <= share <= 0.8 for share in shares)


def test_gangs_are_for_any_worker_or_for_one() -> None:
    numbers = random.Random(1)
    drawn = [
        gang_jobs.draw_gang("a", numbers, machines=_MACHINES.sides)
        for _ in range(100)
    ]
    labels = {(j.machine, b["steps"][0].get("requirements")) for j, b in drawn}
    assert labels == {("", None)} | {
        (side, f"r1-{side[-1]}") for side in _MACHINES.sides
    }
    for job, body in drawn:
        assert job.gang
        assert body["steps"][0]["gang"]
        assert body["spec"].split()[1] == str(job.task_counts[0])
    assert {job.task_counts[0] for job, _ in drawn} == set(range(2, 7))


@pytest.fixture
def worker(tmp_path: pathlib.Path):
    with stand_in_workers.serving(tmp_path) as new_worker:
        yield new_worker


def _start_runs(worker: pool_worker.PoolWorker, count: int) -> list[int]:
    """Starts runs of new tasks and returns the statuses."""
    client = http_client.Client()
    return [
        stand_in_workers.start_run(
            worker, task=f"j.0.0.{next(_TASK_NUMBERS)}", client=client
        )
        for _ in range(count)
    ]


@pytest.mark.parametrize(
    ("fault", "statuses", "runs_counts"),
    [
        (faults.BadWorker("side-1", refused_share=1.0), {503}, {0}),
        (faults.BadWorker("side-1", failed_share=1.0), {200}, {0}),
        (
            faults.BadWorker("side-1", refused_share=0.5),
            {200, 503},
            set(range(1, 40)),
        ),
        (
            faults.BadWorker("side-1", failed_share=0.5),
            {200},
            set(range(1, 40)),
        ),
    ],
)
def test_a_worker_is_bad_until_the_end_of_the_fault(
    worker: pool_worker.PoolWorker,
    fault: faults.BadWorker,
    statuses: set[int],
    runs_counts: set[int],
) -> None:
    tested = injector.Injector(
        types.SimpleNamespace(workers={"side-1": worker}), {}, {}, {}
    )
    tested._start_fault(fault)
    assert set(_start_runs(worker, 40)) == statuses
    assert len(worker.running_tasks()) in runs_counts
    tested._end_fault(fault)
    runs_count = len(worker.running_tasks())
    assert set(_start_runs(worker, 20)) == {200}
    assert len(worker.running_tasks()) == runs_count + 20


def _gang_run(run: int, *outcomes: str) -> list[dict]:
    """Returns the lines of a run of a gang, given how each member ends."""
    return [
        line
        for index, how in enumerate(outcomes)
        for line in histories.run_lines(
            run, run + 0.5, f"{histories.JOB}.0.0.{index}", run=run, how=how
        )
    ]


def _failed_gang(*lines: dict) -> history_module.History:
    job = histories.submitted_job(
        3, gang=True, state="failed", failed_ns=histories.ns(50)
    )
    return histories.history(job, *lines)


def test_a_gang_may_fail_after_failures_of_different_members() -> None:
    history = _failed_gang(
        *_gang_run(1, "failed", "broken", "broken"),
        *_gang_run(2, "broken", "failed", "broken"),
        *_gang_run(3, "broken", "broken", "failed"),
    )
    assert invariants.failed_without_crashes(history) == []


def test_a_gang_that_failed_after_failures_of_all_members_in_a_run_is_found():
    history = _failed_gang(
        *_gang_run(1, "failed", "failed", "failed"),
        *_gang_run(2, "failed", "failed", "failed"),
    )
    assert invariants.failed_without_crashes(history)


def _waiting_gang(
    *lines: dict, machine: str = "", **fields: object
) -> history_module.History:
    job = histories.submitted_job(2, gang=True, machine=machine, **fields)
    return histories.history(job, *lines, injected_faults=[_FAULT])


def _other_runs(
    count: int, machine: str, ended_s: float = histories.END_S
) -> list[dict]:
    return [
        line
        for index in range(count)
        for line in histories.run_lines(
            2, ended_s, f"{'b' * 16}.0.0.{index}{machine}", machine=machine
        )
    ]


def _gang_lines(started_s: float, how: str = "done") -> list[dict]:
    return [
        line
        for task in (histories.TASK, histories.OTHER)
        for line in histories.run_lines(started_s, started_s + 1, task, how=how)
    ]


@pytest.mark.parametrize(
    "history",
    [
        _waiting_gang(*_gang_lines(_CALM_S + 2)),
        _waiting_gang(*_gang_lines(3)),
        _waiting_gang(cancelling=True),
        _waiting_gang(accepted=False),
        _waiting_gang(failed_ns=histories.ns(_CALM_S + 2), state="failed"),
        # Without room for the gang twice over on its only worker, or without half of
        # the capacity.
        _waiting_gang(
            *_other_runs(_TASKS_PER_WORKER - 3, "1"), machine="side-1"
        ),
        _waiting_gang(*_other_runs(_TASKS_PER_WORKER, "1")),
    ],
)
def test_a_gang_that_runs_soon_or_has_no_room_is_valid(
    history: history_module.History,
) -> None:
    assert gang_invariants.idle_gangs(history) == []


@pytest.mark.parametrize(
    "history",
    [
        _waiting_gang(),
        _waiting_gang(machine="side-1"),
        _waiting_gang(*_gang_lines(_CALM_S + 4)),
        _waiting_gang(*_gang_lines(3, how="failed")),
        _waiting_gang(failed_ns=histories.ns(_CALM_S + 4), state="failed"),
        _waiting_gang(
            *_other_runs(_TASKS_PER_WORKER - 4, "1"), machine="side-1"
        ),
        _waiting_gang(
            *_other_runs(_TASKS_PER_WORKER - 3, "2"), machine="side-1"
        ),
        _waiting_gang(*_other_runs(_TASKS_PER_WORKER, "1", _CALM_S + 4)),
    ],
)
def test_a_gang_that_waits_beside_free_workers_is_found(
    history: history_module.History,
) -> None:
    messages = gang_invariants.idle_gangs(history)
    assert messages
    assert set(messages) <= set(invariants.violations(history))


def test_a_gang_left_alone_after_a_bad_worker_is_found() -> None:
    """The fault of a worker that was not granted the gang is no excuse."""
    alone = histories.run_lines(8, 11, how="alone", machine="2")
    history = _waiting_gang(*alone)
    history.grants = [history_module.Grant(histories.TASK, 1, "side-2")]
    assert gang_invariants.incomplete_gangs(history)
    history.grants = [history_module.Grant(histories.TASK, 1, "side-1")]
    assert gang_invariants.incomplete_gangs(history) == []
