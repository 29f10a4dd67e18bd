"""Tests of announced incarnations, by the worker itself and by other writers.

Another writer is any process other than the worker that sends heartbeats to the agent.
"""

from collections.abc import Iterable

import pytest

from marigoldsill import errors
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import stepped_agent

_LEASE_S = 3.0
# How far the clock of an incarnation is ahead of that of its successor.
_CLOCKS_DIFFERENCE_MS = 60_000


@pytest.fixture
def agent() -> stepped_agent.SteppedAgent:
    return stepped_agent.make_agent()


def test_late_heartbeat_of_an_ended_incarnation_has_no_effect(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.worker.incarnation = "a1-incarnation2"
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation2")
    )
    agent.renew_lease()
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=99)
    )
    assert agent.state.worker_id == "a1-incarnation2"
    assert agent.state.newest_announcement.worker.worker_id == "a1-incarnation2"


def test_lease_is_renewed_while_another_writer_announces_another_incarnation(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against the end of a healthy worker's runs when their lease expires.

    The worker refuses the agent's call to the announced incarnation, as it is another
    one. This must not leave the agent without an incarnation to call until the
    worker's next heartbeat, which may come after the lease has expired.
    """
    agent.state.record_announcement(stepped_agent.announcement("i-other"))
    called = agent.call_incarnations(rounds_count=4)
    assert called.count("a1-incarnation1") >= 2
    assert agent.state.worker_id == "a1-incarnation1"
    assert agent.worker.deadlines_ms[-1] is not None


def test_unreachable_incarnation_does_not_delay_calls_to_the_current_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against the end of a healthy worker's runs when their lease expires.

    The worker's refusal of a call to the announced incarnation may be lost. The agent
    must not call only the announced incarnation until the refusal arrives.
    """
    agent.worker.unreachable_incarnations = {"i-other"}
    agent.state.record_announcement(stepped_agent.announcement("i-other"))
    called = agent.call_incarnations(rounds_count=6)
    assert called.count("a1-incarnation1") == 3
    assert agent.state.worker_id == "a1-incarnation1"


def test_series_of_announcements_does_not_delay_calls_to_the_current_one(
    agent: stepped_agent.SteppedAgent,
) -> None:
    called = []
    for number in range(6):
        agent.state.record_announcement(
            stepped_agent.announcement(f"i-other-{number}")
        )
        called += agent.call_incarnations(rounds_count=1)
    assert called.count("a1-incarnation1") == 3


def test_new_incarnation_is_found_after_an_announcement_of_another_writer(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a restarted worker that waits a heartbeat too long for tasks.

    This happens if the agent keeps only the last announcement, and another writer's
    heartbeat comes after the restarted worker's own.
    """
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.worker.incarnation = "a1-incarnation2"
    agent.worker.running.clear()
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation2")
    )
    agent.state.record_announcement(stepped_agent.announcement("i-other"))
    agent.call_incarnations(rounds_count=4)
    assert agent.state.worker_id == "a1-incarnation2"
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.CRASHED}


def test_late_heartbeat_has_no_effect_after_one_of_another_writer(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against tasks that are started on a draining worker and end with it.

    The worker announces that it is draining; then another writer's heartbeat and a
    late one of the worker arrive. If only the last announcement is compared, the
    late one counts as new and the worker as not draining.
    """
    draining = stepped_agent.announcement("a1-incarnation1", sequence=2)
    draining.worker.draining = True
    agent.state.record_announcement(draining)
    agent.state.record_announcement(
        stepped_agent.announcement("i-other", sequence=1_000)
    )
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=1)
    )
    assert agent.state.worker.draining
    agent.call_incarnations(rounds_count=3)
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=3)
    )
    assert not agent.state.worker.draining


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("pool", "no-pool"),
        ("data_centre", "dc2"),
        ("labels", ["b", "r2"]),
        ("capacity", ttypes.Resources(cpu_millicores=1, memory_bytes=1)),
    ],
)
def test_contradicting_heartbeat_of_another_writer_is_refused(
    agent: stepped_agent.SteppedAgent, field: str, value: object
) -> None:
    """Guards against a healthy worker that gets no tasks until its agent restarts.

    Another writer sends a complete heartbeat under the worker's id, with a high
    sequence and, for example, a pool that no configuration names. If it is accepted,
    the worker leaves its pool and its own heartbeats count as late.
    """
    contradicting = stepped_agent.announcement(
        "a1-incarnation1", sequence=1_000
    )
    setattr(contradicting.worker, field, value)
    contradicting.worker.draining = True
    before = agent.state.worker
    with pytest.raises(errors.ConflictError):
        agent.state.record_announcement(contradicting)
    assert agent.state.worker == before
    update = stepped_agent.announcement("a1-incarnation1", sequence=2)
    update.worker.cold_remaining_ms = 7
    agent.state.record_announcement(update)
    assert agent.state.worker == update.worker


