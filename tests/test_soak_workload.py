"""Tests of how the soak's clients and operator judge answers."""

import pathlib
import random

import pytest

from soak import history as history_module
from soak import run as run_module
from soak import workload as workload_module
from tests import soak_histories as histories
from tests.platform import system as system_module


class _FakeSystem:
    """A system that gives every call the same answer."""

    def __init__(self, status: int, **value: object):
        self._answer = system_module.Answer(status, value)

    def running_edges(self) -> list[str]:
        return ["edge-1"]

    @property
    def workers(self) -> dict:
        return {}

    def get_job_state(self, *_: object, **__: object) -> system_module.Answer:
        return self._answer

    def call(self, *_: object, **__: object) -> system_module.Answer:
        return self._answer

    call_as_operator = call


def _check_job(
    job: history_module.SubmittedJob, system: _FakeSystem
) -> list[str]:
    workload = workload_module.Workload(system, seed=1)
    workload.check_job(job, edge="edge-1")
    return workload.violations


@pytest.mark.parametrize(
    ("fields", "system"),
    [
        ({}, _FakeSystem(200, state="queued")),
        ({}, _FakeSystem(503)),
        ({"accepted": False}, _FakeSystem(410)),
        ({"cancelling": True}, _FakeSystem(200, state="cancelled")),
        ({"completed": True}, _FakeSystem(200, state="completed")),
        ({"long_running": True}, _FakeSystem(200, state="running")),
    ],
)
def test_valid_answers_are_no_violations(
    fields: dict, system: _FakeSystem
) -> None:
    assert _check_job(histories.submitted_job(**fields), system) == []


@pytest.mark.parametrize(
    ("fields", "system"),
    [
        ({}, _FakeSystem(410)),
        ({}, _FakeSystem(200, state="lost")),
        ({"state": "failed"}, _FakeSystem(200, state="running")),
        ({}, _FakeSystem(200, state="cancelled")),
        ({"completed": True}, _FakeSystem(200, state="running")),
        ({"long_running": True}, _FakeSystem(200, state="completed")),
    ],
)
def test_invalid_answers_are_violations(
    fields: dict, system: _FakeSystem
) -> None:
    assert _check_job(histories.submitted_job(**fields), system)


@pytest.mark.parametrize(
    ("status", "is_acknowledged", "violations_count"),
    [(200, True, 0), (410, True, 1), (503, False, 0)],
)
def test_answers_to_a_cancellation_are_recorded(
    status: int, is_acknowledged: bool, violations_count: int
) -> None:
    workload = workload_module.Workload(_FakeSystem(status), seed=1)
    job = histories.submitted_job()
    workload.cancel(job, random.Random(1))
    assert bool(job.cancel_acknowledged_ns) is is_acknowledged
    assert len(workload.violations) == violations_count


@pytest.mark.parametrize(
    ("system", "is_answered", "violations_count"),
    [
        (_FakeSystem(200, version=7), True, 0),
        (_FakeSystem(503), False, 0),
        (_FakeSystem(200, version=6), True, 1),
    ],
)
def test_an_outdated_configuration_is_a_violation(
    system: _FakeSystem, is_answered: bool, violations_count: int
) -> None:
    workload = workload_module.Workload(system, seed=1)
    workload.acknowledged_version = 7
    assert workload.read_configuration("edge-1") is is_answered
    assert len(workload.violations) == violations_count


@pytest.mark.parametrize(
    ("status", "acknowledged_version", "violations_count"),
    [(200, 7, 0), (409, 1, 1), (503, 1, 0), (0, 1, 0)],
)
def test_a_refused_valid_configuration_is_a_violation(
    status: int, acknowledged_version: int, violations_count: int
) -> None:
    workload = workload_module.Workload(_FakeSystem(status), seed=1)
    workload.replace_configuration(7, "edge-1")
    assert workload.acknowledged_version == acknowledged_version
    assert len(workload.violations) == violations_count


def test_an_unreadable_configuration_at_the_end_is_a_violation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(run_module, "_READ_LIMIT_S", 0.1)
    system = _FakeSystem(503)
    workload = workload_module.Workload(system, seed=1)
    run_module.wait_until_settled(system, workload)
    assert len(workload.violations) == 1


def test_grants_are_read_from_the_logs(tmp_path: pathlib.Path) -> None:
    (tmp_path / "edge-3.log").write_text(
        "time=2026-01-01T00:00:00.000+0000 level=INFO event=run_granted "
        f"role=edge name=edge-3 pid=1 task={histories.TASK} run=2 agent=side-1 "
        "worker_id=i-00000007\n"
        "time=2026-01-01T00:00:00.000+0000 level=INFO event=run_started "
        f"role=side name=side-1 pid=2 task={histories.TASK} run=2\n"
    )
    names_found = run_module.read_grants(tmp_path)
    assert names_found == [history_module.Grant(histories.TASK, 2, "side-1")]


def test_a_report_shows_how_to_run_its_seed_again(
    tmp_path: pathlib.Path,
) -> None:
    result = run_module.SoakResult(
        seed=408,
        faults_count=1,
        jobs_count=1,
        violations=["it broke"],
        folder=tmp_path,
        replay_arguments="--seeds 1 --first 408 --seconds 12",
        longest_downtime_s=0.0,
        processes_count=9,
        peak_bytes=1,
    )
    report = result.report()
    assert "python -m soak --seeds 1 --first 408 --seconds 12\n" in report
    assert str(tmp_path) in report
    assert "explain-logs" in report
