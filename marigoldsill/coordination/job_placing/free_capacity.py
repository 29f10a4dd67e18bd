"""Free capacity of one worker, net of every run that may be alive on it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from marigoldsill.coordination.job_locality import rack_forecast
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# Share of its declared processor time that a latency-critical task uses at peak load;
# the rest is available to best-effort tasks.
LATENCY_CRITICAL_USED_SHARE = 0.6
_TENTHS_PER_WORKER = 10


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """The free capacity of one worker.

    Attributes:
        agent: The worker's agent.
        worker: The worker as last reported.
        cpu_millicores: Processor time that no task has reserved.
        memory_bytes: Memory that no task has reserved.
        accelerators_count: Accelerators that no task has reserved.
        latency_critical: Its latency-critical tasks.
        idle_millicores: Processor time that tasks are expected to leave unused.
        runs_by_step: Number of runs on it, by step.
        starts_limit: How many more runs may start before it is refreshed; None
            without a limit.
        ramp_starts_left: How many more runs may start before it is refreshed as
            long as another worker fits them; None without such a limit.
        expected_ends: When its runs are expected to end, if tasks wait for racks.
    """

    agent: str
    worker: ttypes.PoolWorker
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    latency_critical: list[interference_model.LatencyCriticalTask]
    idle_millicores: float
    runs_by_step: dict[task_names.StepKey, int] = dataclasses.field(
        default_factory=dict
    )
    starts_limit: int | None = None
    ramp_starts_left: int | None = None
    expected_ends: dict[task_names.RunKey, rack_forecast.ExpectedEnd] = (
        dataclasses.field(default_factory=dict)
    )

    def fits(self, step: ttypes.Step) -> bool:
        """Returns whether the resources of one task of a step are free."""
        required = step.resources
        return (
            required.memory_bytes <= self.memory_bytes
            and (
                step.best_effort
                or required.cpu_millicores <= self.cpu_millicores
            )
            and required.accelerators_count <= self.accelerators_count
            and self.starts_limit != 0
        )

    def admits(self, step: ttypes.Step, pool: str) -> bool:
        """Returns whether the worker may run a step's tasks, and one fits now."""
        label = step.required_label
        return (
            self.fits(step)
            and self.worker.pool == pool
            and not self.worker.draining
            and (not label or label in self.worker.labels)
        )

    def is_within_spread_limit(
        self, key: task_names.StepKey, step: ttypes.Step
    ) -> bool:
        """Returns whether one more task of a step is within its limit for a worker."""
        limit = step.spread_limit
        return not limit or self.runs_by_step.get(key, 0) < limit

    def could_run(self, step: ttypes.Step) -> bool:
        """Returns whether a task of a step would fit on the worker if it were idle."""
        required, capacity = step.resources, self.worker.capacity
        label = step.required_label
        return (
            required.memory_bytes <= capacity.memory_bytes
            and required.accelerators_count <= capacity.accelerators_count
            and (
                step.best_effort
                or required.cpu_millicores <= capacity.cpu_millicores
            )
            and not self.worker.draining
            and (not label or label in self.worker.labels)
        )

    def copy(self) -> "FreeCapacity":
        """Returns an independent copy, for tentative reservations."""
        return dataclasses.replace(
            self,
            latency_critical=list(self.latency_critical),
            runs_by_step=dict(self.runs_by_step),
        )

    @property
    def is_within_ramp(self) -> bool:
        """Whether its ramp allows one more run."""
        return self.ramp_starts_left is None or self.ramp_starts_left > 0

    @property
    def capacity_millicores(self) -> int:
        """Processor time of the whole worker, at least 1."""
        return max(1, self.worker.capacity.cpu_millicores)

    @property
    def idle_share(self) -> float:
        """Share of the worker's processor time that is expected to be unused."""
        return self.idle_millicores / self.capacity_millicores

    def to_worker_tenths(self, millicores: float) -> float:
        """Converts processor time to tenths of the worker's processor time."""
        return _TENTHS_PER_WORKER * millicores / self.capacity_millicores

    def reserve(
        self,
        key: task_names.StepKey,
        step: ttypes.Step,
        model: interference_model.InterferenceModel,
    ) -> None:
        """Reserves the resources of one more task of a step.

        Args:
            key: The step.
            step: The requirements of its tasks.
            model: The learnt interference between images.
        """
        self._subtract_task(key, step)
        if self.starts_limit is not None:
            self.starts_limit = max(0, self.starts_limit - 1)
        if self.ramp_starts_left is not None:
            self.ramp_starts_left -= 1
        if step.tail_target_ms:
            self.latency_critical.append(model.unsampled_task(step))
        if not step.best_effort:
            return
        tenths = self.to_worker_tenths(step.resources.cpu_millicores)
        self.latency_critical = [
            interference_model.LatencyCriticalTask(
                task.image,
                task.usual_utilization
                + model.added_utilization(task.image, step.image, tenths),
                task.current_utilization
                + model.added_utilization_upper_bound(
                    task.image, step.image, tenths
                ),
            )
            for task in self.latency_critical
        ]

    def _subtract_task(
        self, key: task_names.StepKey, step: ttypes.Step
    ) -> None:
        required = step.resources
        used_share = LATENCY_CRITICAL_USED_SHARE if step.tail_target_ms else 1.0
        self.idle_millicores -= required.cpu_millicores * used_share
        if not step.best_effort:
            self.cpu_millicores -= required.cpu_millicores
        self.memory_bytes -= required.memory_bytes
        self.accelerators_count -= required.accelerators_count
        self.runs_by_step[key] = self.runs_by_step.get(key, 0) + 1


