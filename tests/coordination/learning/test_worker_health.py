"""Tests of the exclusion of workers that refuse or fail runs."""

import itertools

import pytest

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import trials
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders

_DONE = ttypes.RunEndKind.DONE
_FAILED = ttypes.RunEndKind.FAILED
_REFUSED = ttypes.RunEndKind.REFUSED
_HEALTHY, _FAULTY = "a1-incarnation1", "a2-incarnation1"


class _Runs:
    """Runs that are granted and end, on a simulated clock."""

    def __init__(self):
        self.health = worker_health.WorkerHealth()
        self.now_s = 1_000.0
        self._runs = itertools.count(1)

    def run(
        self, task: str, worker_id: str, kind: ttypes.RunEndKind, detail=""
    ) -> None:
        """Grants and ends one run."""
        self.end(task, self.grant(task, worker_id), kind, detail)

    def grant(self, task: str, worker_id: str) -> int:
        """Grants a run and returns its number."""
        run = next(self._runs)
        grant = ttypes.RunGrant(
            task=task, run=run, agent=worker_id[:2], worker_id=worker_id
        )
        self._apply(grant_runs=ttypes.GrantRuns(grants=[grant]))
        return run

    def end(
        self, task: str, run: int, kind: ttypes.RunEndKind, detail=""
    ) -> None:
        """Ends a run that was granted."""
        end = ttypes.RunEnd(task=task, run=run, kind=kind, detail=detail)
        self._apply(record_run_ends=ttypes.RecordRunEnds(ends=[end]))

    def advance_clock(self, seconds: float) -> None:
        self.now_s += seconds
        self.health.begin_due_probations()

    def may_start_run(self, worker_id: str, runs_count: int = 0) -> bool:
        return self.health.may_start_run(
            worker_id, count_runs=lambda: runs_count
        )

    def _apply(self, **body: object) -> None:
        self.health.observe_command(commands.new(command_id="", **body))


@pytest.fixture
def runs(monkeypatch: pytest.MonkeyPatch) -> _Runs:
    runs = _Runs()
    monkeypatch.setattr(clock, "now_s", lambda: runs.now_s)
    return runs


def _task(job: int, index: int = 0) -> str:
    return builders.task_name(index, job_id=f"j{job}")


def test_the_backoff_of_a_worker_grows_with_each_refusal(
    runs: _Runs,
) -> None:
    backoffs_s = []
    for _ in range(5):
        runs.run(_task(1), _FAULTY, _REFUSED, "the worker is not healthy")
        refused_s = runs.now_s
        while not runs.may_start_run(_FAULTY):
            runs.advance_clock(0.125)
        backoffs_s.append(runs.now_s - refused_s)
    assert backoffs_s == [0.5, 1.0, 2.0, 4.0, 4.0]
    assert runs.may_start_run(_HEALTHY)


def test_refusals_of_one_batch_count_once(runs: _Runs) -> None:
    for index in range(8):
        runs.run(_task(1, index), _FAULTY, _REFUSED, "room")
    runs.advance_clock(0.5)
    assert runs.may_start_run(_FAULTY)


@pytest.mark.parametrize(
    "reason",
    [run_worker.RefusalReason.OUTDATED, run_worker.RefusalReason.NO_TICKET],
)
def test_refusals_specific_to_a_run_cause_no_backoff(
    runs: _Runs, reason: str
) -> None:
    runs.run(_task(1), _FAULTY, _REFUSED, reason)
    assert runs.may_start_run(_FAULTY)


def test_a_successful_run_resets_the_backoff(runs: _Runs) -> None:
    runs.run(_task(1), _FAULTY, _REFUSED, "room")
    runs.advance_clock(0.5)
    runs.run(_task(1), _FAULTY, _DONE)
    runs.run(_task(2), _FAULTY, _REFUSED, "room")
    runs.advance_clock(0.5)
    assert runs.may_start_run(_FAULTY)


def test_a_worker_that_fails_tasks_that_succeed_elsewhere_is_quarantined(
    runs: _Runs,
) -> None:
    for job in (1, 2):
        runs.run(_task(job, 0), _HEALTHY, _DONE)
        runs.run(_task(job, 1), _FAULTY, _FAILED)
    assert not runs.may_start_run(_FAULTY)
    assert runs.may_start_run(_HEALTHY)


def test_three_failures_of_unknown_steps_quarantine_a_worker(
    runs: _Runs,
) -> None:
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    assert not runs.may_start_run(_FAULTY)


def test_progress_does_not_end_a_quarantine_for_failures(runs: _Runs) -> None:
    """Guards against a worker that draws start after start and fails them all.

    Progress of a run shows that a worker has not stalled, but the run may still fail.
    When it ended every quarantine, a worker that fails all runs was restored within
    milliseconds, looked idle, and used up the attempts of accepted jobs.
    """
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    runs.health.report_progress(_FAULTY)
    assert not runs.may_start_run(_FAULTY)
    runs.advance_clock(2.5)
    runs.health.report_progress(_FAULTY)
    assert not runs.may_start_run(_FAULTY, runs_count=1)


def test_only_a_run_granted_on_probation_ends_it(runs: _Runs) -> None:
    """Guards against runs from before a failure that speak for what starts after it.

    A worker may fail all that it starts from some moment on, while runs that it started
    earlier end well. Such an end restored the worker, which then failed the next runs.
    """
    earlier = runs.grant(_task(9), _FAULTY)
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    runs.advance_clock(2.5)
    assert not runs.health.is_probe((_task(9), earlier))
    runs.end(_task(9), earlier, _DONE)
    probe = runs.grant(_task(7), _FAULTY)
    assert runs.health.is_probe((_task(7), probe))
    assert not runs.may_start_run(_FAULTY, runs_count=1)
    runs.end(_task(7), probe, _DONE)
    assert runs.may_start_run(_FAULTY, runs_count=1)


