"""Remembers which workers have restarted recently, and may do so again."""

import math

# A worker that crashes by itself may crash again within this time.
_MEMORY_S = 60.0


class WorkerRestarts:
    """The incarnations of workers, by agent; hints of one term."""

    def __init__(self):
        # The incarnation, and when it replaced another one.
        self._incarnations: dict[str, tuple[str, float]] = {}

    def observe(self, agent: str, worker_id: str, *, now_s: float) -> None:
        """Records which incarnation of its worker an agent reports."""
        known_id, _ = self._incarnations.get(agent, ("", 0.0))
        if worker_id != known_id:
            restarted_s = now_s if known_id else -math.inf
            self._incarnations[agent] = (worker_id, restarted_s)

    def has_restarted(self, agent: str, *, now_s: float) -> bool:
        """Whether an agent's worker has replaced another incarnation recently."""
        _, restarted_s = self._incarnations.get(agent, ("", -math.inf))
        return now_s - restarted_s < _MEMORY_S
