"""Which workers get new runs, by how the last ones on them began and ended.

A worker that refuses starts is left alone for a while, longer each time. One
that fails what runs well elsewhere is put in quarantine, then tried with one
run. A task that failed goes to another worker where there is one. All of it is
forgotten with a worker's life and with this process.
"""

from collections.abc import Callable
import dataclasses

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.learning import quarantine as quarantine_module
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import machine
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# The pause after a refusal, which doubles with each that follows it. A refused
# start costs a commit and a call, and the task waits for both.
_PAUSE_S = 0.5
_PAUSE_LIMIT_S = 4.0
# A refusal so long after the last one is a new matter.
_REFUSALS_APART_S = 10.0
# Three failures of runs that are not known to fail elsewhere, or two that ran
# elsewhere, are enough here: a worker that fails at once takes a task of the
# queue every few milliseconds.
_LEAST_FAILURES = 1.7
# A quarantine costs a worker's room; one run that fails tells when it is over.
_COOLDOWN_S = 2.0
# Workers where a task failed that its next run avoids.
_AVOIDED_COUNT = 2
_KEPT_LIMIT = 20_000
# Refusals that say nothing of other runs on the same worker.
_ABOUT_THE_RUN = frozenset(
    {
        run_worker.RefusalReason.OUTDATED,
        run_worker.RefusalReason.NO_TICKET,
    }
)


@dataclasses.dataclass(slots=True)
class _Refusals:
    count: int = 0
    last_s: float = 0.0
    until_s: float = 0.0


class WorkerHealth:
    """Follows applied commands; called with the replica's lock held."""

    def __init__(self, *, decides: Callable[[], bool] = lambda: True):
        """Starts without any record.

        Args:
            decides: Whether this process leads, so that what it believes of
                workers has an effect and is logged.
        """
        self._decides = decides
        self._granted: dict[task_names.RunKey, str] = {}
        self._refusals: dict[str, _Refusals] = {}
        self._failed_on: dict[str, tuple[str, ...]] = {}
        self._quarantine = quarantine_module.Quarantine(
            least_failures=_LEAST_FAILURES, cooldown_s=_COOLDOWN_S
        )

    def take(self, command: ttypes.Command) -> None:
        """Takes an applied command in."""
        match machine.body_of(command):
            case ttypes.GrantRuns(grants=grants):
                for grant in grants:
                    self._granted[grant.task, grant.run] = grant.worker_id
                _bound(self._granted)
            case ttypes.RecordRunEnds(ends=ends):
                for end in ends:
                    self._take_end(end)

    def may_take(
        self, worker_id: str, *, count_runs: Callable[[], int]
    ) -> bool:
        """Whether a worker may get a run now.

        Args:
            worker_id: The life of the worker.
            count_runs: Counts the runs that may be alive on it and show
                whether it is sound, as `telling_runs_count` does; called only
                for a worker on probation.
        """
        refusals = self._refusals.get(worker_id)
        if refusals is not None and clock.now_s() < refusals.until_s:
            return False
        match self._quarantine.standing(worker_id):
            case quarantine_module.Standing.QUARANTINED:
                return False
            case quarantine_module.Standing.PROBATION:
                return not count_runs()
            case quarantine_module.Standing.GOOD:
                return True

    def avoided(self, task: str) -> frozenset[str]:
        """Workers where a task failed not long ago; needs no lock."""
        return frozenset(self._failed_on.get(task, ()))

    def look(self) -> None:
        """Lets workers whose quarantine is over be tried."""
        for worker_id in self._quarantine.due_for_probe(now_s=clock.now_s()):
            logs.event("worker_probed", worker_id=worker_id)

    def stands_still(self, worker_id: str, *, runs_count: int) -> None:
        """Takes note that nothing on a worker advances."""
        if self._quarantine.put_out(worker_id, now_s=clock.now_s()):
            logs.event(
                "worker_stalled",
                level="WARNING",
                worker_id=worker_id,
                runs_count=runs_count,
            )

    def advances(self, worker_id: str) -> None:
        """Takes note that a run on a worker advances."""
        if self._quarantine.restore(worker_id):
            logs.event("worker_restored", worker_id=worker_id, task="")

    def _take_end(self, end: ttypes.RunEnd) -> None:
        worker_id = self._granted.pop((end.task, end.run), "")
        if not worker_id:
            return
        match end.kind:
            case ttypes.RunEndKind.REFUSED:
                self._take_refusal(worker_id, end.detail)
            case ttypes.RunEndKind.DONE:
                self._refusals.pop(worker_id, None)
                self._failed_on.pop(end.task, None)
                self._take_done(worker_id, end.task)
            case ttypes.RunEndKind.FAILED:
                self._take_failure(worker_id, end.task)

    def _take_refusal(self, worker_id: str, reason: str) -> None:
        if reason in _ABOUT_THE_RUN:
            return
        now_s = clock.now_s()
        refusals = self._refusals.setdefault(worker_id, _Refusals())
        if now_s < refusals.until_s:
            # Of the same batch of starts.
            return
        if now_s - refusals.last_s > _REFUSALS_APART_S:
            refusals.count = 0
        pause_s = min(_PAUSE_S * 2**refusals.count, _PAUSE_LIMIT_S)
        refusals.count += 1
        refusals.last_s = now_s
        refusals.until_s = now_s + pause_s
        _bound(self._refusals)
        if not self._decides():
            return
        logs.event(
            "worker_left_alone",
            level="WARNING",
            worker_id=worker_id,
            pause_s=pause_s,
            refusals_count=refusals.count,
            reason=reason,
        )

    def _take_done(self, worker_id: str, task: str) -> None:
        restored = self._quarantine.ran(
            worker_id, _family_of(task), now_s=clock.now_s()
        )
        if restored and self._decides():
            logs.event("worker_restored", worker_id=worker_id, task=task)

    def _take_failure(self, worker_id: str, task: str) -> None:
        failed_on = (*self._failed_on.get(task, ()), worker_id)
        self._failed_on[task] = failed_on[-_AVOIDED_COUNT:]
        _bound(self._failed_on)
        reason = self._quarantine.failed(
            worker_id, _family_of(task), now_s=clock.now_s()
        )
        if reason and self._decides():
            logs.event(
                "worker_quarantined",
                level="WARNING",
                worker_id=worker_id,
                task=task,
                reason=reason,
            )


def telling_runs_count(
    jobs: job_tables.JobTables, view: agents_module.AgentView
) -> int:
    """How many runs on a worker show by themselves whether it is sound.

    What lasts never ends, and what stands still at pace 0 does not advance: a
    worker on probation that waited for those would get nothing for ever, while
    tasks that last wait for its room.
    """
    return sum(
        _is_telling(jobs.step_of(task), view.looks.get((task, run)))
        for task, run in jobs.runs_by_agent.get(view.name, ())
    )


def _is_telling(step: ttypes.Step | None, look: ttypes.RunLook | None) -> bool:
    if step is None or step.long_running:
        return False
    return look is None or look.pace_percent > 0


def _family_of(task: str) -> str:
    """Tasks of one step fail alike where the fault is theirs."""
    step_name, _, _ = task.rpartition(".")
    return step_name


def _bound(kept: dict) -> None:
    while len(kept) > _KEPT_LIMIT:
        del kept[next(iter(kept))]
