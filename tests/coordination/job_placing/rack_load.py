"""Plays jobs that prefer racks on a simulated clock, through a leader's rounds."""

from collections.abc import Callable
import dataclasses
import heapq

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_TICK_S = 0.05


@dataclasses.dataclass(slots=True)
class JobTimes:
    """When a job of one task came, started and ended, and where it ran."""

    came_s: float
    started_s: float = 0.0
    ended_s: float = 0.0
    is_away: bool = False


class RackLoad:
    """Submits jobs of one task and ends their runs when they are due.

    Attributes:
        leader: The leader.
        jobs: The times of each job.
        remote_run_ratio: How much longer a run takes outside of its rack.
    """

    def __init__(
        self,
        leader: leader_harness.LeaderHarness,
        *,
        remote_run_ratio: float,
    ):
        self.leader = leader
        self.remote_run_ratio = remote_run_ratio
        self.jobs: dict[str, JobTimes] = {}
        self._due: list[tuple[float, str, int]] = []

    def submit(self, rack: str, *, run_s: float = 1.0, **fields: object) -> str:
        """Submits a job of one task of one core that prefers a rack."""
        job_id = f"j{len(self.jobs):05d}"
        step = builders.step(
            preferred_rack=rack, estimated_ms=int(run_s * 1000), **fields
        )
        self.jobs[job_id] = JobTimes(self.leader.now_s)
        self.leader.submit(job_id, step)
        return job_id

    def advance(self) -> None:
        """Runs a round and ends the runs that are due before the next one."""
        for name, agent in self.leader.run_round().items():
            self._start(name, agent)
        self.leader.now_s += _TICK_S
        while self._due and self._due[0][0] <= self.leader.now_s + 1e-9:
            end_s, name, run = heapq.heappop(self._due)
            done = builders.run_end(name, ttypes.RunEndKind.DONE, run)
            self.leader.record_end(done)
            self.jobs[task_names.parse(name).job_id].ended_s = end_s

    def advance_until(
        self,
        until_s: float,
        arrivals: Callable[["RackLoad"], None] = lambda load: None,
    ) -> None:
        """Advances to a time; `arrivals` submits jobs before each round."""
        while self.leader.now_s < until_s - 1e-9:
            arrivals(self)
            self.advance()

    def finish(self, *, limit_s: float = 300.0) -> None:
        """Advances until all jobs have ended."""
        until_s = self.leader.now_s + limit_s
        while not all(job.ended_s for job in self.jobs.values()):
            assert self.leader.now_s < until_s, "jobs never end"
            self.advance()

    def _start(self, name: str, agent: str) -> None:
        address = task_names.parse(name)
        record = self.leader.state.tables.jobs.jobs[address.job_id]
        step = record.job.steps[address.step]
        job = self.jobs[address.job_id]
        rack = self.leader.views[agent].worker.rack
        job.started_s = self.leader.now_s
        job.is_away = rack != step.preferred_rack
        run_s = step.estimated_ms / 1000
        if job.is_away:
            run_s *= self.remote_run_ratio
        run = self.leader.state.task(name).last_run
        heapq.heappush(self._due, (self.leader.now_s + run_s, name, run))
