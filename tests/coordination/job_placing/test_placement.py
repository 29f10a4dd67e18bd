"""Which worker takes a waiting task."""

import pytest

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import gangs
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_placing import worker_health
from marigoldsill.coordination.leadership import commands
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_GIGABYTE = 1 << 30


def _resources(cores: float, gigabytes: int = 1) -> ttypes.Resources:
    return ttypes.Resources(
        cpu_millicores=int(cores * 1000), memory_bytes=gigabytes * _GIGABYTE
    )


class _Leader:
    """A state with agents, and rounds of placing on it."""

    def __init__(self, *queues: ttypes.Queue):
        self.state = builders.State(*queues)
        self.interference = interference_model.InterferenceModel()
        self.backlog = backlog_module.Backlog()
        self.urgency = urgency_module.Urgency()
        self.health = worker_health.WorkerHealth()
        self.tickets = tickets_module.Tickets()
        self.placement = placement_module.Placement(
            interference=self.interference,
            health=self.health,
            tickets=self.tickets,
        )
        self.now_s = 100.0
        self.views: dict[str, agents_module.AgentView] = {}

    def worker(self, agent: str, cores: int = 8, **fields: object) -> None:
        values = {"pool": builders.POOL, "rack": "r1", "labels": ["a", "r1"]}
        worker = ttypes.PoolWorker(
            worker_id=f"{agent}-life1",
            capacity=_resources(cores, 64),
            **(values | fields),
        )
        self.views[agent] = agents_module.AgentView(agent, worker=worker)

    def submit(self, job_id: str, *steps: ttypes.Step) -> None:
        self.state.submit(builders.job(job_id, *steps))

    def round(self) -> dict[str, str]:
        """Places and grants; returns agents by task."""
        jobs = self.state.tables.jobs
        self.backlog.refresh(jobs, jobs.take_touched_jobs(), now_s=self.now_s)
        for view in self.views.values():
            self.placement.refresh(jobs, view, is_eligible=True)
        waiting = self.backlog.in_order(
            self.urgency, now_unix_ms=builders.NOW_UNIX_MS
        )
        grants = self.placement.place(waiting, now_s=self.now_s)
        assert self.state.grant(*grants) == len(grants)
        self.health.observe_command(
            commands.new(
                command_id="", grant_runs=ttypes.GrantRuns(grants=grants)
            )
        )
        return {grant.task: grant.agent for grant in grants}

    def list_tail(self, agent: str, task: str, *, tail_ms: int) -> None:
        """Has a worker list a latency-critical task."""
        sample = ttypes.RunSample(task=task, run=1, percent=100, load=tail_ms)
        self.now_s += 1.0
        view = self.views[agent]
        view.samples, view.sampled_s = {(task, 1): sample}, self.now_s
        self.interference.learn(self.state.tables.jobs, [view])

    def take_end(self, end: ttypes.RunEnd) -> None:
        """Records an end and has it looked at."""
        self.state.end(end)
        record = ttypes.RecordRunEnds(ends=[end])
        self.health.observe_command(
            commands.new(command_id="", record_run_ends=record)
        )


@pytest.fixture
def leader() -> _Leader:
    return _Leader()


def test_a_worker_is_never_given_more_than_it_holds(leader: _Leader) -> None:
    leader.worker("a1", cores=8)
    leader.submit("j1", builders.step(5, resources=_resources(3)))
    assert len(leader.round()) == 2
    assert leader.round() == {}


def test_a_run_that_is_to_stop_still_holds_its_room(leader: _Leader) -> None:
    leader.worker("a1", cores=4)
    leader.submit("j1", builders.step(resources=_resources(4)))
    leader.round()
    leader.state.cancel("j1")
    leader.submit("j2", builders.step(resources=_resources(4)))
    assert leader.round() == {}


def test_a_step_waits_for_the_steps_before_it(leader: _Leader) -> None:
    leader.worker("a1")
    leader.submit("j1", builders.step(), builders.step(after=[0]))
    assert list(leader.round()) == [builders.task(0)]
    done = builders.end(builders.task(0), ttypes.RunEndKind.DONE)
    leader.state.end(done)
    assert list(leader.round()) == [builders.task(0, step_number=1)]


def test_a_label_that_no_worker_has_is_waited_for(leader: _Leader) -> None:
    leader.worker("a1")
    leader.submit("j1", builders.step(required_label="b"))
    assert leader.round() == {}
    leader.worker("a2", labels=["b", "r2"])
    assert leader.round() == {builders.task(0): "a2"}


def test_a_step_is_spread_as_far_as_it_asks(leader: _Leader) -> None:
    leader.worker("a1")
    leader.worker("a2")
    leader.submit("j1", builders.step(5, spread_limit=1))
    assert sorted(leader.round().values()) == ["a1", "a2"]


def test_a_worker_near_the_data_is_preferred(leader: _Leader) -> None:
    leader.worker("a1", rack="r1")
    leader.worker("a2", rack="r2")
    leader.submit("j1", builders.step(2, preferred_rack="r2"))
    assert set(leader.round().values()) == {"a2"}


