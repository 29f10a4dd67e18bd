"""Tasks of jobs that wait for a worker, by step, in the order to try them."""

import collections
from collections.abc import Iterable
import dataclasses
import math
import statistics

from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


@dataclasses.dataclass(slots=True)
class WaitingStep:
    """A step whose turn has come and that has tasks without a run.

    Attributes:
        key: Job, occurrence and number of the step.
        step: What its tasks ask for.
        queue: The job's queue.
        waiting: Indexes of the tasks without a run.
        tasks: All tasks of the step.
        record: The job.
        occurrence: The occurrence of the job.
        idle_since_s: Since when its job has had nothing running; infinite
            while something runs.
    """

    key: task_names.StepKey
    step: ttypes.Step
    queue: ttypes.Queue
    waiting: list[int]
    tasks: list[ttypes.JobTask]
    record: ttypes.JobRecord
    occurrence: ttypes.Occurrence
    idle_since_s: float = math.inf

    def task_name(self, index: int) -> str:
        """The name of one of its tasks."""
        return task_names.name_of(*self.key, index)


class Backlog:
    """The waiting steps of all jobs."""

    def __init__(self):
        self._by_job: dict[str, list[WaitingStep]] = {}

    def refresh(
        self,
        jobs: job_tables.JobTables,
        job_ids: Iterable[str],
        *,
        now_s: float,
    ) -> None:
        """Looks at some jobs again."""
        for job_id in job_ids:
            steps = _waiting_steps(jobs, job_id)
            idle_since_s = self._idle_since_s(steps, job_id, now_s)
            if steps:
                for step in steps:
                    step.idle_since_s = idle_since_s
                self._by_job[job_id] = steps
            else:
                self._by_job.pop(job_id, None)

    def in_order(
        self, urgency: urgency_module.Urgency, *, now_unix_ms: int
    ) -> list[WaitingStep]:
        """The waiting steps, the most urgent first."""
        usual_work_ms = self._usual_work_ms(urgency)
        ranked = [
            (
                urgency.rank(
                    step.record,
                    step.queue,
                    step.occurrence,
                    usual_work_ms=usual_work_ms[step.queue.name],
                    now_unix_ms=now_unix_ms,
                ),
                step.key,
                step,
            )
            for steps in self._by_job.values()
            for step in steps
        ]
        ranked.sort(key=lambda item: item[:2])
        return [step for _, _, step in ranked]

    def _usual_work_ms(
        self, urgency: urgency_module.Urgency
    ) -> dict[str, float]:
        """The mean work of the jobs that wait, by queue."""
        works_ms = collections.defaultdict(list)
        for first, *_ in self._by_job.values():
            work_ms = urgency.work_ms(first.record.job, first.queue)
            works_ms[first.queue.name].append(work_ms)
        return {
            queue: statistics.fmean(values)
            for queue, values in works_ms.items()
        }

    def _idle_since_s(
        self, steps: list[WaitingStep], job_id: str, now_s: float
    ) -> float:
        if not steps or has_runs(steps[0].record):
            return math.inf
        before = self._by_job.get(job_id)
        return min(before[0].idle_since_s, now_s) if before else now_s


def has_runs(record: ttypes.JobRecord) -> bool:
    """Whether a run of a job may be alive."""
    return any(task.runs for _, _, task in job_tables.tasks_of(record))


def _waiting_steps(
    jobs: job_tables.JobTables, job_id: str
) -> list[WaitingStep]:
    record = jobs.jobs.get(job_id)
    if record is None or record.state in job_tables.ENDED:
        return []
    queue = jobs.queue_of(record)
    waiting = (
        _waiting_step(record, queue, occurrence, number)
        for occurrence in record.open
        for number in range(len(occurrence.steps))
        if _is_ready(record.job, occurrence, number)
    )
    return [step for step in waiting if step.waiting]


def _is_ready(
    job: ttypes.Job, occurrence: ttypes.Occurrence, number: int
) -> bool:
    return all(
        task.done
        for earlier in job.steps[number].after
        for task in occurrence.steps[earlier].tasks
    )


def _waiting_step(
    record: ttypes.JobRecord,
    queue: ttypes.Queue,
    occurrence: ttypes.Occurrence,
    number: int,
) -> WaitingStep:
    tasks = occurrence.steps[number].tasks
    return WaitingStep(
        key=(record.job.job_id, occurrence.number, number),
        step=record.job.steps[number],
        queue=queue,
        waiting=[
            index
            for index, task in enumerate(tasks)
            if not task.done and not task.runs
        ],
        tasks=tasks,
        record=record,
        occurrence=occurrence,
    )