def test_a_run_from_before_a_refusal_does_not_end_the_backoff(
    runs: _Runs,
) -> None:
    earlier = runs.grant(_task(1), _FAULTY)
    runs.advance_clock(0.1)
    runs.run(_task(2), _FAULTY, _REFUSED, "the worker is not healthy")
    runs.end(_task(1), earlier, _DONE)
    assert not runs.may_start_run(_FAULTY)


def test_progress_ends_a_quarantine_for_a_stall(runs: _Runs) -> None:
    runs.health.report_stall(_FAULTY, runs_count=2)
    assert not runs.may_start_run(_FAULTY)
    runs.health.report_progress(_FAULTY)
    assert runs.may_start_run(_FAULTY)


def test_a_worker_with_a_good_record_is_quarantined_as_soon_as_a_new_one(
    runs: _Runs,
) -> None:
    """Guards against a good record that hides that a worker now fails all runs.

    With the share of failures among the last 24 runs, a worker with 24 good runs was
    quarantined only after 12 failures, which come within half a second.
    """
    for job in range(24):
        runs.run(_task(job), _FAULTY, _DONE)
    for job in range(24, 27):
        runs.run(_task(job), _FAULTY, _FAILED)
    assert not runs.may_start_run(_FAULTY)


def test_occasional_failures_do_not_quarantine_a_worker(runs: _Runs) -> None:
    for job in range(40):
        kind = _FAILED if job % 4 == 0 else _DONE
        runs.run(_task(job), _HEALTHY, _DONE)
        runs.run(_task(job, 1), _FAULTY, kind)
        assert runs.may_start_run(_FAULTY)


def test_a_job_that_fails_on_all_workers_quarantines_none(runs: _Runs) -> None:
    for index in range(20):
        worker_id = (_HEALTHY, _FAULTY)[index % 2]
        runs.run(_task(1, index), worker_id, _FAILED)
    assert runs.may_start_run(_HEALTHY)
    assert runs.may_start_run(_FAULTY)


def test_after_quarantine_one_run_shows_whether_a_worker_is_healthy(
    runs: _Runs,
) -> None:
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    runs.advance_clock(2.5)
    assert runs.may_start_run(_FAULTY, runs_count=0)
    assert not runs.may_start_run(_FAULTY, runs_count=1)
    runs.run(_task(7), _FAULTY, _FAILED)
    assert not runs.may_start_run(_FAULTY)
    runs.advance_clock(4.5)
    runs.run(_task(8), _FAULTY, _DONE)
    assert runs.may_start_run(_FAULTY, runs_count=5)


def test_trials_of_a_worker_on_probation_are_spaced_out(
    runs: _Runs,
) -> None:
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    assert not runs.health.may_try_run(_FAULTY)
    runs.advance_clock(2.5)
    assert runs.health.may_try_run(_FAULTY)
    runs.grant(_task(7), _FAULTY)
    runs.advance_clock(1.5)
    assert not runs.health.may_try_run(_FAULTY)
    runs.advance_clock(0.5)
    assert runs.health.may_try_run(_FAULTY)
    runs.run(_task(8), _FAULTY, _REFUSED, "room")
    runs.advance_clock(0.25)
    assert not runs.health.may_try_run(_FAULTY)


def test_a_worker_that_is_wanted_leaves_quarantine_earlier(
    runs: _Runs,
) -> None:
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    for job in range(3, 6):
        while runs.health.is_quarantined(_FAULTY):
            runs.advance_clock(1.0)
        runs.run(_task(job), _FAULTY, _FAILED)
    runs.advance_clock(3.0)
    runs.health.begin_wanted_probations({_FAULTY})
    assert runs.health.is_quarantined(_FAULTY)
    runs.advance_clock(1.0)
    assert runs.health.is_quarantined(_FAULTY)
    runs.health.begin_wanted_probations({_FAULTY})
    assert runs.health.is_on_probation(_FAULTY)


def test_a_new_incarnation_of_a_worker_starts_without_failures(
    runs: _Runs,
) -> None:
    for job in range(3):
        runs.run(_task(job), _FAULTY, _FAILED)
    assert runs.may_start_run("a2-incarnation2")


@pytest.mark.parametrize("is_on_probation", [True, False])
@pytest.mark.parametrize(
    ("fields", "quota_percent", "count"),
    [
        ({}, 100, 1),
        ({"long_running": True}, 100, 0),
        ({"best_effort": True}, 50, 1),
        ({"best_effort": True}, 0, 0),
    ],
    ids=["normal", "long-running", "throttled", "throttled to 0"],
)
def test_a_worker_on_probation_waits_only_for_conclusive_probes(
    runs: _Runs,
    fields: dict,
    quota_percent: int,
    count: int,
    is_on_probation: bool,
) -> None:
    state = builders.State()
    state.submit(builders.job("j1", builders.step(**fields)))
    task = builders.task_name()
    grant = builders.grant(task)
    state.grant(grant)
    if is_on_probation:
        for job in range(3):
            runs.run(_task(job + 2), grant.worker_id, _FAILED)
        runs.advance_clock(2.5)
    body = ttypes.GrantRuns(grants=[grant])
    runs.health.observe_command(commands.new(command_id="", grant_runs=body))
    sample = ttypes.RunSample(
        task=task, run=1, percent=100, quota_percent=quota_percent
    )
    view = agents_module.AgentView("a1", samples={(task, 1): sample})
    found = trials.count_conclusive_runs(state.tables.jobs, view, runs.health)
    assert found == (count if is_on_probation else 0)
