"""Tests of starts on workers on probation or in quarantine that nothing else takes."""

import pytest

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.job_placing import probation_harness
from tests.coordination.jobs import builders

_LABEL = "b"
# How long an accepted job may have nothing running beside free capacity.
_IDLE_LIMIT_S = 3.0


@pytest.fixture
def leader(
    monkeypatch: pytest.MonkeyPatch,
) -> probation_harness.ProbationHarness:
    leader = probation_harness.ProbationHarness(
        builders.queue(attempts_limit=100),
        builders.queue(
            probation_harness.ADVISED, advised=True, advice_validity_ms=10_000
        ),
    )
    monkeypatch.setattr(clock, "now_s", lambda: leader.now_s)
    return leader


def _labelled(tasks_count: int = 1, **fields: object) -> ttypes.Step:
    return builders.step(tasks_count, required_label=_LABEL, **fields)


@pytest.mark.parametrize("long_running", [False, True])
def test_a_gang_starts_on_the_only_worker_for_it_although_on_probation(
    leader: probation_harness.ProbationHarness, long_running: bool
) -> None:
    """Guards against a gang that waits for ever for the probe of an idle worker."""
    leader.set_worker("a1")
    leader.add_on_probation("a2", _LABEL)
    leader.submit(
        "j1",
        _labelled(2, gang=True, long_running=long_running),
    )
    started_s = leader.play(_IDLE_LIMIT_S)
    assert list(started_s) == [builders.task_name(n) for n in range(2)]


def test_a_gang_starts_beside_a_lasting_task_on_a_worker_on_probation(
    leader: probation_harness.ProbationHarness,
) -> None:
    """Guards against a worker that is tried again only once something changes."""
    leader.add_on_probation("a2", _LABEL)
    leader.submit("lasts", _labelled(long_running=True))
    assert len(leader.play(10.0)) == 1
    leader.submit("j1", _labelled(2, gang=True))
    assert len(leader.play(_IDLE_LIMIT_S)) == 2


def test_a_gang_that_needs_all_workers_starts_beside_one_on_probation(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_on_probation("a2", cores=2)
    leader.set_worker("a1", cores=2)
    leader.submit("j1", builders.step(4, gang=True))
    assert len(leader.play(_IDLE_LIMIT_S)) == 4


def test_a_gang_uses_few_slots_of_a_worker_on_probation(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_on_probation("a2", cores=8)
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
    leader: probation_harness.ProbationHarness, fields: dict
) -> None:
    """Guards against a wait as long as the task that happened to start first."""
    leader.set_worker("a1")
    leader.add_on_probation("a2", _LABEL, is_occupied=True)
    leader.submit("j1", _labelled(**fields))
    assert list(leader.play(_IDLE_LIMIT_S)) == [builders.task_name()]


def test_a_task_that_lasts_starts_beside_others_of_its_job(
    leader: probation_harness.ProbationHarness,
) -> None:
    """Guards against a wait that ends only once no run of the job is alive."""
    leader.set_worker("a1")
    leader.add_on_probation("a2", _LABEL, is_occupied=True)
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
    leader: probation_harness.ProbationHarness, fields: dict
) -> None:
    """Guards against a wait that doubles with each probe that fails."""
    leader.set_worker("a1")
    leader.add_in_long_quarantine("a2", _LABEL)
    leader.submit("j1", _labelled(**fields))
    [started_s] = leader.play(5.0).values()
    assert 4.0 <= started_s <= 4.5


def test_a_task_starts_on_its_only_worker_although_two_others_hang_there(
    leader: probation_harness.ProbationHarness,
) -> None:
    """Guards against reports of a stall that prolong a quarantine without end."""
    leader.set_worker("a2", labels=[_LABEL])
    leader.stalled_ids.add(leader.views["a2"].worker.worker_id)
    leader.play(20.0)
    leader.submit("j1", _labelled())
    assert list(leader.play(5.0)) == [builders.task_name()]


