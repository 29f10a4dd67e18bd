"""Short sequences of faults, each of which one guard against a second run prevents.

`build_tools/guards.py` has the guards.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math

import pytest

from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_acts
from tests.coordination.jobs import cluster_faults
from tests.coordination.jobs import cluster_scenarios
from tests.coordination.jobs import cluster_settling
from tests.coordination.jobs import model_jobs

_Cluster = cluster_faults.FaultyCluster
_SETTLING_ROUNDS = 80


@pytest.fixture
def cluster() -> Iterator[_Cluster]:
    """A cluster of two agents that breaks no rule until it settles."""
    with contextlib.closing(_Cluster("a1", "a2")) as new_cluster:
        _run(new_cluster)
        yield new_cluster
        _run(new_cluster)
        cluster_settling.settle(new_cluster, rounds_count=_SETTLING_ROUNDS)
        assert new_cluster.violations == []
        assert cluster_settling.unordered_runs(new_cluster) == []
        assert cluster_settling.stuck_orders(new_cluster) == []


def _run(cluster: _Cluster) -> None:
    cluster.run_in_turn(rounds_count=3, pause_s=0.3)


def _grant(cluster: _Cluster, *, cores: int = 1) -> None:
    """Grants a run to the first agent, while the second one has no room."""
    cluster.announce_capacity("a2", cores=0)
    _run(cluster)
    resources = model_jobs.resources_of(cores)
    cluster.submit(builders.step(long_running=True, resources=resources))
    cluster.schedule()
    cluster.announce_capacity("a2", cores=cluster_faults.WORKER_CORES)


def test_a_run_that_still_stops_and_was_never_listed_has_not_ended(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    cluster_scenarios.evict_unlisted_runs(
        cluster, "a1", call="renew", lateness_s=math.inf
    )
    _run(cluster)
    assert cluster.counts["evictions"]


def test_runs_on_a_deregistered_worker_without_answers_have_not_ended(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    _run(cluster)
    cluster_scenarios.leave_silently(cluster, "a1", leaves_after_s=8.0)
    _run(cluster)
    assert cluster.workers["a1"].running


@pytest.mark.parametrize("changes_leader", [False, True])
def test_a_late_refusal_of_an_earlier_process_ends_no_run_of_the_next_one(
    cluster: _Cluster, changes_leader: bool
) -> None:
    _grant(cluster)
    cluster_scenarios.replace_refusing_agent(
        cluster,
        "a1",
        reason=cluster_acts.be_unwell,
        is_report_late=True,
        changes_leader=changes_leader,
        rounds_count=2,
    )
    assert cluster.workers["a1"].running
    assert cluster.counts["late reports"] == 1


def test_a_refusal_that_may_be_recorded_is_known_before_the_next_process_starts_runs(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    cluster_scenarios.replace_refusing_agent(
        cluster,
        "a1",
        reason=cluster_acts.be_unwell,
        is_report_late=False,
        changes_leader=False,
        rounds_count=2,
    )
    assert not cluster.workers["a1"].running


def test_a_run_that_an_earlier_process_may_begin_is_not_refused(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    cluster.start_without_answers("a1", lateness_s=2.5)
    cluster.restart_agent("a1")
    cluster_acts.lose_capacity(cluster, "a1")
    _run(cluster)
    assert cluster.workers["a1"].late_calls


@pytest.mark.parametrize(
    ("is_reply_under_way", "changes_leader"),
    [(False, False), (False, True), (True, True)],
    ids=["older than the lease", "of an earlier term", "late and of one"],
)
def test_an_agent_that_was_frozen_starts_no_run_by_orders(
    cluster: _Cluster, is_reply_under_way: bool, changes_leader: bool
) -> None:
    _grant(cluster)
    cluster_scenarios.freeze_agent(
        cluster,
        "a1",
        is_reply_under_way=is_reply_under_way,
        changes_leader=changes_leader,
        acts_after=[
            _Cluster.renew,
            _Cluster.report,
            _Cluster.report,
            _Cluster.execute,
        ],
    )
    assert cluster.counts["ends by a lease"] == 1


def test_orders_from_before_the_record_of_a_refusal_begin_no_run(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    cluster_scenarios.refuse_during_reply(
        cluster,
        "a1",
        reason=cluster_acts.be_unwell,
        is_worker_silent=True,
        acts_after=[_Cluster.execute],
    )
    assert cluster.counts["ends as refused"] == 1


@pytest.mark.parametrize(
    "fault_of_records",
    [
        cluster_scenarios.meet_before_note,
        cluster_scenarios.lose_term_before_losses,
    ],
)
@pytest.mark.parametrize("has_begun", [True, False])
def test_a_lease_that_is_renewed_while_its_end_is_recorded_loses_no_run(
    cluster: _Cluster,
    fault_of_records: Callable[[_Cluster, str], None],
    has_begun: bool,
) -> None:
    _grant(cluster)
    if has_begun:
        _run(cluster)
    cluster_scenarios.lose_contact(
        cluster,
        "a1",
        duration_s=8.5,
        rounds_before_count=0,
        fault_of_records=fault_of_records,
    )


def test_runs_are_not_lost_before_the_worker_has_answered_a_new_process(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    _run(cluster)
    cluster.restart_agent("a1")
    _run(cluster)
    assert cluster.workers["a1"].running


def test_a_start_that_may_have_been_sent_twice_is_not_refused_by_one_answer(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    cluster_scenarios.refuse_second_requests(cluster, "a1", lateness_s=0.8)
    _run(cluster)
    assert cluster.counts["broken connections"] == 1


def test_a_start_that_was_due_before_the_capacity_shrank_is_not_requested(
    cluster: _Cluster,
) -> None:
    _grant(cluster)
    cluster.deliver_orders("a1")
    cluster.execute_slowly(
        "a1",
        acts_before_calls=[cluster_acts.lose_capacity],
        acts_before_answer=[],
    )
    assert cluster.workers["a1"].calls == []


def test_no_run_is_requested_beside_one_that_was_never_ordered(
    cluster: _Cluster,
) -> None:
    _grant(cluster, cores=3)
    cluster.deliver_orders("a1")
    cluster_scenarios.begin_unordered_run(cluster, "a1", cores=2)
    _run(cluster)
    assert cluster.counts["runs that were never ordered"] == 1
