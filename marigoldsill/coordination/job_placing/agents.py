"""The leader's view of agents and of grants to them, kept for one term.

Reports may overtake each other on two connections, so a report that is older than
the newest recorded one is ignored.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import threading

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True)
class AgentView:
    """An agent as described by its reports; each report creates a new view.

    Attributes:
        name: The agent's name.
        incarnation: The agent's latest incarnation that has reported.
        sequence: The sequence number of its newest report.
        worker: Its worker, or None before the first description.
        is_worker_unresponsive: Whether the worker does not answer its agent.
        starts_refused_until_s: Until when the worker refuses all starts.
        samples: The runs that the worker listed, by (task, run).
        sampled_s: When the newest samples arrived.
    """

    name: str
    incarnation: int = 0
    sequence: int = 0
    worker: ttypes.PoolWorker | None = None
    is_worker_unresponsive: bool = False
    starts_refused_until_s: float = 0.0
    samples: dict[tuple[str, int], ttypes.RunSample] = dataclasses.field(
        default_factory=dict
    )
    sampled_s: float = 0.0


class Agents:
    """All agents that have reported in this term."""

    def __init__(self):
        self._lock = threading.Lock()
        self._views: dict[str, AgentView] = {}
        self._changed: set[str] = set()

    def reset(self) -> None:
        """Drops all agents at the start of a term."""
        with self._lock:
            self._views = {}
            self._changed = set()

    def get(self, name: str) -> AgentView | None:
        """Returns an agent's view, or None before its first report."""
        return self._views.get(name)

    def all(self) -> list[AgentView]:
        """Returns the views of all agents."""
        with self._lock:
            return list(self._views.values())

    def take_changed(self) -> list[AgentView]:
        """Returns the views of agents that have reported since the last call."""
        with self._lock:
            changed, self._changed = self._changed, set()
            return [self._views[name] for name in changed]

    def find_newer_incarnation(self, report: ttypes.AgentReport) -> int:
        """Returns a later incarnation of the agent that has reported, or 0."""
        view = self._views.get(report.agent)
        if view is None or view.incarnation <= report.incarnation:
            return 0
        return view.incarnation

    def record_report(
        self, report: ttypes.AgentReport, *, now_s: float
    ) -> bool:
        """Records a report; returns False if a newer one was recorded before."""
        with self._lock:
            before = self._views.get(report.agent)
            if before is None:
                before = AgentView(name=report.agent)
            number = (report.incarnation, report.sequence)
            if number <= (before.incarnation, before.sequence):
                return False
            self._views[report.agent] = _updated_view(before, report, now_s)
            self._changed.add(report.agent)
            return True


class PendingGrants:
    """Grants that are not known to be applied; used by one thread."""

    def __init__(self):
        self._by_agent: dict[str, dict[task_names.RunKey, ttypes.RunGrant]] = {}

    def of_agent(self, agent: str) -> Collection[ttypes.RunGrant]:
        """Returns the pending grants to an agent."""
        return self._by_agent.get(agent, {}).values()

    def update(
        self, grants: Iterable[ttypes.RunGrant], *, is_decided: bool
    ) -> set[str]:
        """Records whether the outcome of some grants is known; returns their agents."""
        agents = set()
        for grant in grants:
            agents.add(grant.agent)
            pending = self._by_agent.setdefault(grant.agent, {})
            if is_decided:
                pending.pop((grant.task, grant.run), None)
            else:
                pending[grant.task, grant.run] = grant
            if not pending:
                del self._by_agent[grant.agent]
        return agents


def _updated_view(
    before: AgentView, report: ttypes.AgentReport, now_s: float
) -> AgentView:
    """Returns an agent's view with a report applied to it."""
    worker = report.worker
    if worker is None and report.incarnation == before.incarnation:
        worker = before.worker
    samples, sampled_s = before.samples, before.sampled_s
    if report.running is not None:
        samples = {
            (sample.task, sample.run): sample for sample in report.running
        }
        sampled_s = now_s
    return AgentView(
        name=before.name,
        incarnation=report.incarnation,
        sequence=report.sequence,
        worker=worker,
        is_worker_unresponsive=report.worker_silent,
        starts_refused_until_s=now_s + report.starts_refused_ms / 1000,
        samples=samples,
        sampled_s=sampled_s,
    )
