"""Tests which end of a run is reported if several are known."""

import pytest

from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_KEY = stepped_agent.KEY
_DONE = ttypes.RunEndKind.DONE


def _run_end(kind: ttypes.RunEndKind) -> ttypes.RunEnd:
    return ttypes.RunEnd(task=_KEY[0], run=_KEY[1], kind=kind)


def _list_end(
    agent: stepped_agent.SteppedAgent, kind: ttypes.RunEndKind
) -> None:
    agent.state.record_listing(
        run_worker.RunListing(
            clock_ms=0,
            running=[],
            ended=[run_worker.EndedRun(1, _run_end(kind))],
        )
    )


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    new_agent = stepped_agent.make_agent()
    new_agent.receive_order(stepped_agent.RUN)
    return new_agent


@pytest.mark.parametrize(
    "inferred",
    [
        ttypes.RunEndKind.STOPPED,
        ttypes.RunEndKind.REFUSED,
        ttypes.RunEndKind.LOST,
        ttypes.RunEndKind.CRASHED,
    ],
)
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_listed_done_is_reported_rather_than_an_inferred_end(
    agent: stepped_agent.SteppedAgent,
    inferred: ttypes.RunEndKind,
    is_listed_first: bool,
) -> None:
    if is_listed_first:
        _list_end(agent, _DONE)
    agent.state.record_end(_run_end(inferred))
    _list_end(agent, _DONE)
    assert agent.end_kinds() == {_KEY: _DONE}


@pytest.mark.parametrize(
    "inferred", [ttypes.RunEndKind.STOPPED, ttypes.RunEndKind.REFUSED]
)
def test_listed_failure_is_reported_rather_than_an_inferred_end(
    agent: stepped_agent.SteppedAgent, inferred: ttypes.RunEndKind
) -> None:
    agent.state.record_end(_run_end(inferred))
    _list_end(agent, ttypes.RunEndKind.FAILED)
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.FAILED}


@pytest.mark.parametrize(
    "late_end",
    [
        ttypes.RunEndKind.FAILED,
        ttypes.RunEndKind.STOPPED,
        ttypes.RunEndKind.LAPSED,
    ],
)
def test_done_is_reported_although_a_late_start_ended_otherwise(
    late_end: ttypes.RunEndKind,
) -> None:
    """Guards against a done task that runs again.

    A start without an answer was repeated, and the restarted worker carries out the
    first one before the end on the earlier incarnation is reported.
    """
    worker = fake_worker.RestartingWorker("w1@100")
    agent = stepped_agent.make_agent(worker)
    worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN, incarnation="w1@100")
    agent.execute_orders()
    worker.unanswered = set()
    agent.execute_orders()
    worker.end_run(_KEY, _DONE)
    agent.renew_lease()
    worker.restart("w1@200")
    agent.state.record_announcement(stepped_agent.announcement("w1@200"))
    worker.run_delayed_calls()
    worker.end_run(_KEY, late_end)
    agent.call_incarnations(rounds_count=2)
    assert agent.state.worker_id == "w1@200"
    assert agent.end_kinds() == {_KEY: _DONE}
