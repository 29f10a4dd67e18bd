"""The history of a soak: its jobs, runs and faults."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from soak import evacuations as evacuations_module
from soak import fault_effects
from soak import faults
from soak import time_spans


@dataclasses.dataclass(slots=True)
class SubmittedJob:
    """One job as its client knows it.

    Attributes:
        job_id: The id.
        task_counts: The number of tasks of each step.
        long_running: Whether the tasks run until the job is cancelled.
        gang: Whether the tasks of each step are a gang.
        machine: The only machine whose worker may run the job; empty for any.
        due_ns: When each occurrence is due; a single 0 for a job that may start
            at once.
        accepted: Whether the submission was acknowledged.
        accepted_ns: When it was acknowledged.
        refused: Whether every answer was a refusal, so that the job never runs.
        cancelling: Whether a cancellation was sent.
        cancel_sent_ns: When it was first sent.
        cancel_acknowledged_ns: When it was acknowledged; 0 if never.
        cancelled_unknown: Whether the acknowledgement was that there is no such job.
        failed_ns: When an answer first reported the job as failed; 0 if none did.
        completed: Whether any answer reported the job as completed.
        state: The state last reported; empty if none.
    """

    job_id: str
    task_counts: list[int]
    long_running: bool = False
    gang: bool = False
    machine: str = ""
    due_ns: list[int] = dataclasses.field(default_factory=lambda: [0])
    accepted: bool = False
    accepted_ns: int = 0
    refused: bool = True
    cancelling: bool = False
    cancel_sent_ns: int = 0
    cancel_acknowledged_ns: int = 0
    cancelled_unknown: bool = False
    failed_ns: int = 0
    completed: bool = False
    state: str = ""

    def task_names(self) -> list[str]:
        """Returns the names of the tasks of all occurrences."""
        return [
            f"{self.job_id}.{occurrence}.{step}.{index}"
            for occurrence in range(len(self.due_ns))
            for step, count in enumerate(self.task_counts)
            for index in range(count)
        ]

    def expected_running_tasks(self) -> list[str]:
        """Returns the tasks that have to run at the end of the soak."""
        is_expected_running = (
            self.long_running
            and self.accepted
            and not self.cancelling
            and self.state != "failed"
        )
        return self.task_names() if is_expected_running else []

    @property
    def is_unfinished(self) -> bool:
        """Whether the job has to end and was not reported as ended."""
        return (
            self.accepted
            and (self.cancelling or not self.long_running)
            and not self.completed
            and self.state not in ("cancelled", "failed")
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """One run as its worker journalled it.

    Attributes:
        task: The name of the task.
        number: The number of the run.
        machine: The name of the worker's machine.
        worker: The incarnation of the worker.
        span: From the start of the run to its end, or to the end of the history.
        outcome: How the run ended; empty if it has not ended.
    """

    task: str
    number: int
    machine: str
    worker: str
    span: time_spans.Span
    outcome: str

    @property
    def job_id(self) -> str:
        """The id of the job."""
        return self.task.partition(".")[0]


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """A run that a leader granted to an agent, from the leader's log."""

    task: str
    number: int
    agent: str


@dataclasses.dataclass(slots=True, frozen=True)
class InjectedFault:
    """A fault and the span during which it was active."""

    fault: faults.Fault
    span: time_spans.Span


