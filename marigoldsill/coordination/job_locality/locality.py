"""Joins the decisions of where tasks go, as far as a deployment switches them on."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from marigoldsill.coordination.job_locality import locality_metrics
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_locality import rack_affinity
from marigoldsill.coordination.job_locality import rack_spread
from marigoldsill.coordination.job_locality import worker_ramp
from marigoldsill.protocol.generated import ttypes


class PlacedWorker(
    rack_affinity.RackWorker, rack_spread.SpreadWorker, Protocol
):
    """What is needed of a worker on which a task starts."""


class Locality:
    """The state of these decisions in one term; used by one thread.

    Attributes:
        affinity: The tasks that wait for racks.
        spread: Chooses among equally suited workers; None if the best is used.
    """

    def __init__(
        self,
        *,
        settings: locality_settings.LocalitySettings,
        workers: Callable[[], Iterable[rack_spread.SpreadWorker]],
        workers_of: Callable[[str, str], Sequence[rack_affinity.RackWorker]],
        predict_run_ms: Callable[[str, float], float],
    ):
        """Begins a term.

        Args:
            settings: What is switched on.
            workers: Returns all workers on which tasks may start.
            workers_of: Returns those of a pool in a rack.
            predict_run_ms: Predicts a run time from a queue and an estimate.
        """
        self._settings = settings
        self.affinity = rack_affinity.RackAffinity(
            settings=settings,
            workers_of=workers_of,
            predict_run_ms=predict_run_ms,
        )
        self.spread: rack_spread.RackSpread | None = None
        if settings.spreads_racks:
            self.spread = rack_spread.RackSpread(workers)
        self._ramps = worker_ramp.WorkerRamps(
            ramp_up_s=settings.worker_ramp_up_s
        )

    @property
    def awaits_racks(self) -> bool:
        """Whether tasks may wait for a worker in their preferred rack."""
        return self._settings.awaits_racks

    def observe_worker(
        self, agent: str, worker: ttypes.PoolWorker, *, now_s: float
    ) -> int | None:
        """Observes a worker on which tasks may start.

        Returns:
            How many more runs its ramp allows now, or None without a limit.
        """
        if not self._settings.ramps_workers:
            return None
        return self._ramps.observe(
            agent,
            worker.worker_id,
            cold_s=worker.cold_remaining_ms / 1000,
            now_s=now_s,
        )

    def observe_absence(self, agent: str, *, now_s: float) -> None:
        """Observes a worker on which no task may start."""
        self._ramps.observe_absence(agent, now_s=now_s)

    def due_agents(self, *, now_s: float) -> list[str]:
        """Returns agents whose workers may take more tasks than when observed."""
        return self._ramps.due_agents(now_s=now_s)

    def record_start(
        self,
        task: rack_affinity.RackTask,
        agent: str,
        worker: PlacedWorker,
        *,
        run: int,
        now_s: float,
    ) -> None:
        """Records that a run of a task is granted to a worker."""
        self._ramps.record_start(agent)
        if self.awaits_racks:
            self.affinity.record_start(task, worker, run=run, now_s=now_s)
        if self.spread is not None:
            self.spread.record_start(task.step_key, task.step, worker.worker)

    def end_round(self, *, now_s: float) -> None:
        """Ends a round."""
        if self.awaits_racks:
            self.affinity.end_round(now_s=now_s)
        if self.spread is not None:
            self.spread.end_round()
        if self._settings.ramps_workers:
            locality_metrics.WORKERS_RAMPING.set(self._ramps.ramping_count)
