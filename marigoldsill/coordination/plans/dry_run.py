"""Dry run of a plan: predicts its effects by applying its changes to a copy.

The same code as after a confirmation applies the changes, ends the runs and places
the queued tasks. A prediction therefore differs from the outcome only if the state
changes in between.
"""

from collections.abc import Iterator

from marigoldsill.coordination.placement import placement_simulator
from marigoldsill.coordination.placement import queue_simulation
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import amounts
from marigoldsill.state import changes as changes_module
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module


class DryRun:
    """The tables before and after some changes, and the predicted placements.

    Attributes:
        before: The current tables, which are not modified.
        after: A copy with the changes applied and the disrupted runs ended.
        starts: The predicted placements of the queued tasks of `after` that
            would start, by task name.
        disruptions: The runs that the changes stop or move.
    """

    def __init__(
        self,
        tables: tables_module.Tables,
        changes: list[ttypes.Change],
    ):
        self.before = tables
        self._changes = changes
        self.disruptions = changes_module.disruptions(tables, changes)
        self.after = tables.copy_for_simulation()
        changes_module.apply(self.after, changes, 0)
        self._end_disrupted_runs()
        self._placements = queue_simulation.predict_placements(self.after)
        self.starts = _select_starts(self._placements)
        self._starts_before = _select_starts(
            queue_simulation.predict_placements(tables)
        )
        self._capacities = [w.capacity for w in self.after.workers.values()]

    def predict_effects(self) -> list[ttypes.Effect]:
        """Returns all effects of the changes, disruptions first."""
        return [
            *self._disruption_effects(),
            *self._start_effects(),
            *self._delay_effects(),
            *self._unchanged_run_effects(),
        ]

    def can_ever_run(self, task: ttypes.Task) -> bool:
        """Whether a known worker is large enough for a task, in any state."""
        requested = self.after.owner_record(task).resources
        return any(amounts.fits(requested, c) for c in self._capacities)

    def can_run(self, task: ttypes.Task) -> bool:
        """Whether a task runs after the changes, or can once capacity is free.

        Workers that are draining, lost or quarantined do not count.
        """
        if tables_module.occupies_worker(task) or task.name in self.starts:
            return True
        requested = self.after.owner_record(task).resources
        return any(
            amounts.fits(requested, worker.capacity)
            for worker in self.after.workers.values()
            if worker.state == ttypes.WorkerState.ACTIVE
        )

    def _end_disrupted_runs(self) -> None:
        events = [
            ttypes.RunEvent(
                task=task.name,
                epoch=task.epoch,
                kind=ttypes.RunEventKind.STOPPED,
            )
            for task in (self.after.tasks[e.subject] for e in self.disruptions)
        ]
        ended = ttypes.RecordRunEvents(events=events)
        state_machine.apply(self.after, ttypes.Command(record_run_events=ended))

    def _disruption_effects(self) -> Iterator[ttypes.Effect]:
        for effect in self.disruptions:
            task = self.after.tasks.get(effect.subject)
            if effect.verb != ttypes.EffectVerb.MOVE or task is None:
                yield effect
                continue
            start = self.starts.get(effect.subject)
            where = "no other worker has room now; it waits"
            if start is not None:
                where = f"would go to {start.worker}"
            yield ttypes.Effect(
                verb=effect.verb,
                subject=effect.subject,
                worker=effect.worker,
                reason=f"{effect.reason}; {where}",
            )

    def _start_effects(self) -> Iterator[ttypes.Effect]:
        """Yields the effects on tasks that are new or that can start now."""
        disrupted = {effect.subject for effect in self.disruptions}
        enabled = self.starts.keys() - self._starts_before.keys()
        for name in self.after.queued:
            is_new = name not in self.before.queued
            if name in disrupted or not (is_new or name in enabled):
                continue
            yield self._start_effect(self.after.tasks[name])
            yield from self._eviction_effects(name)

    def _eviction_effects(self, name: str) -> Iterator[ttypes.Effect]:
        placement = self._placements.get(name)
        for victim in placement.evicted if placement is not None else ():
            yield ttypes.Effect(
                verb=ttypes.EffectVerb.EVICT,
                subject=victim,
                worker=placement.worker,
                reason=f"gives way to {name}, which is more urgent",
            )

    def _start_effect(self, task: ttypes.Task) -> ttypes.Effect:
        start = self.starts.get(task.name)
        if start is not None:
            return ttypes.Effect(
                verb=ttypes.EffectVerb.START,
                subject=task.name,
                worker=start.worker,
                reason=start.reason,
            )
        if not self._capacities:
            return _wait_effect(task, "no worker is known yet")
        if not self.can_ever_run(task):
            return ttypes.Effect(
                verb=ttypes.EffectVerb.NEVER_RUNS,
                subject=task.name,
                reason=f"{_format_request(self.after, task)}: larger "
                "than every worker known",
            )
        placement = self._placements.get(task.name)
        if placement is not None and placement.evicted:
            return _wait_effect(
                task,
                f"starts on {placement.worker} once {len(placement.evicted)} "
                "less urgent runs gave way",
            )
        if not self.can_run(task):
            return _wait_effect(
                task, "every worker that could hold it drains or is lost"
            )
        reason = "no worker has room now"
        return _wait_effect(
            task, placement.reason if placement is not None else reason
        )

    def _delay_effects(self) -> Iterator[ttypes.Effect]:
        delayed = self._starts_before.keys() - self.starts.keys()
        for name in sorted(delayed & self.after.queued.keys()):
            yield _wait_effect(
                self.after.tasks[name],
                "what the plan starts goes before it",
            )

    def _unchanged_run_effects(self) -> Iterator[ttypes.Effect]:
        """Yields the runs that continue although their declaration changes."""
        for change in self._changes:
            if change.verb != ttypes.ChangeVerb.REPLACE:
                continue
            name = change.subject.partition("/")[2]
            for task in self.after.tasks_of(name):
                if tables_module.occupies_worker(task) and self._differs(task):
                    yield _wait_effect(
                        task,
                        "runs on as it was started; the new size and command "
                        "count from its next start",
                    )

    def _differs(self, task: ttypes.Task) -> bool:
        """Whether the changes modify the resources or command of a task."""
        old = self.before.owner_record(task)
        new = self.after.owner_record(task)
        return (old.resources, old.command) != (new.resources, new.command)


def _select_starts(
    placements: dict[str, placement_simulator.PredictedPlacement],
) -> dict[str, placement_simulator.PredictedPlacement]:
    return {
        name: placement
        for name, placement in placements.items()
        if placement.verb == ttypes.EffectVerb.START
    }


def _wait_effect(task: ttypes.Task, reason: str) -> ttypes.Effect:
    return ttypes.Effect(
        verb=ttypes.EffectVerb.WAIT, subject=task.name, reason=reason
    )


def _format_request(tables: tables_module.Tables, task: ttypes.Task) -> str:
    requested = tables.owner_record(task).resources
    return (
        f"asks for {requested.cpu_millicores} millicores, "
        f"{requested.memory_bytes} bytes and {requested.accelerators_count} "
        "accelerators"
    )
