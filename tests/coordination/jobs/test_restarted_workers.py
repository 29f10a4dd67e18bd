"""Tests of a worker that restarts under its name, told apart by its start time.

Such a worker holds nothing of before, and executes calls meant for its earlier
incarnation. `w1@100` is the incarnation of worker `w1` that started at time 100.
"""

import pytest

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_OLD, _NEW, _NEWEST = "w1@100", "w1@200", "w1@300"
_KEY = stepped_agent.KEY
_OTHER_KEY = ("j2.0.0.0", 1)


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    return stepped_agent.make_agent(fake_worker.RestartingWorker(_OLD))


def _announce(
    agent: stepped_agent.SteppedAgent, incarnation: str, sequence: int = 1
) -> None:
    agent.state.record_announcement(
        stepped_agent.announcement(incarnation, sequence)
    )


def _order_run(
    agent: stepped_agent.SteppedAgent,
    incarnation: str = _OLD,
    key: tuple[str, int] = _KEY,
) -> None:
    agent.receive_order(stepped_agent.RUN, key, incarnation=incarnation)


def _start_unanswered(agent: stepped_agent.SteppedAgent) -> None:
    agent.worker.unanswered = {"start"}
    _order_run(agent)
    agent.execute_orders()
    agent.worker.unanswered = set()


def _restart(
    agent: stepped_agent.SteppedAgent, incarnation: str = _NEW
) -> None:
    """Restarts the worker, which sends a heartbeat and answers one call."""
    agent.worker.restart(incarnation)
    _announce(agent, incarnation)
    agent.call_incarnations(rounds_count=1)
    assert agent.state.worker_id == incarnation


def _settle(agent: stepped_agent.SteppedAgent) -> None:
    for _ in range(4):
        agent.execute_orders()
        agent.call_incarnations(rounds_count=1)
    agent.execute_orders()


def test_run_whose_start_the_next_incarnation_answers_crashed_no_worker(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against jobs that are failed for crashes before their runs."""
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    now_s += 1.0
    agent.renew_lease()
    _order_run(agent)
    agent.worker.restart(_NEW)
    agent.execute_orders()
    assert _KEY in agent.worker.running
    agent.execute_orders()
    assert agent.worker.calls == [("start", _KEY)]
    _announce(agent, _NEW)
    _settle(agent)
    (end,) = agent.state.ends.values()
    assert not end.has_begun
    assert not end.suspects_count


def test_runs_are_lost_at_once_when_the_new_incarnation_has_answered(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against waiting for the runs of a worker that restarted under its id."""
    _order_run(agent)
    agent.run_until_settled()
    _restart(agent)
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}
    assert agent.call_names() == ["start"]


def test_new_incarnation_that_answers_before_its_heartbeat_is_used_after_it(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against recording a listing as that of an earlier incarnation.

    The worker restarts while its heartbeats do not arrive, and answers the agent's
    call. Its capacity and kind are not known before its heartbeat.
    """
    _order_run(agent)
    agent.run_until_settled()
    agent.worker.restart(_NEW)
    agent.call_incarnations(rounds_count=3)
    assert agent.state.worker_id == ""
    assert agent.state.listed_end_number == 0
    assert agent.state.worker_clock.to_worker_ms(clock.now_s()) is None
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}
    _announce(agent, _NEW)
    agent.call_incarnations(rounds_count=1)
    assert agent.state.worker_id == _NEW


def test_runs_are_started_on_the_new_incarnation(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _order_run(agent)
    agent.run_until_settled()
    _restart(agent)
    _order_run(agent, _NEW, _OTHER_KEY)
    agent.run_until_settled()
    assert list(agent.worker.running) == [_OTHER_KEY]


@pytest.mark.parametrize("is_silent", [False, True])
def test_late_heartbeats_of_the_old_incarnation_have_no_effect(
    agent: stepped_agent.SteppedAgent, is_silent: bool
) -> None:
    """Guards against a step back, also while the current incarnation is silent."""
    _restart(agent)
    if is_silent:
        agent.worker.unreachable_incarnations = {_NEW}
    for sequence in (99, 3, 99):
        _announce(agent, _OLD, sequence)
        _announce(agent, "w1@150", sequence)
    called = agent.call_incarnations(rounds_count=3)
    assert set(called) == {_NEW}
    assert agent.state.worker_id == _NEW
    assert agent.state.newest_announcement.worker.worker_id == _NEW


def test_late_heartbeat_of_an_earlier_start_has_no_effect_after_the_end(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _restart(agent)
    agent.state.end_incarnation(_NEW, reason="test")
    _announce(agent, "w1@150", 99)
    assert agent.call_incarnations(rounds_count=1) == []


def test_reordered_heartbeats_of_the_new_incarnation_count_from_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _announce(agent, _OLD, 60)
    _restart(agent)
    draining = stepped_agent.announcement(_NEW, 3)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    _announce(agent, _NEW, 2)
    _announce(agent, _NEW, 3)
    assert agent.state.worker.draining
    _announce(agent, _NEW, 4)
    assert not agent.state.worker.draining


def test_start_in_flight_to_the_old_incarnation_is_refused_by_the_new_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task at a time.

    The worker restarts while a start request is under way to it. If the end of the
    run is reported before the new incarnation refuses it, the task is granted to
    another worker while this one begins it.
    """
    _start_unanswered(agent)
    _restart(agent)
    assert agent.end_kinds() == {}
    agent.execute_orders()
    assert agent.end_kinds() == {}
    _settle(agent)
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}


