"""Tests of the choice among equally suited workers."""

import dataclasses

from marigoldsill.coordination.job_locality import rack_spread
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_KEY = ("j1", 0, 0)


@dataclasses.dataclass
class _Worker:
    """A worker of 8 cores."""

    rack: str
    data_centre: str = "dc1"
    idle_millicores: float = 8000.0
    runs_count: int = 0

    @property
    def worker(self) -> ttypes.PoolWorker:
        return ttypes.PoolWorker(
            pool=builders.POOL,
            rack=self.rack,
            data_centre=self.data_centre,
            capacity=ttypes.Resources(cpu_millicores=8000),
        )

    @property
    def runs_by_step(self) -> dict[task_names.StepKey, int]:
        return {_KEY: self.runs_count}


def _choose(*workers: _Worker, tasks_count: int = 8) -> int:
    spread = rack_spread.RackSpread(lambda: workers)
    return spread.choose(_KEY, builders.step(tasks_count), workers)


def test_a_wide_step_goes_to_the_rack_with_the_fewest_of_its_runs() -> None:
    assert (
        _choose(_Worker("r1", runs_count=2), _Worker("r2", runs_count=1)) == 1
    )


def test_runs_count_in_relation_to_the_size_of_a_rack() -> None:
    small = [_Worker("r1", runs_count=1)]
    large = [_Worker("r2", runs_count=1), _Worker("r2")]
    assert _choose(*small, *large) == 1


def test_a_narrow_step_goes_to_the_least_loaded_data_centre() -> None:
    workers = [
        _Worker("r1", "dc1", idle_millicores=6000.0),
        _Worker("r2", "dc2", runs_count=1),
    ]
    assert _choose(*workers, tasks_count=2) == 1


def test_the_best_suited_worker_is_used_if_nothing_tells_them_apart() -> None:
    assert _choose(_Worker("r1"), _Worker("r2")) == 0
    assert _choose(_Worker("r1")) == 0


def test_runs_granted_in_a_round_count_until_its_end() -> None:
    workers = [_Worker("r1"), _Worker("r2")]
    spread = rack_spread.RackSpread(lambda: workers)
    step = builders.step(8)
    chosen = []
    for _ in range(4):
        position = spread.choose(_KEY, step, workers)
        spread.record_start(_KEY, step, workers[position].worker)
        chosen.append(position)
    assert chosen == [0, 1, 0, 1]
    spread.end_round()
    assert spread.choose(_KEY, step, workers) == 0
