"""Tests of starts on workers on probation or in quarantine that nothing else takes."""

from collections.abc import Iterable

import pytest

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.jobs import ticket_requester
from marigoldsill.coordination.jobs import worker_refresher
from marigoldsill.protocol import adviser
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_FAILED = ttypes.RunEndKind.FAILED
_DONE = ttypes.RunEndKind.DONE
_LABEL = "b"
_ADVISED = "advised"
_ROUND_S = 0.25
# How long an accepted job may have nothing running beside free capacity.
_IDLE_LIMIT_S = 3.0


class _Views:
    """The agents of a leader, all of which have reported."""

    def __init__(self, views: dict[str, agents_module.AgentView]):
        self._views = views

    def get(self, name: str) -> agents_module.AgentView | None:
        return self._views.get(name)

    def all(self) -> Iterable[agents_module.AgentView]:
        return self._views.values()


class _EternalLeases:
    """Leases that never expire."""

    def __init__(self, views: dict[str, agents_module.AgentView]):
        self._views = views

    def is_live(self, agent: str) -> bool:
        return True

    def live_agents(self) -> set[str]:
        return set(self._views)


class _Leader(leader_harness.LeaderHarness):
    """A leader that decides by the health of its workers which may be used."""

    def __init__(
        self,
        *queues: ttypes.Queue,
        locality: locality_settings.LocalitySettings | None = None,
    ):
        super().__init__(*queues, locality=locality)
        self.stalled_ids: set[str] = set()
        self._failed_count = 0
        self._refresher = worker_refresher.WorkerRefresher(
            agents=_Views(self.views),
            leases=_EternalLeases(self.views),
            health=self.health,
            placement=self.placement,
        )

    def set_worker(self, agent: str, cores: int = 8, **fields: object) -> None:
        super().set_worker(agent, cores, **fields)
        self._refresher.mark_stale([agent])

    def refresh_workers(self) -> None:
        self.health.begin_due_probations()
        for worker_id in self.stalled_ids:
            self.health.report_stall(worker_id, runs_count=2)
        self.health.begin_wanted_probations(self.placement.take_wanted())
        changed_agents = self.state.tables.jobs.pop_changed_agents()
        self._refresher.mark_stale(changed_agents)
        self._refresher.refresh(self.state.tables, now_s=self.now_s)

    def play(self, duration_s: float) -> dict[str, float]:
        """Runs rounds; returns after how long each task first started."""
        began_s, started_s = self.now_s, {}
        while self.now_s - began_s <= duration_s:
            for task in self.run_round():
                started_s.setdefault(task, self.now_s - began_s)
            self.answer_requests()
            self.now_s += _ROUND_S
        return started_s

    def submit_advised(self, job_id: str, *steps: ttypes.Step) -> None:
        job = builders.job(job_id, *steps)
        job.queue = _ADVISED
        self.state.submit(job)

    def answer_requests(self) -> None:
        """Answers as an adviser does that allows all steps on all workers."""
        for waiting in self.backlog.rank_steps(
            self.urgency, now_unix_ms=builders.NOW_UNIX_MS
        ):
            if not waiting.queue.advised:
                continue
            for request in ticket_requester.build_requests(
                [waiting],
                self.placement.workers_to_advise(),
                self.tickets,
                now_s=self.now_s,
            ):
                self.tickets.record_answer(
                    request.key,
                    request.worker_ids,
                    [adviser.Ticket(i, "ticket") for i in request.worker_ids],
                    valid_ms=request.valid_ms,
                    now_s=self.now_s,
                )

    def fail_runs_on(self, agent: str, label: str = "") -> None:
        """Fails runs of several jobs on a worker until it is in quarantine."""
        worker_id = self.views[agent].worker.worker_id
        while not self.health.is_quarantined(worker_id):
            self._failed_count += 1
            job_id = f"f{self._failed_count}"
            self.submit(job_id, builders.step(required_label=label))
            for task, used in self.run_round().items():
                assert used == agent
                self.record_end(builders.run_end(task, _FAILED))
            self.state.cancel(job_id)

    def prolong_quarantine(self, agent: str) -> None:
        """Has a labelled worker fail probes until it is in a long quarantine."""
        worker_id = self.views[agent].worker.worker_id
        self.fail_runs_on(agent, _LABEL)
        for number in range(5):
            while self.health.is_quarantined(worker_id):
                self.now_s += 1
                self.health.begin_due_probations()
            self.submit(f"p{number}", _labelled())
            [task] = self.run_round()
            self.record_end(builders.run_end(task, _FAILED))
            self.state.cancel(f"p{number}")

    def begin_probation(self, agent: str, label: str = "") -> None:
        """Has a worker fail until its first quarantine is over."""
        self.fail_runs_on(agent, label)
        self.now_s += 2.0
        self.health.begin_due_probations()
        assert self.health.is_on_probation(self.views[agent].worker.worker_id)

    def occupy(self, agent: str, label: str = "") -> str:
        """Starts a long task on a worker on probation; returns its name."""
        self.submit("long", builders.step(required_label=label))
        [(task, used)] = self.run_round().items()
        assert used == agent
        return task