def test_late_start_on_the_new_incarnation_ends_before_the_loss_is_reported(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task at a time."""
    _start_unanswered(agent)
    agent.worker.restart(_NEW)
    agent.worker.run_delayed_calls()
    agent.worker.has_slow_stops = True
    _announce(agent, _NEW)
    _settle(agent)
    assert list(agent.worker.running) == [_KEY]
    assert agent.end_kinds() == {}
    agent.worker.has_slow_stops = False
    _settle(agent)
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


def test_unanswered_stop_of_a_late_start_is_repeated(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _start_unanswered(agent)
    agent.worker.restart(_NEW)
    agent.worker.run_delayed_calls()
    _announce(agent, _NEW)
    agent.worker.unanswered = {"stop"}
    _settle(agent)
    assert agent.end_kinds() == {}
    agent.worker.unanswered = set()
    _settle(agent)
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


@pytest.mark.parametrize(
    "kind", [ttypes.RunEndKind.DONE, ttypes.RunEndKind.FAILED]
)
def test_end_of_a_late_start_that_the_new_incarnation_lists_is_reported(
    agent: stepped_agent.SteppedAgent, kind: ttypes.RunEndKind
) -> None:
    """Guards against repeating a task that a late start has completed."""
    _start_unanswered(agent)
    agent.worker.restart(_NEW)
    agent.worker.run_delayed_calls()
    agent.worker.end_run(_KEY, kind)
    _announce(agent, _NEW)
    _settle(agent)
    assert agent.end_kinds() == {_KEY: kind}


def test_stop_of_a_late_start_does_not_replace_an_unreported_end(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against repeating a task that the old incarnation has completed.

    Control has not recorded the end yet when the worker restarts, and the new
    incarnation begins the run again by a repeated start request.
    """
    _start_unanswered(agent)
    agent.run_until_settled()
    agent.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    agent.renew_lease()
    agent.worker.restart(_NEW)
    agent.worker.run_delayed_calls()
    _announce(agent, _NEW)
    _settle(agent)
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.DONE}


