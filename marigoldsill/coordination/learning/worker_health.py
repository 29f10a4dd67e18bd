"""Excludes workers from new runs by how recent runs on them started and ended.

A worker that refuses starts gets none for an exponentially growing backoff. A worker
that fails runs of tasks that succeed elsewhere is quarantined, and then put on probation
with one run; both restrict less a step that no other worker takes. A task that failed on
a worker avoids it if there is another. This state applies to one incarnation of a
worker, and is lost when this process ends.
"""

from collections.abc import Callable
from collections.abc import Set
import dataclasses
import math

from marigoldsill.coordination.learning import quarantine as quarantine_module
from marigoldsill.coordination.learning import refusal_backoff
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# Weighted failures that quarantine a worker. Three failures of tasks that are not known
# to fail elsewhere, or two of tasks that succeeded elsewhere, are enough: a worker that
# fails runs immediately takes a task from the queue every few milliseconds.
_MIN_FAILURES = 1.7
# It is short, as a quarantine costs the capacity of a worker, and afterwards a single
# failed run is enough to quarantine the worker again.
_COOLDOWN_S = 2.0
# For a step that no other worker takes, a quarantine lasts no longer than this, and
# trials of a worker are this far apart. A trial that fails costs the step an attempt.
_WANTED_COOLDOWN_S = 4.0
_TRIAL_INTERVAL_S = 2.0
# Number of workers on which a task failed last and which its next run avoids.
_AVOIDED_COUNT = 2
_ENTRIES_LIMIT = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class _Grant:
    """A run whose end is still to be recorded.

    Attributes:
        worker_id: The incarnation of the worker that it was granted to.
        granted_s: When the grant was applied.
        is_probe: Whether the worker was on probation then, so that the run's end
            decides on the probation.
    """

    worker_id: str
    granted_s: float
    is_probe: bool


