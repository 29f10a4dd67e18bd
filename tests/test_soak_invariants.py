"""Tests of the soak's invariants on valid and violating histories."""

from collections.abc import Callable
import dataclasses

import pytest

from soak import bounds
from soak import cancellations
from soak import downtimes
from soak import faults
from soak import gang_invariants
from soak import history as history_module
from soak import invariants
from tests import soak_histories as histories
from tests.platform import journal_invariants


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
        histories.history(histories.submitted_job(2, 1), *valid),
        histories.history(histories.submitted_job(2, 1), *violating),
    )


def _failed_history(*lines: dict, **fields: object) -> history_module.History:
    """Returns a history in which the job is reported as failed at its end."""
    job = histories.submitted_job(2, state="failed", failed_ns=histories.ns(99))
    return histories.history(job, *lines, **fields)


_JOB = histories.JOB
# The ages at which a task crashes its workers, from its first run to its last one.
_CRASH_AGES_S = (0.2, 2.0, 6.0, 0.2, 2.0, 6.0)
_TOO_LATE_S = 10 + bounds.RESTART_LIMIT_S + 0.5
_IN_TIME_S = 10 + bounds.RESTART_LIMIT_S - 0.5
# Successive faults that affect one member each, never most of them.
_LEADERS_IN_SERIES = [
    histories.injected_fault(
        faults.ProcessKill(histories.MEMBERS[n % 3]), 9 + 3 * n, 12 + 3 * n
    )
    for n in range(8)
]
_FAULTS_OF_MOST_MEMBERS = [
    histories.injected_fault(faults.ProcessKill("edge-1"), 9, 14),
    histories.injected_fault(faults.ProcessPause("edge-2"), 9, 14),
]
_FULL_WORKERS = [
    line
    for machine in ("1", "2")
    for index in range(bounds.TASKS_PER_WORKER)
    for line in histories.run_lines(
        9, 20, f"{'b' * 16}.0.0.{index}{machine}", machine=machine
    )
]
_CASES = {
    "runs do not overlap": _rule(
        journal_invariants.find_concurrent_runs,
        "ran twice at the same time",
        histories.run_lines(2, 3, how="lapsed")
        + histories.run_lines(4, 5, run=2, machine="2"),
        histories.run_lines(2, 5, how="lapsed")
        + histories.run_lines(4, 6, run=2, machine="2"),
    ),
    "runs of a long-running task do not overlap": _rule(
        journal_invariants.find_concurrent_runs,
        "ran twice at the same time",
        histories.restarted_at(10.5).lines,
        histories.restarted_at(9.5).lines,
    ),
    "no start after the end": _rule(
        journal_invariants.find_starts_after_completion,
        "was started after its end",
        histories.run_lines(2, 3, how="lapsed")
        + histories.run_lines(4, 5, run=2),
        histories.run_lines(2, 3) + histories.run_lines(4, 5, run=2),
    ),
    "steps in order": _rule(
        journal_invariants.find_premature_steps,
        "was started before an earlier step ended",
        histories.run_lines(2, 3)
        + histories.run_lines(4, 5, histories.SECOND_STEP),
        histories.run_lines(2, 5)
        + histories.run_lines(4, 6, histories.SECOND_STEP),
    ),
    "steps in order in each occurrence": _rule(
        journal_invariants.find_premature_steps,
        "was started before an earlier step ended",
        histories.run_lines(2, 3)
        + histories.run_lines(4, 5, histories.SECOND_STEP)
        + histories.run_lines(6, 7, f"{histories.JOB}.1.0.0")
        + histories.run_lines(8, 9, f"{histories.JOB}.1.1.0"),
        histories.run_lines(2, 3)
        + histories.run_lines(4, 5, histories.SECOND_STEP)
        + histories.run_lines(6, 9, f"{histories.JOB}.1.0.0")
        + histories.run_lines(8, 9, f"{histories.JOB}.1.1.0"),
    ),
    "run numbers rise": _rule(
        journal_invariants.find_nonincreasing_run_numbers,
        "has run numbers that do not rise",
        histories.run_lines(2, 3, how="lapsed")
        + histories.run_lines(4, 5, run=2),
        histories.run_lines(2, 3, how="lapsed", run=2)
        + histories.run_lines(4, 5, run=2),
    ),
    "refused jobs do not run": _Case(
        invariants.refused_jobs_that_ran,
        histories.history(
            histories.submitted_job(accepted=False, refused=True)
        ),
        histories.history(
            histories.submitted_job(accepted=False, refused=True),
            *histories.run_lines(2, 3),
        ),
    ),
    "completed jobs have no missing tasks": _Case(
        invariants.completed_with_missing_tasks,
        histories.history(
            histories.submitted_job(2, completed=True),
            *histories.run_lines(2, 3),
            *histories.run_lines(2, 3, histories.OTHER),
        ),
        histories.history(
            histories.submitted_job(2, completed=True),
            *histories.run_lines(2, 3),
        ),
    ),
    "completed gangs have a done member": _Case(
        invariants.completed_with_missing_tasks,
        histories.gang_history(
            *histories.run_lines(2, 3),
            *histories.run_lines(2, 3, histories.OTHER, how="stopped"),
        ),
        histories.gang_history(
            *histories.run_lines(2, 3, how="stopped"),
            *histories.run_lines(2, 3, histories.OTHER, how="stopped"),
        ),
    ),
    "ended at the end": _Case(
        invariants.unfinished_jobs,
        histories.history(
            histories.submitted_job(completed=True, state="completed")
        ),
        histories.history(histories.submitted_job(state="running")),
    ),
    "cancelled at the end": _Case(
        invariants.unfinished_jobs,
        histories.cancelled_history(),
        histories.history(
            histories.submitted_job(
                long_running=True, cancelling=True, state="running"
            )
        ),
    ),
    "long-running, restarted": _Case(
        downtimes.excessive_downtimes,
        histories.restarted_at(_IN_TIME_S),
        histories.restarted_at(_TOO_LATE_S),
    ),
    "long-running, never started": _Case(
        downtimes.excessive_downtimes,
        histories.history(
            histories.submitted_job(long_running=True),
            histories.line("started", 2),
        ),
        histories.history(histories.submitted_job(long_running=True)),
    ),
    "long-running, leaders change in series": _Case(
        downtimes.excessive_downtimes,
        histories.restarted_at(_IN_TIME_S, injected_faults=_LEADERS_IN_SERIES),
        histories.restarted_at(_TOO_LATE_S, injected_faults=_LEADERS_IN_SERIES),
    ),
    "long-running, fault of its machine": _Case(
        downtimes.excessive_downtimes,
        histories.restarted_at(
            _TOO_LATE_S,
            injected_faults=[histories.injected_fault(histories.LINK, 9, 12)],
        ),
        histories.restarted_at(
            _TOO_LATE_S + 3,
            injected_faults=[histories.injected_fault(histories.LINK, 9, 12)],
        ),
    ),
    "long-running, fault of the machine that was granted it": _Case(
        downtimes.excessive_downtimes,
        histories.restarted_at(
            _TOO_LATE_S,
            injected_faults=[
                histories.injected_fault(faults.ProcessKill("side-2"), 11, 14)
            ],
            grants=[history_module.Grant(histories.TASK, 2, "side-2")],
        ),
        histories.long_running_history(
            histories.line("started", _TOO_LATE_S, run=2),
            injected_faults=[
                histories.injected_fault(faults.ProcessKill("side-2"), 11, 14)
            ],
            grants=[history_module.Grant(histories.TASK, 3, "side-2")],
        ),
    ),
    "long-running, faults of most members": _Case(
        downtimes.excessive_downtimes,
        histories.restarted_at(
            _TOO_LATE_S, injected_faults=_FAULTS_OF_MOST_MEMBERS
        ),
        histories.restarted_at(
            _TOO_LATE_S, injected_faults=_FAULTS_OF_MOST_MEMBERS[:1]
        ),
    ),
    "long-running, no free capacity": _Case(
        downtimes.excessive_downtimes,
        histories.long_running_history(
            *_FULL_WORKERS,
            histories.line("started", _TOO_LATE_S + 8, run=2, machine="2"),
        ),
        histories.long_running_history(
            *(
                line
                for line in _FULL_WORKERS
                if line.get("machine") == "side-1"
            ),
            histories.line("started", _TOO_LATE_S + 8, run=2, machine="2"),
        ),
    ),
    "long-running, at the end": _Case(
        invariants.not_running_at_the_end,
        histories.restarted_at(12),
        histories.long_running_history(),
    ),
    "cancelled, started again": _Case(
        cancellations.runs_after_cancellation,
        histories.cancelled_history(*histories.run_lines(2, 21, how="stopped")),
        histories.cancelled_history(
            *histories.run_lines(2, 21, how="stopped"),
            *histories.run_lines(40, 41, run=2),
        ),
    ),
    "cancelled, not stopped": _Case(
        cancellations.runs_after_cancellation,
        histories.cancelled_history(
            *histories.run_lines(
                2, 20 + bounds.CANCELLATION_LIMIT_S - 0.5, how="stopped"
            )
        ),
        histories.cancelled_history(histories.line("started", 2)),
    ),
    "gang, waits in vain": _Case(
        gang_invariants.incomplete_gangs,
        histories.gang_history(
            *histories.run_lines(2, 5),
            *histories.run_lines(2.5, 5, histories.OTHER),
        ),
        histories.gang_history(*histories.run_lines(2, 5, how="alone")),
    ),
    "gang, waits in vain after a fault": _Case(
        gang_invariants.incomplete_gangs,
        histories.gang_history(
            *histories.run_lines(20, 23, how="alone"),
            injected_faults=[
                histories.injected_fault(faults.ProcessKill("side-2"), 15, 18)
            ],
            grants=[history_module.Grant(histories.OTHER, 1, "side-2")],
        ),
        histories.gang_history(
            *histories.run_lines(20, 23, how="alone"),
            injected_faults=[
                histories.injected_fault(faults.ProcessKill("side-2"), 15, 18)
            ],
        ),
    ),
    "gang, incomplete": _Case(
        gang_invariants.incomplete_gangs,
        histories.gang_history(
            *histories.run_lines(2, 50),
            *histories.run_lines(4, 50, histories.OTHER),
        ),
        histories.gang_history(
            *histories.run_lines(2, 50),
            *histories.run_lines(15, 50, histories.OTHER),
        ),
    ),
    "restarts after crashes": _rule(
        journal_invariants.find_restarts_after_crashes,
        "was restarted too often after crashes",
        histories.crashed_runs(1, 2, 3, 4, 5, spec="crash 10"),
        histories.crashed_runs(1, 2, 3, 4, 5, 6, spec="crash 10"),
    ),
    "restarts after crashes of other tasks": _rule(
        journal_invariants.find_restarts_after_crashes,
        "was restarted too often after crashes",
        histories.crashed_runs(1, 2, 3, 4, 5, 6),
        histories.crashed_runs(1, 2, 3, 4, 5, 6, spec="crash 10"),
    ),
    "restarts after crashes at different ages": _rule(
        journal_invariants.find_restarts_after_crashes,
        "was restarted too often after crashes",
        histories.crashed_runs(
            1, 5, 12, 20, 25, spec="crash 200 2000 6000", ages_s=_CRASH_AGES_S
        ),
        histories.crashed_runs(
            1,
            5,
            12,
            20,
            25,
            32,
            spec="crash 200 2000 6000",
            ages_s=_CRASH_AGES_S,
        ),
    ),
    "failed after crashes": _Case(
        invariants.failed_without_crashes,
        _failed_history(*histories.crashed_runs(1, 2)),
        _failed_history(*histories.crashed_runs(1)),
    ),
    "failed after crashes, not after runs that were done": _Case(
        invariants.failed_without_crashes,
        _failed_history(
            *histories.run_lines(2, 3),
            *histories.crashed_runs(4, 5, first_run=2),
        ),
        _failed_history(
            *histories.run_lines(2, 3),
            *histories.run_lines(4, 5, run=2),
            *histories.crashed_runs(6, first_run=3),
        ),
    ),
    "failed after crashes, not after runs that were stopped or lapsed": _Case(
        invariants.failed_without_crashes,
        _failed_history(
            *histories.run_lines(2, 3, how="stopped"),
            *histories.crashed_runs(4, 5, first_run=2),
        ),
        _failed_history(
            *histories.run_lines(2, 3, how="stopped"),
            *histories.run_lines(4, 5, run=2, how="lapsed"),
            *histories.crashed_runs(6, first_run=3),
        ),
    ),
    "failed after crashes, not before them": _Case(
        invariants.failed_without_crashes,
        _failed_history(
            *histories.crashed_runs(10, 20),
            failures_ns={_JOB: histories.ns(21)},
        ),
        _failed_history(
            *histories.crashed_runs(10, 20),
            failures_ns={_JOB: histories.ns(19)},
        ),
    ),
    "failed after crashes under one task": _Case(
        invariants.failed_without_crashes,
        _failed_history(
            *histories.crashed_runs(1, 2),
            *histories.crashed_runs(1, task=histories.OTHER),
        ),
        _failed_history(
            *histories.crashed_runs(1),
            *histories.crashed_runs(1, task=histories.OTHER),
        ),
    ),
    "failed after failed attempts": _Case(
        invariants.failed_without_crashes,
        _failed_history(
            *(
                line
                for run in range(1, bounds.MAX_ATTEMPTS + 1)
                for line in histories.run_lines(
                    run, run + 0.5, run=run, how="failed"
                )
            )
        ),
        _failed_history(
            *(
                line
                for run in range(1, bounds.MAX_ATTEMPTS)
                for line in histories.run_lines(
                    run, run + 0.5, run=run, how="failed"
                )
            ),
            *histories.crashed_runs(9, first_run=9),
        ),
    ),
    "capacity": _Case(
        invariants.starts_over_capacity,
        histories.history(
            histories.submitted_job(3),
            *histories.run_lines(2, 50),
            *histories.run_lines(15, 40, histories.OTHER),
            injected_faults=[
                histories.injected_fault(
                    faults.CapacityReduction("side-1", 1_000), 10, 30
                )
            ],
        ),
        histories.history(
            histories.submitted_job(3),
            *histories.run_lines(2, 50),
            *histories.run_lines(12, 45, f"{histories.JOB}.0.0.2"),
            *histories.run_lines(15, 40, histories.OTHER),
            injected_faults=[
                histories.injected_fault(
                    faults.CapacityReduction("side-1", 1_000), 10, 30
                )
            ],
        ),
    ),
    "no start in an evacuated data centre": _Case(
        invariants.starts_in_evacuated_data_centres,
        histories.evacuated_history(
            *histories.run_lines(8, 60),
            *histories.run_lines(10.2, 11, histories.OTHER),
            *histories.run_lines(30, 31, f"{histories.JOB}.0.0.2", machine="2"),
            *histories.run_lines(50.1, 51, f"{histories.JOB}.0.0.3"),
        ),
        histories.evacuated_history(*histories.run_lines(30, 31)),
    ),
    "timed, not early": _Case(
        invariants.early_starts,
        histories.timed_history(
            *histories.run_lines(10, 11),
            *histories.run_lines(20, 21, f"{histories.JOB}.1.0.0"),
        ),
        histories.timed_history(
            *histories.run_lines(10, 11),
            *histories.run_lines(19.9, 21, f"{histories.JOB}.1.0.0"),
        ),
    ),
    "timed, no extra occurrence": _Case(
        invariants.unrequested_tasks,
        histories.timed_history(
            *histories.run_lines(10, 11),
            *histories.run_lines(20, 21, f"{histories.JOB}.1.0.0"),
        ),
        histories.timed_history(
            *histories.run_lines(10, 11),
            *histories.run_lines(30, 31, f"{histories.JOB}.2.0.0"),
        ),
    ),
    "timed, all occurrences": _Case(
        invariants.completed_with_missing_tasks,
        histories.timed_history(
            *histories.run_lines(10, 11),
            *histories.run_lines(20, 21, f"{histories.JOB}.1.0.0"),
        ),
        histories.timed_history(*histories.run_lines(10, 11)),
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
