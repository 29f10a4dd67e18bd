"""The tasks that wait for a worker in their preferred rack."""

from marigoldsill.coordination.job_locality import rack_affinity
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import capacity_index
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import worker_choice
from marigoldsill.protocol.generated import ttypes


class RackQueue:
    """The tasks that wait for a worker in their preferred rack."""

    def __init__(
        self,
        *,
        index: capacity_index.CapacityIndex,
        chooser: worker_choice.WorkerChooser,
        affinity: rack_affinity.RackAffinity,
    ):
        """Initializes the queue.

        Args:
            index: Workers on which tasks may start.
            chooser: Knows which workers a step may use.
            affinity: Decides how long tasks wait.
        """
        self._index = index
        self._chooser = chooser
        self._affinity = affinity

    def may_wait(self, step: ttypes.Step) -> bool:
        """Returns whether tasks of a step may wait for a rack at all."""
        return self._affinity.may_wait(step)

    def waits_unchanged(
        self, waiting: backlog_module.WaitingStep, index: int, now_s: float
    ) -> bool:
        """Returns whether a task waits for its rack, where nothing has changed."""
        return self._affinity.waits_unchanged(
            waiting.key,
            index,
            rack_version=self._rack_version(waiting),
            now_s=now_s,
        )

    def must_wait(
        self,
        waiting: backlog_module.WaitingStep,
        index: int,
        free: free_capacity.FreeCapacity,
        *,
        idle_limit_s: float,
        now_s: float,
    ) -> bool:
        """Returns whether a task waits rather than start on its best worker.

        Args:
            waiting: The step, whose tasks may wait.
            index: The index of the task.
            free: The best worker for it now.
            idle_limit_s: How long its job may be idle.
            now_s: The time of the round.
        """
        if free.worker.rack == waiting.step.preferred_rack:
            return False
        return self._affinity.must_wait(
            waiting.rack_task(index),
            accepts=self._chooser.prefers(waiting, index, now_s),
            idle_deadline_s=waiting.idle_since_s + idle_limit_s,
            used_share=self._index.used_share(waiting.queue.pool),
            rack_version=self._rack_version(waiting),
            now_s=now_s,
        )

    def _rack_version(self, waiting: backlog_module.WaitingStep) -> int:
        return self._index.rack_version(
            waiting.queue.pool, waiting.step.preferred_rack
        )
