"""Ends of runs that leaders recorded, compared with what workers ran.

A leader that records an end lets the task run elsewhere, so nothing of the run may be
left by then: neither the run nor a start that a worker has yet to carry out. That holds
also where no second run has come of it yet.
"""

from collections.abc import Iterator
import dataclasses
import datetime
import pathlib
import re

from soak import history as history_module

# The logs have whole milliseconds of a clock that may be adjusted meanwhile.
_TOLERANCE_NS = 50_000_000
_RUN_ENDED = re.compile(
    r"^time=(\S+) .*? event=run_ended .*?task=(\S+) run=(\d+) kind=(\S+)",
    re.MULTILINE,
)
_JOB_FAILED = re.compile(
    r"^time=(\S+) .*? event=job_ended .*?job=(\S+) .*?state=failed ",
    re.MULTILINE,
)
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"


@dataclasses.dataclass(slots=True, frozen=True)
class RecordedEnd:
    """An end of a run that a leader recorded.

    Attributes:
        task: The name of the task.
        number: The number of the run.
        kind: How the run ended.
        at_ns: When it was recorded, on the monotonic clock.
    """

    task: str
    number: int
    kind: str
    at_ns: int


def read(folder: pathlib.Path, *, clock_offset_ns: int) -> list[RecordedEnd]:
    """Returns the recorded ends from the logs of all processes.

    Args:
        folder: The folder of the logs.
        clock_offset_ns: The Unix time less the monotonic clock.
    """
    return [
        RecordedEnd(task, int(number), kind, _unix_ns(time) - clock_offset_ns)
        for path in folder.glob("*.log")
        for time, task, number, kind in _RUN_ENDED.findall(
            path.read_text(errors="replace")
        )
    ]


def read_failures(
    folder: pathlib.Path, *, clock_offset_ns: int
) -> dict[str, int]:
    """Returns when a leader first recorded each failed job, by its id.

    Args:
        folder: The folder of the logs.
        clock_offset_ns: The Unix time less the monotonic clock.
    """
    latest_first = sorted(
        (
            (_unix_ns(time) - clock_offset_ns + _TOLERANCE_NS, job_id)
            for path in folder.glob("*.log")
            for time, job_id in _JOB_FAILED.findall(
                path.read_text(errors="replace")
            )
        ),
        reverse=True,
    )
    return {job_id: at_ns for at_ns, job_id in latest_first}


def violations(
    history: history_module.History, ends: list[RecordedEnd]
) -> Iterator[str]:
    """Finds runs that began or went on after their end was recorded."""
    first_ends: dict[tuple[str, int], RecordedEnd] = {}
    for end in sorted(ends, key=lambda end: end.at_ns, reverse=True):
        first_ends[end.task, end.number] = end
    for run in history.runs():
        end = first_ends.get((run.task, run.number))
        if end is None:
            continue
        latest_ns = end.at_ns + _TOLERANCE_NS
        if run.span.started_ns > latest_ns:
            yield f"{run.task} run {run.number} began after its end as {end.kind}"
        elif run.span.ended_ns > latest_ns:
            yield f"{run.task} run {run.number} went on after its end as {end.kind}"


def _unix_ns(text: str) -> int:
    at = datetime.datetime.strptime(text, _TIME_FORMAT)
    return int(at.timestamp() * 1_000) * 1_000_000
