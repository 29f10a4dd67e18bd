"""Outlier detection: agents whose requests fail are ejected for a while.

An agent is ejected if most of its last requests failed. Each further ejection
lasts longer, until the agent has succeeded for a while. At most half of a service's
agents are ejected. After the ejection time, one idempotent request at a time is
sent to the agent as a probe.
"""

import dataclasses
import time

# Weight of the last request in the moving average of failures.
_EWMA_WEIGHT = 0.2
_EJECTION_FAILED_SHARE = 0.5
_EJECTED_SHARE_LIMIT = 0.5
_EJECTION_BASE_S = 1.0
# Number of successes in a row after which ejections are short again.
_RESET_SUCCESSES_COUNT = 10
_EJECTION_MAX_S = 30.0


@dataclasses.dataclass(slots=True)
class _AgentHealth:
    failed_share: float = 0.0
    ejections_count: int = 0
    ejected_until_s: float = 0.0
    is_ejected: bool = False
    has_probe: bool = False
    successes_count: int = 0


class OutlierDetector:
    """Tracks the health of one service's agents by their answers.

    It has no lock of its own; its router's lock protects it.
    """

    def __init__(self):
        self._agents: dict[str, _AgentHealth] = {}

    def is_usable(self, agent: str, *, idempotent: bool) -> bool:
        """Whether a request may be sent to an agent now."""
        health = self._agents.get(agent)
        if health is None or not health.is_ejected:
            return True
        return (
            idempotent
            and not health.has_probe
            and time.monotonic() >= health.ejected_until_s
        )

    def record_start(self, agent: str) -> None:
        """Records a request to an agent; if it is ejected, this is a probe."""
        health = self._agents.get(agent)
        if health is not None and health.is_ejected:
            health.has_probe = True

    def record_success(self, agent: str) -> None:
        """Records a success; it restores an agent that is ejected."""
        health = self._agents.get(agent)
        if health is None:
            return
        health.has_probe = False
        if health.is_ejected:
            health.is_ejected = False
            health.failed_share = 0.0
            return
        health.failed_share -= _EWMA_WEIGHT * health.failed_share
        health.successes_count += 1
        if health.successes_count >= _RESET_SUCCESSES_COUNT:
            health.ejections_count = 0

    def record_failure(self, agent: str, *, agents_count: int) -> bool:
        """Records a failure, which may eject the agent.

        Args:
            agent: The agent.
            agents_count: Number of the service's agents, for the limit on
                ejections.

        Returns:
            Whether the agent has now been ejected.
        """
        health = self._agents.setdefault(agent, _AgentHealth())
        health.failed_share += _EWMA_WEIGHT * (1 - health.failed_share)
        health.successes_count = 0
        had_probe, health.has_probe = health.has_probe, False
        if health.is_ejected:
            if had_probe:
                self._eject(health)
            return False
        ejected_count = sum(h.is_ejected for h in self._agents.values())
        ejected_limit = int(agents_count * _EJECTED_SHARE_LIMIT)
        if (
            health.failed_share <= _EJECTION_FAILED_SHARE
            or ejected_count >= ejected_limit
        ):
            return False
        self._eject(health)
        return True

    def record_end(self, agent: str) -> None:
        """Records the end of a request, with or without a known result."""
        health = self._agents.get(agent)
        if health is not None:
            health.has_probe = False

    def retain_agents(self, agents: set[str]) -> None:
        """Drops the health of all agents except the given ones."""
        self._agents = {a: h for a, h in self._agents.items() if a in agents}

    def _eject(self, health: _AgentHealth) -> None:
        ejection_s = _EJECTION_BASE_S * 2**health.ejections_count
        health.is_ejected = True
        health.ejections_count += 1
        health.ejected_until_s = time.monotonic() + min(
            ejection_s, _EJECTION_MAX_S
        )