def test_nothing_is_placed_on_a_worker_that_drains(leader: _Leader) -> None:
    leader.worker("a1", draining=True)
    leader.submit("j1")
    assert leader.round() == {}


def test_nothing_is_placed_on_a_worker_of_another_pool(
    leader: _Leader,
) -> None:
    leader.worker("a1", pool="other")
    leader.submit("j1")
    assert leader.round() == {}


def _latency_critical_fields(
    image: str = "desk", cores: float = 4
) -> dict[str, object]:
    return {
        "long_running": True,
        "image": image,
        "tail_target_ms": 100,
        "resources": _resources(cores),
    }


def _latency_critical(image: str = "desk", cores: float = 4) -> ttypes.Step:
    return builders.step(**_latency_critical_fields(image, cores))


def _best_effort_fields(
    image: str = "heavy", cores: float = 4
) -> dict[str, object]:
    return {"image": image, "best_effort": True, "resources": _resources(cores)}


def _best_effort(image: str = "heavy", cores: float = 4) -> ttypes.Step:
    return builders.step(**_best_effort_fields(image, cores))


def test_tasks_that_serve_are_packed(leader: _Leader) -> None:
    leader.worker("a1", cores=16)
    leader.worker("a2", cores=16)
    leader.submit("j1", _latency_critical())
    leader.submit("j2", _latency_critical("other"))
    assert len(set(leader.round().values())) == 1


def test_tasks_that_serve_take_the_largest_workers_first(
    leader: _Leader,
) -> None:
    """Large jobs found no worker where nothing served, on a site nearly full.

    Latency-critical tasks went to the smallest workers that they fitted on, so that
    nearly all workers had some, and best-effort tasks were slowed down on all.
    """
    for agent, cores in (("a1", 8), ("a2", 24), ("a3", 16)):
        leader.worker(agent, cores=cores)
    leader.submit("j1", builders.step(6, **_latency_critical_fields(cores=4)))
    leader.submit(
        "j2", builders.step(2, **_latency_critical_fields("other", 4))
    )
    assert sorted(leader.round().values()) == ["a2"] * 6 + ["a3"] * 2


def test_tasks_that_serve_are_put_beside_their_image(leader: _Leader) -> None:
    for agent, job, image in (("a1", "j1", "desk"), ("a2", "j2", "other")):
        leader.worker(agent, cores=16)
        leader.submit(job, _latency_critical(image))
        leader.round()
        leader.views["a1"].worker.draining = agent == "a1"
    leader.views["a1"].worker.draining = False
    leader.submit("j3", _latency_critical("other"))
    assert list(leader.round().values()) == ["a2"]


def test_tasks_that_fill_stay_off_workers_that_serve(leader: _Leader) -> None:
    leader.worker("a1", cores=16)
    leader.worker("a2", cores=16)
    leader.submit("j1", _latency_critical())
    latency_critical = leader.round()["j1.0.0.0"]
    leader.submit("j2", _best_effort())
    assert leader.round()["j2.0.0.0"] != latency_critical


def test_nothing_begins_beside_what_serves_and_was_not_seen_yet(
    leader: _Leader,
) -> None:
    """After a loss of all power latency-critical tasks were over their targets.

    The order: everything was lost and granted again in one round. Tasks that
    fill were placed as if nobody served on the workers that had just been given
    to latency-critical tasks, whose load nobody had seen yet, and began there at
    their whole speed.
    """
    leader.worker("a1", cores=16)
    leader.submit("j1", _latency_critical())
    leader.submit("j2", _best_effort())
    assert list(leader.round()) == ["j1.0.0.0"]
    assert leader.round() == {}
    leader.list_tail("a1", "j1.0.0.0", tail_ms=15)
    assert list(leader.round()) == ["j2.0.0.0"]


def test_nothing_begins_where_its_whole_speed_would_be_too_much_now(
    leader: _Leader,
) -> None:
    leader.worker("a1", cores=16)
    leader.submit("j1", _latency_critical())
    leader.round()
    for tail_ms in (30, 30, 30, 97):
        leader.list_tail("a1", "j1.0.0.0", tail_ms=tail_ms)
    leader.submit("j2", _best_effort(cores=1))
    assert leader.round() == {}
    leader.list_tail("a1", "j1.0.0.0", tail_ms=30)
    assert list(leader.round()) == ["j2.0.0.0"]


def test_tasks_that_fill_do_not_count_their_processor_time(
    leader: _Leader,
) -> None:
    leader.worker("a1", cores=8)
    leader.submit("j1", _best_effort(cores=6))
    assert list(leader.round()) == ["j1.0.0.0"]
    leader.submit("j2", builders.step(resources=_resources(8)))
    assert list(leader.round()) == ["j2.0.0.0"]


def test_tasks_that_fill_wait_once_a_worker_is_used_up(
    leader: _Leader,
) -> None:
    leader.worker("a1", cores=8)
    leader.submit("j1", _best_effort(cores=7), _best_effort(cores=7))
    assert len(leader.round()) == 1


