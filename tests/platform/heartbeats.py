"""Heartbeats of a worker, as the bodies of its messages to an agent."""

from tests.platform import system as system_module


def body(**fields: object) -> dict[str, object]:
    """Returns a valid body, with some fields set."""
    return {
        "service": system_module.POOL,
        "address": "127.0.0.1:9",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 8000, "mem_mb": 64_000, "gpu": 0},
        "labels": ["a", "r1-1"],
    } | fields
