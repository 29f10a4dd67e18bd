"""Checks each start in the cluster model, and counts what the model has reached."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import tables as tables_module
from tests.coordination.jobs import model_worker

WORKER_CORES = 4


class StartChecks:
    """What was wrong with starts, as seen at the workers.

    Attributes:
        violations: What was wrong.
        counts: How often each kind of event occurred.
        workers: The workers by the name of their agent.
    """

    def __init__(
        self,
        *,
        step_of: Callable[[str], ttypes.Step],
        tables: Callable[[], tables_module.Tables],
    ):
        """Initializes the checks.

        Args:
            step_of: Returns the step of a task.
            tables: Returns the replicated state.
        """
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.workers: Mapping[str, model_worker.ModelWorker] = {}
        self._step_of = step_of
        self._tables = tables
        self._begun: set[task_names.RunKey] = set()

    def check(
        self,
        worker: model_worker.ModelWorker,
        key: task_names.RunKey,
        is_late: bool,
    ) -> None:
        """Checks what a worker has after a run began on it."""
        task, run = key
        step = self._step_of(task)
        self._count(key, step, is_late)
        cores = sum(
            self._step_of(other).resources.cpu_millicores
            for other, _ in worker.running
        )
        if cores > WORKER_CORES * 1_000:
            self.violations.append(f"{key} began over the capacity")
        siblings_count = task_names.count_of_step(task, set(worker.running))
        if 0 < step.spread_limit < siblings_count:
            self.violations.append(f"{key} began over the spread limit")
        if self._runs_count(task) > 1:
            self.violations.append(f"{key} began beside another run")
        if key in self._begun:
            self.violations.append(f"{key} began again")
        self._begun.add(key)
        if self._is_recorded_as_done(task):
            self.violations.append(f"{key} began after its task was done")

    def check_request(
        self,
        worker: model_worker.ModelWorker,
        key: task_names.RunKey,
        capacity: ttypes.Resources,
    ) -> None:
        """Checks that a run that is requested fits into the announced capacity."""
        cores = sum(
            self._step_of(task).resources.cpu_millicores
            for task, _ in {key, *worker.running}
        )
        if cores > capacity.cpu_millicores:
            self.violations.append(f"{key} was requested over the capacity")

    def check_ends(self, keys: Iterable[task_names.RunKey]) -> None:
        """Checks that runs whose end was recorded are on no worker."""
        for worker in self.workers.values():
            worker.expire_runs()
            self.violations += [
                f"{key} was recorded as ended while it runs"
                for key in keys
                if key in worker.running
            ]

    def _count(
        self, key: task_names.RunKey, step: ttypes.Step, is_late: bool
    ) -> None:
        task, run = key
        self.counts["starts"] += 1
        self.counts["starts without a limit"] += not step.spread_limit
        self.counts["later runs"] += run > 1
        self.counts["starts of gangs"] += step.gang
        self.counts["late starts"] += is_late
        self.counts["starts beside a start under way"] += any(
            worker.has_late_start(task) for worker in self.workers.values()
        )

    def _runs_count(self, task: str) -> int:
        return sum(
            other == task
            for worker in self.workers.values()
            for other, _ in worker.running
        )

    def _is_recorded_as_done(self, task: str) -> bool:
        jobs = self._tables().jobs
        record = jobs.jobs.get(task_names.parse(task).job_id)
        if record is None or record.state == ttypes.JobState.COMPLETED:
            return True
        found = job_tables.find_task(record, task_names.parse(task))
        return found is not None and found.done


def kind_of_end(end: ttypes.RunEnd) -> str:
    """Returns the name under which the record of an end is counted."""
    detail = end.detail or ""
    if detail.startswith("the lease of"):
        return "ends by a lease"
    if "never began" in detail:
        return "ends of runs that never began"
    if detail.startswith("stopped before"):
        return "inferred ends"
    return f"ends as {ttypes.RunEndKind(end.kind).name.lower()}"
