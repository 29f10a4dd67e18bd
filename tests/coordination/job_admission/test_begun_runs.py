"""Tests that losses found by a later process of an agent count by what had begun."""

from collections.abc import Iterable

import pytest

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

_TASK = builders.task_name()


def _report(
    incarnation: int, sequence: int, **fields: object
) -> ttypes.AgentReport:
    worker_id = f"a1-incarnation{incarnation}"
    worker = ttypes.PoolWorker(
        worker_id=worker_id,
        pool=builders.POOL,
        rack="r1",
        labels=[],
        capacity=ttypes.Resources(cpu_millicores=4_000),
    )
    values = {"ends": [], "running": [], "worker": worker} | fields
    return ttypes.AgentReport(
        agent="a1",
        incarnation=incarnation,
        sequence=sequence,
        worker_id=worker_id,
        **values,
    )


def _sample() -> ttypes.RunSample:
    return ttypes.RunSample(task=_TASK, run=1, percent=0, load=0)


@pytest.fixture
def leader() -> single_leader.Leader:
    """A leader that has granted a run to agent "a1"."""
    new_leader = single_leader.Leader()
    new_leader.service.agent_report(_report(1, 1))
    new_leader.submit("j1", builders.step())
    new_leader.service.propose(
        grant_runs=ttypes.GrantRuns(grants=[builders.grant(_TASK)])
    )
    return new_leader


def _report_loss(leader: single_leader.Leader) -> ttypes.WorkerLoss:
    """Reports by a later process that the worker has ended under the run."""
    end = builders.run_end(_TASK, ttypes.RunEndKind.LOST)
    end.has_worker_ended = True
    leader.service.agent_report(_report(2, 2, ends=[end]))
    (loss,) = leader.replica.tables.jobs.find_by_name(_TASK).losses
    return loss


@pytest.mark.parametrize(
    ("begun", "running", "has_begun"),
    [
        ([], [], False),
        ([ttypes.RunId(task=_TASK, run=1)], [], True),
        ([], [_sample()], True),
        ([ttypes.RunId(task=_TASK, run=2)], [], False),
    ],
)
def test_loss_by_an_earlier_process_counts_if_it_had_reported_the_run(
    leader: single_leader.Leader,
    begun: Iterable[ttypes.RunId],
    running: Iterable[ttypes.RunSample],
    has_begun: bool,
) -> None:
    leader.service.agent_report(_report(1, 2, begun=begun, running=running))
    leader.service.agent_report(_report(2, 1))
    loss = _report_loss(leader)
    assert (loss.has_worker_ended, loss.has_begun) == (True, has_begun)


def test_run_that_a_later_incarnation_began_had_not_begun_on_the_lost_one(
    leader: single_leader.Leader,
) -> None:
    """Guards against crashes that are held against a start carried out late."""
    leader.service.agent_report(_report(2, 1, running=[_sample()]))
    assert not _report_loss(leader).has_begun


def test_planned_end_of_a_worker_is_no_crash_after_a_restart_of_its_agent(
    leader: single_leader.Leader,
) -> None:
    report = _report(1, 2, running=[_sample()])
    report.worker.draining = True
    leader.service.agent_report(report)
    leader.service.agent_report(_report(1, 3, running=[_sample()], worker=None))
    leader.service.agent_report(_report(2, 1))
    assert not _report_loss(leader).has_begun


def test_order_of_a_task_that_lost_a_worker_asks_to_report_its_begin(
    leader: single_leader.Leader,
) -> None:
    end = builders.run_end(_TASK, ttypes.RunEndKind.LOST)
    request = ttypes.OrdersRequest(agent="a1")
    (first,) = leader.service.agent_orders(request).orders
    leader.service.agent_report(_report(1, 2, ends=[end]))
    leader.service.propose(
        grant_runs=ttypes.GrantRuns(grants=[builders.grant(_TASK, 2)])
    )
    (second,) = leader.service.agent_orders(request).orders
    assert (first.must_report_start, second.must_report_start) == (False, True)
