"""Evicts throttled best-effort runs that would run faster on another worker."""

from collections.abc import Callable
import dataclasses
import itertools

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# A run that has been throttled below this quota for this long is as good as stopped.
_SLOW_QUOTA_PERCENT = 30
_SLOW_FOR_S = 1.5
# Without checkpoints, only a run that has just started, with less progress than this,
# is worth restarting.
_RESTART_LIMIT_PERCENT = 15
# Maximum number of evictions in one round. It is small, as each eviction changes which
# worker is best for the other runs.
_EVICTIONS_LIMIT = 4
# Maximum number of runs checked in one round; the others stay in the queue.
_CHECKS_LIMIT = 64


@dataclasses.dataclass(slots=True, frozen=True)
class _SlowRun:
    """A slow run that is worth restarting on another worker.

    Attributes:
        agent: The agent on whose worker it runs.
        step: The step of its task.
        pool: The pool of its worker.
    """

    agent: str
    step: ttypes.Step
    pool: str


class Relocation:
    """Finds runs that have been slow for some time, from the agents' reports."""

    def __init__(self):
        self._slow_since_s: dict[str, dict[task_names.RunKey, float]] = {}
        self._due: dict[task_names.RunKey, _SlowRun] = {}

    def observe(
        self, jobs: job_tables.JobTables, view: agents_module.AgentView
    ) -> None:
        """Updates the slow runs from the newest report of an agent."""
        before = self._slow_since_s.get(view.name, {})
        slow_since_s = {
            key: before.get(key, view.sampled_s)
            for key, sample in view.samples.items()
            if sample.quota_percent < _SLOW_QUOTA_PERCENT
        }
        self._slow_since_s[view.name] = slow_since_s
        for key in before.keys() - slow_since_s.keys():
            self._due.pop(key, None)
        for key, since_s in slow_since_s.items():
            if view.sampled_s - since_s < _SLOW_FOR_S:
                continue
            run = _find_restartable(jobs, view, key)
            if run is not None:
                # A run that is already due keeps its place in the queue.
                self._due[key] = run

    def choose_evictions(
        self,
        placement: placement_module.Placement,
        *,
        now_s: float,
        is_evicted: Callable[[task_names.RunKey], bool],
    ) -> list[evictions.Eviction]:
        """Returns the runs to evict now, those due longest first.

        Args:
            placement: Finds and reserves other workers.
            now_s: The time of the round.
            is_evicted: Whether a run has been evicted before.
        """
        chosen: list[evictions.Eviction] = []
        for key in list(itertools.islice(self._due, _CHECKS_LIMIT)):
            if len(chosen) >= _EVICTIONS_LIMIT:
                break
            run = self._due.pop(key)
            if is_evicted(key):
                continue
            step_key = task_names.parse(key[0]).step_key
            free = placement.find_other_worker(
                step_key, run.step, run.pool, agent=run.agent, now_s=now_s
            )
            if free is not None:
                placement.reserve(free, step_key, run.step)
                chosen.append(evictions.Eviction(key, run.agent, free.agent))
        return chosen


def _find_restartable(
    jobs: job_tables.JobTables,
    view: agents_module.AgentView,
    key: task_names.RunKey,
) -> _SlowRun | None:
    """Returns a slow run if it is worth restarting on another worker, or None."""
    step = jobs.step_of(key[0])
    if step is None or view.worker is None:
        return None
    if (
        not step.checkpointing
        and view.samples[key].percent >= _RESTART_LIMIT_PERCENT
    ):
        return None
    record = jobs.jobs[task_names.parse(key[0]).job_id]
    if jobs.queue_of(record).advised:
        # Other workers are known only after the adviser has answered.
        return None
    return _SlowRun(view.name, step, view.worker.pool)
