"""Builders of soak histories, for tests of the soak's checks."""

from collections.abc import Iterable
import itertools

from soak import evacuations
from soak import faults
from soak import history as history_module
from soak import proxy
from soak import time_spans

JOB = "0000000000000001"
TASK = f"{JOB}.0.0.0"
OTHER = f"{JOB}.0.0.1"
SECOND_STEP = f"{JOB}.0.1.0"
MEMBERS = ("edge-1", "edge-2", "edge-3")
LINK = faults.LinkFault("side-1", proxy.Blackhole())
END_S = 100.0


def ns(at_s: float) -> int:
    return int(at_s * time_spans.NS_PER_S)


def line(
    event: str, at_s: float, task: str = TASK, run: int = 1, **fields: str
) -> dict:
    number = fields.pop("machine", "1")
    return {
        "event": event,
        "at_ns": ns(at_s),
        "task": task,
        "run": run,
        "worker": f"i-{number}",
        "machine": f"side-{number}",
    } | fields


def run_lines(
    started_s: float,
    ended_s: float,
    task: str = TASK,
    run: int = 1,
    how: str = "done",
    **fields: str,
) -> list[dict]:
    """Returns the journal lines of a run whose end was acknowledged."""
    return [
        line("started", started_s, task, run, **fields),
        line("ended", ended_s, task, run, how=how, **fields),
        {
            "event": "noted",
            "at_ns": ns(ended_s + 0.1),
            "task": task,
            "run": run,
        },
    ]


def submitted_job(
    *task_counts: int, **fields: object
) -> history_module.SubmittedJob:
    given = {"accepted": True, "refused": False, "accepted_ns": ns(1.0)}
    return history_module.SubmittedJob(
        JOB, list(task_counts) or [1], **given | fields
    )


def injected_fault(fault: faults.Fault, started_s: float, ended_s: float):
    return history_module.InjectedFault(
        fault, time_spans.Span(ns(started_s), ns(ended_s))
    )


def history(
    job: history_module.SubmittedJob, *lines: dict, **fields: object
) -> history_module.History:
    return history_module.History(
        lines=sorted(lines, key=lambda each: each["at_ns"]),
        jobs=[job],
        members=MEMBERS,
        machines={f"side-{n}": f"side-{n}" for n in (1, 2)},
        ended_ns=ns(END_S),
        **fields,
    )


def long_running_history(
    *lines: dict, **fields: object
) -> history_module.History:
    """Returns a history in which a long-running task runs from 2 s to 10 s first."""
    first = run_lines(2, 10, how="lapsed")
    return history(
        submitted_job(1, long_running=True), *first, *lines, **fields
    )


def crashed_runs(
    *at_s: float,
    spec: str = "work 100",
    task: str = TASK,
    first_run: int = 1,
    ages_s: Iterable[float] = (),
) -> list[dict]:
    """Returns the lines of runs of one task, each ended by a crash of its worker.

    Args:
        *at_s: When each run starts.
        spec: What the task does.
        task: The name of the task.
        first_run: The number of the first run.
        ages_s: The age of each run at the crash; half a second if there are no more.
    """
    return [
        run_line
        for run, (start_s, age_s) in enumerate(
            zip(
                at_s,
                itertools.chain(ages_s, itertools.repeat(0.5)),
                strict=False,
            ),
            first_run,
        )
        for worker in ({"worker": f"i-1@{run}"},)
        for run_line in (
            line("started", start_s, task, run, spec=spec, **worker),
            line("lost", start_s + age_s, task, run, **worker),
        )
    ]


def restarted_at(at_s: float, **fields: object) -> history_module.History:
    return long_running_history(
        line("started", at_s, run=2, machine="2"), **fields
    )


def cancelled_history(*lines: dict) -> history_module.History:
    job = submitted_job(
        1,
        long_running=True,
        cancelling=True,
        state="cancelled",
        cancel_sent_ns=ns(19),
        cancel_acknowledged_ns=ns(20),
    )
    return history(job, *lines)


def gang_history(*lines: dict, **fields: object) -> history_module.History:
    job = submitted_job(2, gang=True, state="completed", completed=True)
    return history(job, *lines, **fields)


def evacuated_history(*lines: dict) -> history_module.History:
    """Returns a history in which side-1 is evacuated from 10 s to 50 s."""
    span = time_spans.Span(ns(10), ns(50))
    return history(
        submitted_job(4),
        *lines,
        evacuations=[evacuations.Evacuation("z2", span)],
        data_centres={"side-1": "z2", "side-2": "z1"},
    )


def timed_history(*lines: dict) -> history_module.History:
    due_ns = [ns(10), ns(20)]
    return history(
        submitted_job(1, due_ns=due_ns, state="completed", completed=True),
        *lines,
    )