def test_repeated_contradicting_heartbeats_are_accepted(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against a healthy worker that gets no tasks after a restart of its agent.

    Another writer's heartbeat may arrive before the worker's first one. If the agent
    kept it for good, it would refuse the worker's own heartbeats.
    """
    for sequence in (2, 3):
        other = stepped_agent.announcement("a1-incarnation1", sequence=sequence)
        other.worker.pool = "other"
        with pytest.raises(errors.ConflictError):
            agent.state.record_announcement(other)
    other = stepped_agent.announcement("a1-incarnation1", sequence=4)
    other.worker.pool = "other"
    agent.state.record_announcement(other)
    assert agent.state.worker.pool == "other"


def test_contradicting_heartbeats_between_those_of_the_worker_are_refused(
    agent: stepped_agent.SteppedAgent,
) -> None:
    for number in range(2, 20):
        contradicting = stepped_agent.announcement(
            "a1-incarnation1", sequence=1_000 + number
        )
        contradicting.worker.pool = "no-pool"
        with pytest.raises(errors.ConflictError):
            agent.state.record_announcement(contradicting)
        agent.state.record_announcement(
            stepped_agent.announcement("a1-incarnation1", sequence=number)
        )
    assert agent.state.worker.pool == "pool"


def _announce_other_pool(
    agent: stepped_agent.SteppedAgent,
    incarnation: str = "a1-incarnation1",
    pool: str = "no-pool",
    sequences: Iterable[int] = range(1_000, 1_005),
) -> int:
    """Announces the worker under another pool; returns how often that was refused."""
    refused_count = 0
    for sequence in sequences:
        other = stepped_agent.announcement(incarnation, sequence=sequence)
        other.worker.pool = pool
        try:
            agent.state.record_announcement(other)
        except errors.ConflictError:
            refused_count += 1
    return refused_count


@pytest.mark.parametrize("first_sequence", [2, 1_000])
def test_repeated_heartbeats_of_an_unknown_pool_do_not_outvote_the_worker(
    agent: stepped_agent.SteppedAgent, first_sequence: int
) -> None:
    """Guards against an idle worker that gets no tasks while another writer announces it.

    The other writer's heartbeats come several times as often as the worker's own.
    """
    agent.receive_orders(orders=[], removed=[], pools=["pool"])
    for number in range(2, 6):
        sequences = range(first_sequence, first_sequence + 5)
        assert _announce_other_pool(agent, sequences=sequences) == 5
        agent.state.record_announcement(
            stepped_agent.announcement("a1-incarnation1", sequence=number)
        )
    assert agent.state.worker.pool == "pool"
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]


def test_heartbeats_of_an_unknown_pool_do_not_delay_a_changed_zone(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_orders(orders=[], removed=[], pools=["pool"])
    for sequence in (2, 3, 4):
        _announce_other_pool(agent)
        own = stepped_agent.announcement("a1-incarnation1", sequence=sequence)
        own.worker.data_centre = "dc2"
        if sequence < 4:
            with pytest.raises(errors.ConflictError):
                agent.state.record_announcement(own)
    agent.state.record_announcement(own)
    assert agent.state.worker.data_centre == "dc2"


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_worker_replaces_an_earlier_heartbeat_of_an_unknown_pool(
    is_confirmed: bool,
) -> None:
    """Guards against a worker out of use after another writer announced it first.

    The agent has restarted, and both go on with their heartbeats. Those of the other
    writer come more often and have a higher sequence.
    """
    agent = stepped_agent.build_agent(fake_worker.FakeWorker())
    _announce_other_pool(agent)
    agent.receive_orders(orders=[], removed=[], pools=["pool"])
    if is_confirmed:
        agent.renew_lease()
        assert agent.state.worker.pool == "no-pool"
    agent.state.record_announcement(
        stepped_agent.announcement("a1-incarnation1", sequence=2)
    )
    assert _announce_other_pool(agent, sequences=range(2_000, 2_005)) == 5
    agent.renew_lease()
    assert agent.state.worker.pool == "pool"


def test_worker_of_a_pool_that_the_agent_does_not_know_yet_is_used(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against refusing workers whose pool was added or removed a moment ago."""
    for pools in (["pool"], ["other"], []):
        agent.receive_orders(orders=[], removed=[], pools=pools)
        agent.state.record_announcement(
            stepped_agent.announcement("a1-incarnation1", sequence=2)
        )
    restarted = stepped_agent.announcement("a1-incarnation2")
    restarted.worker.pool = "new"
    agent.worker.incarnation = "a1-incarnation2"
    agent.state.record_announcement(restarted)
    agent.renew_lease()
    assert agent.state.worker.pool == "new"
    # Another writer of a pool that was removed gains at most until the news arrives.
    _announce_other_pool(agent, "a1-incarnation2", pool="other")
    agent.receive_orders(orders=[], removed=[], pools=["new"])
    agent.state.record_announcement(
        run_worker.Announcement(restarted.worker, sequence=2)
    )
    assert agent.state.worker.pool == "new"


def test_number_of_remembered_incarnations_is_limited(
    agent: stepped_agent.SteppedAgent,
) -> None:
    """Guards against memory use that grows with each id that others announce."""
    for number in range(3_000):
        agent.state.record_announcement(
            stepped_agent.announcement(f"i-other-{number}")
        )
        agent.state.end_incarnation(f"i-ended-{number}", reason="test")
    assert agent.state.remembered_incarnations_count <= 2_000
    agent.call_incarnations(rounds_count=60)
    assert agent.state.worker_id == "a1-incarnation1"
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    assert list(agent.worker.running) == [stepped_agent.KEY]


def test_end_of_an_unknown_incarnation_has_no_effect(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.receive_order(stepped_agent.RUN)
    agent.run_until_settled()
    agent.state.end_incarnation("i-other", reason="test")
    agent.run_until_settled()
    assert agent.end_kinds() == {}
    assert agent.call_incarnations(rounds_count=2) == ["a1-incarnation1"] * 2


def test_runs_ordered_for_an_ended_incarnation_are_lost(
    agent: stepped_agent.SteppedAgent,
) -> None:
    agent.state.end_incarnation("a1-incarnation1", reason="test")
    agent.receive_order(stepped_agent.RUN, incarnation="a1-incarnation0")
    agent.state.end_incarnation("a1-incarnation0", reason="test")
    assert agent.end_kinds() == {stepped_agent.KEY: ttypes.RunEndKind.LOST}


@pytest.mark.parametrize("cpu_millicores", [1_000, 9_000])
def test_changed_capacity_is_accepted_with_the_next_heartbeat(
    agent: stepped_agent.SteppedAgent, cpu_millicores: int
) -> None:
    """Guards against refusing a changed capacity as another writer's."""
    changed = stepped_agent.announcement("a1-incarnation1", sequence=2)
    changed.worker.capacity = ttypes.Resources(
        cpu_millicores=cpu_millicores, memory_bytes=1 << 30
    )
    agent.state.record_announcement(changed)
    assert agent.state.worker.capacity.cpu_millicores == cpu_millicores


def test_late_heartbeat_does_not_restore_an_old_capacity(
    agent: stepped_agent.SteppedAgent,
) -> None:
    reduced = stepped_agent.announcement("a1-incarnation1", sequence=3)
    reduced.worker.capacity = ttypes.Resources(cpu_millicores=1_000)
    agent.state.record_announcement(reduced)
    with pytest.raises(errors.ConflictError):
        agent.state.record_announcement(
            stepped_agent.announcement("a1-incarnation1", sequence=2)
        )
    assert agent.state.worker.capacity.cpu_millicores == 1_000


def test_heartbeat_with_a_far_higher_sequence_does_not_outdate_later_ones(
    agent: stepped_agent.SteppedAgent,
) -> None:
    with pytest.raises(errors.ConflictError):
        agent.state.record_announcement(
            stepped_agent.announcement("a1-incarnation1", sequence=1 << 40)
        )
    reduced = stepped_agent.announcement("a1-incarnation1", sequence=2)
    reduced.worker.capacity = ttypes.Resources(cpu_millicores=1_000)
    agent.state.record_announcement(reduced)
    assert agent.state.worker.capacity.cpu_millicores == 1_000


def test_late_answer_of_an_earlier_incarnation_does_not_set_the_clock(
    agent: stepped_agent.SteppedAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against deadlines by the clock of an incarnation that has ended.

    Its answer to a start is handled after its successor has answered. The successor
    would keep its runs for longer than the agent's lease.
    """
    start = agent.worker.start

    def start_before_crash(
        worker_id: str, run: run_worker.RunStart, *, token: int
    ) -> int:
        start(worker_id, run, token=token)
        agent.crash_worker()
        return agent.worker.clock_ms() + _CLOCKS_DIFFERENCE_MS

    monkeypatch.setattr(agent.worker, "start", start_before_crash)
    agent.receive_lease(length_s=_LEASE_S)
    lease_end_ms = agent.worker.clock_ms(clock.now_s() + _LEASE_S)
    agent.receive_order(stepped_agent.RUN)
    agent.execute_orders()
    assert agent.lease_renewer.issue_deadline_ms() <= lease_end_ms
