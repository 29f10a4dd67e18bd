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

    def reset(self) -> None:
        """Drops all runs at the start of a term."""
        self._by_agent = {}

    def record_report(
        self, jobs: job_tables.JobTables, report: ttypes.AgentReport
    ) -> None:
        """Records the runs that a report names as running or begun."""
        begun = self._by_agent.get(report.agent, set()).union(
            (run.task, run.run)
            for run in (*(report.running or ()), *report.begun)
        )
        live = jobs.runs_by_agent.get(report.agent, {}).keys()
        self._by_agent[report.agent] = begun & live

    def complete_ends(self, agent: str, ends: Iterable[ttypes.RunEnd]) -> None:
        """Marks reported losses of runs that are known to have begun."""
        begun = self._by_agent.get(agent, set())
        for end in ends:
            end.has_begun |= (
                end.has_worker_ended and (end.task, end.run) in begun
            )
