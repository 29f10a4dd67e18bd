"""Builds the timeline of a job, a task or a worker from the logs of many processes.

It contains the lines that name the subject, lines about workers while they had runs of
the subject, and lines about leaders and omitted lines in the same period. Times are
those of the processes' own clocks.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import datetime

from marigoldsill.transport import log_reader

# Events of a worker that are included between the grant and the end of a run.
_WORKER_EVENTS = frozenset(
    {
        "worker_answers",
        "worker_drains",
        "worker_gone",
        "worker_lost",
        "worker_backoff",
        "worker_probed",
        "worker_quarantined",
        "worker_restored",
        "worker_stalled",
        "dependency_lost",
        "dependency_regained",
        "started",
        "stopped",
    }
)
# Events that affect all jobs.
_CONTROL_EVENTS = frozenset(
    {
        "leader_elected",
        "leadership_lost",
        "quorum_lost",
        "no_leader",
        "disk_failed",
        "runs_lost",
        "scheduler_waits",
        "scheduler_failed",
    }
)
# Events that report omitted log lines.
_OMISSION_EVENTS = frozenset({"log_dropped", "log_suppressed"})
# Margin around a run: the agent's own lines follow the grant and precede the end.
_MARGIN = datetime.timedelta(seconds=1)
# Assumed duration of a run whose end is not in the logs.
_DEFAULT_DURATION = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True, frozen=True)
class Timeline:
    """The log lines about a subject.

    Attributes:
        lines: The lines, in order of time.
        gaps: Descriptions of what the logs lack.
    """

    lines: list[log_reader.LogLine]
    gaps: list[str]


@dataclasses.dataclass(slots=True)
class _RunPeriod:
    """The time of a run on a worker, from its grant to its recorded end."""

    task: str
    run: str
    agent: str
    worker_id: str
    begin: datetime.datetime
    end: datetime.datetime | None = None

    def includes(self, line: log_reader.LogLine) -> bool:
        """Whether a line is about the run's worker and of the time of the run."""
        end = self.end or self.begin + _DEFAULT_DURATION
        if not self.begin - _MARGIN <= line.time <= end + _MARGIN:
            return False
        worker_id = line.fields.get("worker_id")
        return worker_id == self.worker_id or line.process == self.agent


def build_timeline(
    subject: str, lines: Iterable[log_reader.LogLine]
) -> Timeline:
    """Builds the timeline of a subject.

    Args:
        subject: An id or name. The id of a caller's request selects the job that the
            request was about as well.
        lines: The lines of all logs, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    subjects = {subject} | {
        line.fields["about"]
        for line in ordered
        if line.fields.get("request") == subject and "about" in line.fields
    }
    subject_lines = [line for line in ordered if _names_any(line, subjects)]
    if not subject_lines:
        return Timeline([], [f"no line names {subject}"])
    periods = _find_run_periods(subject_lines)
    begin, end = subject_lines[0].time, subject_lines[-1].time
    selected = [
        line
        for line in ordered
        if _names_any(line, subjects)
        or (
            line.event in _WORKER_EVENTS
            and any(period.includes(line) for period in periods)
        )
        or (
            line.event in _CONTROL_EVENTS | _OMISSION_EVENTS
            and begin <= line.time <= end
        )
    ]
    return Timeline(
        selected, _describe_gaps(subjects, subject_lines, selected, periods)
    )


def _names_any(line: log_reader.LogLine, subjects: Set[str]) -> bool:
    return line.process in subjects or any(
        value == subject or value.startswith(f"{subject}.")
        for value in line.fields.values()
        for subject in subjects
    )


def _find_run_periods(lines: Iterable[log_reader.LogLine]) -> list[_RunPeriod]:
    periods: dict[tuple[str, str], _RunPeriod] = {}
    for line in lines:
        key = line.fields.get("task", ""), line.fields.get("run", "")
        if line.event == "run_granted":
            periods[key] = _RunPeriod(
                *key,
                line.fields.get("agent", ""),
                line.fields.get("worker_id", ""),
                line.time,
            )
        elif line.event == "run_ended" and key in periods:
            periods[key].end = line.time
    return list(periods.values())


def _describe_gaps(
    subjects: Set[str],
    subject_lines: list[log_reader.LogLine],
    selected: list[log_reader.LogLine],
    periods: list[_RunPeriod],
) -> list[str]:
    events = {line.event for line in subject_lines}
    gaps = [
        f"run {period.run} of {period.task} was granted to {period.agent}; "
        "the logs do not show its end"
        for period in periods
        if period.end is None
    ]
    jobs = {line.fields.get("job") for line in subject_lines} & subjects
    for job in sorted(jobs):
        if "job_accepted" not in events:
            gaps.append(f"the logs do not show that {job} was accepted")
        if "job_ended" not in events:
            gaps.append(f"the logs do not show how {job} ended")
    gaps += [
        f"{line.process} omitted lines at {line.time.isoformat()}: "
        f"{line.fields.get('count', '?')} of {line.fields.get('of', 'all')}"
        for line in selected
        if line.event in _OMISSION_EVENTS
    ]
    return gaps
