"""Tests of the check that nothing of a run is left once its end was recorded."""

import pathlib

import pytest

from soak import recorded_ends
from tests import soak_histories as histories

_LOG = (
    "time=1970-01-01T00:01:{second}+0000 level=INFO event=run_ended role=edge "
    "name=edge-1 pid=7 task=" + histories.TASK + " run={run} kind=refused "
    'reason="the worker is not healthy"\n'
)
_FAILED_LOG = (
    "time=1970-01-01T00:01:{second}+0000 level=INFO event=job_ended role=edge "
    "name=edge-1 pid=7 job="
    + histories.JOB
    + " queue=fast state={state} age_ms=5 "
    'reason="a reason"\n'
)


def _recorded(
    at_s: float, *, run: int = 1, kind: str = "refused"
) -> recorded_ends.RecordedEnd:
    return recorded_ends.RecordedEnd(
        histories.TASK, run, kind, histories.ns(at_s)
    )


def _violations(*ends: recorded_ends.RecordedEnd) -> list[str]:
    """Checks a history in which a run lasts from 10 s to 12 s."""
    history = histories.history(
        histories.submitted_job(), *histories.run_lines(10, 12)
    )
    return list(recorded_ends.violations(history, list(ends)))


@pytest.mark.parametrize("at_s", [12.0, 12.5, 40.0])
def test_ends_that_are_recorded_after_the_run_are_allowed(at_s: float) -> None:
    assert _violations(_recorded(at_s, kind="done")) == []


def test_a_run_that_begins_after_its_recorded_end_is_found() -> None:
    assert _violations(_recorded(9.0)) == [
        f"{histories.TASK} run 1 began after its end as refused"
    ]


def test_a_run_that_goes_on_after_its_recorded_end_is_found() -> None:
    assert _violations(_recorded(11.0, kind="lost")) == [
        f"{histories.TASK} run 1 went on after its end as lost"
    ]


def test_the_first_of_several_records_counts() -> None:
    ends = [_recorded(12.5, kind="done"), _recorded(9.0)]
    assert len(_violations(*ends)) == len(_violations(*reversed(ends))) == 1


def test_the_end_of_another_run_of_the_task_does_not_count() -> None:
    assert _violations(_recorded(9.0, run=2)) == []


def test_recorded_ends_are_read_on_the_monotonic_clock(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "edge-1.log").write_text(
        "Traceback\n" + _LOG.format(second="09.500", run=1) + "time=broken\n"
    )
    (tmp_path / "edge-2.log").write_text(_LOG.format(second="11.000", run=2))
    ends = recorded_ends.read(tmp_path, clock_offset_ns=histories.ns(60.0))
    assert sorted(ends, key=lambda end: end.at_ns) == [
        _recorded(9.5),
        _recorded(11.0, run=2),
    ]


def test_the_first_record_of_a_failed_job_is_read(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "edge-1.log").write_text(
        _FAILED_LOG.format(second="11.000", state="failed")
    )
    (tmp_path / "edge-2.log").write_text(
        _FAILED_LOG.format(second="02.000", state="completed")
        + _FAILED_LOG.format(second="09.500", state="failed")
    )
    failures_ns = recorded_ends.read_failures(
        tmp_path, clock_offset_ns=histories.ns(60.0)
    )
    assert failures_ns == {histories.JOB: histories.ns(9.55)}
