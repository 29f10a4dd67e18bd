"""An agent brings its worker to its orders, and reports every end once."""

import dataclasses

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import executor as executor_module
from marigoldsill.coordination.job_agent import holder as holder_module
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker

_TERM = 3
_HOLD_LIMIT_MS = 6_000
_RUN = ttypes.RunDesire.RUN
_STOP = ttypes.RunDesire.STOP
_KEY = ("j1.0.0.0", 1)


def announcement(life: str, sequence: int = 1) -> run_worker.Announcement:
    worker = ttypes.PoolWorker(
        worker_id=life,
        pool="pool",
        data_centre="dc1",
        rack="r1",
        labels=[],
        capacity=ttypes.Resources(cpu_millicores=4_000, memory_bytes=1 << 30),
    )
    return run_worker.Announcement(worker, sequence)


@dataclasses.dataclass
class Agent:
    """An agent whose tasks run one step at a time."""

    worker: fake_worker.FakeWorker
    state: agent_state.AgentState
    holder: holder_module.Holder
    executor: executor_module.Executor
    version: int = 0

    def order(
        self,
        desire: ttypes.RunDesire,
        key: tuple[str, int] = _KEY,
        life: str = "a1-life1",
    ) -> None:
        self.version += 1
        order = ttypes.RunOrder(
            task=key[0], run=key[1], desire=desire, worker_id=life
        )
        self.take(orders=[order], removed=[])

    def take(self, *, term: int = _TERM, **fields: object) -> bool:
        reply = ttypes.OrdersReply(term=term, version=self.version, **fields)
        return self.state.take_orders(reply)

    def lease(self, length_s: float = 60.0, orders_version: int = 0) -> None:
        self.state.take_lease(
            agent_state.Lease(clock.now_s() + length_s, _TERM, orders_version)
        )

    def hold(self) -> None:
        self.holder.hold(self.state.announced.worker.worker_id)

    def call_next(self, *, rounds_count: int) -> list[str]:
        """Lets the holder call whom it would; the lives that it called."""
        before = len(self.worker.held_lives)
        for _ in range(rounds_count):
            if life := self.holder.next_life():
                self.holder.call(life)
        return self.worker.held_lives[before:]

    def work(self) -> None:
        """Carries out what is due, and waits until it is done."""
        with self.state.changed:
            self.executor.look()
        self.executor.wait_until_idle()

    def settle(self) -> None:
        """Lets orders, listings and calls follow each other to an end."""
        for _ in range(6):
            self.work()
            self.hold()

    def ends(self) -> dict[tuple[str, int], ttypes.RunEndKind]:
        return {key: end.kind for key, end in self.state.ends.items()}

    def names_of_calls(self) -> list[str]:
        return [name for name, _ in self.worker.calls]


@pytest.fixture
def agent() -> Agent:
    state = agent_state.AgentState()
    worker = fake_worker.FakeWorker()
    holder = holder_module.Holder(
        state=state, worker=worker, hold_limit_ms=_HOLD_LIMIT_MS
    )
    executor = executor_module.Executor(
        state=state, worker=worker, holder=holder, retry_s=0.0
    )
    made = Agent(worker, state, holder, executor)
    state.announce(announcement("a1-life1"))
    made.take(orders=[], removed=[])
    made.lease()
    made.hold()
    return made


def test_an_ordered_run_is_started_once(agent: Agent) -> None:
    agent.order(_RUN)
    agent.settle()
    assert list(agent.worker.running) == [_KEY]
    assert agent.names_of_calls() == ["start"]


def test_nothing_is_started_without_a_lease(agent: Agent) -> None:
    agent.lease(length_s=-1.0)
    agent.order(_RUN)
    agent.settle()
    assert agent.worker.calls == []


def test_nothing_is_started_on_orders_older_than_the_lease(
    agent: Agent,
) -> None:
    agent.order(_RUN)
    agent.lease(orders_version=agent.version + 1)
    agent.settle()
    assert agent.worker.calls == []
    agent.version += 1
    agent.take(orders=[], removed=[])
    agent.settle()
    assert list(agent.worker.running) == [_KEY]


def test_orders_of_an_older_leader_are_refused(agent: Agent) -> None:
    assert not agent.take(term=_TERM - 1, orders=[], removed=[])


