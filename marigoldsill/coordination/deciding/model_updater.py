"""Updates the learnt models from delayed measurements and ended runs."""

from collections.abc import Iterable

from marigoldsill.coordination.deciding import run_outcomes
from marigoldsill.coordination.learning import estimates as estimates_module
from marigoldsill.coordination.learning import usage as usage_module
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import (
    interference_mitigation as interference_mitigation_module,
)
from marigoldsill.coordination.placement import sharing as sharing_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module

# A run of this age counts as a success of its worker before it ends.
_SUCCESS_AGE_MS = 5_000


class ModelUpdater:
    """Updates the fleet's models, sharing and interference mitigation."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        sharing: sharing_module.SharingEvaluator,
        mitigation: interference_mitigation_module.InterferenceMitigation,
    ):
        self._fleet = fleet
        self._sharing = sharing
        self._mitigation = mitigation
        self._successful_epochs: dict[str, int] = {}

    def observe_measurements(
        self,
        tables: tables_module.Tables,
        measurements: Iterable[usage_module.Measurement],
        *,
        now: fleet_module.Now,
    ) -> tuple[set[str], set[str]]:
        """Updates the models from measurements.

        Returns:
            Workers whose runs use more resources than were charged, and workers that
            were restored because a run succeeded on probation.
        """
        exceeding: set[str] = set()
        restored: set[str] = set()
        for item in measurements:
            name = item.usage.task
            if not self._fleet.estimates.is_due(
                name, measured_s=item.measured_s
            ):
                continue
            task = tables.tasks.get(name)
            if task is None or task.worker != item.worker:
                continue
            owner = tables.owner_record(task)
            if owner is None or not self._is_of_current_run(task, item, now):
                continue
            before = self._fleet.estimates.charged_resources(task)
            if task.kind == ttypes.Kind.SERVICE:
                self._observe_latency(tables, task, owner, item, now)
            self._fleet.estimates.observe(
                task,
                owner.resources,
                item.usage,
                measured_s=item.measured_s,
                is_unthrottled=self._was_unthrottled(task, item),
            )
            if self._fleet.estimates.charged_resources(task) != before:
                exceeding.add(item.worker)
            if self._record_if_successful(task, item, now):
                restored.add(item.worker)
        return exceeding, restored

    def observe_outcome(
        self,
        tables: tables_module.Tables,
        outcome: run_outcomes.RunOutcome,
        *,
        now: fleet_module.Now,
    ) -> str:
        """Updates the models from a run that ended.

        Returns:
            Why the run's worker is to be quarantined now, or an empty string.
        """
        task = outcome.task
        family = estimates_module.family_of(task.owner)
        self._fleet.estimates.remove_run(task.name)
        self._successful_epochs.pop(task.name, None)
        match outcome.kind:
            case run_outcomes.OutcomeKind.FAILED:
                return self._fleet.quarantine.record_failure(
                    outcome.worker, family, now_s=now.monotonic_s
                )
            case run_outcomes.OutcomeKind.COMPLETED:
                self._fleet.quarantine.record_success(
                    outcome.worker, family, now_s=now.monotonic_s
                )
                owner = tables.owner_record(task)
                elapsed_ms = now.unix_ms - outcome.started_unix_ms
                self._fleet.estimates.observe_run_time(
                    task.owner,
                    declared_ms=getattr(owner, "run_time_ms", 0),
                    took_ms=outcome.worked_ms + elapsed_ms,
                )
        return ""

    def _is_of_current_run(
        self,
        task: ttypes.Task,
        item: usage_module.Measurement,
        now: fleet_module.Now,
    ) -> bool:
        """Whether a measurement was made after the current run was granted."""
        age_ms = 1000 * (now.monotonic_s - item.measured_s)
        return now.unix_ms - age_ms >= task.started_unix_ms

    def _was_unthrottled(
        self, task: ttypes.Task, item: usage_module.Measurement
    ) -> bool:
        """Whether a run is known to have been unthrottled when it was measured."""
        if task.kind != ttypes.Kind.BATCH_JOB:
            return True
        neighbours = self._fleet.history.neighbours_at(
            item.worker, item.measured_s
        )
        return neighbours is not None and any(
            n.task == task.name and n.share == 1.0 for n in neighbours
        )

    def _observe_latency(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        owner: ttypes.Service,
        item: usage_module.Measurement,
        now: fleet_module.Now,
    ) -> None:
        if not item.usage.latency_p99_us or not owner.latency_target_ms:
            return
        ratio = item.usage.latency_p99_us / (1000 * owner.latency_target_ms)
        neighbours = self._fleet.history.neighbours_at(
            item.worker, item.measured_s
        )
        load = self._fleet.latencies.observe(
            owner.name,
            cpu_millicores=item.usage.cpu_millicores,
            latency_ratio=ratio,
            shared=None if neighbours is None else bool(neighbours),
            measured_s=item.measured_s,
            now_s=now.monotonic_s,
        )
        limit = self._fleet.latency_limit(
            tables.policy,
            owner.name,
            self._fleet.interference.predict(owner.name, (), load=load),
            now=now,
        )
        self._mitigation.observe(
            item.worker,
            latency_ratio=ratio,
            limit=limit,
            measured_s=item.measured_s,
        )
        if neighbours is None:
            return
        self._fleet.interference.observe(
            owner.name, neighbours, load=load, latency_ratio=ratio
        )
        if neighbours:
            self._sharing.record_measurement(owner.name, item.worker)

    def _record_if_successful(
        self,
        task: ttypes.Task,
        item: usage_module.Measurement,
        now: fleet_module.Now,
    ) -> bool:
        """Records a run as successful once it is old enough.

        Returns:
            Whether that restored the run's worker.
        """
        if self._successful_epochs.get(task.name) == task.epoch:
            return False
        if now.unix_ms - task.started_unix_ms < _SUCCESS_AGE_MS:
            return False
        self._successful_epochs[task.name] = task.epoch
        family = estimates_module.family_of(task.owner)
        return self._fleet.quarantine.record_success(
            item.worker, family, now_s=now.monotonic_s
        )