class WorkerHealth:
    """Refusals and failures of workers, by the applied commands.

    Called with the replica's lock held.
    """

    def __init__(self, *, is_leader: Callable[[], bool] = lambda: True):
        """Creates a record without any runs.

        Args:
            is_leader: Whether this process leads, so that its view of workers has an
                effect and is logged.
        """
        self._is_leader = is_leader
        self._granted: dict[task_names.RunKey, _Grant] = {}
        self._refusals = refusal_backoff.RefusalBackoff(is_leader=is_leader)
        self._failed_on: dict[str, tuple[str, ...]] = {}
        # When runs that decide on probations were last granted, by worker.
        self._probed_s: dict[str, float] = {}
        self._quarantine = quarantine_module.Quarantine(
            min_blame=_MIN_FAILURES, cooldown_s=_COOLDOWN_S
        )

    def observe_command(self, command: ttypes.Command) -> None:
        """Records runs that an applied command grants or ends."""
        match state_machine.body_of(command):
            case ttypes.GrantRuns(grants=grants):
                for grant in grants:
                    self._record_grant(grant)
                _drop_oldest(self._granted)
            case ttypes.RecordRunEnds(ends=ends):
                for end in ends:
                    self._record_end(end)

    def may_start_run(
        self, worker_id: str, *, count_runs: Callable[[], int]
    ) -> bool:
        """Returns whether a worker may start a run now.

        Args:
            worker_id: The incarnation of the worker.
            count_runs: Counts the runs on it that will show whether it is healthy,
                called only for a worker on probation.
        """
        if self._refusals.is_active(worker_id):
            return False
        match self._quarantine.status_of(worker_id):
            case quarantine_module.HealthStatus.QUARANTINED:
                return False
            case quarantine_module.HealthStatus.PROBATION:
                return not count_runs()
            case quarantine_module.HealthStatus.GOOD:
                return True

    def may_try_run(self, worker_id: str) -> bool:
        """Returns whether a step without another worker may start on one now.

        It may start beside a run that probes the worker, as such a run may take
        any time. Needs no lock.
        """
        if self._refusals.is_active(worker_id):
            return False
        probed_s = self._probed_s.get(worker_id, -math.inf)
        return (
            self.is_on_probation(worker_id)
            and clock.now_s() - probed_s >= _TRIAL_INTERVAL_S
        )

    def is_quarantined(self, worker_id: str) -> bool:
        """Returns whether a worker gets no runs as it failed or stalled."""
        status = self._quarantine.status_of(worker_id)
        return status == quarantine_module.HealthStatus.QUARANTINED

    def is_on_probation(self, worker_id: str) -> bool:
        """Returns whether the next run on a worker decides on its health."""
        status = self._quarantine.status_of(worker_id)
        return status == quarantine_module.HealthStatus.PROBATION

    def is_probe(self, key: task_names.RunKey) -> bool:
        """Returns whether a run was granted while its worker was on probation."""
        grant = self._granted.get(key)
        return grant is not None and grant.is_probe

    def workers_to_avoid(self, task: str) -> frozenset[str]:
        """Returns workers on which a task failed recently; needs no lock."""
        return frozenset(self._failed_on.get(task, ()))

    def begin_due_probations(self) -> None:
        """Puts workers whose quarantine is over on probation."""
        self.begin_wanted_probations(frozenset())

    def begin_wanted_probations(self, worker_ids: Set[str]) -> None:
        """Does so earlier for workers that steps without another one wait for."""
        for worker_id in self._quarantine.begin_probations(
            now_s=clock.now_s(),
            wanted=worker_ids,
            wanted_cooldown_s=_WANTED_COOLDOWN_S,
        ):
            logs.event("worker_probed", worker_id=worker_id)

    def report_stall(self, worker_id: str, *, runs_count: int) -> None:
        """Quarantines a worker on which no run makes progress."""
        if self._quarantine.quarantine_stalled(worker_id, now_s=clock.now_s()):
            logs.event(
                "worker_stalled",
                level="WARNING",
                worker_id=worker_id,
                runs_count=runs_count,
            )

    def report_progress(self, worker_id: str) -> None:
        """Restores a worker that had stalled, as a run on it makes progress."""
        if self._quarantine.restore_stalled(worker_id):
            logs.event("worker_restored", worker_id=worker_id, task="")

    def _record_grant(self, grant: ttypes.RunGrant) -> None:
        now_s = clock.now_s()
        is_probe = self.is_on_probation(grant.worker_id)
        if is_probe:
            self._probed_s.pop(grant.worker_id, None)
            self._probed_s[grant.worker_id] = now_s
            _drop_oldest(self._probed_s)
        self._granted[grant.task, grant.run] = _Grant(
            worker_id=grant.worker_id, granted_s=now_s, is_probe=is_probe
        )

    def _record_end(self, end: ttypes.RunEnd) -> None:
        grant = self._granted.pop((end.task, end.run), None)
        if grant is None:
            return
        match end.kind:
            case ttypes.RunEndKind.REFUSED:
                self._refusals.record_refusal(grant.worker_id, end.detail)
            case ttypes.RunEndKind.DONE:
                self._refusals.record_success(
                    grant.worker_id, granted_s=grant.granted_s
                )
                self._failed_on.pop(end.task, None)
                self._record_success(grant, end.task)
            case ttypes.RunEndKind.FAILED:
                self._record_failure(grant, end.task)

    def _record_success(self, grant: _Grant, task: str) -> None:
        is_restored = self._quarantine.record_success(
            grant.worker_id,
            task_names.step_name_of(task),
            now_s=clock.now_s(),
            is_probe=grant.is_probe,
        )
        if is_restored and self._is_leader():
            logs.event("worker_restored", worker_id=grant.worker_id, task=task)

    def _record_failure(self, grant: _Grant, task: str) -> None:
        worker_id = grant.worker_id
        failed_on = (*self._failed_on.get(task, ()), worker_id)
        self._failed_on[task] = failed_on[-_AVOIDED_COUNT:]
        _drop_oldest(self._failed_on)
        reason = self._quarantine.record_failure(
            worker_id,
            # Tasks of a step fail alike if the fault is their own.
            task_names.step_name_of(task),
            now_s=clock.now_s(),
            is_probe=grant.is_probe,
        )
        if reason and self._is_leader():
            logs.event(
                "worker_quarantined",
                level="WARNING",
                worker_id=worker_id,
                task=task,
                reason=reason,
            )


def _drop_oldest(entries: dict) -> None:
    while len(entries) > _ENTRIES_LIMIT:
        del entries[next(iter(entries))]