def compute_for_agent(
    jobs: job_tables.JobTables,
    view: agents_module.AgentView,
    model: interference_model.InterferenceModel,
    *,
    pending: Iterable[ttypes.RunGrant] = (),
) -> FreeCapacity:
    """Computes the free capacity of an agent's worker.

    Runs that were granted to an earlier incarnation of the worker count as well: they
    may be alive until their end is recorded.

    Args:
        jobs: The jobs, with the runs that may be alive.
        view: The agent, with a worker.
        model: The learnt interference between images.
        pending: Grants to the agent that are not known to be applied; those already
            in `jobs` are not counted twice.
    """
    capacity = view.worker.capacity
    free = FreeCapacity(
        agent=view.name,
        worker=view.worker,
        cpu_millicores=capacity.cpu_millicores,
        memory_bytes=capacity.memory_bytes,
        accelerators_count=capacity.accelerators_count,
        latency_critical=[],
        idle_millicores=capacity.cpu_millicores,
    )
    best_effort: list[tuple[str, float]] = []
    latency_critical: list[
        tuple[str, ttypes.Step, ttypes.RunSample | None]
    ] = []
    for key, address in _find_live_runs(jobs, view.name, pending):
        step = jobs.jobs[address.job_id].job.steps[address.step]
        free._subtract_task(address.step_key, step)
        if step.best_effort:
            tenths = free.to_worker_tenths(step.resources.cpu_millicores)
            best_effort.append((step.image, tenths))
        if step.tail_target_ms:
            sample = view.samples.get(key)
            latency_critical.append((address.job_id, step, sample))
    free.latency_critical = [
        model.predict_task(job_id, step, sample, best_effort)
        for job_id, step, sample in latency_critical
    ]
    return free


def expect_run_ends(
    jobs: job_tables.JobTables,
    view: agents_module.AgentView,
    *,
    pending: Iterable[ttypes.RunGrant],
    before: Mapping[task_names.RunKey, rack_forecast.ExpectedEnd],
    predict_run_s: Callable[[str, ttypes.Step, str], float],
    now_s: float,
) -> dict[task_names.RunKey, rack_forecast.ExpectedEnd]:
    """Returns when the runs on an agent's worker are expected to end.

    A run is predicted once, when it is first seen: by its progress if the worker has
    reported it, else as if it began now.

    Args:
        jobs: The jobs, with the runs that may be alive.
        view: The agent, with a worker.
        pending: Grants to the agent that are not known to be applied.
        before: The expected ends of runs seen before.
        predict_run_s: Predicts a run time from a queue, a step and a rack.
        now_s: The time now.
    """
    ends = {}
    for key, address in _find_live_runs(jobs, view.name, pending):
        end = before.get(key)
        if end is None:
            job = jobs.jobs[address.job_id].job
            step = job.steps[address.step]
            run_s = math.inf
            if not step.long_running:
                run_s = predict_run_s(job.queue, step, view.worker.rack)
                sample = view.samples.get(key)
                if sample is not None:
                    run_s *= 1 - sample.percent / 100
            end = rack_forecast.ExpectedEnd(
                now_s + run_s, step.resources.cpu_millicores, step.best_effort
            )
        ends[key] = end
    return ends


def _find_live_runs(
    jobs: job_tables.JobTables,
    agent: str,
    pending: Iterable[ttypes.RunGrant],
) -> list[tuple[task_names.RunKey, task_names.TaskAddress]]:
    """Returns the runs that may be or become alive on an agent's worker."""
    live = jobs.runs_by_agent.get(agent, {})
    runs = [(key, run.address) for key, run in live.items()]
    for grant in pending:
        key = (grant.task, grant.run)
        step = jobs.step_of(grant.task)
        if key not in live and step is not None:
            runs.append((key, task_names.parse(grant.task)))
    return runs
