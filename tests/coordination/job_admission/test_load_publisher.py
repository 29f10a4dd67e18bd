"""Tests of the summary of the load that the scheduler publishes."""

import math

import pytest

from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_admission import load_publisher
from marigoldsill.coordination.learning import run_times
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_BEGUN_S = 100.0


class _Leader(leader_harness.LeaderHarness):
    """A leader that publishes its load."""

    def __init__(self, *queues: ttypes.Queue):
        super().__init__(*queues)
        self.publisher = load_publisher.LoadPublisher(term=3, now_s=_BEGUN_S)

    def summarize(
        self, *, after_s: float = 0.0, agents: tuple[str, ...] = ()
    ) -> load_module.LoadSummary:
        jobs = self.state.tables.jobs
        now_s = _BEGUN_S + after_s
        self.backlog.refresh(jobs, jobs.pop_changed_jobs(), now_s=now_s)
        for name, view in self.views.items():
            self.placement.refresh(jobs, view, is_eligible=name in agents)
        waiting = self.backlog.rank_steps(
            self.urgency, now_unix_ms=builders.NOW_UNIX_MS
        )
        return self.publisher.summarize(
            self.backlog,
            waiting,
            self.urgency,
            self.placement,
            pools=jobs.pools,
            now_s=now_s,
            now_unix_ms=builders.NOW_UNIX_MS,
            is_order_final=True,
        )


@pytest.fixture
def leader(monkeypatch: pytest.MonkeyPatch) -> _Leader:
    """A leader that trusts all estimates."""
    monkeypatch.setattr(
        run_times.RunTimeModel, "is_learnt", lambda self, queue: True
    )
    new_leader = _Leader()
    for agent in ("a1", "a2"):
        new_leader.set_worker(agent, cores=8)
    return new_leader


def test_waiting_steps_are_listed_in_order_with_what_they_need(
    leader: _Leader,
) -> None:
    large = builders.step(6, estimated_ms=4_000)
    leader.submit("j1", large, builders.step(2, estimated_ms=9, after=[0]))
    leader.submit("j2", builders.step(2, estimated_ms=4_000))
    summary = leader.summarize(agents=("a1", "a2"))
    pool = summary.pools[builders.POOL]
    assert (summary.term, pool.capacity_millicores) == (3, 16_000)
    assert [item.last_key[1] for item in pool.work] == [
        ("j2", 0, 0),
        ("j1", 0, 0),
    ]
    last = pool.work[-1]
    assert (last.core_ms, last.run_ms) == (24_000, 4_000)
    assert pool.core_ms == 32_000
    # Three times 1.5 * 4,010 ms + 250 ms, less the critical path.
    assert last.latest_start_unix_ms == pytest.approx(
        builders.NOW_UNIX_MS + 3 * (1.5 * 4_010 + 250) - 4_010
    )
    mean_ms = summary.mean_core_times_ms[builders.QUEUE]
    assert mean_ms == pytest.approx((24_020 + 8_000) / 2)


@pytest.mark.parametrize(
    "fields",
    [
        {"gang": True},
        {"same_rack": True},
        {"required_label": "gpu"},
        {"spread_limit": 1},
        {"long_running": True},
        {"resources": ttypes.Resources(accelerators_count=1)},
    ],
)
def test_steps_that_may_wait_beside_free_capacity_are_left_out(
    leader: _Leader, fields: dict
) -> None:
    leader.submit("j1", builders.step(6, **fields))
    assert leader.summarize().pools[builders.POOL].work == []


def test_steps_whose_jobs_an_adviser_decides_on_are_left_out() -> None:
    leader = _Leader(builders.queue(advised=True))
    leader.submit("j1", builders.step(6))
    assert leader.summarize().pools[builders.POOL].work == []


def test_many_steps_are_grouped_without_losing_work(leader: _Leader) -> None:
    for number in range(2_000):
        leader.submit(f"j{number}", builders.step(1, estimated_ms=1_000))
    pool = leader.summarize(agents=("a1",)).pools[builders.POOL]
    assert len(pool.work) == 200
    assert pool.core_ms == 2_000_000
    keys = [item.last_key for item in pool.work]
    assert keys == sorted(keys)


