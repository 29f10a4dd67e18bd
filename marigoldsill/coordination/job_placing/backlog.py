"""Tasks of jobs that wait for a worker, grouped by step and ranked by urgency."""

import collections
from collections.abc import Iterable
import dataclasses
import itertools
import math
import statistics

from marigoldsill.coordination.job_locality import rack_affinity
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state.run_outcomes import crash_attribution

# Ranks change only slowly, with time and with the learnt run times.
_RANKS_VALIDITY_MS = 250


@dataclasses.dataclass(slots=True)
class WaitingStep:
    """A step that is ready to run and has tasks without a run.

    Attributes:
        key: The job, occurrence and number of the step.
        step: The requirements of its tasks.
        queue: The job's queue.
        waiting_indexes: Indexes of the tasks without a run.
        tasks: All tasks of the step.
        record: The job's record, which applied commands may change meanwhile.
        job: The job as submitted.
        occurrence: The occurrence of the job.
        idle_since_s: Since when no run of its job has been alive; infinite while
            one is.
        suspects_count: Number of tasks without a run that are suspected of
            crashing a worker; 0 for gangs.
    """

    key: task_names.StepKey
    step: ttypes.Step
    queue: ttypes.Queue
    waiting_indexes: list[int]
    tasks: list[ttypes.JobTask]
    record: ttypes.JobRecord
    job: ttypes.Job
    occurrence: ttypes.Occurrence
    idle_since_s: float = math.inf
    suspects_count: int = 0

    def task_name(self, index: int) -> str:
        """Returns the name of one of its tasks."""
        return task_names.name_of(*self.key, index)

    def rack_task(self, index: int) -> rack_affinity.RackTask:
        """Returns one of its tasks as far as it matters where it starts."""
        return rack_affinity.RackTask(self.key, index, self.step, self.queue)


class Backlog:
    """The waiting steps of all jobs; only `refresh` reads the tables."""

    def __init__(self):
        self._by_job: dict[str, list[WaitingStep]] = {}
        self._ranks: dict[task_names.StepKey, urgency_module.Rank] = {}
        self._unranked: set[str] = set()
        self._mean_core_time_ms: dict[str, float] = {}
        self._ranked_unix_ms = -math.inf

    def refresh(
        self,
        jobs: job_tables.JobTables,
        job_ids: Iterable[str],
        *,
        now_s: float,
    ) -> None:
        """Updates the waiting steps of some jobs."""
        for job_id in job_ids:
            steps = _waiting_steps(jobs, job_id)
            idle_since_s = self._idle_since_s(steps, job_id, now_s)
            self._drop_job(job_id)
            if steps:
                for step in steps:
                    step.idle_since_s = idle_since_s
                self._by_job[job_id] = steps
                self._unranked.add(job_id)

    def rank_steps(
        self, urgency: urgency_module.Urgency, *, now_unix_ms: int
    ) -> list[WaitingStep]:
        """Returns the waiting steps, the most urgent first.

        Refreshed steps are ranked at once, all others at intervals.
        """
        age_ms = now_unix_ms - self._ranked_unix_ms
        if not 0 <= age_ms < _RANKS_VALIDITY_MS:
            self._ranked_unix_ms = now_unix_ms
            self._mean_core_time_ms = self._compute_mean_core_time_ms(urgency)
            self._unranked = set(self._by_job)
        for job_id in self._unranked:
            for step in self._by_job[job_id]:
                self._ranks[step.key] = self._rank(step, urgency, now_unix_ms)
        self._unranked = set()
        steps = itertools.chain.from_iterable(self._by_job.values())
        return sorted(steps, key=lambda step: (self._ranks[step.key], step.key))

    @property
    def mean_core_times_ms(self) -> dict[str, float]:
        """The mean core time of waiting jobs, by queue, as of the last ranking."""
        return self._mean_core_time_ms

    def rank_of(self, step: WaitingStep) -> urgency_module.Rank:
        """Returns the rank by which `rank_steps` ordered a step."""
        return self._ranks[step.key]

    def _rank(
        self,
        step: WaitingStep,
        urgency: urgency_module.Urgency,
        now_unix_ms: int,
    ) -> urgency_module.Rank:
        mean_core_time_ms = self._mean_core_time_ms.get(step.queue.name)
        if mean_core_time_ms is None:
            mean_core_time_ms = urgency.core_time_ms(step.job, step.queue)
        return urgency.rank(
            step.job,
            step.queue,
            step.occurrence,
            mean_core_time_ms=mean_core_time_ms,
            now_unix_ms=now_unix_ms,
        )

    def _drop_job(self, job_id: str) -> None:
        for step in self._by_job.pop(job_id, ()):
            self._ranks.pop(step.key, None)
        self._unranked.discard(job_id)

    def _compute_mean_core_time_ms(
        self, urgency: urgency_module.Urgency
    ) -> dict[str, float]:
        """Returns the mean core time of the waiting jobs, by queue."""
        core_times_ms = collections.defaultdict(list)
        for first, *_ in self._by_job.values():
            core_time_ms = urgency.core_time_ms(first.job, first.queue)
            core_times_ms[first.queue.name].append(core_time_ms)
        return {
            queue: statistics.fmean(values)
            for queue, values in core_times_ms.items()
        }

    def _idle_since_s(
        self, steps: list[WaitingStep], job_id: str, now_s: float
    ) -> float:
        if not steps or _has_runs(steps[0].record):
            return math.inf
        before = self._by_job.get(job_id)
        return min(before[0].idle_since_s, now_s) if before else now_s


def _has_runs(record: ttypes.JobRecord) -> bool:
    """Returns whether a run of a job may be alive."""
    return any(task.runs for _, _, task in job_tables.tasks_of(record))


def _waiting_steps(
    jobs: job_tables.JobTables, job_id: str
) -> list[WaitingStep]:
    record = jobs.jobs.get(job_id)
    if record is None or record.state in job_tables.ENDED:
        return []
    queue = jobs.queue_of(record)
    steps = (
        _build_waiting_step(record, queue, occurrence, number)
        for occurrence in record.open
        for number in range(len(occurrence.steps))
        if _is_ready(record.job, occurrence, number)
    )
    return [step for step in steps if step.waiting_indexes]


def _is_ready(
    job: ttypes.Job, occurrence: ttypes.Occurrence, number: int
) -> bool:
    return all(
        task.done
        for earlier in job.steps[number].after
        for task in occurrence.steps[earlier].tasks
    )


def _build_waiting_step(
    record: ttypes.JobRecord,
    queue: ttypes.Queue,
    occurrence: ttypes.Occurrence,
    number: int,
) -> WaitingStep:
    tasks = occurrence.steps[number].tasks
    waiting_indexes = [
        index
        for index, task in enumerate(tasks)
        if not task.done and not task.runs
    ]
    return WaitingStep(
        key=(record.job.job_id, occurrence.number, number),
        step=record.job.steps[number],
        queue=queue,
        waiting_indexes=waiting_indexes,
        tasks=tasks,
        record=record,
        job=record.job,
        occurrence=occurrence,
        suspects_count=_suspects_count(record.job.steps[number], tasks),
    )


def _suspects_count(step: ttypes.Step, tasks: list[ttypes.JobTask]) -> int:
    if step.gang:
        # Members of a gang start together, so they cannot be isolated.
        return 0
    return sum(
        crash_attribution.is_suspect(task) and not task.done and not task.runs
        for task in tasks
    )