def test_a_start_without_an_answer_is_sent_again(agent: Agent) -> None:
    agent.worker.unanswered = {"start"}
    agent.order(_RUN)
    agent.work()
    agent.worker.unanswered = set()
    agent.settle()
    agent.worker.deliver_late()
    assert agent.names_of_calls() == ["start", "start"]
    assert list(agent.worker.running) == [_KEY]


def test_a_run_whose_start_may_still_arrive_is_stopped_before_it_counts_as_over(
    agent: Agent,
) -> None:
    agent.worker.unanswered = {"start"}
    agent.order(_RUN)
    agent.work()
    agent.order(_STOP)
    agent.work()
    assert agent.names_of_calls() == ["start", "stop"]
    assert agent.ends() == {}
    agent.settle()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.STOPPED}
    agent.worker.deliver_late()
    assert agent.worker.running == {}


def test_a_refusal_after_an_unanswered_start_is_no_end_yet(
    agent: Agent,
) -> None:
    agent.worker.unanswered = {"start"}
    agent.order(_RUN)
    agent.work()
    agent.worker.unanswered = {"stop"}
    agent.worker.refusal = run_worker.RefusalReason.NO_ROOM
    agent.settle()
    assert agent.ends() == {}
    agent.worker.unanswered = set()
    agent.settle()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.REFUSED}


def test_a_run_is_not_over_because_its_row_cant_be_read(
    agent: Agent,
) -> None:
    """A task ran twice at a time.

    What users would see: a task is started elsewhere while it still runs here.
    It was told to stop and takes a while; meanwhile its row in the worker's list
    can't be read, and a run that is listed neither as running nor as ended after
    its stop counts as over.
    """
    agent.order(_RUN)
    agent.settle()
    agent.worker.lingering = True
    agent.worker.unread = {_KEY}
    agent.order(_STOP)
    agent.settle()
    assert agent.ends() == {}
    agent.worker.lingering = False
    agent.worker.unread = set()
    agent.settle()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.STOPPED}


def test_an_end_that_cant_be_read_is_no_reason_to_call_without_pause(
    agent: Agent,
) -> None:
    """An agent and its worker were busy with each other.

    What users would see: less time for tasks. The worker lists an end until it
    is acknowledged, at once; one that can't be read never is.
    """
    agent.worker.unread_ended_count = 1
    begun_s = clock.now_s()
    agent.call_next(rounds_count=3)
    assert clock.now_s() - begun_s >= 0.3


def test_a_refused_start_is_reported_with_its_reason(agent: Agent) -> None:
    agent.worker.refusal = run_worker.RefusalReason.NO_ROOM
    agent.order(_RUN)
    agent.settle()
    assert agent.state.ends[_KEY].detail == run_worker.RefusalReason.NO_ROOM
    assert agent.names_of_calls() == ["start"]


def test_a_start_that_came_too_late_is_tried_again(agent: Agent) -> None:
    agent.worker.refusal = run_worker.RefusalReason.TOO_LATE
    agent.order(_RUN)
    agent.work()
    agent.worker.refusal = ""
    agent.settle()
    assert list(agent.worker.running) == [_KEY]


def test_an_unwell_worker_refuses(agent: Agent) -> None:
    agent.worker.unwell = True
    agent.order(_RUN)
    agent.settle()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.REFUSED}


def test_a_stop_without_an_answer_is_sent_again(agent: Agent) -> None:
    agent.order(_RUN)
    agent.settle()
    agent.worker.unanswered = {"stop"}
    agent.order(_STOP)
    agent.work()
    agent.worker.unanswered = set()
    agent.settle()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.STOPPED}


def test_an_end_is_listed_until_it_is_recorded(agent: Agent) -> None:
    agent.order(_RUN)
    agent.settle()
    agent.worker.end(_KEY, ttypes.RunEndKind.DONE)
    agent.hold()
    agent.hold()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.DONE}
    assert agent.worker.acknowledged == 0
    report = ttypes.AgentReport(
        agent="a1",
        ends=list(agent.state.ends.values()),
        worker_id="a1-life1",
    )
    agent.state.take_recorded(report, agent.state.listed_through)
    agent.hold()
    agent.hold()
    assert agent.ends() == {}
    assert agent.worker.acknowledged == 1


def test_runs_of_a_worker_that_was_reborn_are_lost(agent: Agent) -> None:
    agent.order(_RUN)
    agent.settle()
    agent.worker.life = "a1-life2"
    agent.worker.running.clear()
    agent.state.announce(announcement("a1-life2"))
    agent.hold()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.LOST}


