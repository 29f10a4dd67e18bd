"""Tests of the soak's invariants on valid and violating histories."""

from collections.abc import Callable
import dataclasses
import pathlib
import random

import pytest

from soak import faults
from soak import history as history_module
from soak import invariants
from soak import proxy
from soak import run as run_module
from soak import workload as workload_module
from tests.platform import journal_invariants
from tests.platform import system as system_module

_JOB = "0000000000000001"
_TASK = f"{_JOB}.0.0.0"
_OTHER = f"{_JOB}.0.0.1"
_SECOND_STEP = f"{_JOB}.0.1.0"
_MEMBERS = ("edge-1", "edge-2", "edge-3")
_LINK = faults.LinkFault("side-1", proxy.Blackhole())
_END_S = 100.0
_FIRST_MEMBER = {"edge-1"}
_FIRST_MEMBER_AND_SIDE = {"edge-1", "side-1"}


def _ns(at_s: float) -> int:
    return int(at_s * history_module.NS_PER_S)


def _line(
    event: str, at_s: float, task: str = _TASK, run: int = 1, **fields: str
) -> dict:
    number = fields.pop("machine", "1")
    return {
        "event": event,
        "at_ns": _ns(at_s),
        "task": task,
        "run": run,
        "worker": f"i-{number}",
        "machine": f"side-{number}",
    } | fields


def _run_lines(
    started_s: float,
    ended_s: float,
    task: str = _TASK,
    run: int = 1,
    how: str = "done",
    **fields: str,
) -> list[dict]:
    """Returns the journal lines of a run whose end was acknowledged."""
    return [
        _line("started", started_s, task, run, **fields),
        _line("ended", ended_s, task, run, how=how, **fields),
        {
            "event": "noted",
            "at_ns": _ns(ended_s + 0.1),
            "task": task,
            "run": run,
        },
    ]


def _job(*task_counts: int, **fields: object) -> history_module.SubmittedJob:
    given = {"accepted": True, "refused": False, "accepted_ns": _ns(1.0)}
    return history_module.SubmittedJob(
        _JOB, list(task_counts) or [1], **given | fields
    )


def _injected_fault(fault: faults.Fault, started_s: float, ended_s: float):
    return history_module.InjectedFault(
        fault, history_module.Span(_ns(started_s), _ns(ended_s))
    )


