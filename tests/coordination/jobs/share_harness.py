"""A leader with guaranteed shares, whose workers run tasks in simulated time."""

import contextlib
import math
import types

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import share_reclaimer
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

ROUND_S = 0.05
# Maximum time in which a worker stops an evicted run; every other run stops earlier.
STOP_S = 0.2


def step(
    tasks_count: int = 1, *, cores: float = 1, run_s: float = 1, **fields
) -> ttypes.Step:
    """Builds a step of tasks that run for a given time."""
    values = {"resources": leader_harness.resources(cores, 0)} | fields
    return builders.step(tasks_count, estimated_ms=int(run_s * 1000), **values)


class ShareHarness(leader_harness.LeaderHarness):
    """Runs rounds with the policies of some settings, and ends the runs.

    Attributes:
        granted_s: When each job got its first run.
        ended_s: When each job had ended.
        evicted: The evictions for shares, with their times.
        unreachable: Agents whose runs do not end.
        placed: The agent of each run that was granted.
    """

    def __init__(
        self,
        *queues: ttypes.Queue,
        ratios: dict[str, float] | None = None,
        reclaim_s: float = 2.0,
    ):
        super().__init__(*queues)
        self.ratios = ratios or {}
        self.reclaim_s = reclaim_s
        self.submitted_s: dict[str, float] = {}
        self.granted_s: dict[str, float] = {}
        self.ended_s: dict[str, float] = {}
        self.evicted: list[tuple[float, evictions.Eviction]] = []
        self.unreachable: set[str] = set()
        self.placed: dict[task_names.RunKey, str] = {}
        self._started_s: dict[task_names.RunKey, float] = {}
        self._stops_s: dict[task_names.RunKey, float] = {}
        self.replica = types.SimpleNamespace(
            lock=contextlib.nullcontext(), tables=self.state.tables
        )
        self.begin_term()

    def begin_term(self) -> None:
        """Starts anew, as another leader that has the same log."""
        settings = scheduling_settings.SchedulingSettings(
            shares=shares_module.ShareSettings(
                ratios=self.ratios, reclaim_s=self.reclaim_s
            )
            if self.ratios
            else None
        )
        self.backlog = backlog_module.Backlog()
        self.usage = usage_module.Usage()
        self.policies = settings.create_offer_policies()
        self.reclaimer = share_reclaimer.ShareReclaimer(
            settings.shares, self.policies
        )
        self.stopping: set[task_names.RunKey] = set()
        self.placement = placement_module.Placement(
            interference=self.interference,
            health=self.health,
            tickets=self.tickets,
            admits=self.reclaimer.admits,
        )
        jobs = self.state.tables.jobs
        jobs.changed_jobs.update(jobs.jobs)

    def submit(
        self, job_id: str, *steps: ttypes.Step, queue: str = builders.QUEUE
    ) -> None:
        job = builders.job(job_id, *steps)
        job.queue = queue
        job.accepted_unix_ms = self._now_unix_ms
        self.submitted_s[job_id] = self.now_s
        self.state.submit(job)

    def run_round(self) -> dict[str, str]:
        jobs = self.state.tables.jobs
        touched = jobs.pop_changed_jobs()
        self.backlog.refresh(jobs, touched, now_s=self.now_s)
        self.usage.refresh(jobs, touched)
        for name in self.placement.index.workers.keys() - self.views.keys():
            self.placement.index.remove(name)
        for view in self.views.values():
            self.placement.refresh(jobs, view, is_eligible=True)
        waiting = self.backlog.rank_steps(
            self.urgency, now_unix_ms=self._now_unix_ms
        )
        offered = waiting
        for policy in self.policies:
            offered = policy.offer(offered, self._context())
        grants = self.placement.place(offered, now_s=self.now_s)
        assert self.state.grant(*grants) == len(grants)
        self.reclaimer.reclaim(
            self.replica,
            waiting,
            grants,
            placement=self.placement,
            agents=self.views,
            evicted=self.stopping,
            evict=self._evict,
            now_s=self.now_s,
        )
        for grant in grants:
            self.placed[grant.task, grant.run] = grant.agent
            self._started_s[grant.task, grant.run] = self.now_s
            job_id = task_names.parse(grant.task).job_id
            self.granted_s.setdefault(job_id, self.now_s)
        return {grant.task: grant.agent for grant in grants}

    def _evict(self, runs: list[evictions.Eviction], share: str) -> None:
        """Records evictions, in place of the leader's `Evictor`."""
        for run in runs:
            assert run.key not in self.stopping
            self.stopping.add(run.key)
            self.evicted.append((self.now_s, run))
            stop_s = STOP_S if len(self.evicted) % 2 else STOP_S / 2
            self._stops_s[run.key] = self.now_s + stop_s

    def advance(self, duration_s: float) -> None:
        """Runs rounds for some time."""
        for _ in range(round(duration_s / ROUND_S)):
            self.now_s += ROUND_S
            self._end_runs()
            self.run_round()

    def run_ids(self, queue: str) -> list[task_names.RunKey]:
        """Returns the runs of a queue that may be alive."""
        jobs = self.state.tables.jobs
        return [
            key
            for runs in jobs.runs_by_agent.values()
            for key, live in runs.items()
            if jobs.jobs[live.address.job_id].job.queue == queue
        ]

    def wait_s(self, job_id: str) -> float:
        """Returns how long a job waited for its first run, so far."""
        granted_s = self.granted_s.get(job_id, self.now_s)
        return granted_s - self.submitted_s[job_id]

    @property
    def _now_unix_ms(self) -> int:
        return int(self.now_s * 1000)

    def _context(self) -> offer_policies.RoundContext:
        return offer_policies.RoundContext(
            usage=self.usage,
            capacity_of=self.placement.index.pool_capacity,
            urgency=self.urgency,
            now_s=self.now_s,
            now_unix_ms=self._now_unix_ms,
        )

    def _end_runs(self) -> None:
        jobs = self.state.tables.jobs
        for key, started_s in list(self._started_s.items()):
            if self.placed[key] in self.unreachable:
                continue
            run_step = jobs.step_of(key[0])
            if self.now_s >= self._stops_s.get(key, math.inf) - 1e-6:
                self._record_end(key, ttypes.RunEndKind.STOPPED)
            elif run_step is None or (
                not run_step.long_running
                and self.now_s >= started_s + run_step.estimated_ms / 1000
            ):
                self._record_end(key, ttypes.RunEndKind.DONE)

    def _record_end(
        self, key: task_names.RunKey, kind: ttypes.RunEndKind
    ) -> None:
        task, run = key
        del self._started_s[key]
        self.stopping.discard(key)
        self.record_end(builders.run_end(task, kind, run))
        job_id = task_names.parse(task).job_id
        record = self.state.tables.jobs.jobs[job_id]
        if record.state == ttypes.JobState.COMPLETED:
            self.ended_s[job_id] = self.now_s

    def lose_worker(self, agent: str) -> None:
        """Removes a worker, and records the loss of its runs."""
        del self.views[agent]
        for key, placed in list(self.placed.items()):
            if placed == agent and key in self._started_s:
                self._record_end(key, ttypes.RunEndKind.LOST)
