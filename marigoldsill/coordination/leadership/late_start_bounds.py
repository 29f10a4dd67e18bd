"""Runs that may be alive although the lease of their agent has expired.

A worker that restarts under its id carries out late calls that were meant for its earlier
incarnation, also if it is cut off from its agent. The agent reports which runs such calls
may still begin or keep alive, and how long. This is not in the log, so a new leader waits
for the first report of each agent.
"""

from collections.abc import Iterable
import dataclasses
import math

from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# How long a new leader waits for the first report of an agent. Longer than an agent
# takes to find it: reports are 1 s apart, and one to a leader that does not answer times
# out after 1 s.
_FIRST_REPORT_S = 2.5


@dataclasses.dataclass(slots=True)
class _Bounds:
    """The latest ends of late runs, as reported by one incarnation of an agent.

    Attributes:
        incarnation: The agent's incarnation.
        ends_s: By its newest report.
        earlier_ends_s: By reports of earlier incarnations of the agent.
    """

    incarnation: int
    ends_s: dict[task_names.RunKey, float]
    earlier_ends_s: dict[task_names.RunKey, float]


class LateStartBounds:
    """When runs are over that may begin late; kept for one term.

    Called with the replica's lock held.
    """

    def __init__(self):
        self._by_agent: dict[str, _Bounds] = {}
        self._term_began_s = -math.inf

    def reset(self, *, now_s: float) -> None:
        """Drops all bounds at the start of a term."""
        self._by_agent.clear()
        self._term_began_s = now_s

    def record_report(
        self, report: ttypes.AgentReport, *, now_s: float
    ) -> None:
        """Records the newest report of an agent."""
        before = self._by_agent.get(report.agent)
        earlier_ends_s = {}
        if before is not None and before.incarnation == report.incarnation:
            earlier_ends_s = before.earlier_ends_s
        elif before is not None:
            # The new process of the agent does not know what its predecessor has sent.
            earlier_ends_s = before.earlier_ends_s | before.ends_s
        self._by_agent[report.agent] = _Bounds(
            incarnation=report.incarnation,
            ends_s=_latest_ends_s(report.late_starts, now_s),
            earlier_ends_s={
                key: end_s
                for key, end_s in earlier_ends_s.items()
                if end_s > now_s
            },
        )

    def may_be_alive(
        self, agent: str, live: job_tables.LiveRun, *, now_s: float
    ) -> bool:
        """Whether a run may begin or be alive after its agent's lease."""
        bounds = self._by_agent.get(agent)
        if bounds is None:
            started_ms = incarnation_ids.started_unix_ms_of(live.worker_id)
            is_new_term = now_s - self._term_began_s < _FIRST_REPORT_S
            return started_ms is not None and is_new_term
        key = (live.task, live.run)
        return now_s < max(
            bounds.ends_s.get(key, -math.inf),
            bounds.earlier_ends_s.get(key, -math.inf),
        )


def _latest_ends_s(
    late_starts: Iterable[ttypes.LateStart], now_s: float
) -> dict[task_names.RunKey, float]:
    """Returns the latest end of each run."""
    ends_s: dict[task_names.RunKey, float] = {}
    for late in late_starts:
        key = (late.task, late.run)
        end_s = now_s + late.remaining_ms / 1000
        ends_s[key] = max(end_s, ends_s.get(key, end_s))
    return ends_s
