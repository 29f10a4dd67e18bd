"""Random sequences of faults around workers that keep their names."""

from collections.abc import Iterator
import contextlib

import pytest

from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_faults
from tests.coordination.jobs import model_settings
from tests.coordination.jobs import model_worker
from tests.coordination.jobs import restarting_machine

TestRestartingWorkers = restarting_machine.RestartingMachine.TestCase
TestRestartingWorkers.settings = model_settings.SETTINGS


@pytest.fixture(autouse=True)
def print_reached() -> Iterator[None]:
    """Prints what the examples have reached."""
    yield
    restarting_machine.RestartingMachine.print_reached()


def test_a_repeated_start_without_answers_begins_a_run_once() -> None:
    with contextlib.closing(
        cluster_faults.FaultyCluster(
            "a1", worker_type=model_worker.RestartingModelWorker
        )
    ) as cluster:
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(builders.step(long_running=True))
        cluster.workers["a1"].unanswered.add("start")
        cluster.run_in_turn(rounds_count=3, pause_s=0.3)
        cluster.run_late_call("a1", 0)
        cluster.restart_worker("a1")
        cluster.run_late_call("a1", 0)
        assert cluster.violations == []