def test_an_urgent_queue_goes_first() -> None:
    leader = _Leader()
    leader.state = builders.State(
        builders.queue("late", priority=2), builders.queue("soon", priority=0)
    )
    leader.worker("a1", cores=1)
    for job_id, queue in (("j1", "late"), ("j2", "soon")):
        job = builders.job(job_id)
        job.queue = queue
        leader.state.submit(job)
    assert list(leader.round()) == ["j2.0.0.0"]


def test_a_job_that_fills_is_never_left_idle_for_long(
    leader: _Leader,
) -> None:
    leader.worker("a1", cores=8)
    leader.submit("j1", _best_effort(cores=7))
    leader.round()
    leader.submit("j2", builders.step(2, **_best_effort_fields(cores=7)))
    assert leader.round() == {}
    leader.now_s += 3.0
    assert len(leader.round()) == 1
    leader.now_s += 3.0
    assert leader.round() == {}


def test_in_a_full_pool_an_idle_job_waits_longer_for_a_bad_place(
    leader: _Leader,
) -> None:
    leader.worker("a1", cores=16)
    leader.submit("j1", _latency_critical(cores=12))
    leader.round()
    leader.list_tail("a1", "j1.0.0.0", tail_ms=90)
    leader.submit("j2", _best_effort())
    assert leader.round() == {}
    leader.now_s += 10.0
    assert leader.round() == {}
    leader.now_s += 11.0
    assert list(leader.round()) == ["j2.0.0.0"]


def test_a_task_that_failed_goes_to_another_worker(leader: _Leader) -> None:
    leader.worker("a1", rack="r1")
    leader.worker("a2", rack="r2")
    step = builders.step(preferred_rack="r1")
    leader.submit("j1", step)
    assert leader.round() == {builders.task(): "a1"}
    leader.take_end(builders.end(builders.task(), ttypes.RunEndKind.FAILED))
    assert leader.round() == {builders.task(): "a2"}


def test_a_task_that_failed_stays_where_there_is_no_other_worker(
    leader: _Leader,
) -> None:
    leader.worker("a1")
    leader.submit("j1", builders.step())
    leader.round()
    leader.take_end(builders.end(builders.task(), ttypes.RunEndKind.FAILED))
    assert leader.round() == {builders.task(): "a1"}


def test_a_gang_begins_whole_or_not_at_all(leader: _Leader) -> None:
    leader.worker("a1", cores=4)
    step = builders.step(3, gang=True, resources=_resources(2))
    leader.submit("j1", step)
    assert leader.round() == {}
    leader.worker("a2", cores=4)
    assert sorted(leader.round().values()) == ["a1", "a1", "a2"]


def test_a_gang_that_does_not_fit_takes_no_room(leader: _Leader) -> None:
    leader.worker("a1", cores=4)
    leader.submit("j1", builders.step(3, gang=True, resources=_resources(2)))
    leader.submit("j2", builders.step(2, resources=_resources(2)))
    assert sorted(leader.round()) == [
        builders.task(0, "j2"),
        builders.task(1, "j2"),
    ]


def test_members_of_a_gang_get_one_number_above_all_before(
    leader: _Leader,
) -> None:
    leader.worker("a1")
    leader.submit("j1", builders.step(2, gang=True))
    leader.round()
    leader.take_end(builders.end(builders.task(0), ttypes.RunEndKind.FAILED))
    assert leader.round() == {}
    ended = ttypes.RunEndKind.MEMBER_ENDED
    leader.take_end(builders.end(builders.task(1), ended))
    assert sorted(leader.round()) == [builders.task(0), builders.task(1)]
    tasks = [leader.state.task(builders.task(n)) for n in (0, 1)]
    assert [task.runs[0].run for task in tasks] == [2, 2]


def test_a_gang_goes_on_one_rack_where_it_fits(leader: _Leader) -> None:
    leader.worker("a1", cores=6, rack="r1")
    leader.worker("a2", cores=4, rack="r2")
    leader.worker("a3", cores=4, rack="r2")
    step = builders.step(4, gang=True, same_rack=True, resources=_resources(2))
    leader.submit("j1", step)
    assert set(leader.round().values()) == {"a2", "a3"}


def test_members_that_wait_for_one_that_is_away_give_way(
    leader: _Leader,
) -> None:
    leader.worker("a1")
    leader.submit("j1", builders.step(3, gang=True))
    leader.round()
    jobs = leader.state.tables.jobs
    assert gangs.incomplete(jobs, ["j1"]) == []
    leader.take_end(builders.end(builders.task(1), ttypes.RunEndKind.REFUSED))
    keys = [move.key for move in gangs.incomplete(jobs, ["j1"])]
    assert keys == [(builders.task(0), 1), (builders.task(2), 1)]


def test_nothing_is_started_that_needs_an_advisers_ticket() -> None:
    leader = _Leader(builders.queue(advised=True))
    leader.worker("a1")
    leader.submit("j1", builders.step())
    assert leader.round() == {}
