"""An entry's choice of an agent for a request."""

import random
import threading

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes


class Router:
    """Picks of two random agents the one with fewer requests in flight."""

    def __init__(self, *, data_centre: str, seed: int | None = None):
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._routes: dict[str, list[ttypes.Route]] = {}
        self._in_flight: dict[str, int] = {}

    def update(self, routes: list[ttypes.Route]) -> None:
        """Replaces all routes."""
        services = {route.service_name for route in routes}
        table = {
            s: [r for r in routes if r.service_name == s] for s in services
        }
        with self._lock:
            self._routes = table

    def pick(
        self, service: str, *, excluded: frozenset[str] = frozenset()
    ) -> ttypes.Route:
        """Picks a route and counts a request on it.

        Raises:
            NoEndpointError: No agent takes requests of the service.
        """
        with self._lock:
            usable = [
                route
                for route in self._routes.get(service, ())
                if not route.draining and route.agent not in excluded
            ]
            near = [r for r in usable if r.data_centre == self._data_centre]
            choices = near or usable
            if not choices:
                raise errors.NoEndpointError(
                    f"no endpoint of {service!r} takes requests now",
                    retry_after_ms=500,
                )
            pair = self._random.sample(choices, min(2, len(choices)))
            route = min(pair, key=self._load)
            self._in_flight[route.agent] = (
                self._in_flight.get(route.agent, 0) + 1
            )
            return route

    def done(self, route: ttypes.Route) -> None:
        """Counts a request on a route as ended."""
        with self._lock:
            self._in_flight[route.agent] -= 1

    def _load(self, route: ttypes.Route) -> float:
        return self._in_flight.get(route.agent, 0) / max(1, route.slots_count)
