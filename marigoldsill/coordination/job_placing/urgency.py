"""Priority order of waiting jobs.

A caller is satisfied if its job ends within its objective: the run time on healthy
workers, multiplied by the queue's stretch ratio, plus the queue's latency target. Jobs
are ordered by the core time that they still need in relation to their value, so that most
of them meet it in an overload. A late job keeps its place: if late jobs came after all
others, those that began late in an overload would never end, although many of them need
little more time. Only jobs that are too late to be of use come last, and none is dropped.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.coordination.learning import run_times as run_times_module
from marigoldsill.protocol.generated import ttypes

# A job that takes longer than this many times its objective is of no use to its caller.
_TOO_LATE_RATIO = 3.0
# The part of a job's value that does not depend on its size, as a share of the mean core
# time of jobs of its queue. The rest is proportional to its own core time.
_BASE_VALUE_SHARE = 0.3
_MILLICORES_PER_CORE = 1_000


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Rank:
    """The urgency of a job; the lowest rank comes first.

    Attributes:
        priority: The priority of its queue.
        is_too_late: Whether it will end too late to be of use.
        cost_ratio: The core time that it still needs, divided by its value, which is
            a core time as well.
    """

    priority: int
    is_too_late: bool
    cost_ratio: float


class Urgency:
    """Ranks jobs by the learnt run times.

    Attributes:
        run_times: The learnt run times of tasks of each queue.
    """

    def __init__(self):
        self.run_times = run_times_module.RunTimeModel()

    def rank(
        self,
        job: ttypes.Job,
        queue: ttypes.Queue,
        occurrence: ttypes.Occurrence,
        *,
        mean_core_time_ms: float,
        now_unix_ms: int,
    ) -> Rank:
        """Returns the rank of one occurrence of a job.

        Args:
            job: The job.
            queue: Its queue.
            occurrence: The occurrence.
            mean_core_time_ms: The mean core time of jobs of the queue.
            now_unix_ms: The current wall-clock time.
        """
        if job.steps[0].long_running:
            # Time in which a long-running task does not run cannot be made up for.
            return Rank(queue.priority, False, 0.0)
        elapsed_ms = now_unix_ms - _start_unix_ms(job, occurrence.number)
        total_ms = elapsed_ms + self.remaining_path_ms(job, queue, occurrence)
        is_too_late = total_ms > self.useful_ms(job, queue)
        value_ms = self._value_ms(job, queue, mean_core_time_ms)
        cost_ratio = (
            self.remaining_core_time_ms(job, queue, occurrence) / value_ms
        )
        return Rank(queue.priority, is_too_late, cost_ratio)

    def objective_end_unix_ms(
        self,
        job: ttypes.Job,
        queue: ttypes.Queue,
        occurrence: ttypes.Occurrence,
    ) -> float:
        """Returns by when an occurrence of a job ends within its objective."""
        start_unix_ms = _start_unix_ms(job, occurrence.number)
        return start_unix_ms + self._objective_ms(job, queue)

    def remaining_core_time_ms(
        self,
        job: ttypes.Job,
        queue: ttypes.Queue,
        occurrence: ttypes.Occurrence,
    ) -> float:
        """Returns the core time of the tasks that are not done."""
        counts = [
            sum(not task.done for task in step.tasks)
            for step in occurrence.steps
        ]
        return self._core_time_of_tasks_ms(job, queue, counts)

    def remaining_path_ms(
        self,
        job: ttypes.Job,
        queue: ttypes.Queue,
        occurrence: ttypes.Occurrence,
    ) -> float:
        """Returns the length of the critical path of the steps not done."""
        done = [
            number
            for number, step in enumerate(occurrence.steps)
            if all(task.done for task in step.tasks)
        ]
        return self._critical_path_ms(job, queue, done=done)

    def rank_new(
        self, job: ttypes.Job, queue: ttypes.Queue, *, mean_core_time_ms: float
    ) -> Rank:
        """Returns the rank that a job would have if it were accepted now."""
        value_ms = self._value_ms(job, queue, mean_core_time_ms)
        cost_ratio = self.core_time_ms(job, queue) / value_ms
        return Rank(queue.priority, False, cost_ratio)

    def useful_ms(self, job: ttypes.Job, queue: ttypes.Queue) -> float:
        """Returns how long after its start the end of a job is of use."""
        return _TOO_LATE_RATIO * self._objective_ms(job, queue)

    def useful_until_unix_ms(
        self, job: ttypes.Job, queue: ttypes.Queue, occurrence_number: int
    ) -> float:
        """Returns until when the end of an occurrence of a job is of use."""
        return _start_unix_ms(job, occurrence_number) + self.useful_ms(
            job, queue
        )

    def longest_paths_ms(
        self, job: ttypes.Job, queue: ttypes.Queue
    ) -> list[float]:
        """Returns the length of the longest path that begins with each step."""
        after_ms = [0.0] * len(job.steps)
        paths_ms = [0.0] * len(job.steps)
        for number in reversed(range(len(job.steps))):
            step = job.steps[number]
            run_ms = self.run_times.predict_ms(queue.name, step.estimated_ms)
            paths_ms[number] = run_ms + after_ms[number]
            for earlier in step.after:
                after_ms[earlier] = max(after_ms[earlier], paths_ms[number])
        return paths_ms

    def core_time_ms(self, job: ttypes.Job, queue: ttypes.Queue) -> float:
        """Returns the core time of all tasks of a job, in milliseconds."""
        counts = [step.tasks_count for step in job.steps]
        return self._core_time_of_tasks_ms(job, queue, counts)

    def _value_ms(
        self, job: ttypes.Job, queue: ttypes.Queue, mean_core_time_ms: float
    ) -> float:
        value_ms = _BASE_VALUE_SHARE * mean_core_time_ms
        value_ms += (1 - _BASE_VALUE_SHARE) * self.core_time_ms(job, queue)
        return max(1.0, value_ms)

    def _objective_ms(self, job: ttypes.Job, queue: ttypes.Queue) -> float:
        run_time_ms = self._critical_path_ms(job, queue, done=())
        return queue.stretch_ratio * run_time_ms + queue.latency_target_ms

    def _core_time_of_tasks_ms(
        self, job: ttypes.Job, queue: ttypes.Queue, counts: Iterable[int]
    ) -> float:
        run_times = self.run_times
        return math.fsum(
            count
            * step.resources.cpu_millicores
            / _MILLICORES_PER_CORE
            * run_times.predict_ms(queue.name, step.estimated_ms)
            for count, step in zip(counts, job.steps, strict=True)
        )

    def _critical_path_ms(
        self, job: ttypes.Job, queue: ttypes.Queue, *, done: Collection[int]
    ) -> float:
        """Returns the length of the critical path of steps that are not done."""
        ends_ms: list[float] = []
        for number, step in enumerate(job.steps):
            begin_ms = max((ends_ms[e] for e in step.after), default=0.0)
            run_ms = 0.0
            if number not in done:
                run_ms = self.run_times.predict_ms(
                    queue.name, step.estimated_ms
                )
            ends_ms.append(begin_ms + run_ms)
        return max(ends_ms)


def _start_unix_ms(job: ttypes.Job, occurrence_number: int) -> int:
    """Returns when an occurrence of a job was accepted or became due."""
    if not job.repeat_count:
        return job.accepted_unix_ms
    return job.first_due_unix_ms + occurrence_number * job.interval_ms
