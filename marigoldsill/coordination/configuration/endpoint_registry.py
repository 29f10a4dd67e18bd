"""Registry of the endpoints that agents announced: soft state of the leader."""

from collections.abc import Iterable
import threading

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module


class EndpointRegistry:
    """Endpoints by agent, and the routes that result from them.

    Attributes:
        version: Incremented with each change of the routes.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._endpoints: dict[str, list[ttypes.EndpointInfo]] = {}
        self._awaited_agents: set[str] = set()
        self.version = 1

    @property
    def is_complete(self) -> bool:
        """Whether all agents of earlier leaders have announced or are lost."""
        with self._lock:
            return not self._awaited_agents

    def set_endpoints(
        self, agent: str, endpoints: list[ttypes.EndpointInfo]
    ) -> bool:
        """Replaces an agent's endpoints, and returns whether anything changed."""
        with self._lock:
            self._awaited_agents.discard(agent)
            if self._endpoints.get(agent) == endpoints:
                return False
            self._endpoints[agent] = endpoints
            self.version += 1
            return True

    def has_agent(self, agent: str) -> bool:
        """Whether an agent has announced its endpoints to this leader."""
        with self._lock:
            return agent in self._endpoints

    def remove_agent(self, agent: str) -> bool:
        """Removes an agent, and returns whether it was known or awaited."""
        with self._lock:
            known = (
                self._endpoints.pop(agent, None) is not None
                or agent in self._awaited_agents
            )
            self._awaited_agents.discard(agent)
            self.version += known
            return known

    def mark_changed(self) -> None:
        """Records that routes changed for another reason, such as a drain."""
        with self._lock:
            self.version += 1

    def reset(self, awaited_agents: Iterable[str] = ()) -> None:
        """Removes all endpoints, as a new leader does.

        Args:
            awaited_agents: The agents that should announce their endpoints again.
        """
        with self._lock:
            self._endpoints.clear()
            self._awaited_agents = set(awaited_agents)
            self.version += 1

    def build_routes(self, tables: tables_module.Tables) -> list[ttypes.Route]:
        """Returns the routes for requests, one for each service and agent."""
        with self._lock:
            announced = [(a, list(e)) for a, e in self._endpoints.items()]
        workers = tables.workers
        return [
            route
            for agent, endpoints in announced
            if agent in workers
            for route in _build_agent_routes(
                workers[agent],
                endpoints,
                is_draining=tables.is_draining(workers[agent]),
            )
        ]


def _build_agent_routes(
    worker: ttypes.Worker,
    endpoints: list[ttypes.EndpointInfo],
    *,
    is_draining: bool,
) -> list[ttypes.Route]:
    services = sorted({e.service_name for e in endpoints})
    return [
        ttypes.Route(
            agent=worker.name,
            agent_address=worker.agent_address,
            data_centre=worker.data_centre,
            service_name=service,
            slots_count=sum(
                e.slots_count for e in endpoints if e.service_name == service
            ),
            draining=is_draining
            or all(e.draining for e in endpoints if e.service_name == service),
            agent_incarnation=worker.incarnation,
        )
        for service in services
    ]
