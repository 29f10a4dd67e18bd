"""What the leader knows of agents and their workers; forgotten with its term.

Reports may overtake each other on two connections, so each is compared with
the newest one taken.
"""

import dataclasses
import threading

from marigoldsill.protocol.generated import ttypes


@dataclasses.dataclass(slots=True)
class AgentView:
    """One agent, as its reports describe it.

    Attributes:
        name: The agent's name.
        incarnation: Which start of the agent reported last.
        sequence: The number of its newest report.
        worker: Its worker, or None until it was described.
        silent: Whether the worker does not answer its agent.
        looks: What the worker listed as running, by (task, run).
        looked_s: When the newest list came.
    """

    name: str
    incarnation: int = 0
    sequence: int = 0
    worker: ttypes.PoolWorker | None = None
    silent: bool = False
    looks: dict[tuple[str, int], ttypes.RunLook] = dataclasses.field(
        default_factory=dict
    )
    looked_s: float = 0.0


class Agents:
    """All agents heard of in this term."""

    def __init__(self):
        self._lock = threading.Lock()
        self._views: dict[str, AgentView] = {}

    def reset(self) -> None:
        """Starts over as a new leader."""
        with self._lock:
            self._views = {}

    def get(self, name: str) -> AgentView | None:
        """What is known of an agent."""
        return self._views.get(name)

    def all(self) -> list[AgentView]:
        """Every agent heard of."""
        with self._lock:
            return list(self._views.values())

    def newer_incarnation(self, report: ttypes.AgentReport) -> int:
        """A later start of the agent that has reported, or 0."""
        view = self._views.get(report.agent)
        if view is None or view.incarnation <= report.incarnation:
            return 0
        return view.incarnation

    def take(self, report: ttypes.AgentReport, *, now_s: float) -> bool:
        """Takes a report in; False if a newer one was taken before."""
        with self._lock:
            view = self._views.setdefault(
                report.agent, AgentView(name=report.agent)
            )
            number = (report.incarnation, report.sequence)
            if number <= (view.incarnation, view.sequence):
                return False
            if report.incarnation != view.incarnation:
                view.worker = None
            view.incarnation, view.sequence = number
            if report.worker is not None:
                view.worker = report.worker
            view.silent = report.worker_silent
            if report.running is not None:
                view.looks = {(r.task, r.run): r for r in report.running}
                view.looked_s = now_s
            return True
