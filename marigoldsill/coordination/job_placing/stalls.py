"""Finds workers whose tasks stand still though they take processor time.

Such a worker answers, lists its runs and starts new ones, but nothing on it
advances. A single task may stand still by its own fault; several tasks at once,
with none that advances, are the worker's.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Longer than several lists of a worker are apart, and than a task needs for
# one percent of its work, which is all that a list tells.
_STILL_S = 1.5
_STILL_SHARE = 0.05
_LEAST_RUNS_COUNT = 2
# A task without checkpoints that is further than this rather waits.
_LOST_PERCENT = 50


@dataclasses.dataclass(slots=True, frozen=True)
class Stall:
    """A worker on which nothing advances.

    Attributes:
        worker_id: The life of the worker.
        agent: Its agent.
        runs_count: How many runs stand still.
        worth_moving: Those that would be done sooner elsewhere.
    """

    worker_id: str
    agent: str
    runs_count: int
    worth_moving: list[task_names.RunKey]


@dataclasses.dataclass(slots=True)
class _Seen:
    percent: int
    since_s: float


class Stalls:
    """Follows the reports of all agents."""

    def __init__(self, urgency: urgency_module.Urgency):
        self._urgency = urgency
        self._seen: dict[str, dict[task_names.RunKey, _Seen]] = {}
        self._advanced: dict[str, tuple[str, float]] = {}

    def look(
        self,
        jobs: job_tables.JobTables,
        views: Iterable[agents_module.AgentView],
    ) -> list[Stall]:
        """Those of some workers that stand still, by their newest reports.

        Args:
            jobs: The jobs.
            views: Agents that have reported since the last call.
        """
        listed = [view for view in views if view.worker is not None]
        for view in listed:
            self._follow(view)
        stalls = (self._stall_of(jobs, view) for view in listed)
        return [stall for stall in stalls if stall is not None]

    def advances(self, view: agents_module.AgentView) -> bool:
        """Whether something on a worker has advanced in its newest report."""
        advanced = (view.worker.worker_id, view.looked_s)
        return self._advanced.get(view.name) == advanced

    def _follow(self, view: agents_module.AgentView) -> None:
        before = self._seen.get(view.name, {})
        now: dict[task_names.RunKey, _Seen] = {}
        for key, look in view.looks.items():
            seen = before.get(key)
            if seen is not None and seen.percent == look.percent:
                now[key] = seen
                continue
            now[key] = _Seen(look.percent, view.looked_s)
            if seen is not None:
                advanced = (view.worker.worker_id, view.looked_s)
                self._advanced[view.name] = advanced
        self._seen[view.name] = now

    def _advanced_s(self, view: agents_module.AgentView) -> float:
        """When something last advanced on a worker; 0 if nothing did."""
        worker_id, advanced_s = self._advanced.get(view.name, ("", 0.0))
        return advanced_s if worker_id == view.worker.worker_id else 0.0

    def _stall_of(
        self, jobs: job_tables.JobTables, view: agents_module.AgentView
    ) -> Stall | None:
        worker_id = view.worker.worker_id
        if view.looked_s - self._advanced_s(view) < _STILL_S:
            return None
        still = {
            key: step
            for key, look in view.looks.items()
            if (step := jobs.step_of(key[0])) is not None
            and self._stands_still(jobs, view, key, look, step)
        }
        if len(still) < _LEAST_RUNS_COUNT:
            return None
        worth_moving = [
            key
            for key, step in still.items()
            if step.checkpointing or view.looks[key].percent < _LOST_PERCENT
        ]
        return Stall(worker_id, view.name, len(still), worth_moving)

    def _stands_still(
        self,
        jobs: job_tables.JobTables,
        view: agents_module.AgentView,
        key: task_names.RunKey,
        look: ttypes.RunLook,
        step: ttypes.Step,
    ) -> bool:
        if step.long_running or not look.load or not look.pace_percent:
            return False
        queue = jobs.jobs[task_names.parse(key[0]).job_id].job.queue
        run_ms = self._urgency.run_times.run_ms(queue, step.estimated_ms)
        # With little processor time a task takes longer for each percent.
        speed = min(1.0, look.load / max(1, step.resources.cpu_millicores))
        limit_s = max(_STILL_S, _STILL_SHARE * run_ms / 1000 / speed)
        return view.looked_s - self._seen[view.name][key].since_s >= limit_s
