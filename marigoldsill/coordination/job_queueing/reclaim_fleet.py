"""The workers, runs and shares on which decisions to reclaim capacity are based."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# A task without checkpoints that has been started this often keeps its run, so that it
# ends at some time.
_RUNS_LIMIT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class DueStep:
    """A step some of whose tasks wait in spite of a guarantee, and have for a while.

    Attributes:
        waiting: The step.
        key: Its share.
        waited_s: How long it has waited while its share was below its guarantee.
    """

    waiting: backlog_module.WaitingStep
    key: shares_module.ShareKey
    waited_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RunningTask:
    """A run that may be alive on a worker.

    Attributes:
        key: Its task and run number.
        agent: The agent of the worker.
        step: The requirements of its task.
        share: The share of its queue.
        is_ending: Whether it has been told to stop.
        lost_core_ms: The core time that an eviction would lose.
    """

    key: task_names.RunKey
    agent: str
    step: ttypes.Step
    share: shares_module.ShareKey
    is_ending: bool
    lost_core_ms: float

    @property
    def is_evictable(self) -> bool:
        """Whether it may be evicted, and its capacity be given to others.

        An absent long-running task costs its users more than any wait. Members of a
        gang would take the whole gang with them.
        """
        if self.is_ending or self.step.long_running or self.step.gang:
            return False
        return self.step.checkpointing or self.key[1] < _RUNS_LIMIT

    @property
    def eviction_order(self) -> tuple:
        """Sorts runs by what an eviction costs, the cheapest first."""
        step = self.step
        return not step.best_effort, not step.checkpointing, self.lost_core_ms


@dataclasses.dataclass(slots=True)
class Fleet:
    """What a decision is based on.

    Attributes:
        workers: The free capacity of some workers on which tasks may start.
        runs: The runs on each of these workers.
        statuses: What each share uses and is guaranteed.
        ending: What each share will give back by runs that have to stop.
        claims: What is being reclaimed already.
        accepts: Whether a step may start on a worker apart from its capacity.
        now_s: The time now.
    """

    workers: Sequence[free_capacity.FreeCapacity]
    runs: Mapping[str, Sequence[RunningTask]]
    statuses: Mapping[shares_module.ShareKey, shares_module.ShareStatus]
    ending: Mapping[shares_module.ShareKey, ttypes.Resources]
    claims: claims_module.Claims
    accepts: Callable[
        [backlog_module.WaitingStep, free_capacity.FreeCapacity], bool
    ]
    now_s: float


@dataclasses.dataclass(slots=True)
class SpareCapacity:
    """What one worker has left once all runs that end have ended.

    Attributes:
        cpu_millicores: Processor time that no task has reserved.
        idle_millicores: Processor time that tasks are expected to leave unused.
        memory_bytes: Memory that no task has reserved.
        accelerators_count: Accelerators that no task has reserved.
    """

    cpu_millicores: float
    idle_millicores: float
    memory_bytes: int
    accelerators_count: int

    def change(self, step: ttypes.Step, *, sign: int) -> None:
        """Adds (sign 1) or subtracts (sign -1) the resources of one task."""
        required = step.resources
        if not step.best_effort:
            self.cpu_millicores += sign * required.cpu_millicores
        self.idle_millicores += sign * required.cpu_millicores
        self.memory_bytes += sign * required.memory_bytes
        self.accelerators_count += sign * required.accelerators_count

    def change_by_eviction(
        self, evicted: ttypes.Step, *, step: ttypes.Step, sign: int
    ) -> None:
        """Adds or subtracts what an evicted run would leave to a task.

        Best-effort tasks reserve no processor time, so the next task of the borrower
        would reserve again what the evicted run reserved.

        Args:
            evicted: The step of the run.
            step: The step of the task.
            sign: 1 to add, -1 to subtract.
        """
        idle_millicores = self.idle_millicores
        self.change(evicted, sign=sign)
        if step.best_effort and not evicted.best_effort:
            self.idle_millicores = idle_millicores

    def fits(self, step: ttypes.Step) -> bool:
        """Returns whether one task of a step fits."""
        required = step.resources
        millicores = (
            self.idle_millicores if step.best_effort else self.cpu_millicores
        )
        return (
            required.cpu_millicores <= millicores
            and required.memory_bytes <= self.memory_bytes
            and required.accelerators_count <= self.accelerators_count
        )
