"""Lets tasks wait for a worker in their preferred rack, round by round.

A rack is forecast when the first task could wait for it. The forecast and the decisions
to wait hold for a moment, so rounds that follow each other quickly cost little.
"""

from collections.abc import Callable
from collections.abc import MutableMapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Protocol

from marigoldsill.coordination.job_locality import locality_metrics
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_locality import rack_forecast
from marigoldsill.coordination.job_locality import rack_waits
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs


class RackWorker(Protocol):
    """What is needed of a worker in a rack.

    Attributes:
        worker: The worker as last reported.
        expected_ends: When its runs are expected to end.
    """

    worker: ttypes.PoolWorker
    expected_ends: MutableMapping[task_names.RunKey, rack_forecast.ExpectedEnd]

    def could_run(self, step: ttypes.Step) -> bool:
        """Returns whether a task of a step would fit if the worker were idle."""


@dataclasses.dataclass(slots=True, frozen=True)
class RackTask:
    """A task that is to start.

    Attributes:
        step_key: Its step.
        index: Its index in the step.
        step: Its requirements.
        queue: Its queue.
    """

    step_key: task_names.StepKey
    index: int
    step: ttypes.Step
    queue: ttypes.Queue

    @property
    def key(self) -> rack_waits.TaskKey:
        """The key of the task."""
        return self.step_key, self.index

    @property
    def name(self) -> str:
        """The name of the task."""
        return task_names.name_of(*self.step_key, self.index)

    @property
    def rack_key(self) -> tuple[str, str]:
        """The pool and the preferred rack."""
        return self.queue.pool, self.step.preferred_rack


