"""How much room each agent's worker has left for tasks of jobs."""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.jobs import agents as agents_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


@dataclasses.dataclass(slots=True)
class Room:
    """The room of one worker.

    Attributes:
        agent: The worker's agent.
        worker: The worker as last reported.
        cpu_millicores: Processor time left.
        memory_bytes: Memory left.
        accelerators_count: Accelerators left.
        serving_count: Tasks on it that serve users of their own.
        fills_millicores: Processor time that tasks would like to take which
            get only what the others leave.
        by_step: How many runs of a step are on it.
    """

    agent: str
    worker: ttypes.PoolWorker
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    serving_count: int = 0
    fills_millicores: int = 0
    by_step: dict[tuple[str, int, int], int] = dataclasses.field(
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

    @property
    def unfilled_share(self) -> float:
        """Share of the worker that neither tasks nor fills would take."""
        left = self.cpu_millicores - self.fills_millicores
        return left / max(1, self.worker.capacity.cpu_millicores)

    def take(self, key: tuple[str, int, int], step: ttypes.Step) -> None:
        """Counts a run of a step's task."""
        wanted = step.resources
        if step.fills:
            self.fills_millicores += wanted.cpu_millicores
        else:
            self.cpu_millicores -= wanted.cpu_millicores
        self.serving_count += bool(step.tail_target_ms)
        self.memory_bytes -= wanted.memory_bytes
        self.accelerators_count -= wanted.accelerators_count
        self.by_step[key] = self.by_step.get(key, 0) + 1


def of_agent(jobs: job_tables.JobTables, view: agents_module.AgentView) -> Room:
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
    )
    for task, _ in jobs.runs_by_agent.get(view.name, ()):
        address = task_names.parse(task)
        record = jobs.jobs[address.job_id]
        key = (address.job_id, address.occurrence, address.step)
        room.take(key, record.job.steps[address.step])
    return room


def of_pool(rooms: Iterable[Room], pool: str) -> list[Room]:
    """The rooms of a pool's workers."""
    return [room for room in rooms if room.worker.pool == pool]