@pytest.fixture
def leader(monkeypatch: pytest.MonkeyPatch) -> _Leader:
    leader = _Leader(
        builders.queue(attempts_limit=100),
        builders.queue(_ADVISED, advised=True, advice_validity_ms=10_000),
    )
    monkeypatch.setattr(clock, "now_s", lambda: leader.now_s)
    return leader


def _labelled(tasks_count: int = 1, **fields: object) -> ttypes.Step:
    return builders.step(tasks_count, required_label=_LABEL, **fields)


@pytest.mark.parametrize("long_running", [False, True])
def test_a_gang_starts_on_the_only_worker_for_it_although_on_probation(
    leader: _Leader, long_running: bool
) -> None:
    """Guards against a gang that waits for ever for the probe of an idle worker."""
    leader.set_worker("a1")
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.submit("j1", _labelled(2, gang=True, long_running=long_running))
    started_s = leader.play(_IDLE_LIMIT_S)
    assert list(started_s) == [builders.task_name(n) for n in range(2)]


def test_a_gang_starts_beside_a_lasting_task_on_a_worker_on_probation(
    leader: _Leader,
) -> None:
    """Guards against a worker that is tried again only once something changes."""
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.submit("lasts", _labelled(long_running=True))
    assert len(leader.play(10.0)) == 1
    leader.submit("j1", _labelled(2, gang=True))
    assert len(leader.play(_IDLE_LIMIT_S)) == 2


def test_a_gang_that_needs_all_workers_starts_beside_one_on_probation(
    leader: _Leader,
) -> None:
    leader.set_worker("a2", cores=2)
    leader.begin_probation("a2")
    leader.set_worker("a1", cores=2)
    leader.submit("j1", builders.step(4, gang=True))
    assert len(leader.play(_IDLE_LIMIT_S)) == 4


def test_a_gang_uses_few_slots_of_a_worker_on_probation(
    leader: _Leader,
) -> None:
    leader.set_worker("a2", cores=8)
    leader.begin_probation("a2")
    leader.set_worker("a1", cores=4)
    leader.submit("j1", builders.step(6, gang=True))
    leader.play(_IDLE_LIMIT_S)
    runs = leader.state.tables.jobs.runs_by_agent
    assert {agent: len(runs[agent]) for agent in runs} == {"a1": 4, "a2": 2}


@pytest.mark.parametrize(
    "fields",
    [{}, {"long_running": True}, {"speculative": True}, {"gang": True}],
    ids=["plain", "lasting", "copied", "gang"],
)
def test_a_step_does_not_wait_for_the_end_of_a_probe_of_its_only_worker(
    leader: _Leader, fields: dict
) -> None:
    """Guards against a wait as long as the task that happened to start first."""
    leader.set_worker("a1")
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.occupy("a2", _LABEL)
    leader.submit("j1", _labelled(**fields))
    assert list(leader.play(_IDLE_LIMIT_S)) == [builders.task_name()]


def test_a_task_that_lasts_starts_beside_others_of_its_job(
    leader: _Leader,
) -> None:
    """Guards against a wait that ends only once no run of the job is alive."""
    leader.set_worker("a1")
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.occupy("a2", _LABEL)
    leader.submit(
        "j1",
        builders.step(long_running=True),
        _labelled(long_running=True),
    )
    assert len(leader.play(_IDLE_LIMIT_S)) == 2


@pytest.mark.parametrize(
    "fields",
    [{}, {"long_running": True}, {"speculative": True}, {"gang": True}],
    ids=["plain", "lasting", "copied", "gang"],
)
def test_a_step_does_not_wait_for_a_long_quarantine_of_its_only_worker(
    leader: _Leader, fields: dict
) -> None:
    """Guards against a wait that doubles with each probe that fails."""
    leader.set_worker("a1")
    leader.set_worker("a2", labels=[_LABEL])
    leader.prolong_quarantine("a2")
    leader.submit("j1", _labelled(**fields))
    [started_s] = leader.play(5.0).values()
    assert 4.0 <= started_s <= 4.5


