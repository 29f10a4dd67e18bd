"""Random sequences of faults around a leader, its agents and their workers."""

from collections.abc import Iterator
import contextlib

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_faults
from tests.coordination.jobs import model_jobs
from tests.coordination.jobs import model_settings
from tests.coordination.jobs import scenario_machine

_MACHINES = (
    scenario_machine.ScenarioMachine,
    scenario_machine.ConcludingMachine,
)

TestCluster = scenario_machine.ScenarioMachine.TestCase
TestCluster.settings = model_settings.SETTINGS
TestConcludingLeader = scenario_machine.ConcludingMachine.TestCase
TestConcludingLeader.settings = model_settings.SETTINGS


@pytest.fixture(autouse=True)
def print_reached() -> Iterator[None]:
    """Prints what the examples of a machine have reached."""
    yield
    for machine in _MACHINES:
        machine.print_reached()


def test_a_run_concluded_as_lost_while_it_runs_begins_nothing_beside_it() -> (
    None
):
    with contextlib.closing(cluster_faults.FaultyCluster("a1")) as cluster:
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(builders.step(long_running=True))
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.conclude_end(0)
        cluster.run_in_turn(rounds_count=1, pause_s=0.3)
        assert cluster.violations == []
        assert cluster.counts["ends concluded of a run on its worker"] == 1
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        assert list(cluster.workers["a1"].running) == [("j0.0.0.0", 2)]


def test_unanswered_start_of_a_restarted_agent_begins_nothing_beside_the_next_run() -> (
    None
):
    with contextlib.closing(
        cluster_faults.FaultyCluster("a1", "a2")
    ) as cluster:
        cluster.announce_capacity("a2", cores=0)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(builders.step(long_running=True))
        cluster.start_without_answers("a1")
        cluster.restart_agent("a1")
        cluster.announce_capacity("a1", cores=0)
        cluster.announce_capacity("a2", cores=cluster_faults.WORKER_CORES)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.heal()
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        assert cluster.violations == []
        assert list(cluster.workers["a2"].running) == [("j0.0.0.0", 2)]


def test_a_gang_begins_again_once_all_its_runs_have_ended() -> None:
    with contextlib.closing(
        cluster_faults.FaultyCluster("a1", "a2")
    ) as cluster:
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(
            builders.step(
                2, gang=True, resources=model_jobs.resources_of(cores=3)
            )
        )
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        assert cluster.counts["starts of gangs"] == 2
        cluster.stop_slowly("a2", duration_s=2.0)
        cluster.end_run("a1", 0, ttypes.RunEndKind.FAILED)
        cluster.run_in_turn(rounds_count=5, pause_s=0.3)
        assert list(cluster.workers["a2"].running.values())[0].run == 1
        cluster.run_in_turn(rounds_count=10, pause_s=0.3)
        assert cluster.counts["starts of gangs"] == 4
        assert cluster.violations == []


def test_a_late_start_on_an_evacuated_worker_begins_nothing_beside_the_next_run() -> (
    None
):
    with contextlib.closing(
        cluster_faults.FaultyCluster("a1", "a2")
    ) as cluster:
        cluster.announce_capacity("a2", cores=0)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(builders.step(long_running=True))
        cluster.start_without_answers("a1", lateness_s=2.5)
        cluster.announce_capacity("a2", cores=cluster_faults.WORKER_CORES)
        cluster.evacuate("a1", duration_s=60.0)
        cluster.run_in_turn(rounds_count=12, pause_s=0.3)
        assert list(cluster.workers["a2"].running) == [("j0.0.0.0", 2)]
        assert not cluster.workers["a1"].late_calls
        assert cluster.violations == []
