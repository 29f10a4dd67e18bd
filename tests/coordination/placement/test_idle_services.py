"""Batch runs beside services that nobody calls."""

import pytest

from tests.coordination import world as world_module

_JOBS_COUNT = 12


def _running_beside(*, latency_ms: float, **policy: float) -> int:
    """How many of the jobs run after two minutes beside the one service."""
    world = world_module.World(**policy)
    world.worker("w1", cores=30)
    world.service("lookup", latency_target_ms=200)
    for step in range(60):
        world.step(passed_s=3)
        if latency_ms:
            world.measure("lookup/0", cores=1, latency_ms=latency_ms)
        if step == 20:
            for number in range(_JOBS_COUNT):
                world.job(f"rebuild-{number}")
    tasks = world.tables.tasks_on("w1")
    return sum(task.owner != "lookup" for task in tasks)


@pytest.mark.parametrize(
    ("latency_weight", "batch_weight", "least_count"),
    [(0.9, 0.1, 1), (0.5, 0.5, 3), (0.1, 0.9, 5)],
)
def test_batch_work_does_not_wait_for_callers_that_do_not_come(
    latency_weight: float, batch_weight: float, least_count: int
):
    running_count = _running_beside(
        latency_ms=0, latency_weight=latency_weight, batch_weight=batch_weight
    )
    assert least_count <= running_count < _JOBS_COUNT


def test_a_service_whose_callers_wait_too_long_is_not_taken_for_idle():
    assert _running_beside(latency_ms=190, batch_weight=0.9) <= 1
