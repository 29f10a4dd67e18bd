"""The leader's scheduling decisions, from the replicated state and learnt models.

The module uses neither a clock nor the network: a round is given the time, the
changes and the measurements, and returns the commands to propose.
"""

from collections.abc import Iterable
import itertools

from marigoldsill.coordination.deciding import impossible_tasks
from marigoldsill.coordination.deciding import model_updater
from marigoldsill.coordination.deciding import run_outcomes
from marigoldsill.coordination.deciding import watcher_absence
from marigoldsill.coordination.deciding import worker_state_changes
from marigoldsill.coordination.leadership import change_set
from marigoldsill.coordination.learning import usage as usage_module
from marigoldsill.coordination.placement import (
    descheduler as descheduler_module,
)
from marigoldsill.coordination.placement import eviction as eviction_module
from marigoldsill.coordination.placement import fleet as fleet_module
from marigoldsill.coordination.placement import (
    interference_mitigation as interference_mitigation_module,
)
from marigoldsill.coordination.placement import sharing as sharing_module
from marigoldsill.coordination.placement import (
    task_placer as task_placer_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs

# Limits on the work of one round.
_GRANTS_LIMIT = 300
_TASKS_LIMIT = 4_000
_WORKERS_LIMIT = 800
_TRIES_LIMIT = 300
# Delay before a task whose run was refused is tried again.
_REFUSED_DELAY_MS = 1_000

Body = (
    ttypes.AssignRuns
    | ttypes.EvictRuns
    | ttypes.ThrottleRuns
    | ttypes.MarkTasks
    | ttypes.PutWorker
)


class DecisionEngine:
    """Holds the soft state of one leader and runs its scheduling rounds.

    Attributes:
        fleet: The workers and the learnt models.
        absent_watchers: Watchers over their absence limit, as of the last round.
    """

    def __init__(self, *, seed: int = 1):
        self.fleet = fleet_module.Fleet(seed=seed)
        self.absent_watchers: list[watcher_absence.WatcherAbsence] = []
        self._sharing = sharing_module.SharingEvaluator(self.fleet)
        self._evictor = eviction_module.Evictor(self.fleet)
        self._mitigation = (
            interference_mitigation_module.InterferenceMitigation(
                self.fleet, self._evictor
            )
        )
        self._placer = task_placer_module.TaskPlacer(
            self.fleet, self._sharing, self._evictor
        )
        self._descheduler = descheduler_module.Descheduler(
            self.fleet, self._evictor, self._placer
        )
        self._model_updater = model_updater.ModelUpdater(
            self.fleet, self._sharing, self._mitigation
        )
        self._outcome_tracker = run_outcomes.RunOutcomeTracker()
        self._absence_tracker = watcher_absence.AbsenceTracker()
        self._impossible_tasks = impossible_tasks.ImpossibleTasks(
            self.fleet.estimates
        )
        self._worker_state_changes = worker_state_changes.WorkerStateChanges()
        self._granted_workers: set[str] = set()
        self._granted_tasks: set[str] = set()
        self._pending = change_set.ChangeSet()
        self._state_version = 0

    @property
    def waiting_count(self) -> int:
        """The number of tasks that wait for a worker."""
        return self._placer.queue.waiting_count

    @property
    def is_up_to_date(self) -> bool:
        """Whether all changes so far have been applied."""
        return not self._pending.workers and not self._pending.tasks

    def wait_reason(self, task: str) -> str:
        """Returns why a task waits, as of its last try, or an empty string."""
        return self._placer.queue.wait_reason(task)

    def rebuild(
        self,
        tables: tables_module.Tables,
        *,
        live: set[str],
        now: fleet_module.Now,
    ) -> None:
        """Starts to apply the whole state, as a new leader does once.

        Args:
            tables: The replicated state.
            live: The workers whose leases are live.
            now: The time of the round.
        """
        self.fleet.live_workers = set(live)
        self._state_version = tables.state_version
        for worker in tables.workers.values():
            if worker.state == ttypes.WorkerState.QUARANTINED:
                self.fleet.quarantine.restore_quarantine(
                    worker.name, now_s=now.monotonic_s
                )
        everything = change_set.ChangeSet(
            workers=set(tables.workers), tasks=set(tables.tasks)
        )
        self.apply_changes(tables, everything, live=live, now=now)

    def apply_changes(
        self,
        tables: tables_module.Tables,
        changes: change_set.ChangeSet,
        *,
        live: set[str],
        now: fleet_module.Now,
    ) -> None:
        """Applies changes that commands and leases made.

        A large number of changes is applied over several rounds, so that the state is
        never locked for long. Nothing is decided until all are applied.

        Args:
            tables: The replicated state.
            changes: The changes since the last call.
            live: The workers whose leases are live.
            now: The time of the round.
        """
        self._pending.workers |= changes.workers | self._granted_workers
        self._pending.workers |= self.fleet.live_workers ^ live
        self._pending.tasks |= changes.tasks | self._granted_tasks
        self._granted_workers = set()
        self._granted_tasks = set()
        self.fleet.live_workers = set(live)
        tasks = _pop_some(self._pending.tasks, _TASKS_LIMIT)
        workers = _pop_some(self._pending.workers, _WORKERS_LIMIT)
        refused: set[str] = set()
        for outcome in self._outcome_tracker.find_ended(tables, sorted(tasks)):
            self._apply_outcome(tables, outcome, now)
            workers.add(outcome.worker)
            if outcome.kind == run_outcomes.OutcomeKind.REFUSED:
                refused.add(outcome.task.name)
        for worker in sorted(workers):
            self.fleet.refresh_worker(tables, worker, now=now)
            self._descheduler.update_worker(worker)
        capacities = list(self.fleet.capacity_index.distinct_capacities())
        if (
            changes.has_confirmed_plan
            or capacities != self._impossible_tasks.capacities
        ):
            self._impossible_tasks.capacities = capacities
            tasks |= self._impossible_tasks.tasks
            tasks |= self._tasks_of_changed_owners(tables)
        for name in sorted(tasks):
            self._apply_task(tables, name, now, was_refused=name in refused)

    def observe(
        self,
        tables: tables_module.Tables,
        measurements: Iterable[usage_module.Measurement],
        *,
        now: fleet_module.Now,
    ) -> None:
        """Updates the learnt models from delayed measurements."""
        exceeding, restored = self._model_updater.observe_measurements(
            tables, measurements, now=now
        )
        for worker in sorted(exceeding | restored):
            self.fleet.refresh_worker(tables, worker, now=now)
            self._descheduler.update_worker(worker)
        for worker in restored:
            logs.event("worker_restored", worker=worker)

    def run_round(
        self, tables: tables_module.Tables, *, now: fleet_module.Now
    ) -> list[Body]:
        """Runs one round; returns the command bodies to propose, in their order."""
        if not self.is_up_to_date:
            return []
        self._evictor.begin_round(tables.policy, now_s=now.monotonic_s)
        self._start_probes(now)
        actions = self._mitigation.choose_actions(tables, now=now)
        descheduled = self._descheduler.choose_evictions(tables, now=now)
        placed = self._placer.place_waiting(
            tables, now=now, limit=_GRANTS_LIMIT, tries_limit=_TRIES_LIMIT
        )
        # A command may be lost, so the workers and tasks of grants are refreshed in
        # the next round in any case.
        self._granted_workers |= {grant.worker for grant in placed.grants}
        self._granted_tasks |= {grant.task for grant in placed.grants}
        for grant in placed.grants:
            self._outcome_tracker.record_grant(
                tables.tasks[grant.task], grant, now_unix_ms=now.unix_ms
            )
        self._mark_impossible(tables, placed.waiting)
        self.absent_watchers = self._absence_tracker.report_overdue(
            tables, now_unix_ms=now.unix_ms
        )
        evictions = actions.evictions + descheduled + placed.evictions
        marks = self._impossible_tasks.pending_marks(tables)
        bodies: list[Body] = [
            ttypes.PutWorker(worker=worker)
            for worker in self._worker_state_changes.pending_records(tables)
        ]
        if actions.throttles:
            bodies.append(ttypes.ThrottleRuns(throttles=actions.throttles))
        if evictions:
            bodies.append(ttypes.EvictRuns(evictions=evictions))
        if placed.grants:
            bodies.append(ttypes.AssignRuns(assignments=placed.grants))
        if marks:
            bodies.append(ttypes.MarkTasks(marks=marks))
        return bodies

    def _apply_outcome(
        self,
        tables: tables_module.Tables,
        outcome: run_outcomes.RunOutcome,
        now: fleet_module.Now,
    ) -> None:
        reason = self._model_updater.observe_outcome(tables, outcome, now=now)
        if reason:
            self._quarantine(tables, outcome.worker, reason)
        match outcome.kind:
            case (
                run_outcomes.OutcomeKind.FAILED
                | run_outcomes.OutcomeKind.REFUSED
            ):
                self._placer.selector.avoid_worker(
                    outcome.task.name, outcome.worker
                )
        if outcome.task.state != ttypes.TaskState.QUEUED:
            self._placer.selector.remove_task(outcome.task.name)

    def _tasks_of_changed_owners(
        self, tables: tables_module.Tables
    ) -> set[str]:
        """Returns the tasks whose declarations changed since the last call."""
        newest = itertools.takewhile(
            lambda record: record.version > self._state_version,
            reversed(tables.versions.values()),
        )
        owners = [record.subject.partition("/")[2] for record in newest]
        self._state_version = tables.state_version
        return {
            name
            for owner in owners
            for name in tables.tasks_by_owner.get(owner, ())
        }

    def _apply_task(
        self,
        tables: tables_module.Tables,
        name: str,
        now: fleet_module.Now,
        *,
        was_refused: bool,
    ) -> None:
        self._absence_tracker.update_task(tables, name, now_unix_ms=now.unix_ms)
        task = tables.tasks.get(name)
        self._impossible_tasks.discard(name)
        match getattr(task, "state", None):
            case ttypes.TaskState.QUEUED:
                self._queue_task(tables, task, now, was_refused=was_refused)
            case ttypes.TaskState.IMPOSSIBLE:
                self._placer.remove(name)
                self._impossible_tasks.recheck(tables, task)
            case _:
                self._placer.remove(name)

    def _queue_task(
        self,
        tables: tables_module.Tables,
        task: ttypes.Task,
        now: fleet_module.Now,
        *,
        was_refused: bool,
    ) -> None:
        self._placer.enqueue(
            tables,
            task,
            now=now,
            not_before_unix_ms=now.unix_ms + _REFUSED_DELAY_MS * was_refused,
        )

    def _mark_impossible(
        self, tables: tables_module.Tables, waiting: Iterable[str]
    ) -> None:
        """Marks waiting tasks that turned out to be impossible when tried."""
        for name in waiting:
            task = tables.tasks[name]
            reason = self._impossible_tasks.find_reason(tables, task)
            if reason:
                self._impossible_tasks.mark(task, reason)

    def _start_probes(self, now: fleet_module.Now) -> None:
        for name in self.fleet.quarantine.begin_probations(
            now_s=now.monotonic_s
        ):
            self._worker_state_changes.probe(name)

    def _quarantine(
        self, tables: tables_module.Tables, name: str, reason: str
    ) -> None:
        worker = tables.workers.get(name)
        if worker is None or worker.state != ttypes.WorkerState.ACTIVE:
            return
        logs.event(
            "worker_quarantined", level="WARNING", worker=name, why=reason
        )
        self._worker_state_changes.quarantine(name, reason)


def _pop_some(names: set[str], limit: int) -> set[str]:
    """Removes up to `limit` names from a set and returns them."""
    if len(names) <= limit:
        taken = set(names)
        names.clear()
        return taken
    taken = set(itertools.islice(names, limit))
    names -= taken
    return taken
