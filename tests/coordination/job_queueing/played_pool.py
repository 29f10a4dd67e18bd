"""Plays submitted jobs on real tables, backlog and placement in virtual time."""

from collections.abc import Callable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

LARGE, QUICK = "large", "quick"
QUEUES = (
    builders.queue(
        LARGE, priority=2, stretch_ratio=2.0, latency_target_ms=1_000
    ),
    builders.queue(QUICK, stretch_ratio=1.5, latency_target_ms=250),
)
ROUND_S = 0.1
_EPOCH_S = 1_000.0


@dataclasses.dataclass(slots=True)
class JobTimes:
    """When a job was accepted, first granted a run, and completed."""

    accepted_s: float
    started_s: float | None = None
    ended_s: float | None = None


def large_job(
    job_id: str,
    *,
    run_s: float = 2.0,
    cores: float = 2.0,
    width: int = 20,
    steps_count: int = 2,
    estimate_ratio: float = 1.0,
) -> ttypes.Job:
    """Builds a best-effort job of wide steps, one after the other."""
    steps = [
        builders.step(
            width,
            **leader_harness.best_effort_fields(cores=cores),
            estimated_ms=int(1000 * run_s * estimate_ratio),
            after=[number - 1] if number else [],
        )
        for number in range(steps_count)
    ]
    return ttypes.Job(job_id=job_id, queue=LARGE, command="c", steps=steps)


def quick_job(job_id: str) -> ttypes.Job:
    """Builds a job of four short tasks with reserved capacity."""
    step = builders.step(
        4, resources=leader_harness.resources(0.5), estimated_ms=1_000
    )
    return ttypes.Job(job_id=job_id, queue=QUICK, command="c", steps=[step])


class PlayedPool:
    """A leader's decisions and workers whose tasks run for a given time.

    Attributes:
        now_s: The time since the beginning.
        times: The times of each job.
        held_jobs: The jobs held back in the last round.
    """

    def __init__(
        self,
        policy: offer_policies.OfferPolicy | None = None,
        *,
        workers_count: int = 4,
        cores: int = 16,
    ):
        self.state = builders.State(*QUEUES)
        self.now_s = 0.0
        self.times: dict[str, JobTimes] = {}
        self.held_jobs: set[str] = set()
        self._ends_s: dict[task_names.RunKey, float] = {}
        self._run_s: dict[str, float] = {}
        self._views = {
            f"a{number}": agents_module.AgentView(
                f"a{number}",
                worker=ttypes.PoolWorker(
                    worker_id=f"a{number}-incarnation1",
                    pool=builders.POOL,
                    rack="r1",
                    labels=[],
                    capacity=leader_harness.resources(cores, 64),
                ),
            )
            for number in range(workers_count)
        }
        self.change_leader(policy)

    def change_leader(self, policy: offer_policies.OfferPolicy | None) -> None:
        """Begins a new term: everything but the tables starts anew."""
        self._policy = policy
        self._backlog = backlog_module.Backlog()
        self._usage = usage_module.Usage()
        self.urgency = urgency_module.Urgency()
        self._placement = placement_module.Placement(
            interference=interference_model.InterferenceModel(),
            health=worker_health.WorkerHealth(),
            tickets=tickets_module.Tickets(),
        )
        jobs = self.state.tables.jobs
        jobs.pop_changed_jobs()
        self._refresh(set(jobs.jobs))

    def submit(self, job: ttypes.Job, *, run_s: float) -> None:
        """Submits a job whose tasks run for the given time."""
        self.times[job.job_id] = JobTimes(self.now_s)
        self._run_s[job.job_id] = run_s
        self.state.apply(
            at_unix_ms=self._now_unix_ms(), submit_job=ttypes.SubmitJob(job=job)
        )

    def lose_worker(self, agent: str) -> None:
        """Ends a worker with all of its runs."""
        del self._views[agent]
        self._placement.index.remove(agent)
        lost = self.state.tables.jobs.runs_by_agent.get(agent, {})
        self._record_ends(list(lost), ttypes.RunEndKind.LOST)

    def play(
        self,
        until_s: float,
        before_round: Callable[["PlayedPool"], None] = lambda _: None,
    ) -> None:
        """Runs rounds until a time.

        Args:
            until_s: The time.
            before_round: Called before each round, for example to submit jobs.
        """
        while self.now_s < until_s:
            before_round(self)
            self._run_round()
            self.now_s += ROUND_S

    def under_way(self) -> list[str]:
        """Returns the jobs that have started and not ended."""
        return [
            job_id
            for job_id, times in self.times.items()
            if times.started_s is not None and times.ended_s is None
        ]

    def in_time_count(self, prefix: str, objective_s: float) -> int:
        """Returns how many jobs ended within their objective."""
        return sum(
            times.ended_s is not None
            and times.ended_s - times.accepted_s <= objective_s
            for job_id, times in self.times.items()
            if job_id.startswith(prefix)
        )

    def rank_waiting(self) -> list[backlog_module.WaitingStep]:
        """Returns the waiting steps, the most urgent first."""
        self._refresh(self.state.tables.jobs.pop_changed_jobs())
        return self._backlog.rank_steps(
            self.urgency, now_unix_ms=self._now_unix_ms()
        )

    def context(self) -> offer_policies.RoundContext:
        """Returns what a policy may look at now."""
        return offer_policies.RoundContext(
            usage=self._usage,
            capacity_of=self._placement.index.pool_capacity,
            urgency=self.urgency,
            now_s=_EPOCH_S + self.now_s,
            now_unix_ms=self._now_unix_ms(),
        )

    def _run_round(self) -> None:
        due = [key for key, end_s in self._ends_s.items() if end_s < self.now_s]
        self._record_ends(due, ttypes.RunEndKind.DONE)
        jobs = self.state.tables.jobs
        for view in self._views.values():
            self._placement.refresh(jobs, view, is_eligible=True)
        waiting = self.rank_waiting()
        offered = waiting
        if self._policy is not None:
            offered = self._policy.offer(waiting, self.context())
        self.held_jobs = {w.key[0] for w in waiting}
        self.held_jobs -= {step.key[0] for step in offered}
        grants = self._placement.place(offered, now_s=_EPOCH_S + self.now_s)
        assert self.state.grant(*grants) == len(grants)
        self._placement.update_pending_grants(grants, is_decided=True)
        for grant in grants:
            job_id = task_names.parse(grant.task).job_id
            self._ends_s[grant.task, grant.run] = (
                self.now_s + self._run_s[job_id]
            )
            if self.times[job_id].started_s is None:
                self.times[job_id].started_s = self.now_s

    def _refresh(self, job_ids: set[str]) -> None:
        jobs = self.state.tables.jobs
        self._backlog.refresh(jobs, job_ids, now_s=_EPOCH_S + self.now_s)
        self._usage.refresh(jobs, job_ids)

    def _record_ends(
        self, keys: list[task_names.RunKey], kind: ttypes.RunEndKind
    ) -> None:
        for task, run in keys:
            del self._ends_s[task, run]
            self.state.end(builders.run_end(task, kind, run))
            job_id = task_names.parse(task).job_id
            if self.state.state_of(job_id) == ttypes.JobState.COMPLETED:
                self.times[job_id].ended_s = self.now_s

    def _now_unix_ms(self) -> int:
        return int(1000 * (_EPOCH_S + self.now_s))