def test_a_task_starts_on_its_only_worker_although_two_others_hang_there(
    leader: _Leader,
) -> None:
    """Guards against reports of a stall that prolong a quarantine without end."""
    leader.set_worker("a2", labels=[_LABEL])
    leader.stalled_ids.add(leader.views["a2"].worker.worker_id)
    leader.play(20.0)
    leader.submit("j1", _labelled())
    assert list(leader.play(5.0)) == [builders.task_name()]


def test_an_advised_step_starts_on_its_only_worker_beside_a_probe(
    leader: _Leader,
) -> None:
    """Guards against a step that gets no ticket as its worker gets no runs."""
    leader.set_worker("a1")
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.occupy("a2", _LABEL)
    leader.submit_advised("j1", _labelled())
    assert list(leader.play(_IDLE_LIMIT_S)) == [builders.task_name()]


def test_an_advised_step_ends_a_long_quarantine_of_its_only_worker(
    leader: _Leader,
) -> None:
    leader.set_worker("a2", labels=[_LABEL])
    leader.prolong_quarantine("a2")
    leader.submit_advised("j1", _labelled())
    assert list(leader.play(5.0)) == [builders.task_name()]


def test_trials_of_a_worker_that_fails_all_runs_are_spaced_out(
    leader: _Leader,
) -> None:
    """Guards against attempts that are used up as fast as a worker fails them."""
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    for number in range(20):
        leader.submit(f"j{number}", _labelled(2, long_running=True))
    starts_s = []
    for _ in range(120):
        started = leader.run_round()
        starts_s += [leader.now_s] * len(started)
        leader.now_s += _ROUND_S
        for task in started:
            run = leader.state.task(task).last_run
            leader.record_end(builders.run_end(task, _FAILED, run))
    assert len(starts_s) <= 8


def test_trials_beside_a_probe_are_spaced_out(leader: _Leader) -> None:
    leader.set_worker("a2", cores=64, labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    for number in range(20):
        leader.submit(f"j{number}", _labelled())
    times_s = list(leader.play(10.0).values())
    assert times_s == [0.0, 2.0, 4.0, 6.0, 8.0, 10.0]


def test_a_successful_trial_ends_the_probation(leader: _Leader) -> None:
    leader.set_worker("a2", labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.submit("j1", _labelled(2, gang=True))
    [task, _] = leader.play(_IDLE_LIMIT_S)
    leader.record_end(builders.run_end(task, _DONE))
    leader.submit("j2", _labelled(5))
    assert len(leader.run_round()) == 5


def test_a_healthy_worker_is_used_rather_than_one_on_probation(
    leader: _Leader,
) -> None:
    leader.set_worker("a2", cores=16)
    leader.begin_probation("a2")
    leader.occupy("a2")
    leader.set_worker("a1", cores=8)
    leader.submit("j1", builders.step(8))
    assert set(leader.run_round().values()) == {"a1"}


def test_no_worker_is_tried_early_while_healthy_ones_are_full(
    leader: _Leader,
) -> None:
    """Guards against a backlog that is lost to a failing worker."""
    leader.set_worker("a2", cores=2)
    leader.begin_probation("a2")
    leader.occupy("a2")
    leader.set_worker("a1", cores=16)
    leader.submit("j1", builders.step(16))
    assert len(leader.run_round()) == 16
    leader.submit("j2", builders.step())
    assert leader.play(15.0) == {}


def test_a_task_that_waits_for_its_rack_is_not_tried_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    locality = locality_settings.LocalitySettings(remote_run_ratio=4.0)
    leader = _Leader(locality=locality)
    monkeypatch.setattr(clock, "now_s", lambda: leader.now_s)
    leader.set_worker("a2", rack="r2")
    leader.begin_probation("a2")
    leader.occupy("a2")
    leader.set_worker("a3", rack="r3")
    leader.submit("other", builders.step(7, estimated_ms=600_000))
    assert len(leader.run_round()) == 7
    leader.set_worker("a1", cores=2, rack="r1")
    near = builders.step(3, preferred_rack="r1", estimated_ms=60_000)
    leader.submit("j1", near)
    assert set(leader.run_round().values()) == {"a1"}
    assert leader.play(30.0) == {}


def test_a_trial_respects_the_capacity_of_its_worker(leader: _Leader) -> None:
    leader.set_worker("a2", cores=2, labels=[_LABEL])
    leader.begin_probation("a2", _LABEL)
    leader.submit("j1", _labelled(3, gang=True))
    leader.submit("j2", _labelled(3))
    leader.play(20.0)
    assert len(leader.state.tables.jobs.runs_by_agent["a2"]) == 2
