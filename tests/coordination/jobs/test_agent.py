"""Tests that an agent executes its orders on its worker and reports each end once."""

import pytest

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    return stepped_agent.make_agent()


def test_ordered_run_is_started_once(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]
    assert agent.call_names() == ["start"]


def test_no_run_is_started_without_a_lease(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_lease(length_s=-1.0)
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert agent.worker.calls == []


def test_no_run_is_started_by_orders_older_than_the_lease(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.receive_lease(min_orders_version=agent.orders_version + 1)
    agent.run_until_settled()
    assert agent.worker.calls == []
    agent.orders_version += 1
    agent.receive_orders(orders=[], removed=[])
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]


def test_orders_of_an_earlier_leader_are_refused(
    agent: stepped_agent.SteppedAgent,
) -> None:
    assert not agent.receive_orders(
        term=stepped_agent.TERM - 1, orders=[], removed=[]
    )


def test_unanswered_start_is_repeated(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.worker.unanswered = set()
    agent.run_until_settled()
    agent.worker.run_delayed_calls()
    assert agent.call_names() == ["start", "start"]
    assert list(agent.worker.running) == [stepped_agent.KEY]


def test_run_with_an_unanswered_start_is_stopped_before_its_end_is_reported(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.receive_order(stepped_agent.STOP)
    agent.execute_orders()
    assert agent.call_names() == ["start", "stop"]
    assert agent.end_kinds() == {}
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.STOPPED}
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}


def test_stopped_run_is_no_longer_counted_as_on_the_worker(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    assert list(agent.state.held.min_ages_s()) == [stepped_agent.KEY]
    agent.receive_order(stepped_agent.STOP)
    agent.run_until_settled()
    assert agent.state.held.min_ages_s() == {}


def test_refusal_after_an_unanswered_start_is_reported_only_after_a_stop(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.worker.unanswered = {"stop"}
    agent.worker.refusal = run_worker.RefusalReason.NO_CAPACITY
    agent.run_until_settled()
    assert agent.end_kinds() == {}
    agent.worker.unanswered = set()
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}


def test_stopped_run_with_an_unreadable_row_is_not_reported_as_ended(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a task that runs twice at a time.

    A run that is listed neither as running nor as ended after its stop counts as
    ended, and the task may start elsewhere. An unreadable row must not have this
    effect while the run is still stopping.
    """
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.worker.has_slow_stops = True
    agent.worker.unreadable = {stepped_agent.KEY}
    agent.receive_order(stepped_agent.STOP)
    agent.run_until_settled()
    assert agent.end_kinds() == {}
    agent.worker.has_slow_stops = False
    agent.worker.unreadable = set()
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.STOPPED}


def test_unreadable_row_after_a_readable_one_does_not_end_a_stopping_run(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a task that runs twice at a time.

    The run is still listed after its stop, and then its row becomes unreadable.
    """
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.worker.has_slow_stops = True
    agent.receive_order(stepped_agent.STOP)
    agent.run_until_settled()
    agent.worker.unreadable = {stepped_agent.KEY}
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]
    assert agent.end_kinds() == {}


def test_unreadable_end_does_not_cause_calls_without_a_pause(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against continuous calls, which leave less CPU time for tasks.

    While the worker has an unacknowledged end, it answers at once, and an
    unreadable end is never acknowledged.
    """
    agent.worker.unread_ended_count = 1
    begun_s = clock.now_s()
    agent.call_incarnations(rounds_count=3)
    assert clock.now_s() - begun_s >= 0.3


def test_refused_start_is_reported_with_its_reason(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.refusal = run_worker.RefusalReason.NO_CAPACITY
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert (
        agent.state.ends[stepped_agent.KEY].detail
        == run_worker.RefusalReason.NO_CAPACITY
    )
    assert agent.call_names() == ["start"]


def test_start_that_arrived_too_late_is_repeated(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.refusal = run_worker.RefusalReason.TOO_LATE
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.worker.refusal = ""
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]


def test_start_on_an_unhealthy_worker_is_refused(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.is_unwell = True
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}


def test_unanswered_stop_is_repeated(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.worker.unanswered = {"stop"}
    agent.receive_order(stepped_agent.STOP)
    agent.execute_orders()
    agent.worker.unanswered = set()
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.STOPPED}


def test_end_is_acknowledged_only_after_control_recorded_it(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.worker.end_run(stepped_agent.KEY, ttypes.RunEndKind.DONE)
    agent.renew_lease()
    agent.renew_lease()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.DONE}
    assert agent.worker.acknowledged == 0
    agent.record_reported_ends()
    agent.renew_lease()
    agent.renew_lease()
    assert agent.end_kinds() == {}
    assert agent.worker.acknowledged == 1


def test_recently_started_run_is_suspected_of_a_crash(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.crash_worker()
    end = agent.state.ends[stepped_agent.KEY]
    assert end.kind == ttypes.RunEndKind.CRASHED
    assert end.suspects_count == 1


def _start_without_answer(
    agent: stepped_agent.SteppedAgent, error: errors.TransportError
) -> None:
    agent.worker.unanswered = {"start"}
    agent.worker.unanswered_error = error
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()


@pytest.mark.parametrize(
    ("error", "has_begun"),
    [(fake_worker.NO_ANSWER, False), (fake_worker.BROKEN_CONNECTION, True)],
)
def test_run_has_begun_at_a_crash_only_if_its_start_request_broke_off(
    agent: stepped_agent.SteppedAgent,
    error: errors.TransportError,
    has_begun: bool,
) -> None:
    """Guards against jobs that fail for workers that never began them."""
    _start_without_answer(agent, error)
    agent.crash_worker()
    end = agent.state.ends[stepped_agent.KEY]
    assert (end.suspects_count, end.has_begun) == (0, has_begun)


def test_run_whose_start_request_broke_off_long_before_a_crash_did_not_cause_it(
    agent: stepped_agent.SteppedAgent,
) -> None:
    _start_without_answer(agent, fake_worker.BROKEN_CONNECTION)
    agent.renew_lease()
    agent.crash_worker()
    assert not agent.state.ends[stepped_agent.KEY].has_begun


def test_run_that_was_stopped_before_a_crash_is_not_held_against_its_task(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.receive_order(stepped_agent.STOP)
    agent.worker.has_slow_stops = True
    agent.execute_orders()
    agent.crash_worker()
    end = agent.state.ends[stepped_agent.KEY]
    assert (end.suspects_count, end.has_begun) == (0, False)


@pytest.mark.parametrize(
    ("broken_after_s", "has_begun"), [(1.0, True), (30.0, False), (None, False)]
)
def test_run_that_may_have_lapsed_before_a_crash_is_not_held_against_its_task(
    monkeypatch: pytest.MonkeyPatch,
    broken_after_s: float | None,
    has_begun: bool,
) -> None:
    """Guards against jobs that fail for crashes of workers that were cut off before."""
    agent = stepped_agent.make_agent()
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    now_s = clock.now_s()
    if broken_after_s is not None:
        monkeypatch.setattr(clock, "now_s", lambda: now_s + broken_after_s)
        agent.state.record_unreachable("a1-incarnation1", is_broken=True)
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 60.0)
    agent.crash_worker()
    assert agent.state.ends[stepped_agent.KEY].has_begun == has_begun


@pytest.mark.parametrize("name", ["start", "renewal"])
@pytest.mark.parametrize(
    ("error", "has_begun"),
    [(fake_worker.BROKEN_CONNECTION, True), (fake_worker.NO_ANSWER, False)],
)
def test_crash_is_known_to_come_when_a_call_breaks_off_not_when_it_times_out(
    monkeypatch: pytest.MonkeyPatch,
    name: str,
    error: errors.TransportError,
    has_begun: bool,
) -> None:
    """Guards against cut links that are taken for crashes, and the reverse."""
    agent = stepped_agent.make_agent()
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    now_s = clock.now_s() + 1.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    agent.worker.unanswered_error = error
    if name == "start":
        agent.worker.unanswered = {"start"}
        agent.receive_order(stepped_agent.RUN, ("j2.0.0.0", 1))
        agent.execute_orders()
    else:
        agent.worker.unreachable_incarnations = {agent.worker.incarnation}
        agent.call_incarnations(rounds_count=1)
    now_s += 60.0
    agent.worker.unreachable_incarnations = set()
    agent.crash_worker()
    assert agent.state.ends[stepped_agent.KEY].has_begun == has_begun


@pytest.mark.parametrize(
    ("silence_s", "has_begun"), [(3.0, True), (4.5, False)]
)
def test_run_whose_lease_had_expired_before_a_crash_is_not_held_against_its_task(
    monkeypatch: pytest.MonkeyPatch, silence_s: float, has_begun: bool
) -> None:
    """Guards against leases counted as live up to the longest that workers accept."""
    agent = stepped_agent.make_agent()
    now_s = clock.now_s() + 59.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    agent.receive_lease(length_s=3.0)
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    now_s += silence_s
    agent.crash_worker()
    assert agent.state.ends[stepped_agent.KEY].has_begun == has_begun


def test_run_of_a_worker_that_deregistered_is_not_held_against_its_task(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.state.deregister(agent.worker.incarnation)
    agent.crash_worker()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.LOST}


def test_run_that_the_worker_has_begun_is_known_to_have_begun_at_a_crash(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.crash_worker()
    assert agent.state.ends[stepped_agent.KEY].has_begun


def test_run_whose_start_was_never_sent_is_lost_in_a_crash(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_lease(length_s=-1.0)
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.crash_worker()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.LOST}


def test_crash_is_reported_for_a_run_whose_order_was_removed(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    removed = ttypes.RunId(task=stepped_agent.KEY[0], run=stepped_agent.KEY[1])
    agent.receive_orders(orders=[], removed=[removed])
    agent.crash_worker()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.CRASHED}


def test_runs_ordered_before_a_restart_of_agent_and_worker_are_lost(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN, incarnation="a1-incarnation0")
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.LOST}
    assert agent.worker.calls == []


def test_runs_on_a_draining_worker_that_ends_are_lost(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    draining = stepped_agent.announcement("a1-incarnation1", sequence=2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    agent.state.end_incarnation("a1-incarnation1", reason="test")
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.LOST}


@pytest.mark.parametrize(("age_s", "is_excused"), [(0.0, False), (1.0, True)])
def test_run_is_excused_by_a_planned_shutdown_unless_it_has_just_begun(
    agent: stepped_agent.SteppedAgent, age_s: float, is_excused: bool
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    draining = stepped_agent.announcement("a1-incarnation1", sequence=2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    agent.state.held.contact.record_answer(now_s=clock.now_s() + age_s)
    agent.crash_worker()
    assert agent.state.ends[stepped_agent.KEY].is_excused == is_excused


def test_start_on_a_draining_worker_is_refused(
    agent: stepped_agent.SteppedAgent,
) -> None:
    draining = stepped_agent.announcement("a1-incarnation1", sequence=2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert agent.worker.calls == []
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}


def test_no_run_is_started_beyond_a_reduced_capacity(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against starts of runs that were granted before the capacity was reduced."""
    resources = ttypes.Resources(cpu_millicores=2_000, memory_bytes=1 << 20)
    for number in range(2):
        agent.receive_order(
            stepped_agent.RUN, (f"j1.0.0.{number}", 1), resources=resources
        )
    agent.run_until_settled()
    assert len(agent.worker.running) == 2
    reduced = stepped_agent.announcement("a1-incarnation1", sequence=2)
    reduced.worker.capacity.cpu_millicores = 3_000
    agent.state.record_announcement(reduced)
    agent.receive_order(
        stepped_agent.STOP, ("j1.0.0.0", 1), resources=resources
    )
    agent.worker.has_slow_stops = True
    agent.execute_orders()
    agent.receive_order(stepped_agent.RUN, ("j1.0.0.2", 1), resources=resources)
    agent.execute_orders()
    assert ("j1.0.0.2", 1) not in agent.worker.running
    assert agent.end_kinds() == {("j1.0.0.2", 1): ttypes.RunEndKind.REFUSED}


def test_unanswered_start_is_not_repeated_beyond_a_reduced_capacity(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.unanswered = {"start"}
    resources = ttypes.Resources(cpu_millicores=2_000)
    agent.receive_order(stepped_agent.RUN, resources=resources)
    agent.execute_orders()
    agent.worker.unanswered = set()
    reduced = stepped_agent.announcement("a1-incarnation1", sequence=2)
    reduced.worker.capacity.cpu_millicores = 1_000
    agent.state.record_announcement(reduced)
    agent.run_until_settled()
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}
    agent.worker.run_delayed_calls()
    assert agent.worker.running == {}
    assert agent.call_names() == ["start", "stop"]


def test_no_run_is_started_when_the_last_heartbeat_is_too_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts while the news of a reduced capacity may be missing."""
    agent = stepped_agent.make_agent(announcement_age_limit_s=4.0)
    agent.receive_order(stepped_agent.RUN)
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 4.1)
    agent.execute_orders()
    assert agent.worker.calls == []
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=2)
    )
    agent.execute_orders()
    assert agent.call_names() == ["start"]


def test_run_is_refused_when_heartbeats_are_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that wait indefinitely for a worker's heartbeat."""
    agent = stepped_agent.make_agent(announcement_age_limit_s=4.0)
    agent.receive_order(stepped_agent.RUN)
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 6.1)
    agent.execute_orders()
    assert agent.worker.calls == []
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.REFUSED}


def test_heartbeat_with_a_lower_sequence_confirms_the_capacity(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent = stepped_agent.make_agent(announcement_age_limit_s=4.0)
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=50)
    )
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 4.1)
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=2)
    )
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    assert agent.call_names() == ["start"]


