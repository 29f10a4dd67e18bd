"""Samples the run times of runs that had their full speed throughout.

The time of a run outside of its task's preferred rack is converted to what it would have
taken there.
"""

from collections.abc import Iterable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import state_machine
from marigoldsill.transport import clock

# Thresholds of full speed. The run time of a run that was throttled, or used less
# processor time than declared, depends on the load of its worker and not only on its
# task.
_FULL_QUOTA_PERCENT = 95
_FULL_USED_SHARE = 0.7
_RUNS_LIMIT = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class RunTimeSample:
    """The run time of a successful run.

    Attributes:
        queue: Its job's queue.
        estimated_ms: The run time that its step declared.
        run_ms: The time from its grant to the record of its end.
    """

    queue: str
    estimated_ms: int
    run_ms: float


@dataclasses.dataclass(slots=True)
class _TimedRun:
    """A run that is being timed."""

    queue: str
    estimated_ms: int
    cpu_millicores: int
    is_best_effort: bool
    granted_s: float
    preferred_rack: str = ""
    is_slowed: bool = False
    is_away: bool = False


class RunTimeSampler:
    """Times the runs of this term; called with the replica's lock held."""

    def __init__(self, *, remote_run_ratio: float = 1.0):
        """Creates a sampler without runs.

        Args:
            remote_run_ratio: Run time outside of the preferred rack, divided by the
                run time there.
        """
        self._remote_run_ratio = remote_run_ratio
        self._timed_runs: dict[task_names.RunKey, _TimedRun] = {}
        self._samples: list[RunTimeSample] = []

    def observe_command(
        self, jobs: job_tables.JobTables, command: ttypes.Command
    ) -> None:
        """Starts and stops timing runs that an applied command grants or ends."""
        match state_machine.body_of(command):
            case ttypes.GrantRuns(grants=grants):
                for grant in grants:
                    self._start_timing(jobs, grant)
            case ttypes.RecordRunEnds(ends=ends):
                for end in ends:
                    self._stop_timing(end)

    def exclude_slowed(self, views: Iterable[agents_module.AgentView]) -> None:
        """Excludes runs that the agents' reports show below their full speed."""
        for view in views:
            for key, sample in view.samples.items():
                run = self._timed_runs.get(key)
                if run is None:
                    continue
                if _is_slowed(run, sample):
                    run.is_slowed = True
                if run.preferred_rack and view.worker is not None:
                    run.is_away = view.worker.rack != run.preferred_rack

    def take_samples(self) -> list[RunTimeSample]:
        """Returns and clears the samples collected since the last call."""
        samples, self._samples = self._samples, []
        return samples

    def _start_timing(
        self, jobs: job_tables.JobTables, grant: ttypes.RunGrant
    ) -> None:
        address = task_names.parse(grant.task)
        step = jobs.step_of(grant.task)
        if step is None or step.long_running:
            return
        record = jobs.jobs[address.job_id]
        task = job_tables.find_task(record, address)
        # A run that resumes from a checkpoint is shorter than its task.
        if task is None or task.checkpoint_id:
            return
        self._timed_runs[grant.task, grant.run] = _TimedRun(
            record.job.queue,
            step.estimated_ms,
            step.resources.cpu_millicores,
            step.best_effort,
            clock.now_s(),
            step.preferred_rack,
        )
        if len(self._timed_runs) > _RUNS_LIMIT:
            del self._timed_runs[next(iter(self._timed_runs))]

    def _stop_timing(self, end: ttypes.RunEnd) -> None:
        run = self._timed_runs.pop((end.task, end.run), None)
        if run is None or run.is_slowed:
            return
        if end.kind == ttypes.RunEndKind.DONE:
            run_ms = (clock.now_s() - run.granted_s) * 1000
            if run.is_away:
                run_ms /= self._remote_run_ratio
            self._samples.append(
                RunTimeSample(run.queue, run.estimated_ms, run_ms)
            )


def _is_slowed(run: _TimedRun, sample: ttypes.RunSample) -> bool:
    if not run.is_best_effort or not sample.load:
        return False
    return (
        sample.quota_percent < _FULL_QUOTA_PERCENT
        or sample.load < _FULL_USED_SHARE * run.cpu_millicores
    )