def test_the_number_of_groups_is_bounded_if_all_needs_differ(
    leader: _Leader,
) -> None:
    for number in range(1_500):
        needs = ttypes.Resources(cpu_millicores=1_000 + number)
        leader.submit(f"j{number}", builders.step(1, resources=needs))
    pool = leader.summarize(agents=("a1",)).pools[builders.POOL]
    assert len(pool.work) == 400


def test_workers_that_were_lost_a_short_time_ago_still_count(
    leader: _Leader,
) -> None:
    def capacity(after_s: float, *agents: str) -> int:
        summary = leader.summarize(after_s=after_s, agents=agents)
        return summary.pools[builders.POOL].capacity_millicores

    assert capacity(0.0, "a1", "a2") == 16_000
    assert capacity(1.0, "a1") == 16_000
    assert capacity(30.0, "a1") == 16_000
    assert capacity(31.1, "a1") == 8_000
    assert capacity(32.0, "a1", "a2") == 16_000


def test_workers_are_listed_with_what_is_free_of_them(leader: _Leader) -> None:
    leader.set_worker("a2", cores=8, draining=True)
    leader.submit("j1", builders.step(3))
    leader.summarize(agents=("a1",))
    leader.run_round()
    pool = leader.summarize(agents=("a1", "a2")).pools[builders.POOL]
    free = load_module.FreeWorker(
        cpu_millicores=5_000,
        idle_millicores=5_000,
        memory_bytes=(64 << 30) - (3 << 20),
    )
    assert pool.free_workers == [free]


def test_an_outage_begins_when_the_last_worker_is_lost(leader: _Leader) -> None:
    def outage_begin_s(after_s: float, *agents: str) -> float:
        summary = leader.summarize(after_s=after_s, agents=agents)
        return summary.pools[builders.POOL].no_worker_since_s

    assert outage_begin_s(0.0) == _BEGUN_S
    assert outage_begin_s(5.0, "a1") == math.inf
    assert outage_begin_s(8.0) == _BEGUN_S + 8
    assert outage_begin_s(9.0) == _BEGUN_S + 8


def test_summaries_follow_at_intervals(leader: _Leader) -> None:
    assert leader.publisher.is_due(now_s=_BEGUN_S)
    leader.summarize()
    assert not leader.publisher.is_due(now_s=_BEGUN_S + 0.2)
    assert leader.publisher.is_due(now_s=_BEGUN_S + 10.0)


def test_work_that_waits_is_predicted_by_what_was_learnt_meanwhile(
    leader: _Leader,
) -> None:
    """Guards against a rejection by run times that have turned out far shorter."""
    leader.submit("j1", builders.step(10, estimated_ms=9_000))
    assert leader.summarize().pools[builders.POOL].core_ms == 90_000
    for _ in range(200):
        leader.urgency.run_times.observe(
            builders.QUEUE, estimated_ms=9_000, run_ms=900
        )
    pool = leader.summarize(after_s=1.0).pools[builders.POOL]
    assert pool.core_ms == pytest.approx(9_000, rel=0.1)
    assert pool.work[0].latest_start_unix_ms < builders.NOW_UNIX_MS + 4_500


def test_work_follows_its_queue_to_another_pool(leader: _Leader) -> None:
    """Guards against rejections in a pool where the work no longer waits."""
    leader.submit("j1", builders.step(10, estimated_ms=9_000))
    assert leader.summarize().pools[builders.POOL].work
    jobs = leader.state.tables.jobs
    queue = builders.queue()
    queue.pool = "other"
    jobs.queues[builders.QUEUE] = queue
    jobs.pools["other"] = ttypes.Pool(name="other")
    jobs.changed_jobs.add("j1")
    summary = leader.summarize(after_s=1.0)
    assert not summary.pools[builders.POOL].work
    assert summary.pools["other"].work


def test_work_counts_once_the_run_times_of_its_queue_are_learnt() -> None:
    """Guards against rejections by estimates that are several times too long."""
    leader = _Leader()
    leader.submit("j1", builders.step(10, estimated_ms=9_000))
    assert not leader.summarize().pools[builders.POOL].work
    for _ in range(4):
        leader.urgency.run_times.observe(
            builders.QUEUE, estimated_ms=9_000, run_ms=2_000
        )
    pool = leader.summarize(after_s=1.0).pools[builders.POOL]
    assert pool.core_ms < 1.5 * 20_000