def test_no_run_is_started_while_a_later_start_is_announced(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against starts that a restarted worker carries out in place of the old one."""
    _announce(agent, _NEW)
    _order_run(agent)
    agent.execute_orders()
    assert agent.worker.calls == []
    # The announcement was another writer's.
    agent.call_incarnations(rounds_count=1)
    agent.execute_orders()
    assert list(agent.worker.running) == [_KEY]


def test_start_that_the_new_incarnation_answered_is_stopped_there(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against taking the new incarnation's answer for the old one's.

    Answers to orders need not tell which incarnation gave them.
    """
    agent.worker.restart(_NEW)
    _order_run(agent)
    agent.execute_orders()
    assert list(agent.worker.running) == [_KEY]
    _announce(agent, _NEW)
    _settle(agent)
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


def test_repeated_start_may_still_begin_a_listed_run_again(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task at a time.

    The first start request is unanswered, the second is answered and the run listed.
    The first one then arrives at the new incarnation.
    """
    _start_unanswered(agent)
    agent.run_until_settled()
    _restart(agent)
    assert agent.end_kinds() == {}
    _settle(agent)
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


def test_run_that_was_stopped_on_the_old_incarnation_is_refused_by_the_new_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a cancelled task that a worker starts late.

    The worker forgets the stop when it restarts, and no order names the run any more.
    """
    _start_unanswered(agent)
    agent.receive_order(stepped_agent.STOP, incarnation=_OLD)
    agent.run_until_settled()
    assert agent.call_names() == ["start", "stop"]
    end = ttypes.RunEnd(
        task=_KEY[0], run=_KEY[1], kind=ttypes.RunEndKind.STOPPED
    )
    agent.state.record_end(end)
    report = ttypes.AgentReport(agent="a1", ends=[end], worker_id=_OLD)
    agent.state.remove_reported_ends(
        report, ttypes.AgentReply(term=stepped_agent.TERM), 0
    )
    assert agent.state.orders == {}
    _restart(agent)
    _settle(agent)
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}
    assert agent.end_kinds() == {}


def test_listed_run_that_the_leader_does_not_order_is_stopped(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a late start whose agent restarted after it was sent."""
    _restart(agent)
    agent.worker.running[_KEY] = ttypes.RunSample(
        task=_KEY[0], run=_KEY[1], percent=0, load=0
    )
    _settle(agent)
    assert agent.worker.running == {}


def test_runs_without_orders_continue_while_orders_are_incomplete(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against stopping runs before a new leader's orders have arrived."""
    agent.receive_lease(min_orders_version=agent.orders_version + 1)
    agent.worker.running[_KEY] = ttypes.RunSample(
        task=_KEY[0], run=_KEY[1], percent=0, load=0
    )
    _settle(agent)
    assert list(agent.worker.running) == [_KEY]


def test_restarted_agent_has_late_starts_refused_before_it_reports_the_loss(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task when agent and worker restart.

    The new agent does not know which start requests its predecessor sent.
    """
    _start_unanswered(agent)
    agent.worker.restart(_NEW)
    restarted = stepped_agent.make_agent(agent.worker)
    _order_run(restarted)
    assert restarted.end_kinds() == {}
    _settle(restarted)
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}
    assert restarted.end_kinds() == {_KEY: ttypes.RunEndKind.LOST}


def test_new_leaders_orders_for_the_old_incarnation_end_once(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against runs that are ended twice or never when the leader changes."""
    _start_unanswered(agent)
    _restart(agent)
    order = agent.state.orders[_KEY]
    assert agent.receive_orders(
        term=stepped_agent.TERM + 1, whole=True, orders=[order], removed=[]
    )
    _settle(agent)
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}
    report = ttypes.AgentReport(
        agent="a1", ends=list(agent.state.ends.values()), worker_id=_NEW
    )
    agent.state.remove_reported_ends(
        report, ttypes.AgentReply(term=stepped_agent.TERM + 1), 0
    )
    _settle(agent)
    assert agent.end_kinds() == {}


def test_ends_of_the_old_incarnation_are_not_acknowledged_to_an_announced_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against ends that the new incarnation discards before they are reported.

    Its ends count from 1 again, so that a number of the old one covers them all.
    """
    _order_run(agent)
    agent.run_until_settled()
    agent.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    agent.renew_lease()
    report = agent.record_reported_ends()
    assert report.worker_id == _OLD
    agent.worker.restart(_NEW)
    _announce(agent, _NEW)
    # The candidate's turn comes second.
    agent.lease_renewer.try_renew(_OLD)
    agent.call_incarnations(rounds_count=2)
    assert agent.worker.acknowledged == 0
    assert agent.state.worker_id == _NEW
    # The agent's late report for the old incarnation acknowledges nothing either.
    agent.state.remove_reported_ends(
        report, ttypes.AgentReply(term=stepped_agent.TERM), 57
    )
    agent.call_incarnations(rounds_count=1)
    assert agent.worker.acknowledged == 0


def test_no_run_is_started_while_a_late_acknowledgement_may_discard_its_end(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against repeating a task that is done.

    The old incarnation left a call with its number of ends unanswered. If the new one
    carries it out, it discards the ends of its runs before the agent has seen them.
    """
    agent.state.acknowledged_end_number = 57
    agent.worker.unreachable_incarnations = {_OLD}
    agent.call_incarnations(rounds_count=1)
    _restart(agent)
    _order_run(agent, _NEW)
    agent.execute_orders()
    assert agent.worker.calls == []
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.REFUSED}
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 12.1)
    agent.call_incarnations(rounds_count=1)
    _order_run(agent, _NEW, _OTHER_KEY)
    agent.execute_orders()
    assert list(agent.worker.running) == [_OTHER_KEY]


