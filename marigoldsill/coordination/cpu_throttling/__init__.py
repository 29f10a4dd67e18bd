"""How fast best-effort tasks may go beside latency-critical ones on a worker."""

__all__ = ["cpu_throttle", "load_trends"]
