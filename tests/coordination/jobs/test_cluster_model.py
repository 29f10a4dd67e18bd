"""Random sequences of faults around a leader, its agents and their workers."""

from collections.abc import Iterator
import contextlib
import os

import hypothesis
import pytest

from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_machine
from tests.coordination.jobs import cluster_model

# More examples with fresh seeds, by hand:
# MODEL_EXAMPLES=2000 MODEL_SEED=any pytest -s tests/coordination/jobs/test_cluster_model.py
_EXAMPLES_COUNT = int(os.environ.get("MODEL_EXAMPLES", "40"))
_HAS_FIXED_SEED = not os.environ.get("MODEL_SEED")
_MACHINES = (
    cluster_machine.ClusterMachine,
    cluster_machine.ConcludingMachine,
)

_SETTINGS = hypothesis.settings(
    max_examples=_EXAMPLES_COUNT,
    stateful_step_count=40,
    derandomize=_HAS_FIXED_SEED,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestCluster = cluster_machine.ClusterMachine.TestCase
TestCluster.settings = _SETTINGS
TestConcludingLeader = cluster_machine.ConcludingMachine.TestCase
TestConcludingLeader.settings = _SETTINGS


@pytest.fixture(autouse=True)
def print_reached() -> Iterator[None]:
    """Prints what the examples of a machine have reached."""
    yield
    for machine in _MACHINES:
        for name, count in sorted(machine.reached.items()):
            print(f"{machine.__name__} {count:7} {name}")
        machine.reached.clear()


def test_a_run_concluded_as_lost_while_it_runs_begins_nothing_beside_it() -> (
    None
):
    with contextlib.closing(cluster_model.Cluster("a1")) as cluster:
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
    with contextlib.closing(cluster_model.Cluster("a1", "a2")) as cluster:
        cluster.announce_capacity("a2", cores=0)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(builders.step(long_running=True))
        cluster.start_without_answers("a1")
        cluster.restart_agent("a1")
        cluster.announce_capacity("a1", cores=0)
        cluster.announce_capacity("a2", cores=cluster_model.WORKER_CORES)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.heal()
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        assert cluster.violations == []
        assert list(cluster.workers["a2"].running) == [("j0.0.0.0", 2)]