def test_run_whose_end_a_late_acknowledgement_discarded_is_lost(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against tasks that never end.

    A call with the old incarnation's number of ends is carried out late by the new
    one, which then discards the end of a run that it was granted.
    """
    _restart(agent)
    _order_run(agent, _NEW)
    agent.run_until_settled()
    assert agent.end_kinds() == {}
    agent.worker.end_run(_KEY, ttypes.RunEndKind.DONE)
    with pytest.raises(errors.OtherWorkerError):
        agent.worker.renew_lease(
            _OLD,
            token=stepped_agent.TERM,
            acknowledged=57,
            deadline_ms=None,
            wait_ms=0,
        )
    agent.run_until_settled()
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.LOST}
    assert agent.call_names() == ["start", "stop"]


def test_run_with_an_unreadable_end_is_not_taken_for_a_discarded_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _restart(agent)
    _order_run(agent, _NEW)
    agent.run_until_settled()
    del agent.worker.running[_KEY]
    agent.worker.unread_ended_count = 1
    agent.run_until_settled()
    assert agent.end_kinds() == {}


def test_runs_are_stopped_when_the_lease_ends_soon_after_a_restart(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against runs that outlive their lease.

    A late renewal with a deadline on the old incarnation's clock, which counts from
    another start, extends the new one's lease by up to its limit.
    """
    _restart(agent)
    _order_run(agent, _NEW)
    agent.run_until_settled()
    agent.receive_lease(length_s=-1.0)
    agent.execute_orders()
    assert agent.worker.running == {}


@pytest.mark.parametrize("first_rebirth_answers", [False, True])
def test_two_restarts_in_quick_succession_leave_the_last_incarnation(
    agent: stepped_agent.SteppedAgent, first_rebirth_answers: bool
) -> None:
    _start_unanswered(agent)
    agent.worker.restart(_NEW)
    if first_rebirth_answers:
        agent.call_incarnations(rounds_count=1)
    _announce(agent, _NEW)
    agent.worker.restart(_NEWEST)
    _announce(agent, _NEWEST)
    agent.worker.run_delayed_calls()
    agent.call_incarnations(rounds_count=4)
    assert agent.state.worker_id == _NEWEST
    assert agent.end_kinds() == {}
    _settle(agent)
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


def test_start_time_that_jumps_back_is_accepted_once_it_has_answered(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a worker that is never used again after its clock was set back."""
    agent.worker.restart("w1@50")
    _announce(agent, "w1@50")
    assert agent.state.worker_id == _OLD
    agent.call_incarnations(rounds_count=1)
    _announce(agent, "w1@50", 2)
    agent.call_incarnations(rounds_count=1)
    assert agent.state.worker_id == "w1@50"


def test_heartbeat_with_a_far_later_start_does_not_replace_the_worker(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against another writer that ends the runs of a healthy worker."""
    _order_run(agent)
    agent.run_until_settled()
    for number in range(6):
        _announce(agent, f"w1@{(1 << 52) + number}")
        agent.call_incarnations(rounds_count=2)
    assert agent.state.worker_id == _OLD
    assert agent.end_kinds() == {}
    assert list(agent.worker.running) == [_KEY]
    assert agent.worker.deadlines_ms[-1] is not None
    agent.call_incarnations(rounds_count=8)
    _restart(agent)


def test_heartbeat_without_a_start_time_is_refused_after_one_with_it(
    agent: stepped_agent.SteppedAgent,
) -> None:
    with pytest.raises(errors.ConflictError, match="start"):
        _announce(agent, "w1", 99)
    assert agent.state.worker_id == _OLD
    assert agent.call_incarnations(rounds_count=2) == [_OLD, _OLD]


def test_heartbeat_with_a_start_time_is_refused_if_the_worker_answers_without() -> (
    None
):
    """Guards against another writer that stops all starts on a worker.

    A worker that tells no start time can't show that the announcement is not its own.
    """
    plain = stepped_agent.make_agent(fake_worker.RestartingWorker("w1"))
    with pytest.raises(errors.ConflictError, match="start"):
        _announce(plain, _NEW)
    _order_run(plain, "w1")
    plain.run_until_settled()
    assert list(plain.worker.running) == [_KEY]
    # An answer with a start time is the worker's own.
    plain.worker.restart(_NEW)
    plain.call_incarnations(rounds_count=1)
    _announce(plain, _NEW)
    plain.call_incarnations(rounds_count=1)
    assert plain.state.worker_id == _NEW


def test_late_deregistration_of_the_old_incarnation_does_not_end_the_new_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _restart(agent)
    _order_run(agent, _NEW)
    agent.run_until_settled()
    agent.state.deregister("w1")
    agent.run_until_settled()
    agent.departure_watch.check()
    assert agent.state.worker_id == _NEW
    assert agent.end_kinds() == {}
    assert list(agent.worker.running) == [_KEY]


def test_late_deregistration_does_not_end_a_worker_that_leaves_a_call_unanswered(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task, as the worker's runs go on."""
    _restart(agent)
    _order_run(agent, _NEW)
    agent.run_until_settled()
    agent.state.deregister("w1")
    agent.worker.unreachable_incarnations = {_NEW}
    agent.call_incarnations(rounds_count=2)
    agent.departure_watch.check()
    assert agent.state.worker_id == _NEW
    assert agent.end_kinds() == {}


def test_old_deregistration_does_not_end_a_worker_that_drains_later(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    agent.state.deregister("w1")
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 11.0)
    draining = stepped_agent.announcement(_OLD, 2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    agent.worker.unreachable_incarnations = {_OLD}
    agent.call_incarnations(rounds_count=2)
    agent.departure_watch.check()
    assert agent.state.worker_id == _OLD


def test_worker_that_is_not_reachable_does_not_end_without_a_deregistration(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.is_closed = True
    agent.call_incarnations(rounds_count=3)
    agent.departure_watch.check()
    assert agent.state.worker_id == _OLD


def test_loss_is_reported_at_last_if_no_incarnation_follows(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    _start_unanswered(agent)
    agent.state.end_incarnation(_OLD, reason="test")
    now_s = clock.now_s()
    # Calls end 2 s after the last answer, may be late by 12 s, and a lease lasts 6 s on a
    # clock that may be slow.
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 20.0)
    agent.execute_orders()
    assert agent.end_kinds() == {}
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 20.2)
    agent.execute_orders()
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


def test_loss_is_reported_at_once_if_an_unanswered_start_was_long_ago(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against tasks that stay away for long after a planned end of a worker.

    The first start request was left unanswered, and the run has worked for long since.
    """
    _start_unanswered(agent)
    agent.run_until_settled()
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 12.1)
    agent.renew_lease()
    agent.state.end_incarnation(_OLD, reason="test")
    agent.execute_orders()
    assert list(agent.end_kinds()) == [_KEY]


def test_loss_is_reported_when_a_worker_of_another_name_follows(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """The other worker refuses calls to the name of the old one."""
    _start_unanswered(agent)
    _restart(agent, "w2@150")
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.CRASHED}


def test_runs_of_an_agent_that_did_not_know_start_times_end_before_their_loss(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against two runs of one task while agents are upgraded.

    The agent before reported the worker's name as its incarnation, so that runs were
    granted to the name alone.
    """
    agent.worker.running[_KEY] = ttypes.RunSample(
        task=_KEY[0], run=_KEY[1], percent=0, load=0
    )
    _order_run(agent, "w1")
    assert agent.end_kinds() == {}
    _settle(agent)
    assert agent.worker.running == {}
    assert agent.end_kinds() == {_KEY: ttypes.RunEndKind.LOST}


@pytest.mark.parametrize("is_answered_late", [False, True])
def test_runs_may_outlive_the_lease_after_a_start_for_an_earlier_incarnation(
    agent: stepped_agent.SteppedAgent, is_answered_late: bool
) -> None:
    """Guards against runs that are granted again while a late start extends their lease."""
    if is_answered_late:
        order = ttypes.RunOrder(task=_KEY[0], run=_KEY[1], worker_id=_OLD)
        _restart(agent)
        with agent.state.changed:
            agent.state.record_unanswered_start(order)
    else:
        _start_unanswered(agent)
        _restart(agent)
    extended = agent.state.late_calls.prolonged_runs(
        [_OTHER_KEY], now_s=clock.now_s()
    )
    assert [(late.task, late.run) for late in extended] == [_OTHER_KEY]
