"""Which job goes first: what its caller still waits for, in good time.

A caller is content while its job is over within its objective: the run time on
sound workers, stretched by what the queue allows, and the queue's target. Jobs
that can still make it go first, the one with the nearest objective before the
others. What is late already gives way to them, but is never left out.
"""

from collections.abc import Collection
import dataclasses

from marigoldsill.coordination.learning import run_times as run_times_module
from marigoldsill.protocol.generated import ttypes

# Later than so many times its objective, a job is of no use to its caller.
_LATE_OBJECTIVES = 3.0


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Rank:
    """How urgent a job is; the lowest goes first.

    Attributes:
        priority: Of its queue.
        lateness: 0 while it can make its objective, 1 while it is late, 2
            when it is too late.
        due_unix_ms: When its objective ends.
    """

    priority: int
    lateness: int
    due_unix_ms: float


class Urgency:
    """Ranks jobs by what was learnt of run times.

    Attributes:
        run_times: How long tasks of each queue take.
    """

    def __init__(self):
        self.run_times = run_times_module.RunTimes()

    def rank(
        self,
        record: ttypes.JobRecord,
        queue: ttypes.Queue,
        occurrence: ttypes.Occurrence,
        *,
        now_unix_ms: int,
    ) -> Rank:
        """How urgent one occurrence of a job is now."""
        job = record.job
        begun_unix_ms = job.accepted_unix_ms
        if job.repeat_count:
            begun_unix_ms = (
                job.first_due_unix_ms + occurrence.number * job.interval_ms
            )
        whole_ms = self._chain_ms(job, queue, done=())
        objective_ms = queue.stretch_ratio * whole_ms + queue.latency_target_ms
        done = [
            number
            for number, step in enumerate(occurrence.steps)
            if all(task.done for task in step.tasks)
        ]
        left_ms = self._chain_ms(job, queue, done=done)
        end_ms = now_unix_ms - begun_unix_ms + left_ms
        lateness = 0
        if end_ms > objective_ms:
            lateness = 1 + (end_ms > _LATE_OBJECTIVES * objective_ms)
        if job.steps[0].long_running:
            lateness = 0
        return Rank(queue.priority, lateness, begun_unix_ms + objective_ms)

    def _chain_ms(
        self, job: ttypes.Job, queue: ttypes.Queue, *, done: Collection[int]
    ) -> float:
        """The longest chain of steps that are not done, in milliseconds."""
        ends_ms: list[float] = []
        for number, step in enumerate(job.steps):
            begin_ms = max((ends_ms[e] for e in step.after), default=0.0)
            run_ms = 0.0
            if number not in done:
                run_ms = self.run_times.run_ms(queue.name, step.estimated_ms)
            ends_ms.append(begin_ms + run_ms)
        return max(ends_ms)