class RackAffinity:
    """The tasks that wait for racks in one term; used by one thread."""

    def __init__(
        self,
        *,
        settings: locality_settings.LocalitySettings,
        workers_of: Callable[[str, str], Sequence[RackWorker]],
        predict_run_ms: Callable[[str, float], float],
    ):
        """Initializes it without waiting tasks.

        Args:
            settings: What starting outside of the preferred rack costs.
            workers_of: Returns the workers of a pool in a rack on which tasks may
                start.
            predict_run_ms: Predicts a run time from a queue and an estimate.
        """
        self._settings = settings
        self._awaits_racks = settings.awaits_racks
        self._workers_of = workers_of
        self._predict_run_ms = predict_run_ms
        self._waits = rack_waits.RackWaits(
            remote_run_ratio=settings.remote_run_ratio
        )
        # By pool, rack and whether it is for best-effort tasks.
        self._forecasts: dict[
            tuple[str, str, bool], rack_forecast.RackForecast
        ] = {}
        self._decisions: dict[rack_waits.TaskKey, rack_waits.Decision] = {}

    def may_wait(self, step: ttypes.Step) -> bool:
        """Returns whether tasks of a step may wait for a rack at all."""
        return bool(
            self._awaits_racks
            and step.preferred_rack
            and not step.long_running
            and not step.gang
        )

    def predict_run_s(self, queue: str, step: ttypes.Step, rack: str) -> float:
        """Returns the expected run time of a step's tasks in a rack."""
        run_s = self._predict_run_ms(queue, step.estimated_ms) / 1000
        if step.preferred_rack not in ("", rack):
            run_s *= self._settings.remote_run_ratio
        return run_s

    def waits_unchanged(
        self,
        step_key: task_names.StepKey,
        index: int,
        *,
        rack_version: int,
        now_s: float,
    ) -> bool:
        """Returns whether a task waits, and nothing has changed for it.

        Args:
            step_key: The step of the task.
            index: Its index in the step.
            rack_version: Increases with each change of a worker in its rack.
            now_s: The time of the round.
        """
        return self._waits.is_unchanged(
            (step_key, index), rack_version=rack_version, now_s=now_s
        )

    def must_wait(
        self,
        task: RackTask,
        *,
        accepts: Callable[[RackWorker], bool],
        idle_deadline_s: float,
        used_share: float,
        rack_version: int,
        now_s: float,
    ) -> bool:
        """Returns whether a task waits rather than start outside of its rack.

        Args:
            task: The task, which may wait and has no place in its rack now.
            accepts: Whether the task may use a worker, apart from its resources.
            idle_deadline_s: When its job would have been idle for too long.
            used_share: The share of its pool that is in use.
            rack_version: Increases with each change of a worker in its rack.
            now_s: The time of the round.
        """
        if self._waits.is_settled(task.key, now_s=now_s) and self._workers_of(
            *task.rack_key
        ):
            self._waits.record_version(task.key, rack_version=rack_version)
            return True
        decision = rack_waits.Decision(rack_waits.Verdict.NO_WORKER)
        if self._has_worker(task, accepts):
            request = rack_waits.RackRequest(
                task.key,
                cpu_millicores=task.step.resources.cpu_millicores,
                run_s=self.predict_run_s(
                    task.queue.name, task.step, task.step.preferred_rack
                ),
                idle_deadline_s=idle_deadline_s,
                used_share=used_share,
            )
            forecast = self._forecast(task, now_s)
            decision = self._waits.decide(request, forecast, now_s=now_s)
        self._decisions[task.key] = decision
        if decision.verdict is not rack_waits.Verdict.WAIT:
            return False
        self._waits.record_version(task.key, rack_version=rack_version)
        if decision.is_new:
            logs.event(
                "rack_awaited",
                task=task.name,
                rack=task.step.preferred_rack,
                limit_ms=round(decision.limit_s * 1000),
            )
        return True

    def record_start(
        self,
        task: RackTask,
        worker: RackWorker,
        *,
        run: int,
        now_s: float,
    ) -> None:
        """Records that a run of a task is granted to a worker."""
        rack = worker.worker.rack
        end_s = math.inf
        if not task.step.long_running:
            end_s = now_s + self.predict_run_s(task.queue.name, task.step, rack)
        is_best_effort = task.step.best_effort
        end = rack_forecast.ExpectedEnd(
            end_s, task.step.resources.cpu_millicores, is_best_effort
        )
        worker.expected_ends[task.name, run] = end
        is_booked = self._waits.is_settled(task.key, now_s=now_s)
        for for_best_effort in (False, True):
            forecast = self._forecasts.get(
                (task.queue.pool, rack, for_best_effort)
            )
            # The end of a task that waited was added when its turn was booked.
            if (
                forecast is not None
                and (for_best_effort or not is_best_effort)
                and not (is_booked and for_best_effort == is_best_effort)
            ):
                forecast.start(end, now_s=now_s)
        if self.may_wait(task.step) and rack != task.step.preferred_rack:
            self._report_away(task, worker, now_s)
        self._waits.drop(task.key)

    def end_round(self, *, now_s: float) -> None:
        """Ends a round."""
        self._decisions.clear()
        locality_metrics.TASKS_WAITING_FOR_RACK.set(
            self._waits.end_round(now_s=now_s)
        )

    def _has_worker(
        self, task: RackTask, accepts: Callable[[RackWorker], bool]
    ) -> bool:
        """Returns whether some worker in its preferred rack may run a task."""
        return any(
            worker.could_run(task.step) and accepts(worker)
            for worker in self._workers_of(*task.rack_key)
        )

    def _forecast(
        self, task: RackTask, now_s: float
    ) -> rack_forecast.RackForecast:
        """Returns the forecast of what comes free for a task in its rack.

        Best-effort tasks use what other runs leave, so they profit from each end;
        others only from the end of runs that reserve processor time.
        """
        key = (*task.rack_key, task.step.best_effort)
        forecast = self._forecasts.get(key)
        if (
            forecast is None
            or now_s - forecast.made_s >= rack_waits.FORECAST_VALIDITY_S
        ):
            ends = [
                end
                for worker in self._workers_of(*task.rack_key)
                if not worker.worker.draining
                for end in worker.expected_ends.values()
                if task.step.best_effort or not end.is_best_effort
            ]
            forecast = rack_forecast.RackForecast(ends, now_s=now_s)
            self._forecasts[key] = forecast
        return forecast

    def _report_away(
        self, task: RackTask, worker: RackWorker, now_s: float
    ) -> None:
        decision = self._decisions.get(task.key)
        reason = "no_choice" if decision is None else str(decision.verdict)
        waited_s = self._waits.waited_s(task.key, now_s=now_s)
        locality_metrics.RUNS_AWAY_FROM_RACK.labels(reason).inc()
        logs.event(
            "started_away_from_rack",
            task=task.name,
            rack=task.step.preferred_rack,
            worker_id=worker.worker.worker_id,
            reason=reason,
            waited_ms=round(waited_s * 1000),
        )
