"""Tests that nothing is granted to an agent that has stopped reporting."""

import contextlib

from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_model

# Less than a lease; an agent that reports does so each second.
_SILENCE_S = 3.0


def _leader_with_silent_agent() -> cluster_model.Cluster:
    cluster = cluster_model.Cluster("a1", "a2")
    cluster.run_in_turn(rounds_count=2, pause_s=0.3)
    cluster.links["a1"].is_cut = True
    cluster.run_in_turn(rounds_count=3, pause_s=_SILENCE_S / 3)
    return cluster


def test_task_is_granted_to_an_agent_that_reports_rather_than_to_a_silent_one() -> (
    None
):
    """Guards against sound tasks that are given up after losses of silent agents."""
    with contextlib.closing(_leader_with_silent_agent()) as cluster:
        for _ in range(cluster_model.WORKER_CORES + 1):
            cluster.submit(builders.step())
        cluster.run_in_turn(rounds_count=2, pause_s=0.1)
        assert "a1" not in cluster.leader.jobs.runs
        assert len(cluster.leader.jobs.runs["a2"]) == cluster_model.WORKER_CORES


def test_agent_gets_runs_once_it_reports_again() -> None:
    with contextlib.closing(_leader_with_silent_agent()) as cluster:
        for _ in range(cluster_model.WORKER_CORES + 1):
            cluster.submit(builders.step())
        cluster.links["a1"].is_cut = False
        cluster.run_in_turn(rounds_count=3, pause_s=0.1)
        assert len(cluster.leader.jobs.runs["a1"]) == 1