def test_starts_in_progress_count_against_the_capacity(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against concurrent starts that exceed the capacity together."""
    resources = ttypes.Resources(cpu_millicores=2_000, memory_bytes=1 << 20)
    for number in range(3):
        agent.receive_order(
            stepped_agent.RUN, (f"j1.0.0.{number}", 1), resources=resources
        )
    agent.run_until_settled()
    assert len(agent.worker.running) == 2
    assert list(agent.end_kinds().values()) == [ttypes.RunEndKind.REFUSED]


def test_deadline_is_never_later_than_the_lease_or_the_limit(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_lease(length_s=2.0)
    agent.renew_lease()
    lease_end_ms = agent.worker.clock_ms(agent.state.lease.end_s)
    assert agent.worker.deadlines_ms[-1] <= lease_end_ms
    agent.receive_lease(length_s=60.0)
    agent.renew_lease()
    held_s = clock.now_s()
    limit_ms = agent.worker.clock_ms(
        held_s + stepped_agent.HOLD_LIMIT_MS / 1000
    )
    assert agent.worker.deadlines_ms[-1] <= limit_ms


def test_no_deadline_is_sent_without_a_lease(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_lease(length_s=-1.0)
    agent.renew_lease()
    assert agent.worker.deadlines_ms[-1] is None


def test_unanswered_start_does_not_delay_other_tasks(
    agent: stepped_agent.SteppedAgent,
) -> None:
    other = ("j2.0.0.0", 1)
    agent.worker.unanswered = {"start"}
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    agent.worker.unanswered = set()
    agent.receive_order(stepped_agent.RUN, other)
    agent.run_until_settled()
    assert set(agent.worker.running) == {stepped_agent.KEY, other}
