"""How much room each agent's worker has left for tasks of jobs."""

import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import sharing as sharing_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Tasks that serve use about half of what they ask for, with a swing of half of
# that; the rest is left to tasks that fill.
_SERVING_USED_SHARE = 0.6
_TENTHS = 10


@dataclasses.dataclass(slots=True)
class Room:
    """The room of one worker.

    Attributes:
        agent: The worker's agent.
        worker: The worker as last reported.
        cpu_millicores: Processor time left.
        memory_bytes: Memory left.
        accelerators_count: Accelerators left.
        serving: Tasks on it that serve users of their own.
        unused_millicores: Processor time that is probably left to tasks that
            fill, beside those that are there.
        by_step: How many runs of a step are on it.
    """

    agent: str
    worker: ttypes.PoolWorker
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    serving: list[sharing_module.Serving]
    unused_millicores: float
    by_step: dict[task_names.StepKey, int] = dataclasses.field(
        default_factory=dict
    )

    def fits(self, step: ttypes.Step) -> bool:
        """Whether a task of a step fits beside what is there."""
        wanted = step.resources
        return (
            (step.fills or wanted.cpu_millicores <= self.cpu_millicores)
            and wanted.memory_bytes <= self.memory_bytes
            and wanted.accelerators_count <= self.accelerators_count
        )

    def takes(self, step: ttypes.Step, pool: str) -> bool:
        """Whether its worker takes tasks of a step, and one fits now."""
        label = step.required_label
        return (
            self.worker.pool == pool
            and not self.worker.draining
            and (not label or label in self.worker.labels)
            and self.fits(step)
        )

    def copy(self) -> "Room":
        """A room to try out what fits, with no effect on this one."""
        return dataclasses.replace(
            self, serving=list(self.serving), by_step=dict(self.by_step)
        )

    @property
    def unused_share(self) -> float:
        """Share of the worker that is probably left to tasks that fill."""
        whole = max(1, self.worker.capacity.cpu_millicores)
        return self.unused_millicores / whole

    def share_of(self, millicores: float) -> float:
        """Tenths of the worker that some processor time is."""
        whole = max(1, self.worker.capacity.cpu_millicores)
        return _TENTHS * millicores / whole

    def take(self, key: task_names.StepKey, step: ttypes.Step) -> None:
        """Counts a run of a step's task."""
        wanted = step.resources
        used_share = _SERVING_USED_SHARE if step.tail_target_ms else 1.0
        self.unused_millicores -= wanted.cpu_millicores * used_share
        if not step.fills:
            self.cpu_millicores -= wanted.cpu_millicores
        self.memory_bytes -= wanted.memory_bytes
        self.accelerators_count -= wanted.accelerators_count
        self.by_step[key] = self.by_step.get(key, 0) + 1


def of_agent(
    jobs: job_tables.JobTables,
    view: agents_module.AgentView,
    sharing: sharing_module.Sharing,
) -> Room:
    """The room of an agent's worker beside all runs that may be alive.

    Runs that were granted to an earlier life of the worker count as well:
    whether they are over is known only when their end is recorded.
    """
    capacity = view.worker.capacity
    room = Room(
        agent=view.name,
        worker=view.worker,
        cpu_millicores=capacity.cpu_millicores,
        memory_bytes=capacity.memory_bytes,
        accelerators_count=capacity.accelerators_count,
        serving=[],
        unused_millicores=capacity.cpu_millicores,
    )
    filling: list[tuple[str, float]] = []
    serving: list[tuple[str, ttypes.Step, ttypes.RunLook | None]] = []
    for task, run in jobs.runs_by_agent.get(view.name, ()):
        address = task_names.parse(task)
        step = jobs.jobs[address.job_id].job.steps[address.step]
        room.take(address.step_key, step)
        if step.fills:
            share = room.share_of(step.resources.cpu_millicores)
            filling.append((step.image, share))
        if step.tail_target_ms:
            serving.append((address.job_id, step, view.looks.get((task, run))))
    room.serving = [
        sharing.serving(job_id, step, look, filling)
        for job_id, step, look in serving
    ]
    return room
