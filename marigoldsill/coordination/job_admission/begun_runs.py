"""Runs that workers are known to have begun, as their agents reported.

A process of an agent that finds its worker ended does not know which runs an earlier
process had started there. The leader may know.
"""

from collections.abc import Iterable

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


class BegunRuns:
    """Live runs that agents reported as begun in this term.

    Not thread-safe: the replica's lock must be held for every call.
    """

    def __init__(self):
        self._by_agent: dict[str, set[task_names.RunKey]] = {}
        # The incarnation of each agent's worker that drains; its end is no crash.
        self._draining_ids: dict[str, str] = {}

    def reset(self) -> None:
        """Drops all runs at the start of a term."""
        self._by_agent = {}
        self._draining_ids = {}

    def record_report(
        self, jobs: job_tables.JobTables, report: ttypes.AgentReport
    ) -> None:
        """Records the runs that a report names as running or begun.

        They count only for the incarnation that they were granted to: a later one of
        the same name may begin a run late.
        """
        self._record_draining(report.agent, report.worker)
        reported = {
            (run.task, run.run)
            for run in (*(report.running or ()), *report.begun)
        }
        known = self._by_agent.get(report.agent, set())
        live = jobs.runs_by_agent.get(report.agent, {})
        self._by_agent[report.agent] = {
            key
            for key, run in live.items()
            if run.worker_id != self._draining_ids.get(report.agent)
            and (
                key in known
                or (key in reported and run.worker_id == report.worker_id)
            )
        }

    def _record_draining(
        self, agent: str, worker: ttypes.PoolWorker | None
    ) -> None:
        if worker is None:
            return
        self._draining_ids.pop(agent, None)
        if worker.draining:
            self._draining_ids[agent] = worker.worker_id

    def complete_ends(self, agent: str, ends: Iterable[ttypes.RunEnd]) -> None:
        """Marks reported losses of runs that are known to have begun."""
        begun = self._by_agent.get(agent, set())
        for end in ends:
            end.has_begun |= (
                end.has_worker_ended and (end.task, end.run) in begun
            )
