"""Tests that stalled workers are detected, and slow runs are not."""

import pytest

from marigoldsill.coordination.job_learning import stall_detector
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_ESTIMATED_MS = 4_000


class _Case:
    """One worker that runs tasks of one job and lists them every half second."""

    def __init__(self):
        self.state = builders.State()
        self.detector = stall_detector.StallDetector(urgency_module.Urgency())
        self.now_s = 100.0
        worker = ttypes.PoolWorker(
            worker_id="a1-incarnation1", pool=builders.POOL
        )
        self.view = agents_module.AgentView("a1", worker=worker)

    def submit(self, tasks_count: int, **fields: object) -> None:
        step = builders.step(
            tasks_count, **({"estimated_ms": _ESTIMATED_MS} | fields)
        )
        self.state.submit(builders.job("j1", step))
        for index in range(tasks_count):
            self.state.grant(builders.grant(builders.task_name(index)))

    def report(self, *percents: int, load: int = 1_000) -> None:
        """Reports the progress of each run, half a second later."""
        self.now_s += 0.5
        self.view.sampled_s = self.now_s
        self.view.samples = {
            (builders.task_name(index), 1): ttypes.RunSample(
                task=builders.task_name(index),
                run=1,
                percent=percent,
                load=load,
            )
            for index, percent in enumerate(percents)
        }

    def find_stalls(self) -> list[stall_detector.Stall]:
        return self.detector.find_stalls(self.state.tables.jobs, [self.view])

    def detects_stall(self, *percents: int, load: int = 1_000) -> bool:
        """Returns whether a stall is detected within 4 s of equal reports."""
        found = []
        for _ in range(8):
            self.report(*percents, load=load)
            found += self.find_stalls()
        return bool(found)


@pytest.fixture
def case() -> _Case:
    return _Case()


def test_runs_that_stall_together_are_detected_within_two_seconds(
    case: _Case,
) -> None:
    case.submit(3)
    case.report(10, 70, 30)
    case.find_stalls()
    for _ in range(3):
        assert case.find_stalls() == []
        case.report(10, 70, 30)
    (stall,) = case.find_stalls()
    assert (stall.worker_id, stall.agent) == ("a1-incarnation1", "a1")
    assert stall.runs_count == 3
    evicted = {task for task, _ in stall.worth_evicting}
    assert evicted == {builders.task_name(0), builders.task_name(2)}


def test_with_checkpoints_every_run_is_worth_evicting(
    case: _Case,
) -> None:
    case.submit(2, checkpointing=True)
    assert case.detects_stall(10, 90)
    (stall,) = case.find_stalls()
    assert len(stall.worth_evicting) == 2


def test_a_single_stalled_run_is_not_a_stall_of_its_worker(
    case: _Case,
) -> None:
    case.submit(1)
    assert not case.detects_stall(10)


def test_a_worker_with_a_run_that_makes_progress_has_not_stalled(
    case: _Case,
) -> None:
    case.submit(3)
    for percent in range(10, 50, 5):
        case.report(10, 10, percent)
        assert case.find_stalls() == []
    assert case.detector.made_progress(case.view)


def test_runs_without_processor_time_are_not_stalled(
    case: _Case,
) -> None:
    case.submit(3)
    assert not case.detects_stall(10, 10, 10, load=0)


def test_runs_of_long_tasks_have_more_time_for_each_percent(
    case: _Case,
) -> None:
    case.submit(3, estimated_ms=100_000)
    assert not case.detects_stall(10, 10, 10)


def test_runs_with_little_processor_time_have_more_time_for_each_percent(
    case: _Case,
) -> None:
    case.submit(3)
    assert not case.detects_stall(10, 10, 10, load=40)


def test_long_running_tasks_are_never_stalled(case: _Case) -> None:
    case.submit(3, long_running=True)
    assert not case.detects_stall(100, 100, 100)
