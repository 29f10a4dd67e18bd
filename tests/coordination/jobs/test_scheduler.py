"""Tests the scheduling loop with a single in-memory replica."""

from collections.abc import Iterator
import threading

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.protocol.generated import ttypes
from tests import one_process
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader

# Maximum time of a report. The round under test is blocked for longer.
_REPORT_TIMEOUT_S = 1.0


@pytest.fixture
def leader() -> Iterator[single_leader.Leader]:
    new_leader = single_leader.Leader()
    new_leader.scheduler.start(new_leader.service)
    yield new_leader
    new_leader.scheduler.stop()


def _wait_for(what: str, condition) -> None:
    one_process.wait_until(condition, what=what)


def test_waiting_tasks_are_granted_as_agents_report(
    leader: single_leader.Leader,
) -> None:
    leader.submit("j1", builders.step(6))
    leader.report("a1", cores=4)
    _wait_for("four runs", lambda: len(leader.runs.get("a1", ())) == 4)
    leader.report("a2", cores=4)
    _wait_for("two more runs", lambda: len(leader.runs.get("a2", ())) == 2)


def test_reports_do_not_wait_for_a_round(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reports and submissions that wait for a round.

    Rounds used to hold the replica's lock. With 160 workers a round took 20 ms or more,
    one followed the other, and each commit, report and job waited for the current one.
    """
    started, may_end = threading.Event(), threading.Event()
    place = placement_module.Placement.place

    def place_slowly(self, steps, **options: object):
        started.set()
        may_end.wait(one_process.WAIT_LIMIT_S)
        return place(self, steps, **options)

    monkeypatch.setattr(placement_module.Placement, "place", place_slowly)
    leader.submit("j1")
    assert started.wait(one_process.WAIT_LIMIT_S)
    answered = threading.Event()

    def call() -> None:
        assert leader.report("a1").lease_ms == single_leader.LEASE_MS
        leader.submit("j2")
        answered.set()

    thread = threading.Thread(target=call)
    thread.start()
    try:
        assert answered.wait(_REPORT_TIMEOUT_S)
    finally:
        may_end.set()
        thread.join()


def test_capacity_stays_reserved_while_the_outcome_of_a_grant_is_unknown(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    lost_grants: list[dict] = []
    propose = leader.service.propose

    def lose_first_grant(**body: object) -> ttypes.CommandResult:
        if "grant_runs" in body and not lost_grants:
            lost_grants.append(body)
            raise errors.UnknownOutcomeError("no majority answered")
        return propose(**body)

    monkeypatch.setattr(leader.service, "propose", lose_first_grant)
    leader.report("a1", cores=1)
    leader.submit("j1")
    _wait_for("a lost grant", lambda: lost_grants)
    leader.submit("j2")
    leader.report("a2", cores=1)
    _wait_for("a run elsewhere", lambda: leader.runs.get("a2"))
    assert "a1" not in leader.runs
    first = lost_grants[0]["grant_runs"].grants[0].task
    propose(**lost_grants[0])
    if leader.runs["a2"] == [first]:
        # The same task was granted again, so the first grant was outdated.
        _wait_for("the other job", lambda: leader.runs.get("a1"))
    assert all(len(tasks) == 1 for tasks in leader.runs.values())
