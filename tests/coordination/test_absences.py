"""Watchers that are absent too long are told of."""

import pytest

from marigoldsill.coordination import absences
from marigoldsill.protocol.generated import ttypes
from tests.coordination import fakes

KINDS = ttypes.RunEventKind
TASK = "parish/0"


@pytest.fixture
def replica() -> fakes.FakeReplica:
    made = fakes.FakeReplica()
    made.tables.workers["worker-1"] = ttypes.Worker(name="worker-1")
    made.declare(fakes.watcher_change())
    return made


def _run(replica: fakes.FakeReplica, *, epoch: int, at_unix_ms: int) -> None:
    replica.apply(assign_runs=fakes.assignment(TASK, epoch=epoch))
    replica.apply(
        at_unix_ms=at_unix_ms,
        record_run_events=fakes.events(KINDS.STARTED, task=TASK, epoch=epoch),
    )


def _end(replica: fakes.FakeReplica, *, epoch: int, at_unix_ms: int) -> None:
    replica.apply(
        at_unix_ms=at_unix_ms,
        record_run_events=fakes.events(KINDS.FAILED, task=TASK, epoch=epoch),
    )


def test_watcher_that_never_ran_is_absent(replica: fakes.FakeReplica) -> None:
    absent = absences.absent_for_ms(replica.tables, now_unix_ms=10_002)
    assert absent == {TASK: 10_001}
    assert not absences.absent_for_ms(replica.tables, now_unix_ms=10_001)


def test_watcher_that_runs_is_not_absent(replica: fakes.FakeReplica) -> None:
    _run(replica, epoch=1, at_unix_ms=1)
    assert not absences.absent_for_ms(replica.tables, now_unix_ms=10**9)


def test_absence_counts_from_the_end_of_a_long_run(
    replica: fakes.FakeReplica,
) -> None:
    _run(replica, epoch=1, at_unix_ms=1)
    _end(replica, epoch=1, at_unix_ms=50_000)

    absent = absences.absent_for_ms(replica.tables, now_unix_ms=60_001)
    assert absent == {TASK: 10_001}


def test_runs_that_fail_at_once_do_not_hide_an_absence(
    replica: fakes.FakeReplica,
) -> None:
    for epoch in range(1, 12):
        _run(replica, epoch=epoch, at_unix_ms=epoch * 1000)
        _end(replica, epoch=epoch, at_unix_ms=epoch * 1000 + 100)

    absent = absences.absent_for_ms(replica.tables, now_unix_ms=11_200)
    assert absent == {TASK: 11_199}


def test_absence_is_an_event_and_a_metric_until_it_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[str] = []
    monkeypatch.setattr(
        absences.logs, "event", lambda name, **_: events.append(name)
    )
    reporter = absences.AbsenceReporter()
    for _ in range(3):
        reporter.report({TASK: 10_001}, {TASK: "no worker"})
    shown = absences._ABSENT.labels(TASK)._value.get()
    reporter.report({}, {})

    assert shown == pytest.approx(10.001)
    assert events == ["watcher_absent", "watcher_back"]
