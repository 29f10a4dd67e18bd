"""Properties of the rule by which losses of workers fail a job."""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders

_TASK = builders.task_name()
_MIN_CRASHES_TO_FAIL = 2
# Two starts more than the three crashes after which a task is limited.
_CRASHES_LIMIT = 5
_UNSEEN_LIMIT_MS = 25


@dataclasses.dataclass(frozen=True, slots=True)
class _Case:
    """What happens to one run, and how control learns of it.

    Attributes:
        kind: The end that its agent reports; None if none is ever reported.
        has_worker_ended: Whether a LOST run's worker is reported as gone.
        has_begun: Whether the run is known to have begun at a crash.
        is_lease_lost: Whether the leader records the run as lost before.
        agent: The number of its agent.
        suspects_count: The number of suspects of a crash.
        age_ms: The run's age at a crash.
        unseen_ms: For how long the run may have been over at a crash.
        delay: After how many further runs the agent reports.
        reports_count: How often it reports.
    """

    kind: ttypes.RunEndKind | None
    has_worker_ended: bool
    has_begun: bool
    is_lease_lost: bool
    agent: int
    suspects_count: int
    age_ms: int
    unseen_ms: int
    delay: int
    reports_count: int

    @property
    def is_crash(self) -> bool:
        """Whether control learns that the worker has ended under the run."""
        return self.kind == ttypes.RunEndKind.CRASHED or (
            self.kind == ttypes.RunEndKind.LOST and self.has_worker_ended
        )

    @property
    def is_at_work_at_crash(self) -> bool:
        """Whether control learns that the run was at work as its worker crashed."""
        return (
            self.kind == ttypes.RunEndKind.CRASHED
            and self.has_begun
            and 0 <= self.unseen_ms <= _UNSEEN_LIMIT_MS
        )

    def end(self, run: int) -> ttypes.RunEnd:
        """Returns the end that the agent reports."""
        end = builders.run_end(_TASK, self.kind, run)
        if self.kind == ttypes.RunEndKind.CRASHED:
            end.age_ms = self.age_ms
            end.suspects_count = self.suspects_count * self.has_begun
            end.unseen_ms = self.unseen_ms
        end.has_begun = self.is_crash and self.has_begun
        end.has_worker_ended = (
            self.kind == ttypes.RunEndKind.LOST and self.has_worker_ended
        )
        return end


_CASES = strategies.builds(
    _Case,
    kind=strategies.sampled_from(
        [
            ttypes.RunEndKind.CRASHED,
            ttypes.RunEndKind.CRASHED,
            ttypes.RunEndKind.LOST,
            ttypes.RunEndKind.LAPSED,
            ttypes.RunEndKind.STOPPED,
            ttypes.RunEndKind.REFUSED,
            None,
        ]
    ),
    has_worker_ended=strategies.booleans(),
    has_begun=strategies.booleans(),
    is_lease_lost=strategies.booleans(),
    agent=strategies.integers(1, 3),
    suspects_count=strategies.integers(0, 3),
    age_ms=strategies.sampled_from([0, 10, 400, 2_000, 7_000, 31_000, 300_000]),
    unseen_ms=strategies.sampled_from([0, 0, 20, 100, 2_000, -1]),
    delay=strategies.integers(0, 4),
    reports_count=strategies.integers(1, 2),
)


def _grant(run: int, case: _Case) -> ttypes.RunGrant:
    """Builds a grant for an incarnation that has no other run."""
    grant = builders.grant(_TASK, run, f"a{case.agent}")
    grant.worker_id = f"a{case.agent}-incarnation{run}"
    return grant


class _Play:
    """Applies cases to a job of one task until it ends."""

    def __init__(self):
        self.state = builders.State()
        self.state.submit(builders.job())
        self.crashes_count = self.begun_count = self.at_work_count = 0
        self._reports: list[tuple[int, int, _Case]] = []

    @property
    def has_failed(self) -> bool:
        return self.state.state_of() == ttypes.JobState.FAILED

    def run(self, run: int, case: _Case) -> None:
        """Grants a run and records what becomes of it and of earlier ones."""
        self.state.grant(_grant(run, case))
        if case.is_lease_lost or case.kind is None:
            self._record(
                builders.run_end(_TASK, ttypes.RunEndKind.LOST, run),
                decided_term=1,
            )
        # Only a run that has ended in the log is granted again before its report.
        delay = case.delay if case.is_lease_lost else 0
        if case.kind is not None:
            self._reports.append((run + delay, run, case))
        self.deliver(run)

    def deliver(self, until_run: int) -> None:
        """Records the reports that are due, unless the job has failed."""
        due = [row for row in self._reports if row[0] <= until_run]
        self._reports = [row for row in self._reports if row[0] > until_run]
        for _, run, case in due:
            if self.has_failed:
                return
            self.crashes_count += case.is_crash
            self.begun_count += case.is_crash and case.has_begun
            self.at_work_count += case.is_at_work_at_crash
            for _ in range(case.reports_count):
                self._record(case.end(run))

    def _record(self, end: ttypes.RunEnd, *, decided_term: int = 0) -> None:
        self.state.apply(
            record_run_ends=ttypes.RecordRunEnds(
                ends=[end], decided_term=decided_term
            )
        )


def _play(cases: list[_Case]) -> _Play:
    play = _Play()
    for run, case in zip(itertools.count(1), cases, strict=False):
        play.run(run, case)
        if play.has_failed:
            break
    play.deliver(len(cases) + 10)
    return play


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(cases=strategies.lists(_CASES, max_size=24))
def test_job_fails_only_for_two_crashes_and_surely_for_five(
    cases: list[_Case],
) -> None:
    """Guards against jobs lost without a crash, and workers lost without an end."""
    play = _play(cases)
    is_limited = (
        play.crashes_count >= _CRASHES_LIMIT
        and play.begun_count >= _MIN_CRASHES_TO_FAIL
    )
    if play.has_failed:
        assert play.begun_count >= _MIN_CRASHES_TO_FAIL
        assert is_limited or play.at_work_count >= _MIN_CRASHES_TO_FAIL
    else:
        assert not is_limited


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(
    cases=strategies.lists(
        _CASES.filter(lambda case: case.is_crash), min_size=1, max_size=4
    ),
    data=strategies.data(),
)
def test_order_of_late_reports_does_not_matter(
    cases: list[_Case], data: strategies.DataObject
) -> None:
    order = data.draw(strategies.permutations(range(len(cases))))
    outcomes = []
    for numbers in (range(len(cases)), order):
        state = builders.State()
        state.submit(builders.job())
        for run, case in enumerate(cases, 1):
            state.grant(_grant(run, case))
            state.end(builders.run_end(_TASK, ttypes.RunEndKind.LOST, run))
        for number in numbers:
            state.end(cases[number].end(number + 1))
        outcomes.append(state.state_of())
    assert outcomes[0] == outcomes[1]