@dataclasses.dataclass(slots=True)
class History:
    """The history of one soak.

    Attributes:
        lines: The lines of the workers' journal.
        jobs: The submitted jobs.
        injected_faults: The faults.
        grants: The granted runs.
        members: The names of the processes that replicate the state.
        machines: The names of the workers' machines by address.
        evacuations: The evacuations of data centres.
        data_centres: The data centres of the workers' machines, by name.
        failures_ns: When a leader recorded a job as failed, by the id of the job.
        heartbeat_refusals: When workers' own heartbeats were refused in a row, by the
            name of the machine.
        ended_ns: The end of the history.
    """

    lines: list[dict]
    jobs: list[SubmittedJob]
    injected_faults: Sequence[InjectedFault] = ()
    grants: Sequence[Grant] = ()
    members: Sequence[str] = ()
    machines: Mapping[str, str] = dataclasses.field(default_factory=dict)
    evacuations: Sequence[evacuations_module.Evacuation] = ()
    data_centres: Mapping[str, str] = dataclasses.field(default_factory=dict)
    failures_ns: Mapping[str, int] = dataclasses.field(default_factory=dict)
    heartbeat_refusals: Mapping[str, Sequence[time_spans.Span]] = (
        dataclasses.field(default_factory=dict)
    )
    ended_ns: int = 0

    def failed_ns(self, job: SubmittedJob) -> int:
        """Returns when a job failed, at the latest; 0 if it is not known to have."""
        times_ns = (job.failed_ns, self.failures_ns.get(job.job_id, 0))
        return min(filter(None, times_ns), default=0)

    def runs(self) -> list[Run]:
        """Returns all runs in the order of their starts."""
        ends = {
            _run_key(line): line
            for line in self.lines
            if line["event"] in ("ended", "lost")
        }
        return [
            Run(
                line["task"],
                line["run"],
                self.machines.get(line["machine"], line["machine"]),
                line["worker"],
                time_spans.Span(line["at_ns"], end.get("at_ns", self.ended_ns)),
                end.get("how", end.get("event", "")),
            )
            for line in self.lines
            if line["event"] == "started"
            for end in (ends.get(_run_key(line), {}),)
        ]

    def fault_spans(self, name: str) -> list[time_spans.Span]:
        """Returns when a machine or a process was affected by a fault.

        The proxy before a member's frontend serves only clients and does not
        affect the member's work.
        """
        return [
            injected.span
            for injected in self.injected_faults
            if name
            in fault_effects.affected_names(injected.fault, self.members)
            and not (
                name in self.members
                and isinstance(injected.fault, faults.LinkFault)
            )
        ]

    def fault_spans_of(self, names: Iterable[str]) -> list[time_spans.Span]:
        """Returns when any of some machines and processes was affected by a fault."""
        return [span for name in names for span in self.fault_spans(name)]

    def majority_fault_spans(self) -> list[time_spans.Span]:
        """Returns when the members without a fault were no majority."""
        spans = [
            span
            for name in self.members
            for span in time_spans.overlaps(self.fault_spans(name))
        ]
        return time_spans.overlaps(
            spans, min_count=max(1, (len(self.members) + 1) // 2)
        )

    def capacity_reductions(
        self,
    ) -> list[tuple[faults.CapacityReduction, time_spans.Span]]:
        """Returns the capacity reductions with their times."""
        return [
            (injected.fault, injected.span)
            for injected in self.injected_faults
            if isinstance(injected.fault, faults.CapacityReduction)
        ]

    def spans_without_capacity(
        self, *, tasks_per_worker: int
    ) -> list[time_spans.Span]:
        """Returns when every machine was full or affected by a fault.

        A machine whose worker's capacity is reduced, or whose data centre is
        evacuated, counts as full.

        Args:
            tasks_per_worker: How many tasks fill a worker.
        """
        names = set(self.machines.values())
        unavailable_by_machine = {
            name: self.fault_spans(name) for name in names
        }
        for fault, span in self.capacity_reductions():
            unavailable_by_machine[fault.worker].append(span)
        for evacuation in self.evacuations:
            for name in names:
                if self.data_centres.get(name) == evacuation.data_centre:
                    unavailable_by_machine[name].append(evacuation.span)
        by_machine: dict[str, list[time_spans.Span]] = {
            name: [] for name in names
        }
        for run in self.runs():
            by_machine[run.machine].append(run.span)
        for name, spans in by_machine.items():
            unavailable_by_machine[name] += time_spans.overlaps(
                spans, min_count=tasks_per_worker
            )
        unavailable = [
            span
            for each in unavailable_by_machine.values()
            for span in time_spans.overlaps(each)
        ]
        return time_spans.overlaps(unavailable, min_count=max(1, len(names)))


def injected_faults(
    started_ns: Mapping[faults.PlannedFault, int],
    ended_ns: Mapping[faults.PlannedFault, int],
) -> list[InjectedFault]:
    """Returns the faults that started, with their times."""
    return [
        InjectedFault(
            item.fault,
            time_spans.Span(at_ns, _end_ns(item, at_ns, ended_ns[item])),
        )
        for item, at_ns in started_ns.items()
    ]


def _end_ns(item: faults.PlannedFault, started_ns: int, ended_ns: int) -> int:
    # A crashed worker restarts at once, and so do connections that were reset.
    is_instant = isinstance(
        item.fault, faults.WorkerCrash | faults.ConnectionReset
    )
    return started_ns if is_instant else ended_ns


def _run_key(line: dict) -> tuple[str, str, int]:
    return line["worker"], line["task"], line["run"]
