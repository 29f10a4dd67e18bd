"""Evicts runs, so that their tasks are granted again on other workers."""

from collections.abc import Iterable
from collections.abc import Sequence

from marigoldsill.coordination.job_learning import stall_detector
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import gangs
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import relocation
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.state import job_tables
from marigoldsill.transport import logs


class Evictor:
    """Evicts stalled, incomplete and slow runs during one term of this leader.

    Called with the replica's lock held, except for `find_slow`.
    """

    def __init__(
        self,
        *,
        service: service_module.JobService,
        urgency: urgency_module.Urgency,
        health: worker_health.WorkerHealth,
    ):
        self._service = service
        self._health = health
        self._stall_detector = stall_detector.StallDetector(urgency)
        self._relocation = relocation.Relocation()

    def evict_stalled(
        self,
        jobs: job_tables.JobTables,
        views: Sequence[agents_module.AgentView],
    ) -> None:
        """Evicts runs from workers on which no run makes progress.

        Also reports stalls and progress to the health records of workers, and records
        slow runs for `find_slow`.

        Args:
            jobs: The jobs and their runs.
            views: The agents that have reported since the last call.
        """
        for view in views:
            self._relocation.observe(jobs, view)
        for stall in self._stall_detector.find_stalls(jobs, views):
            self._health.report_stall(
                stall.worker_id, runs_count=stall.runs_count
            )
            runs = [
                evictions.Eviction(key, stall.agent)
                for key in stall.worth_evicting
            ]
            self._evict(
                runs,
                kind="stalled",
                reason="no run on its worker makes progress",
            )
        for view in views:
            if view.worker is not None and self._stall_detector.made_progress(
                view
            ):
                self._health.report_progress(view.worker.worker_id)

    def evict_incomplete_gangs(
        self, jobs: job_tables.JobTables, job_ids: Iterable[str]
    ) -> None:
        """Evicts runs of gangs that have members without a run."""
        self._evict(
            gangs.runs_of_incomplete_gangs(jobs, job_ids),
            kind="gang",
            reason="not all members of its gang have a run",
        )

    def find_slow(
        self, placement: placement_module.Placement, *, now_s: float
    ) -> list[evictions.Eviction]:
        """Finds slow best-effort runs that fit on another worker.

        Reserves the capacity there. Called without the lock.

        Args:
            placement: The free capacity of all workers.
            now_s: The time now.
        """
        evicted = self._service.orders.evicted
        return self._relocation.choose_evictions(
            placement, now_s=now_s, is_evicted=lambda key: key in evicted
        )

    def evict_slow(self, runs: Iterable[evictions.Eviction]) -> None:
        """Evicts the runs that `find_slow` returned."""
        self._evict(
            runs,
            kind="slow",
            reason="slow because of latency-critical tasks on its worker",
        )

    def evict_reclaimed(
        self, runs: Iterable[evictions.Eviction], share: str
    ) -> None:
        """Evicts runs of other queues for a share below its guarantee."""
        self._evict(
            runs,
            kind="reclaim",
            reason=f"its capacity is guaranteed to share {share}",
        )

    def _evict(
        self, runs: Iterable[evictions.Eviction], *, kind: str, reason: str
    ) -> None:
        evicted = self._service.orders.evicted
        new = [run for run in runs if run.key not in evicted]
        job_metrics.EVICTIONS.labels(kind).inc(len(new))
        for run in new:
            evicted.add(run.key)
            logs.event(
                "run_evicted",
                task=run.key[0],
                run=run.key[1],
                agent=run.agent,
                reason=reason,
            )
        self._service.refresh_orders({run.agent for run in new})
