"""What a worker may hold, whatever its orders say: one record of runs."""

__all__ = [
    "crash_suspects",
    "held_runs",
]
