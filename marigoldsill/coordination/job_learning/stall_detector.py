"""Detects workers whose runs use processor time without making progress.

Such a worker still answers, lists its runs and starts new ones. A single run may hang
by its own fault. If several hang at once and none makes progress, it is the worker's.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# A run has stalled after this time, or after this share of its run time if that is
# longer. The limit exceeds several listing intervals of a worker, and the time that a
# task needs for one percent of its work, which is the resolution of a listing.
_STALLED_S = 1.5
_STALLED_SHARE = 0.05
_MIN_STALLED_RUNS_COUNT = 2
# Without checkpoints, a run with more progress than this waits instead of restarting.
_RESTART_LIMIT_PERCENT = 50


@dataclasses.dataclass(slots=True, frozen=True)
class Stall:
    """A worker on which no run makes progress.

    Attributes:
        worker_id: The incarnation of the worker.
        agent: Its agent.
        runs_count: The number of stalled runs.
        worth_evicting: Stalled runs that would finish sooner on another worker.
    """

    worker_id: str
    agent: str
    runs_count: int
    worth_evicting: list[task_names.RunKey]


@dataclasses.dataclass(slots=True)
class _Progress:
    """The progress of a run, and when it was first reported.

    Attributes:
        percent: The finished share of its work.
        since_s: When a report first showed it.
    """

    percent: int
    since_s: float


class StallDetector:
    """Compares successive reports of all agents."""

    def __init__(self, urgency: urgency_module.Urgency):
        self._urgency = urgency
        self._progress: dict[str, dict[task_names.RunKey, _Progress]] = {}
        self._last_progress: dict[str, tuple[str, float]] = {}

    def find_stalls(
        self,
        jobs: job_tables.JobTables,
        views: Iterable[agents_module.AgentView],
    ) -> list[Stall]:
        """Returns stalled workers, according to the newest reports.

        Args:
            jobs: The jobs.
            views: Agents that have reported since the last call.
        """
        described = [view for view in views if view.worker is not None]
        for view in described:
            self._update_progress(view)
        stalls = (self._find_stall(jobs, view) for view in described)
        return [stall for stall in stalls if stall is not None]

    def made_progress(self, view: agents_module.AgentView) -> bool:
        """Returns whether the newest report shows a run that made progress."""
        progressed = (view.worker.worker_id, view.sampled_s)
        return self._last_progress.get(view.name) == progressed

    def _update_progress(self, view: agents_module.AgentView) -> None:
        before = self._progress.get(view.name, {})
        current: dict[task_names.RunKey, _Progress] = {}
        for key, sample in view.samples.items():
            known = before.get(key)
            if known is not None and known.percent == sample.percent:
                current[key] = known
                continue
            current[key] = _Progress(sample.percent, view.sampled_s)
            if known is not None:
                progressed = (view.worker.worker_id, view.sampled_s)
                self._last_progress[view.name] = progressed
        self._progress[view.name] = current

    def _last_progress_s(self, view: agents_module.AgentView) -> float:
        """Returns when a run last made progress on a worker; 0 if none did."""
        worker_id, progress_s = self._last_progress.get(view.name, ("", 0.0))
        return progress_s if worker_id == view.worker.worker_id else 0.0

    def _find_stall(
        self, jobs: job_tables.JobTables, view: agents_module.AgentView
    ) -> Stall | None:
        worker_id = view.worker.worker_id
        if view.sampled_s - self._last_progress_s(view) < _STALLED_S:
            return None
        stalled = {
            key: step
            for key, sample in view.samples.items()
            if (step := jobs.step_of(key[0])) is not None
            and self._has_stalled(jobs, view, key, sample, step)
        }
        if len(stalled) < _MIN_STALLED_RUNS_COUNT:
            return None
        worth_evicting = [
            key
            for key, step in stalled.items()
            if step.checkpointing
            or view.samples[key].percent < _RESTART_LIMIT_PERCENT
        ]
        return Stall(worker_id, view.name, len(stalled), worth_evicting)

    def _has_stalled(
        self,
        jobs: job_tables.JobTables,
        view: agents_module.AgentView,
        key: task_names.RunKey,
        sample: ttypes.RunSample,
        step: ttypes.Step,
    ) -> bool:
        if step.long_running or not sample.load or not sample.quota_percent:
            return False
        queue = jobs.jobs[task_names.parse(key[0]).job_id].job.queue
        run_ms = self._urgency.run_times.predict_ms(queue, step.estimated_ms)
        # With little processor time, each percent of the work takes longer.
        speed = min(1.0, sample.load / max(1, step.resources.cpu_millicores))
        limit_s = max(_STALLED_S, _STALLED_SHARE * run_ms / 1000 / speed)
        return (
            view.sampled_s - self._progress[view.name][key].since_s >= limit_s
        )
