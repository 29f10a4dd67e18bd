"""Plays callers, admission and placement on a virtual clock, without a network.

Run times are learnt from the runs that end, as by a leader.
"""

from collections.abc import Iterable
import dataclasses
import heapq
import itertools

from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import load_publisher
from marigoldsill.coordination.job_admission import waiting_jobs
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

TERM = 1
_TICK_S = 0.05
_START_S = 100.0


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A caller that submits a job.

    Attributes:
        at_s: When it submits, in seconds from the start.
        queue: The name of the queue.
        job: The job.
        run_s: The run time of each task.
    """

    at_s: float
    queue: str
    job: ttypes.Job
    run_s: float


@dataclasses.dataclass(slots=True)
class Caller:
    """What a caller got.

    Attributes:
        submitted_s: When it submitted its job, each time.
        rejections: The answers to the submissions that were not accepted.
        accepted_s: When the job was accepted, or None.
        ended_s: When the job ended, or None.
    """

    submitted_s: list[float] = dataclasses.field(default_factory=list)
    rejections: list[admission_module.Rejection] = dataclasses.field(
        default_factory=list
    )
    accepted_s: float | None = None
    ended_s: float | None = None

    def is_done_within(self, limit_s: float) -> bool:
        """Whether the job ended so long after its accepted submission."""
        return (
            self.ended_s is not None
            and self.ended_s - self.accepted_s <= limit_s
        )


class Play:
    """One play; callers return at the time that they were told."""

    def __init__(
        self,
        queues: Iterable[ttypes.Queue],
        *,
        workers_count: int,
        settings: admission_settings.AdmissionSettings,
        returns_limit: int = 3,
    ):
        self.harness = leader_harness.LeaderHarness(*queues)
        for number in range(workers_count):
            self.harness.set_worker(f"a{number}", cores=8)
        self.admission = admission_module.Admission(
            settings, urgency=self.harness.urgency
        )
        self.admission.begin_term(TERM)
        self.callers: dict[str, Caller] = {}
        self.max_waiting_count = 0
        self._returns_limit = returns_limit
        self._publisher = load_publisher.LoadPublisher(term=TERM, now_s=0.0)
        self._stale = set(self.harness.views)
        self._run_s: dict[str, float] = {}
        self._ends: list[tuple[float, int, ttypes.RunEnd, str]] = []
        self._numbers = itertools.count()

    def run(self, arrivals: Iterable[Arrival], *, length_s: float) -> None:
        """Plays arrivals and the callers' returns."""
        pending = [(a.at_s, next(self._numbers), a) for a in arrivals]
        heapq.heapify(pending)
        self._run_s = {a.job.job_id: a.run_s for _, _, a in pending}
        for tick in range(round(length_s / _TICK_S)):
            now_s = tick * _TICK_S
            while pending and pending[0][0] <= now_s:
                arrival = heapq.heappop(pending)[2]
                return_s = self._submit(arrival, now_s)
                if return_s is not None:
                    again = dataclasses.replace(arrival, at_s=return_s)
                    heapq.heappush(
                        pending, (return_s, next(self._numbers), again)
                    )
            self._end_runs(now_s)
            self._run_round(now_s)

    def _submit(self, arrival: Arrival, now_s: float) -> float | None:
        """Submits a job; returns when its caller returns, if it does."""
        job_id = arrival.job.job_id
        job = _copy(arrival.job)
        job.queue = arrival.queue
        caller = self.callers.setdefault(job_id, Caller())
        caller.submitted_s.append(now_s)
        queue = self.harness.state.tables.jobs.queues[arrival.queue]
        rejection = self.admission.judge(
            job, queue, term=TERM, now_s=_START_S + now_s
        )
        if rejection is not None:
            caller.rejections.append(rejection)
            if len(caller.rejections) > self._returns_limit:
                return None
            return now_s + rejection.retry_after_ms / 1_000
        caller.accepted_s = now_s
        self.harness.state.apply(
            at_unix_ms=_unix_ms(now_s), submit_job=ttypes.SubmitJob(job=job)
        )
        self.admission.end_proposal(
            job_id,
            term=TERM,
            outcome=waiting_jobs.ProposalOutcome.DECIDED,
        )
        self.max_waiting_count = max(
            self.max_waiting_count, self.admission.waiting_count
        )
        return None

    def _end_runs(self, now_s: float) -> None:
        state = self.harness.state
        while self._ends and self._ends[0][0] <= now_s:
            _, _, end, agent = heapq.heappop(self._ends)
            job_id = end.task.split(".")[0]
            job = state.tables.jobs.jobs[job_id].job
            step = job.steps[0]
            self.harness.urgency.run_times.observe(
                job.queue,
                estimated_ms=step.estimated_ms,
                run_ms=self._run_s[job_id] * 1_000,
            )
            state.apply(
                at_unix_ms=_unix_ms(now_s),
                record_run_ends=ttypes.RecordRunEnds(ends=[end]),
            )
            self._stale.add(agent)
            if state.state_of(job_id) == ttypes.JobState.COMPLETED:
                self.callers[job_id].ended_s = now_s

    def _run_round(self, now_s: float) -> None:
        harness = self.harness
        jobs = harness.state.tables.jobs
        clock_s = _START_S + now_s
        touched = jobs.pop_changed_jobs()
        harness.backlog.refresh(jobs, touched, now_s=clock_s)
        self.admission.observe_jobs(jobs, touched)
        for agent in self._stale:
            harness.placement.refresh(
                jobs, harness.views[agent], is_eligible=True
            )
        self._stale = set()
        waiting = harness.backlog.rank_steps(
            harness.urgency, now_unix_ms=_unix_ms(now_s)
        )
        grants = harness.placement.place(waiting, now_s=clock_s)
        if self._publisher.is_due(now_s=clock_s):
            summary = self._publisher.summarize(
                harness.backlog,
                waiting,
                harness.urgency,
                harness.placement,
                pools=jobs.pools,
                now_s=clock_s,
                now_unix_ms=_unix_ms(now_s),
                is_order_final=True,
            )
            self.admission.publish(summary)
        harness.state.grant(*grants)
        harness.placement.update_pending_grants(grants, is_decided=True)
        for grant in grants:
            end = builders.run_end(
                grant.task, ttypes.RunEndKind.DONE, run=grant.run
            )
            end_s = now_s + self._run_s[grant.task.split(".")[0]]
            heapq.heappush(
                self._ends, (end_s, next(self._numbers), end, grant.agent)
            )
            self._stale.add(grant.agent)


def _copy(job: ttypes.Job) -> ttypes.Job:
    """Returns a copy of a job, as each submission is decoded anew."""
    return ttypes.Job(
        job_id=job.job_id, queue=job.queue, command="", steps=job.steps
    )


def _unix_ms(now_s: float) -> int:
    return builders.NOW_UNIX_MS + int(now_s * 1_000)
