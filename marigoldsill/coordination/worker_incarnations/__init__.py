"""Which start of a worker an agent speaks to, and what earlier ones may still cause.

A worker that ends and starts again is another incarnation. Calls and messages of an
earlier one may arrive late, and a worker that announces its end may continue for seconds.
"""

__all__ = [
    "contradictions",
    "departures",
    "incarnations",
    "known_pools",
    "late_calls",
    "late_starts",
]
