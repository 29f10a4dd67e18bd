"""Chooses the agent for a request to an entry."""

import random
import threading
import time

from marigoldsill import errors
from marigoldsill.coordination.requests import request_metrics
from marigoldsill.coordination.requests import service_routes
from marigoldsill.protocol.generated import ttypes

# How long an agent is excluded that refused a request because it drains.
_DRAINING_EXCLUSION_S = 2.0
_NO_ENDPOINT_RETRY_AFTER_MS = 500


class Router:
    """Picks the less loaded of two random agents.

    Agents in the entry's own data centre are preferred. If the one picked there is
    full, the less loaded of two agents elsewhere is used if its load is lower.
    """

    def __init__(self, *, data_centre: str, seed: int | None = None):
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._services: dict[str, service_routes.ServiceRoutes] = {}

    def replace_routes(self, routes: list[ttypes.Route]) -> None:
        """Replaces the routes of all services."""
        with self._lock:
            service_names = {route.service_name for route in routes}
            for name in service_names | self._services.keys():
                service = self._services.setdefault(
                    name, service_routes.ServiceRoutes()
                )
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
                service.accepting_routes(excluded_agents) if service else []
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
            routes = service.accepting_routes(excluded_agents)
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

    def record_duration(self, route: ttypes.Route, duration_s: float) -> None:
        """Records the duration of an idempotent attempt, answered or not."""
        with self._lock:
            load = self._find_load(route)
            if load is not None:
                load.record_duration(duration_s)

    def others_duration_s(
        self, service_name: str, *, excluded_agents: frozenset[str]
    ) -> float | None:
        """Returns the mean duration of attempts at the fastest of other agents.

        It is 0 before the first attempt at one has ended, and None without another
        agent that accepts requests and is not ejected.
        """
        with self._lock:
            service = self._services.get(service_name)
            if service is None:
                return None
            routes = service.healthy_routes(
                service.accepting_routes(excluded_agents), idempotent=True
            )
            if not routes:
                return None
            means_s = (service.loads[r.agent].mean_duration_s for r in routes)
            return min((m for m in means_s if m is not None), default=0.0)

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

    def _pick_by_data_centre(
        self,
        service: service_routes.ServiceRoutes,
        routes: list[ttypes.Route],
        now_s: float,
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
        self,
        service: service_routes.ServiceRoutes,
        routes: list[ttypes.Route],
        now_s: float,
    ) -> tuple[float, ttypes.Route]:
        """The less loaded of two random routes, with its load per slot."""
        pair = self._random.sample(routes, min(2, len(routes)))
        loads = [
            (service.loads[r.agent].total(now_s) / max(1, r.slots_count), r)
            for r in pair
        ]
        return min(loads, key=lambda item: item[0])

    def _find_load(
        self, route: ttypes.Route
    ) -> service_routes.AgentLoad | None:
        service = self._services.get(route.service_name)
        return service.loads.get(route.agent) if service else None