def test_orders_from_before_a_restart_of_agent_and_worker_are_lost(
    agent: Agent,
) -> None:
    agent.order(_RUN, life="a1-life0")
    agent.settle()
    assert agent.ends() == {_KEY: ttypes.RunEndKind.LOST}
    assert agent.worker.calls == []


def test_a_late_heartbeat_of_a_dead_life_changes_nothing(
    agent: Agent,
) -> None:
    agent.worker.life = "a1-life2"
    agent.state.announce(announcement("a1-life2"))
    agent.hold()
    agent.state.announce(announcement("a1-life1", sequence=99))
    assert agent.state.worker_id == "a1-life2"
    assert agent.state.announced.worker.worker_id == "a1-life2"


def test_a_worker_is_held_on_when_another_writer_names_another_life(
    agent: Agent,
) -> None:
    """A heartbeat under an id that is no life here ended the holding.

    What users would see: everything on a sound worker is killed a lease after
    another writer's heartbeat, where the worker's own are rare. The agent asked
    the life that was announced, the worker refused the call since it is
    another, and the agent was left without any life to hold until the worker's
    next heartbeat.
    """
    agent.state.announce(announcement("i-other"))
    called = agent.call_next(rounds_count=4)
    assert called.count("a1-life1") >= 2
    assert agent.state.worker_id == "a1-life1"
    assert agent.worker.deadlines[-1] is not None


def test_a_life_that_does_not_answer_costs_the_held_one_no_turn(
    agent: Agent,
) -> None:
    """Of two lives, each gets its turn until the worker has refused one.

    What users would see: as above. The refusal itself may be lost on its way;
    the agent asked the announced life again and again, the held one never.
    """
    agent.worker.lost_lives = {"i-other"}
    agent.state.announce(announcement("i-other"))
    called = agent.call_next(rounds_count=6)
    assert called.count("a1-life1") == 3
    assert agent.state.worker_id == "a1-life1"


def test_lives_that_are_announced_in_turn_cost_the_held_one_no_turn(
    agent: Agent,
) -> None:
    called = []
    for number in range(6):
        agent.state.announce(announcement(f"i-other-{number}"))
        called += agent.call_next(rounds_count=1)
    assert called.count("a1-life1") == 3


def test_a_new_life_is_found_behind_one_that_another_writer_names(
    agent: Agent,
) -> None:
    """The worker was reborn, and another writer's heartbeat came after its own.

    What users would see: a reborn worker gets its tasks a heartbeat later than
    it could. Only the last announcement was kept.
    """
    agent.order(_RUN)
    agent.settle()
    agent.worker.life = "a1-life2"
    agent.worker.running.clear()
    agent.state.announce(announcement("a1-life2"))
    agent.state.announce(announcement("i-other"))
    agent.call_next(rounds_count=4)
    assert agent.state.worker_id == "a1-life2"
    assert agent.ends() == {_KEY: ttypes.RunEndKind.LOST}


def test_a_late_heartbeat_stays_late_after_one_of_another_writer(
    agent: Agent,
) -> None:
    """A worker that leaves counted as staying, and got new tasks.

    What users would see: a task is started on a worker that leaves, and is
    killed with it. The worker says that it drains; then come another writer's
    heartbeat and a late one of the worker. Only the last announcement was
    compared, so the late one was taken for news.
    """
    draining = announcement("a1-life1", sequence=2)
    draining.worker.draining = True
    agent.state.announce(draining)
    agent.state.announce(announcement("i-other", sequence=1_000))
    agent.state.announce(announcement("a1-life1", sequence=1))
    assert agent.state.worker.draining
    agent.call_next(rounds_count=3)
    agent.state.announce(announcement("a1-life1", sequence=3))
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
def test_another_writer_makes_nothing_else_of_the_worker(
    agent: Agent, field: str, value: object
) -> None:
    """A heartbeat that names an unknown service took a worker out of its pool.

    What users would see: nothing more is placed on a sound worker, until its
    agent is started again. Another writer sends a whole heartbeat under the
    worker's id, with a service that no configuration names and a high sequence.
    It was taken for news, and the worker's own heartbeats for late ones.
    """
    odd = announcement("a1-life1", sequence=1_000)
    setattr(odd.worker, field, value)
    odd.worker.draining = True
    before = agent.state.worker
    with pytest.raises(errors.ConflictError):
        agent.state.announce(odd)
    assert agent.state.worker == before
    news = announcement("a1-life1", sequence=2)
    news.worker.cold_remaining_ms = 7
    agent.state.announce(news)
    assert agent.state.worker == news.worker


