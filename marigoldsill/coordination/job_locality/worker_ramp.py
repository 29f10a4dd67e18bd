"""Gives workers that appear their tasks step by step.

Answers a worker that is added, comes back after a loss, or whose data centre is taken
back after an evacuation: it may be cold, or about to fail again, and would otherwise get
all waiting tasks at once because it is empty. In equal stages the number of runs that may
start on it doubles; after the last stage nothing is limited.
"""

import dataclasses

# Stages of a ramp: 1, 2, 4, 8 and 16 starts, about as many tasks as a worker runs.
_STAGES_COUNT = 5
# Workers that are seen so soon after the start of a term are known: agents report to a
# new leader within a few seconds.
_TERM_START_S = 10.0
# A shorter absence is a late report, not a loss.
_MIN_ABSENCE_S = 2.0


@dataclasses.dataclass(slots=True)
class _Worker:
    """One agent's worker.

    Attributes:
        worker_id: Its incarnation.
        begun_s: When its ramp began.
        duration_s: The length of its ramp; 0 without one.
        starts_count: Runs granted to it since then.
        refreshed_stage: The stage at the last refresh.
        absent_since_s: Since when no task may start on it; None while tasks may.
    """

    worker_id: str
    begun_s: float
    duration_s: float
    starts_count: int = 0
    refreshed_stage: int = 0
    absent_since_s: float | None = None

    def stage(self, now_s: float) -> int:
        """Returns the stage, from 0; `_STAGES_COUNT` after the ramp."""
        if self.duration_s <= 0:
            return _STAGES_COUNT
        share = (now_s - self.begun_s) / self.duration_s
        return min(_STAGES_COUNT, max(0, int(share * _STAGES_COUNT)))


class WorkerRamps:
    """The ramps of all workers; hints of one term."""

    def __init__(self, *, ramp_up_s: float):
        """Creates the ramps at the start of a term, without workers.

        Args:
            ramp_up_s: The length of a ramp, unless a worker stays cold for longer.
        """
        self._ramp_up_s = ramp_up_s
        self._begun_s: float | None = None
        self._workers: dict[str, _Worker] = {}
        self._ramping: set[str] = set()

    @property
    def ramping_count(self) -> int:
        """Number of workers whose ramp has not ended."""
        return len(self._ramping)

    def observe(
        self, agent: str, worker_id: str, *, cold_s: float, now_s: float
    ) -> int | None:
        """Observes a worker on which tasks may start.

        Args:
            agent: The worker's agent.
            worker_id: Its incarnation.
            cold_s: How much longer the worker announces to be slow.
            now_s: The time.

        Returns:
            How many more runs its ramp allows now, or None without a limit.
        """
        worker = self._workers.get(agent)
        if worker is None or worker.worker_id != worker_id:
            worker = self._begin(agent, worker_id, cold_s=cold_s, now_s=now_s)
        elif worker.absent_since_s is not None:
            if now_s - worker.absent_since_s >= _MIN_ABSENCE_S:
                duration_s = max(self._ramp_up_s, cold_s)
                worker = _Worker(worker_id, now_s, duration_s)
                self._workers[agent] = worker
            worker.absent_since_s = None
        worker.refreshed_stage = worker.stage(now_s)
        if worker.refreshed_stage >= _STAGES_COUNT:
            self._ramping.discard(agent)
            return None
        self._ramping.add(agent)
        allowed_count = (1 << (worker.refreshed_stage + 1)) - 1
        return max(0, allowed_count - worker.starts_count)

    def observe_absence(self, agent: str, *, now_s: float) -> None:
        """Observes a worker on which no task may start."""
        worker = self._workers.get(agent)
        if worker is not None and worker.absent_since_s is None:
            worker.absent_since_s = now_s
            self._ramping.discard(agent)

    def record_start(self, agent: str) -> None:
        """Counts a run that is granted to a worker."""
        if agent in self._ramping:
            self._workers[agent].starts_count += 1

    def due_agents(self, *, now_s: float) -> list[str]:
        """Returns the agents whose workers may take more than when last observed."""
        return [
            agent
            for agent in sorted(self._ramping)
            if self._workers[agent].stage(now_s)
            > self._workers[agent].refreshed_stage
        ]

    def _begin(
        self, agent: str, worker_id: str, *, cold_s: float, now_s: float
    ) -> _Worker:
        """Begins the ramp of another worker, unless it has been there before."""
        if self._begun_s is None:
            self._begun_s = now_s
        is_known = (
            agent not in self._workers and now_s - self._begun_s < _TERM_START_S
        )
        duration_s = cold_s if is_known else max(self._ramp_up_s, cold_s)
        worker = _Worker(worker_id, now_s, duration_s)
        self._workers[agent] = worker
        return worker
