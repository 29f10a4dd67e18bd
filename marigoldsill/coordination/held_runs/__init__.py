"""What a worker may hold that its orders do not tell: starts, and runs without an order."""

__all__ = [
    "removed_orders",
    "run_starts",
]
