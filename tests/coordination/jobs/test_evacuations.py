"""Tests that no run starts in an evacuated data centre, whoever ordered it before."""

from collections.abc import Iterator
import itertools

import pytest

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from tests import one_process
from tests.coordination.jobs import builders
from tests.coordination.jobs import stepped_agent

_LEASE_MS = 7_000
_HERE, _ELSEWHERE = "dc1", "dc2"


class _Leader:
    """A leader to which agents in two data centres report."""

    def __init__(self):
        self.replica = replica_module.Replica(
            member=ttypes.Member(
                name="c1", address="", http_address="", data_centre="d"
            )
        )
        self.scheduler = scheduler_module.JobScheduler(
            replica=self.replica, job_retention_s=60.0
        )
        self.service = service_module.JobService(
            replica=self.replica,
            lease_ms=_LEASE_MS,
            on_change=self.scheduler.wake,
        )
        self._numbers = itertools.count(1)
        self.service.replace_routing(builders.routing())

    def report(
        self,
        agent: str,
        data_centre: str,
        *,
        cores: int = 4,
        ends: tuple[ttypes.RunEnd, ...] = (),
    ) -> ttypes.AgentReply:
        """Reports an agent and its worker; returns the leader's reply."""
        worker = builders.pool_worker(
            agent, cores=cores, data_centre=data_centre
        )
        report = builders.agent_report(
            agent, worker, *ends, sequence=next(self._numbers)
        )
        return self.service.agent_report(report)

    def get_orders(self, agent: str, version: int = 0) -> ttypes.OrdersReply:
        return self.service.agent_orders(
            ttypes.OrdersRequest(
                agent=agent, term=self.replica.term, version=version
            )
        )

    def submit(self, job_id: str, *steps: ttypes.Step) -> None:
        address = ttypes.JobAddress(
            host="jobs.example", path=f"/{builders.QUEUE}/{job_id}"
        )
        self.service.submit_job(address, builders.job(job_id, *steps))

    def evacuate(self, data_centre: str, *, active: bool = True) -> None:
        self.service.set_evacuation(
            ttypes.SetEvacuation(data_centre=data_centre, active=active),
            f"order-{next(self._numbers)}",
        )

    def count_runs(self, agent: str) -> int:
        with self.replica.lock:
            return len(self.replica.tables.jobs.runs_by_agent.get(agent, ()))


@pytest.fixture
def leader() -> Iterator[_Leader]:
    new_leader = _Leader()
    new_leader.scheduler.start(new_leader.service)
    yield new_leader
    new_leader.scheduler.stop()


def _wait_for_runs(leader: _Leader, agent: str, count: int) -> None:
    one_process.wait_until(
        lambda: leader.count_runs(agent) == count,
        what=f"{count} runs on {agent}",
    )


def test_tasks_are_granted_in_other_data_centres(leader: _Leader) -> None:
    leader.evacuate(_HERE)
    leader.report("a1", _HERE)
    leader.report("a2", _ELSEWHERE)
    leader.submit("j1", builders.step(6))
    _wait_for_runs(leader, "a2", 4)
    assert leader.count_runs("a1") == 0


def test_a_worker_known_before_the_evacuation_gets_no_more_runs(
    leader: _Leader,
) -> None:
    leader.report("a1", _HERE)
    leader.submit("j1")
    _wait_for_runs(leader, "a1", 1)
    leader.evacuate(_HERE)
    leader.submit("j2", builders.step(2))
    leader.report("a2", _ELSEWHERE)
    _wait_for_runs(leader, "a2", 2)
    assert leader.count_runs("a1") == 1


def test_waiting_tasks_are_granted_once_the_evacuation_ends(
    leader: _Leader,
) -> None:
    leader.report("a1", _HERE)
    leader.evacuate(_HERE)
    leader.submit("j1", builders.step(3))
    leader.evacuate(_HERE, active=False)
    _wait_for_runs(leader, "a1", 3)


def test_an_agent_may_start_runs_only_with_orders_since_the_evacuation(
    leader: _Leader,
) -> None:
    """Guards against starts by orders that were given before an evacuation.

    A grant may be on its way when the evacuation is committed. The next lease demands
    orders that name the evacuation, which the agent then obeys.
    """
    leader.report("a1", _HERE)
    leader.submit("j1")
    _wait_for_runs(leader, "a1", 1)
    before = leader.get_orders("a1")
    assert before.evacuated_data_centres == []
    leader.evacuate(_HERE)
    assert leader.report("a1", _HERE).orders_version > before.version
    after = leader.get_orders("a1", before.version)
    assert after.evacuated_data_centres == [_HERE]
    assert not after.whole
    assert after.orders == after.removed == []


def test_a_refused_run_is_granted_elsewhere(leader: _Leader) -> None:
    leader.report("a1", _HERE)
    leader.submit("j1")
    _wait_for_runs(leader, "a1", 1)
    leader.evacuate(_HERE)
    refusal = ttypes.RunEnd(
        task=builders.task_name(),
        run=1,
        kind=ttypes.RunEndKind.REFUSED,
        detail=run_worker.RefusalReason.EVACUATED,
    )
    leader.report("a1", _HERE, ends=(refusal,))
    leader.report("a2", _ELSEWHERE)
    _wait_for_runs(leader, "a2", 1)
    assert leader.count_runs("a1") == 0


def test_a_new_leader_knows_the_evacuation(leader: _Leader) -> None:
    leader.evacuate(_HERE)
    leader.service.led_term = 0
    leader.report("a1", _HERE)
    assert leader.get_orders("a1").evacuated_data_centres == [_HERE]
    leader.submit("j1")
    leader.report("a2", _ELSEWHERE)
    _wait_for_runs(leader, "a2", 1)


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    return stepped_agent.make_agent()


def _evacuate(
    agent: stepped_agent.SteppedAgent, *data_centres: str, **fields: object
) -> None:
    agent.orders_version += 1
    values = {"orders": [], "removed": []} | fields
    agent.receive_orders(evacuated_data_centres=list(data_centres), **values)


def test_an_agent_refuses_runs_that_it_has_not_started(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_lease(length_s=-1.0)
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    _evacuate(agent, _HERE)
    agent.receive_lease()
    agent.run_until_settled()
    assert agent.worker.calls == []
    end = agent.state.ends[stepped_agent.KEY]
    assert end.kind == ttypes.RunEndKind.REFUSED
    assert end.detail == run_worker.RefusalReason.EVACUATED


def test_an_agent_starts_runs_during_the_evacuation_of_another_data_centre(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _evacuate(agent, _ELSEWHERE)
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]


def test_runs_that_have_started_continue(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    _evacuate(agent, _HERE)
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]
    assert agent.end_kinds() == {}


def test_an_unanswered_start_is_stopped_and_not_repeated(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a start that a worker carries out after the evacuation began.

    The worker left the start unanswered. If the agent repeated it, the run would start
    during the evacuation; if it forgot it, the worker might carry it out later.
    """
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.worker.unanswered = set()
    _evacuate(agent, _HERE)
    agent.run_until_settled()
    agent.worker.run_delayed_calls()
    assert agent.call_names() == ["start", "stop"]
    assert agent.worker.running == {}
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}


def test_a_new_incarnation_of_the_worker_starts_nothing_either(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _evacuate(agent, _HERE)
    agent.crash_worker("a1-incarnation2")
    agent.receive_order(stepped_agent.RUN, incarnation="a1-incarnation2")
    _evacuate(agent, _HERE)
    agent.run_until_settled()
    assert agent.worker.running == {}