def test_an_advised_step_starts_on_its_only_worker_beside_a_probe(
    leader: probation_harness.ProbationHarness,
) -> None:
    """Guards against a step that gets no ticket as its worker gets no runs."""
    leader.set_worker("a1")
    leader.add_on_probation("a2", _LABEL, is_occupied=True)
    leader.submit_advised("j1", _labelled())
    assert list(leader.play(_IDLE_LIMIT_S)) == [builders.task_name()]


def test_an_advised_step_ends_a_long_quarantine_of_its_only_worker(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_in_long_quarantine("a2", _LABEL)
    leader.submit_advised("j1", _labelled())
    assert list(leader.play(5.0)) == [builders.task_name()]


def test_trials_of_a_worker_that_fails_all_runs_are_spaced_out(
    leader: probation_harness.ProbationHarness,
) -> None:
    """Guards against attempts that are used up as fast as a worker fails them."""
    leader.add_on_probation("a2", _LABEL)
    for number in range(20):
        leader.submit(f"j{number}", _labelled(2, long_running=True))
    starts_s = []
    for _ in range(120):
        started = leader.run_round()
        starts_s += [leader.now_s] * len(started)
        leader.now_s += probation_harness.ROUND_S
        for task in started:
            run = leader.state.task(task).last_run
            leader.record_end(
                builders.run_end(task, ttypes.RunEndKind.FAILED, run)
            )
    assert len(starts_s) <= 8


def test_trials_beside_a_probe_are_spaced_out(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_on_probation("a2", _LABEL, cores=64)
    for number in range(20):
        leader.submit(f"j{number}", _labelled())
    times_s = list(leader.play(10.0).values())
    assert times_s == [0.0, 2.0, 4.0, 6.0, 8.0, 10.0]


def test_a_successful_trial_ends_the_probation(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_on_probation("a2", _LABEL)
    leader.submit("j1", _labelled(2, gang=True))
    [task, _] = leader.play(_IDLE_LIMIT_S)
    leader.record_end(builders.run_end(task, ttypes.RunEndKind.DONE))
    leader.submit("j2", _labelled(5))
    assert len(leader.run_round()) == 5


def test_a_healthy_worker_is_used_rather_than_one_on_probation(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_on_probation("a2", cores=16, is_occupied=True)
    leader.set_worker("a1", cores=8)
    leader.submit("j1", builders.step(8))
    assert set(leader.run_round().values()) == {"a1"}


def test_no_worker_is_tried_early_while_healthy_ones_are_full(
    leader: probation_harness.ProbationHarness,
) -> None:
    """Guards against a backlog that is lost to a failing worker."""
    leader.add_on_probation("a2", cores=2, is_occupied=True)
    leader.set_worker("a1", cores=16)
    leader.submit("j1", builders.step(16))
    assert len(leader.run_round()) == 16
    leader.submit("j2", builders.step())
    assert leader.play(15.0) == {}


def test_a_task_that_waits_for_its_rack_is_not_tried_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    locality = locality_settings.LocalitySettings(remote_run_ratio=4.0)
    leader = probation_harness.ProbationHarness(locality=locality)
    monkeypatch.setattr(clock, "now_s", lambda: leader.now_s)
    leader.add_on_probation("a2", rack="r2", is_occupied=True)
    leader.set_worker("a3", rack="r3")
    leader.submit("other", builders.step(7, estimated_ms=600_000))
    assert len(leader.run_round()) == 7
    leader.set_worker("a1", cores=2, rack="r1")
    near = builders.step(3, preferred_rack="r1", estimated_ms=60_000)
    leader.submit("j1", near)
    assert set(leader.run_round().values()) == {"a1"}
    assert leader.play(30.0) == {}


def test_a_trial_respects_the_capacity_of_its_worker(
    leader: probation_harness.ProbationHarness,
) -> None:
    leader.add_on_probation("a2", _LABEL, cores=2)
    leader.submit("j1", _labelled(3, gang=True))
    leader.submit("j2", _labelled(3))
    leader.play(20.0)
    assert len(leader.state.tables.jobs.runs_by_agent["a2"]) == 2
