"""The routes of one service, with the load and health of its agents."""

import dataclasses
import time

from marigoldsill.coordination.requests import outlier_detection
from marigoldsill.protocol.generated import ttypes

# Age at which a load report no longer counts; its weight decreases linearly.
_REPORT_VALIDITY_S = 1.0
# Weight of a new value in the moving average of the duration.
_DURATION_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class AgentLoad:
    """The load of one agent.

    Attributes:
        own_requests_count: Number of this entry's requests in flight.
        other_requests_count: Number of other entries' requests, as reported by
            the agent.
        reported_s: When it was reported, on the monotonic clock.
        draining_until_s: Until when the agent is excluded, as it drains.
        mean_duration_s: Mean duration of this entry's idempotent attempts, answered
            or not, or None before the first.
    """

    own_requests_count: int = 0
    other_requests_count: float = 0.0
    reported_s: float = 0.0
    draining_until_s: float = 0.0
    mean_duration_s: float | None = None

    def total(self, now_s: float) -> float:
        """Number of requests; the weight of a report decreases with its age."""
        age_ratio = (now_s - self.reported_s) / _REPORT_VALIDITY_S
        return self.own_requests_count + self.other_requests_count * max(
            0.0, 1.0 - age_ratio
        )

    def record_duration(self, duration_s: float) -> None:
        """Updates the mean duration."""
        mean_s = self.mean_duration_s
        if mean_s is None:
            mean_s = duration_s
        self.mean_duration_s = mean_s + _DURATION_WEIGHT * (duration_s - mean_s)


class ServiceRoutes:
    """The routes of one service with the load and health of its agents."""

    def __init__(self):
        self.routes: list[ttypes.Route] = []
        self.loads: dict[str, AgentLoad] = {}
        self.outlier_detector = outlier_detection.OutlierDetector()

    def replace_routes(self, routes: list[ttypes.Route]) -> None:
        """Replaces the routes; agents that remain keep their load and health."""
        agents = {route.agent for route in routes}
        self.routes = routes
        self.outlier_detector.retain_agents(agents)
        # An agent whose route no longer drains gets requests again at once.
        for route in routes:
            load = self.loads.setdefault(route.agent, AgentLoad())
            if not route.draining:
                load.draining_until_s = 0.0
        self.loads = {
            agent: load
            for agent, load in self.loads.items()
            if agent in agents or load.own_requests_count
        }

    def accepting_routes(
        self, excluded_agents: frozenset[str]
    ) -> list[ttypes.Route]:
        """Returns the routes to agents that accept new requests."""
        now_s = time.monotonic()
        return [
            route
            for route in self.routes
            if not route.draining
            and route.agent not in excluded_agents
            and self.loads[route.agent].draining_until_s <= now_s
        ]

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
