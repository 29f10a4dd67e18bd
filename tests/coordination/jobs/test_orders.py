"""Tests that agents get the changes since the version that they have."""

import pytest

from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests.coordination.jobs import builders

_TERM = 3


class _Leader:
    """The orders of a leader, refreshed before each reply."""

    def __init__(self):
        self.state = builders.State()
        self.orders = orders_module.Orders()

    def refresh(self) -> None:
        for agent in self.state.tables.jobs.pop_changed_agents():
            self.orders.refresh(self.state.tables, agent)

    def changes_since(
        self, version: int, term: int = _TERM
    ) -> ttypes.OrdersReply:
        self.refresh()
        request = ttypes.OrdersRequest(agent="a1", term=term, version=version)
        return self.orders.changes_since(self.state.tables, request, term=_TERM)


@pytest.fixture
def leader() -> _Leader:
    new_leader = _Leader()
    new_leader.state.submit(builders.job("j1", builders.step(3)))
    new_leader.state.grant(builders.grant(builders.task_name(0)))
    return new_leader


def _desires(reply: ttypes.OrdersReply) -> dict[str, ttypes.RunDesire]:
    return {order.task: order.desire for order in reply.orders}


def test_an_agent_without_orders_gets_all_orders(leader: _Leader) -> None:
    reply = leader.changes_since(0, term=0)
    assert reply.whole
    assert _desires(reply) == {builders.task_name(0): ttypes.RunDesire.RUN}
    assert reply.orders[0].command == "command of j1"


def test_an_agent_with_a_version_gets_the_changes_since_then(
    leader: _Leader,
) -> None:
    before = leader.changes_since(0)
    leader.state.grant(builders.grant(builders.task_name(1)))
    reply = leader.changes_since(before.version)
    assert not reply.whole
    assert list(_desires(reply)) == [builders.task_name(1)]


def test_a_request_may_be_repeated(leader: _Leader) -> None:
    before = leader.changes_since(0)
    leader.state.grant(builders.grant(builders.task_name(1)))
    assert _desires(leader.changes_since(before.version)) == _desires(
        leader.changes_since(before.version)
    )


def test_an_ended_run_is_removed(leader: _Leader) -> None:
    before = leader.changes_since(0)
    leader.state.end(
        builders.run_end(builders.task_name(0), ttypes.RunEndKind.DONE)
    )
    reply = leader.changes_since(before.version)
    assert [(r.task, r.run) for r in reply.removed] == [
        (builders.task_name(0), 1)
    ]


def test_runs_of_a_cancelled_job_have_to_stop(leader: _Leader) -> None:
    before = leader.changes_since(0)
    leader.state.cancel()
    reply = leader.changes_since(before.version)
    assert _desires(reply) == {builders.task_name(0): ttypes.RunDesire.STOP}


def test_an_evicted_run_has_to_stop(leader: _Leader) -> None:
    before = leader.changes_since(0)
    leader.orders.evicted.add((builders.task_name(0), 1))
    leader.orders.refresh(leader.state.tables, "a1")
    reply = leader.changes_since(before.version)
    assert _desires(reply) == {builders.task_name(0): ttypes.RunDesire.STOP}


def test_another_copy_of_a_done_task_has_to_stop(leader: _Leader) -> None:
    step = builders.step(2, speculative=True)
    leader.state.submit(builders.job("j2", step))
    name = builders.task_name(0, "j2")
    leader.state.grant(builders.grant(name), builders.grant(name, 2, "a2"))
    before = leader.changes_since(0)
    leader.state.end(builders.run_end(name, ttypes.RunEndKind.DONE, run=2))
    reply = leader.changes_since(before.version)
    assert _desires(reply) == {name: ttypes.RunDesire.STOP}


def test_a_version_of_another_term_is_ignored(leader: _Leader) -> None:
    reply = leader.changes_since(
        leader.changes_since(0).version, term=_TERM - 1
    )
    assert reply.whole


def test_an_agent_that_is_too_far_behind_gets_all_orders(
    leader: _Leader,
) -> None:
    before = leader.changes_since(0)
    for run in range(1, orders_module.HISTORY_LIMIT):
        if run > 1:
            leader.state.grant(builders.grant(builders.task_name(0), run))
        leader.refresh()
        leader.state.end(
            builders.run_end(
                builders.task_name(0), ttypes.RunEndKind.STOPPED, run
            )
        )
        leader.refresh()
    assert leader.changes_since(before.version).whole


def test_a_reply_without_changes_is_empty(leader: _Leader) -> None:
    before = leader.changes_since(0)
    reply = leader.changes_since(before.version)
    assert (reply.orders, reply.removed, reply.whole) == ([], [], False)


@pytest.mark.parametrize(
    ("best_effort", "cpu_millicores"), [(False, 1_000), (True, 0)]
)
def test_an_order_to_stop_has_the_resources_that_the_run_still_reserves(
    best_effort: bool, cpu_millicores: int
) -> None:
    leader = _Leader()
    leader.state.submit(
        builders.job("j1", builders.step(best_effort=best_effort))
    )
    leader.state.grant(builders.grant(builders.task_name(0)))
    leader.state.cancel("j1")
    (order,) = leader.changes_since(0).orders
    assert order.desire == ttypes.RunDesire.STOP
    assert not order.best_effort
    assert order.resources.cpu_millicores == cpu_millicores
    assert order.resources.memory_bytes == 1 << 20


def test_an_order_to_run_has_the_spread_limit_of_the_step() -> None:
    leader = _Leader()
    leader.state.submit(builders.job("j1", builders.step(spread_limit=2)))
    leader.state.grant(builders.grant(builders.task_name(0)))
    (order,) = leader.changes_since(0).orders
    assert order.spread_limit == 2


def test_replies_name_the_pools_of_the_routing_and_of_accepted_jobs(
    leader: _Leader,
) -> None:
    """Guards against refusing workers that run the jobs of a removed pool."""
    new_routing = builders.routing(2, queues=[])
    new_routing.pools = [ttypes.Pool(name="new")]
    leader.state.apply(
        replace_routing=ttypes.ReplaceRouting(routing=new_routing)
    )
    assert leader.changes_since(0).pools == ["new", builders.POOL]
    restored = tables_module.Tables.from_bytes(leader.state.tables.to_bytes())
    assert restored.jobs.used_pools == {"new", builders.POOL}