def test_a_worker_that_goes_on_to_tell_otherwise_is_believed(
    agent: Agent,
) -> None:
    """Another writer's heartbeat came before the first one of the worker.

    What users would see: nothing is placed on a sound worker after its agent
    was started again. If what came first were kept for good, the worker itself
    would be refused.
    """
    for sequence in (2, 3):
        other = announcement("a1-life1", sequence=sequence)
        other.worker.pool = "other"
        with pytest.raises(errors.ConflictError):
            agent.state.announce(other)
    other = announcement("a1-life1", sequence=4)
    other.worker.pool = "other"
    agent.state.announce(other)
    assert agent.state.worker.pool == "other"


def test_writers_that_contradict_the_worker_now_and_then_change_nothing(
    agent: Agent,
) -> None:
    for number in range(2, 20):
        odd = announcement("a1-life1", sequence=1_000 + number)
        odd.worker.pool = "no-pool"
        with pytest.raises(errors.ConflictError):
            agent.state.announce(odd)
        agent.state.announce(announcement("a1-life1", sequence=number))
    assert agent.state.worker.pool == "pool"


def test_what_other_writers_announce_is_bounded(agent: Agent) -> None:
    """Ids of other writers were remembered for good.

    What users would see: an agent that takes more memory each day.
    """
    for number in range(3_000):
        agent.state.announce(announcement(f"i-other-{number}"))
        agent.state.retire(f"i-gone-{number}")
    assert agent.state.remembered_count <= 2_000
    agent.call_next(rounds_count=60)
    assert agent.state.worker_id == "a1-life1"
    agent.order(_RUN)
    agent.settle()
    assert list(agent.worker.running) == [_KEY]


def test_a_farewell_of_an_unknown_life_changes_nothing(agent: Agent) -> None:
    agent.order(_RUN)
    agent.settle()
    agent.state.retire("i-other")
    agent.settle()
    assert agent.ends() == {}
    assert agent.call_next(rounds_count=2) == ["a1-life1"] * 2


def test_a_life_of_earlier_orders_that_leaves_has_lost_its_runs(
    agent: Agent,
) -> None:
    agent.state.retire("a1-life1")
    agent.order(_RUN, life="a1-life0")
    agent.state.retire("a1-life0")
    assert agent.ends() == {_KEY: ttypes.RunEndKind.LOST}


def test_a_worker_that_left_has_lost_its_runs(agent: Agent) -> None:
    agent.order(_RUN)
    agent.settle()
    agent.state.retire("a1-life1")
    assert agent.ends() == {_KEY: ttypes.RunEndKind.LOST}


def test_nothing_is_started_on_a_worker_that_drains(agent: Agent) -> None:
    draining = announcement("a1-life1", sequence=2)
    draining.worker.draining = True
    agent.state.announce(draining)
    agent.order(_RUN)
    agent.settle()
    assert agent.worker.calls == []
    assert agent.ends() == {_KEY: ttypes.RunEndKind.REFUSED}


def test_a_deadline_never_lies_beyond_the_lease(agent: Agent) -> None:
    agent.lease(length_s=2.0)
    agent.hold()
    lease_end_ms = agent.worker.clock_ms(agent.state.lease.end_s)
    assert agent.worker.deadlines[-1] <= lease_end_ms
    agent.lease(length_s=60.0)
    agent.hold()
    held_s = clock.now_s()
    limit_ms = agent.worker.clock_ms(held_s + _HOLD_LIMIT_MS / 1000)
    assert agent.worker.deadlines[-1] <= limit_ms


def test_without_a_lease_nothing_is_prolonged(agent: Agent) -> None:
    agent.lease(length_s=-1.0)
    agent.hold()
    assert agent.worker.deadlines[-1] is None


def test_tasks_are_independent_of_one_that_is_not_answered(
    agent: Agent,
) -> None:
    other = ("j2.0.0.0", 1)
    agent.worker.unanswered = {"start"}
    agent.order(_RUN)
    agent.work()
    agent.worker.unanswered = set()
    agent.order(_RUN, other)
    agent.settle()
    assert set(agent.worker.running) == {_KEY, other}
