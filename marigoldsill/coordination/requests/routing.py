"""Chooses the agent for a request to an entry."""

import dataclasses
import random
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.requests import outlier_detection
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.protocol.generated import ttypes

# Age at which a load report no longer counts; its weight decreases linearly.
_REPORT_VALIDITY_S = 1.0
# How long an agent is excluded that refused a request because it drains.
_DRAINING_EXCLUSION_S = 2.0
_NO_ENDPOINT_RETRY_AFTER_MS = 500


@dataclasses.dataclass(slots=True)
class _AgentLoad:
    """The load of one agent.

    Attributes:
        own_requests_count: Number of this entry's requests in flight.
        other_requests_count: Number of other entries' requests, as reported by
            the agent.
        reported_s: When it was reported, on the monotonic clock.
        draining_until_s: Until when the agent is excluded, as it drains.
    """

    own_requests_count: int = 0
    other_requests_count: float = 0.0
    reported_s: float = 0.0
    draining_until_s: float = 0.0

    def total(self, now_s: float) -> float:
        """Number of requests; the weight of a report decreases with its age."""
        age_ratio = (now_s - self.reported_s) / _REPORT_VALIDITY_S
        return self.own_requests_count + self.other_requests_count * max(
            0.0, 1.0 - age_ratio
        )


class _ServiceRoutes:
    """The routes of one service with the load and health of its agents."""

    def __init__(self):
        self.routes: list[ttypes.Route] = []
        self.loads: dict[str, _AgentLoad] = {}
        self.outlier_detector = outlier_detection.OutlierDetector()

    def replace_routes(self, routes: list[ttypes.Route]) -> None:
        agents = {route.agent for route in routes}
        self.routes = routes
        self.outlier_detector.retain_agents(agents)
        # An agent whose route no longer drains gets requests again at once.
        for route in routes:
            load = self.loads.setdefault(route.agent, _AgentLoad())
            if not route.draining:
                load.draining_until_s = 0.0
        self.loads = {
            agent: load
            for agent, load in self.loads.items()
            if agent in agents or load.own_requests_count
        }

    def healthy_routes(
        self, routes: list[ttypes.Route], *, idempotent: bool
    ) -> list[ttypes.Route]:
        """Returns the routes to agents that are not ejected or due for a probe."""
        return [
            route
            for route in routes
            if self.outlier_detector.is_usable(
                route.agent, idempotent=idempotent
            )
        ]


