"""Tests guaranteed shares in the scheduling loop with a single in-memory replica."""

from collections.abc import Iterator

import pytest

from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.protocol.generated import ttypes
from tests import one_process
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

_FLOOD, _REPORTS = "flood", "reports"
_RECLAIM_S = 0.3


@pytest.fixture
def leader() -> Iterator[single_leader.Leader]:
    new_leader = single_leader.Leader(
        scheduling_settings.SchedulingSettings(
            shares=shares_module.ShareSettings(
                ratios={_REPORTS: 0.5}, reclaim_s=_RECLAIM_S
            )
        )
    )
    queues = [builders.queue(_FLOOD), builders.queue(_REPORTS, priority=1)]
    new_leader.service.replace_routing(builders.routing(2, queues))
    new_leader.scheduler.start(new_leader.service)
    yield new_leader
    new_leader.scheduler.stop()


def _orders(leader: single_leader.Leader, agent: str) -> list[ttypes.RunOrder]:
    request = ttypes.OrdersRequest(agent=agent, term=0, version=0, wait_ms=0)
    return leader.service.agent_orders(request).orders


def _stops(leader: single_leader.Leader, agent: str) -> list[ttypes.RunOrder]:
    return [
        order
        for order in _orders(leader, agent)
        if order.desire == ttypes.RunDesire.STOP
    ]


def test_a_share_gets_its_guarantee_from_a_queue_that_borrowed_it(
    leader: single_leader.Leader,
) -> None:
    leader.submit("f", builders.step(8), queue=_FLOOD)
    leader.report("a1", cores=4)
    one_process.wait_until(
        lambda: len(leader.runs.get("a1", ())) == 4, what="a full worker"
    )
    leader.submit("r", builders.step(4), queue=_REPORTS)
    one_process.wait_until(
        lambda: len(_stops(leader, "a1")) == 2, what="two evictions"
    )
    # Evicted runs count until their end is recorded.
    assert not any(task.startswith("r") for task in leader.runs["a1"])
    ends = [
        builders.run_end(order.task, ttypes.RunEndKind.STOPPED, order.run)
        for order in _stops(leader, "a1")
    ]
    leader.report("a1", cores=4, ends=ends)
    one_process.wait_until(
        lambda: sum(t.startswith("r") for t in leader.runs["a1"]) == 2,
        what="two runs of the share",
    )
    assert len(leader.runs["a1"]) == 4
    assert not _stops(leader, "a1")