def _history(
    job: history_module.SubmittedJob, *lines: dict, **fields: object
) -> history_module.History:
    return history_module.History(
        lines=sorted(lines, key=lambda line: line["at_ns"]),
        jobs=[job],
        members=_MEMBERS,
        machines={f"side-{n}": f"side-{n}" for n in (1, 2)},
        ended_ns=_ns(_END_S),
        **fields,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Case:
    """A check of an invariant, with a valid and a violating history."""

    check: Callable
    valid: history_module.History
    violating: history_module.History


def _rule(
    rule: Callable, message: str, valid: list[dict], violating: list[dict]
) -> _Case:
    return _Case(
        lambda history: [f"{task} {message}" for task in rule(history.lines)],
        _history(_job(2, 1), *valid),
        _history(_job(2, 1), *violating),
    )


def _long_running_history(
    *lines: dict, **fields: object
) -> history_module.History:
    """Returns a history in which a long-running task runs from 2 s to 10 s first."""
    first = _run_lines(2, 10, how="lapsed")
    return _history(_job(1, long_running=True), *first, *lines, **fields)


def _crashed_runs(*at_s: float, spec: str = "work 100") -> list[dict]:
    """Returns the lines of runs of one task, each ended by a crash of its worker."""
    return [
        line
        for run, start_s in enumerate(at_s, 1)
        for line in (
            _line("started", start_s, run=run, spec=spec),
            _line("lost", start_s + 0.5, run=run),
        )
    ]


def _restarted_at(at_s: float, **fields: object) -> history_module.History:
    return _long_running_history(
        _line("started", at_s, run=2, machine="2"), **fields
    )


def _cancelled_history(*lines: dict) -> history_module.History:
    job = _job(
        1,
        long_running=True,
        cancelling=True,
        state="cancelled",
        cancel_sent_ns=_ns(19),
        cancel_acknowledged_ns=_ns(20),
    )
    return _history(job, *lines)


def _gang_history(*lines: dict, **fields: object) -> history_module.History:
    job = _job(2, gang=True, state="completed", completed=True)
    return _history(job, *lines, **fields)


def _evacuated_history(*lines: dict) -> history_module.History:
    """Returns a history in which side-1 is evacuated from 10 s to 50 s."""
    span = history_module.Span(_ns(10), _ns(50))
    return _history(
        _job(4),
        *lines,
        evacuations=[history_module.Evacuation("z2", span)],
        data_centres={"side-1": "z2", "side-2": "z1"},
    )


def _timed_history(*lines: dict) -> history_module.History:
    due_ns = [_ns(10), _ns(20)]
    return _history(
        _job(1, due_ns=due_ns, state="completed", completed=True), *lines
    )


_TOO_LATE_S = 10 + invariants.RESTART_LIMIT_S + 0.5
_IN_TIME_S = 10 + invariants.RESTART_LIMIT_S - 0.5
# Successive faults that affect one member each, never most of them.
_LEADERS_IN_SERIES = [
    _injected_fault(faults.ProcessKill(_MEMBERS[n % 3]), 9 + 3 * n, 12 + 3 * n)
    for n in range(8)
]
_FAULTS_OF_MOST_MEMBERS = [
    _injected_fault(faults.ProcessKill("edge-1"), 9, 14),
    _injected_fault(faults.ProcessPause("edge-2"), 9, 14),
]
_FULL_WORKERS = [
    line
    for machine in ("1", "2")
    for index in range(invariants.TASKS_PER_WORKER)
    for line in _run_lines(
        9, 20, f"{'b' * 16}.0.0.{index}{machine}", machine=machine
    )
]
_CASES = {
    "runs do not overlap": _rule(
        journal_invariants.find_concurrent_runs,
        "ran twice at the same time",
        _run_lines(2, 3, how="lapsed") + _run_lines(4, 5, run=2, machine="2"),
        _run_lines(2, 5, how="lapsed") + _run_lines(4, 6, run=2, machine="2"),
    ),
    "runs of a long-running task do not overlap": _rule(
        journal_invariants.find_concurrent_runs,
        "ran twice at the same time",
        _restarted_at(10.5).lines,
        _restarted_at(9.5).lines,
    ),
    "no start after the end": _rule(
        journal_invariants.find_starts_after_completion,
        "was started after its end",
        _run_lines(2, 3, how="lapsed") + _run_lines(4, 5, run=2),
        _run_lines(2, 3) + _run_lines(4, 5, run=2),
    ),
    "steps in order": _rule(
        journal_invariants.find_premature_steps,
        "was started before an earlier step ended",
        _run_lines(2, 3) + _run_lines(4, 5, _SECOND_STEP),
        _run_lines(2, 5) + _run_lines(4, 6, _SECOND_STEP),
    ),
    "steps in order in each occurrence": _rule(
        journal_invariants.find_premature_steps,
        "was started before an earlier step ended",
        _run_lines(2, 3)
        + _run_lines(4, 5, _SECOND_STEP)
        + _run_lines(6, 7, f"{_JOB}.1.0.0")
        + _run_lines(8, 9, f"{_JOB}.1.1.0"),
        _run_lines(2, 3)
        + _run_lines(4, 5, _SECOND_STEP)
        + _run_lines(6, 9, f"{_JOB}.1.0.0")
        + _run_lines(8, 9, f"{_JOB}.1.1.0"),
    ),
    "run numbers rise": _rule(
        journal_invariants.find_nonincreasing_run_numbers,
        "has run numbers that do not rise",
        _run_lines(2, 3, how="lapsed") + _run_lines(4, 5, run=2),
        _run_lines(2, 3, how="lapsed", run=2) + _run_lines(4, 5, run=2),
    ),
    "refused jobs do not run": _Case(
        invariants.refused_jobs_that_ran,
        _history(_job(accepted=False, refused=True)),
        _history(_job(accepted=False, refused=True), *_run_lines(2, 3)),
    ),
    "completed jobs have no missing tasks": _Case(
        invariants.completed_with_missing_tasks,
        _history(
            _job(2, completed=True),
            *_run_lines(2, 3),
            *_run_lines(2, 3, _OTHER),
        ),
        _history(_job(2, completed=True), *_run_lines(2, 3)),
    ),
    "completed gangs have a done member": _Case(
        invariants.completed_with_missing_tasks,
        _gang_history(
            *_run_lines(2, 3), *_run_lines(2, 3, _OTHER, how="stopped")
        ),
        _gang_history(
            *_run_lines(2, 3, how="stopped"),
            *_run_lines(2, 3, _OTHER, how="stopped"),
        ),
    ),
    "ended at the end": _Case(
        invariants.unfinished_jobs,
        _history(_job(completed=True, state="completed")),
        _history(_job(state="running")),
    ),
    "cancelled at the end": _Case(
        invariants.unfinished_jobs,
        _cancelled_history(),
        _history(_job(long_running=True, cancelling=True, state="running")),
    ),
    "long-running, restarted": _Case(
        invariants.excessive_downtimes,
        _restarted_at(_IN_TIME_S),
        _restarted_at(_TOO_LATE_S),
    ),
    "long-running, never started": _Case(
        invariants.excessive_downtimes,
        _history(_job(long_running=True), _line("started", 2)),
        _history(_job(long_running=True)),
    ),
    "long-running, leaders change in series": _Case(
        invariants.excessive_downtimes,
        _restarted_at(_IN_TIME_S, injected_faults=_LEADERS_IN_SERIES),
        _restarted_at(_TOO_LATE_S, injected_faults=_LEADERS_IN_SERIES),
    ),
    "long-running, fault of its machine": _Case(
        invariants.excessive_downtimes,
        _restarted_at(
            _TOO_LATE_S, injected_faults=[_injected_fault(_LINK, 9, 12)]
        ),
        _restarted_at(
            _TOO_LATE_S + 3, injected_faults=[_injected_fault(_LINK, 9, 12)]
        ),
    ),
    "long-running, fault of the machine that was granted it": _Case(
        invariants.excessive_downtimes,
        _restarted_at(
            _TOO_LATE_S,
            injected_faults=[
                _injected_fault(faults.ProcessKill("side-2"), 11, 14)
            ],
            grants=[history_module.Grant(_TASK, 2, "side-2")],
        ),
        _long_running_history(
            _line("started", _TOO_LATE_S, run=2),
            injected_faults=[
                _injected_fault(faults.ProcessKill("side-2"), 11, 14)
            ],
            grants=[history_module.Grant(_TASK, 3, "side-2")],
        ),
    ),
    "long-running, faults of most members": _Case(
        invariants.excessive_downtimes,
        _restarted_at(_TOO_LATE_S, injected_faults=_FAULTS_OF_MOST_MEMBERS),
        _restarted_at(_TOO_LATE_S, injected_faults=_FAULTS_OF_MOST_MEMBERS[:1]),
    ),
    "long-running, no free capacity": _Case(
        invariants.excessive_downtimes,
        _long_running_history(
            *_FULL_WORKERS,
            _line("started", _TOO_LATE_S + 8, run=2, machine="2"),
        ),
        _long_running_history(
            *(
                line
                for line in _FULL_WORKERS
                if line.get("machine") == "side-1"
            ),
            _line("started", _TOO_LATE_S + 8, run=2, machine="2"),
        ),
    ),
    "long-running, at the end": _Case(
        invariants.not_running_at_the_end,
        _restarted_at(12),
        _long_running_history(),
    ),
    "cancelled, started again": _Case(
        invariants.runs_after_cancellation,
        _cancelled_history(*_run_lines(2, 21, how="stopped")),
        _cancelled_history(
            *_run_lines(2, 21, how="stopped"), *_run_lines(40, 41, run=2)
        ),
    ),
    "cancelled, not stopped": _Case(
        invariants.runs_after_cancellation,
        _cancelled_history(
            *_run_lines(
                2, 20 + invariants.CANCELLATION_LIMIT_S - 0.5, how="stopped"
            )
        ),
        _cancelled_history(_line("started", 2)),
    ),
    "gang, waits in vain": _Case(
        invariants.incomplete_gangs,
        _gang_history(*_run_lines(2, 5), *_run_lines(2.5, 5, _OTHER)),
        _gang_history(*_run_lines(2, 5, how="alone")),
    ),
    "gang, waits in vain after a fault": _Case(
        invariants.incomplete_gangs,
        _gang_history(
            *_run_lines(20, 23, how="alone"),
            injected_faults=[
                _injected_fault(faults.ProcessKill("side-2"), 15, 18)
            ],
            grants=[history_module.Grant(_OTHER, 1, "side-2")],
        ),
        _gang_history(
            *_run_lines(20, 23, how="alone"),
            injected_faults=[
                _injected_fault(faults.ProcessKill("side-2"), 15, 18)
            ],
        ),
    ),
    "gang, incomplete": _Case(
        invariants.incomplete_gangs,
        _gang_history(*_run_lines(2, 50), *_run_lines(4, 50, _OTHER)),
        _gang_history(*_run_lines(2, 50), *_run_lines(15, 50, _OTHER)),
    ),
    "restarts after crashes": _rule(
        journal_invariants.find_restarts_after_crashes,
        "was restarted too often after crashes",
        _crashed_runs(1, 2, 3, 4, 5, spec="crash 10"),
        _crashed_runs(1, 2, 3, 4, 5, 6, spec="crash 10"),
    ),
    "restarts after crashes of other tasks": _rule(
        journal_invariants.find_restarts_after_crashes,
        "was restarted too often after crashes",
        _crashed_runs(1, 2, 3, 4, 5, 6),
        _crashed_runs(1, 2, 3, 4, 5, 6, spec="crash 10"),
    ),
    "failed after crashes": _Case(
        invariants.failed_without_crashes,
        _history(_job(state="failed"), *_crashed_runs(1, 2)),
        _history(_job(state="failed"), *_crashed_runs(1)),
    ),
    "capacity": _Case(
        invariants.starts_over_capacity,
        _history(
            _job(3),
            *_run_lines(2, 50),
            *_run_lines(15, 40, _OTHER),
            injected_faults=[
                _injected_fault(
                    faults.CapacityReduction("side-1", 1_000), 10, 30
                )
            ],
        ),
        _history(
            _job(3),
            *_run_lines(2, 50),
            *_run_lines(12, 45, f"{_JOB}.0.0.2"),
            *_run_lines(15, 40, _OTHER),
            injected_faults=[
                _injected_fault(
                    faults.CapacityReduction("side-1", 1_000), 10, 30
                )
            ],
        ),
    ),
    "no start in an evacuated data centre": _Case(
        invariants.starts_in_evacuated_data_centres,
        _evacuated_history(
            *_run_lines(8, 60),
            *_run_lines(10.2, 11, _OTHER),
            *_run_lines(30, 31, f"{_JOB}.0.0.2", machine="2"),
            *_run_lines(50.1, 51, f"{_JOB}.0.0.3"),
        ),
        _evacuated_history(*_run_lines(30, 31)),
    ),
    "timed, not early": _Case(
        invariants.early_starts,
        _timed_history(
            *_run_lines(10, 11), *_run_lines(20, 21, f"{_JOB}.1.0.0")
        ),
        _timed_history(
            *_run_lines(10, 11), *_run_lines(19.9, 21, f"{_JOB}.1.0.0")
        ),
    ),
    "timed, no extra occurrence": _Case(
        invariants.unrequested_tasks,
        _timed_history(
            *_run_lines(10, 11), *_run_lines(20, 21, f"{_JOB}.1.0.0")
        ),
        _timed_history(
            *_run_lines(10, 11), *_run_lines(30, 31, f"{_JOB}.2.0.0")
        ),
    ),
    "timed, all occurrences": _Case(
        invariants.completed_with_missing_tasks,
        _timed_history(
            *_run_lines(10, 11), *_run_lines(20, 21, f"{_JOB}.1.0.0")
        ),
        _timed_history(*_run_lines(10, 11)),
    ),
}


@pytest.mark.parametrize("case", _CASES.values(), ids=_CASES)
def test_a_valid_history_has_no_violations(case: _Case) -> None:
    assert case.check(case.valid) == []


@pytest.mark.parametrize("case", _CASES.values(), ids=_CASES)
def test_a_violating_history_is_found(case: _Case) -> None:
    assert case.check(case.violating)


@pytest.mark.parametrize("case", _CASES.values(), ids=_CASES)
def test_a_soak_checks_every_invariant(case: _Case) -> None:
    """The violations of all invariants include those of each one."""
    assert set(case.check(case.violating)) <= set(
        invariants.violations(case.violating)
    )


@pytest.mark.parametrize(
    ("fault", "name", "ended_s"),
    [
        (_LINK, "side-1", 5),
        (faults.DelayedCalls("side-1", "run-start"), "side-1", 5),
        (faults.DiskLoss("edge-1"), "edge-1", 5),
        # The worker restarts at once.
        (faults.WorkerCrash("side-1"), "side-1", 2),
    ],
)
def test_a_fault_affects_its_machine_until_its_end(
    fault: faults.Fault, name: str, ended_s: int
) -> None:
    planned = faults.PlannedFault(2.0, 3.0, fault)
    injected_faults = history_module.injected_faults(
        {planned: _ns(2)}, {planned: _ns(5)}
    )
    spans = _history(_job(), injected_faults=injected_faults).fault_spans(name)
    assert spans == [history_module.Span(_ns(2), _ns(ended_s))]


def _control_link_fault(
    callers: str, targets: str, *, both_ways: bool
) -> faults.ControlLinkFault:
    return faults.ControlLinkFault(
        tuple(callers.split()),
        tuple(targets.split()),
        both_ways,
        proxy.ResetAll(),
    )


@pytest.mark.parametrize(
    ("fault", "names"),
    [
        (faults.PowerLoss(("edge-1", "side-1")), {"edge-1", "side-1"}),
        (faults.GroupTermination(("edge-1", "edge-2")), {"edge-1", "edge-2"}),
        (faults.SeedsChange(("edge-1",)), set()),
        (_control_link_fault("side-1", "edge-1", both_ways=False), {"side-1"}),
        # Has no disk, so no process needs it to reach the members.
        (_control_link_fault("side-1", "edge-4", both_ways=False), set()),
        (
            _control_link_fault("edge-1", "edge-2 edge-3", both_ways=False),
            {"edge-1"},
        ),
        (
            _control_link_fault(
                "edge-1 side-1", "edge-2 edge-3", both_ways=False
            ),
            _FIRST_MEMBER_AND_SIDE,
        ),
        (
            _control_link_fault(
                "edge-2 edge-3", "edge-1 side-1", both_ways=False
            ),
            _FIRST_MEMBER,
        ),
        (
            _control_link_fault(
                "edge-2 edge-3", "edge-1 side-1", both_ways=True
            ),
            _FIRST_MEMBER_AND_SIDE,
        ),
    ],
)
def test_a_fault_affects_all_that_it_separates_from_most_members(
    fault: faults.Fault, names: set[str]
) -> None:
    history = _history(_job(), injected_faults=[_injected_fault(fault, 2, 5)])
    all_names = (*_MEMBERS, "edge-4", "side-1")
    names_found = {name for name in all_names if history.fault_spans(name)}
    assert names_found == names


@pytest.mark.parametrize(
    "fault",
    [
        faults.ProcessReload("edge-1"),
        faults.LinkFault("edge-1", proxy.Blackhole()),
    ],
)
def test_faults_that_do_not_interrupt_a_member_do_not_affect_it(
    fault: faults.Fault,
) -> None:
    history = _history(_job(), injected_faults=[_injected_fault(fault, 2, 5)])
    assert history.fault_spans("edge-1") == []


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
    assert _check_job(_job(**fields), system) == []


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
    assert _check_job(_job(**fields), system)


@pytest.mark.parametrize(
    ("status", "is_acknowledged", "violations_count"),
    [(200, True, 0), (410, True, 1), (503, False, 0)],
)
def test_answers_to_a_cancellation_are_recorded(
    status: int, is_acknowledged: bool, violations_count: int
) -> None:
    workload = workload_module.Workload(_FakeSystem(status), seed=1)
    job = _job()
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
        f"role=edge name=edge-3 pid=1 task={_TASK} run=2 agent=side-1 "
        "worker_id=i-00000007\n"
        "time=2026-01-01T00:00:00.000+0000 level=INFO event=run_started "
        f"role=side name=side-1 pid=2 task={_TASK} run=2\n"
    )
    names_found = run_module.read_grants(tmp_path)
    assert names_found == [history_module.Grant(_TASK, 2, "side-1")]


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