class Router:
    """Picks the less loaded of two random agents.

    Agents in the entry's own data centre are preferred. If the one picked there is
    full, the less loaded of two agents elsewhere is used if its load is lower.
    """

    def __init__(self, *, data_centre: str, seed: int | None = None):
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._services: dict[str, _ServiceRoutes] = {}

    def replace_routes(self, routes: list[ttypes.Route]) -> None:
        """Replaces the routes of all services."""
        with self._lock:
            service_names = {route.service_name for route in routes}
            for name in service_names | self._services.keys():
                service = self._services.setdefault(name, _ServiceRoutes())
                service.replace_routes(
                    [r for r in routes if r.service_name == name]
                )
            self._services = {
                name: s
                for name, s in self._services.items()
                if s.routes or s.loads
            }

    def slots_count(self, service_name: str) -> int:
        """Number of slots of all agents that accept a service's requests."""
        with self._lock:
            service = self._services.get(service_name)
            if service is None:
                return 0
            return sum(r.slots_count for r in service.routes if not r.draining)

    def pick_route(
        self,
        service_name: str,
        *,
        excluded_agents: frozenset[str] = frozenset(),
        idempotent: bool = True,
        healthy_only: bool = False,
    ) -> ttypes.Route:
        """Picks a route and counts a request on it until `record_end`.

        Args:
            service_name: Name of the service.
            excluded_agents: Agents that are not picked.
            idempotent: Whether the request is idempotent and may be a probe.
            healthy_only: Whether ejected agents are not even picked if all
                others are excluded.

        Raises:
            NoEndpointError: No agent accepts requests of the service.
        """
        now_s = time.monotonic()
        with self._lock:
            service = self._services.get(service_name)
            accepting = (
                self._accepting_routes(service, excluded_agents, now_s)
                if service
                else []
            )
            if not accepting:
                raise errors.NoEndpointError(
                    f"no endpoint of {service_name!r} accepts requests now",
                    retry_after_ms=_NO_ENDPOINT_RETRY_AFTER_MS,
                )
            healthy = service.healthy_routes(accepting, idempotent=idempotent)
            if healthy_only and not healthy:
                raise errors.NoEndpointError(
                    f"no other healthy endpoint of {service_name!r} accepts "
                    "requests now",
                    retry_after_ms=_NO_ENDPOINT_RETRY_AFTER_MS,
                )
            route = self._pick_by_data_centre(
                service, healthy or accepting, now_s
            )
            service.loads[route.agent].own_requests_count += 1
            service.outlier_detector.record_start(route.agent)
            return route

    def has_route(
        self,
        service_name: str,
        *,
        excluded_agents: frozenset[str],
        idempotent: bool = True,
        healthy_only: bool = False,
    ) -> bool:
        """Whether `pick_route` finds a route now."""
        with self._lock:
            service = self._services.get(service_name)
            if service is None:
                return False
            routes = self._accepting_routes(
                service, excluded_agents, time.monotonic()
            )
            if healthy_only:
                routes = service.healthy_routes(routes, idempotent=idempotent)
            return bool(routes)

    def record_end(self, route: ttypes.Route) -> None:
        """Records the end of a request on a route."""
        with self._lock:
            service = self._services.get(route.service_name)
            load = service.loads.get(route.agent) if service else None
            if load is not None:
                load.own_requests_count -= 1
            if service is not None:
                service.outlier_detector.record_end(route.agent)

    def record_load(
        self, route: ttypes.Route, *, in_flight: int, queued: int
    ) -> None:
        """Records the load that an agent reported with an answer."""
        with self._lock:
            load = self._find_load(route)
            if load is not None:
                load.other_requests_count = max(
                    0, in_flight + queued - load.own_requests_count
                )
                load.reported_s = time.monotonic()

    def record_draining(self, route: ttypes.Route) -> None:
        """Excludes an agent that refused because it drains.

        Its route is marked as draining only later.
        """
        with self._lock:
            load = self._find_load(route)
            if load is not None:
                load.draining_until_s = time.monotonic() + _DRAINING_EXCLUSION_S

    def record_success(self, route: ttypes.Route) -> None:
        """Records a successful answer from an agent."""
        with self._lock:
            service = self._services.get(route.service_name)
            if service is not None:
                service.outlier_detector.record_success(route.agent)

    def record_failure(self, route: ttypes.Route) -> None:
        """Records the failure of a request at an agent or its endpoint."""
        with self._lock:
            service = self._services.get(route.service_name)
            is_ejected = (
                service is not None
                and service.outlier_detector.record_failure(
                    route.agent, agents_count=len(service.routes)
                )
            )
        if is_ejected:
            request_metrics.EJECTIONS.labels(service=route.service_name).inc()

    def _accepting_routes(
        self,
        service: _ServiceRoutes,
        excluded_agents: frozenset[str],
        now_s: float,
    ) -> list[ttypes.Route]:
        return [
            route
            for route in service.routes
            if not route.draining
            and route.agent not in excluded_agents
            and service.loads[route.agent].draining_until_s <= now_s
        ]

    def _pick_by_data_centre(
        self, service: _ServiceRoutes, routes: list[ttypes.Route], now_s: float
    ) -> ttypes.Route:
        """A local route, or a remote one if it is less loaded than a full one."""
        local = [r for r in routes if r.data_centre == self._data_centre]
        remote = [r for r in routes if r.data_centre != self._data_centre]
        if not local or not remote:
            return self._pick_less_loaded(service, local or remote, now_s)[1]
        load, route = self._pick_less_loaded(service, local, now_s)
        if load < 1.0:
            return route
        remote_load, remote_route = self._pick_less_loaded(
            service, remote, now_s
        )
        return remote_route if remote_load < load else route

    def _pick_less_loaded(
        self, service: _ServiceRoutes, routes: list[ttypes.Route], now_s: float
    ) -> tuple[float, ttypes.Route]:
        """The less loaded of two random routes, with its load per slot."""
        pair = self._random.sample(routes, min(2, len(routes)))
        loads = [
            (service.loads[r.agent].total(now_s) / max(1, r.slots_count), r)
            for r in pair
        ]
        return min(loads, key=lambda item: item[0])

    def _find_load(self, route: ttypes.Route) -> _AgentLoad | None:
        service = self._services.get(route.service_name)
        return service.loads.get(route.agent) if service else None
