"""Callers' requests: routing, admission control, retries and claims.

The package decides which agent gets a request, whether the request is admitted
and whether it may be retried. Other packages use only the modules listed here.
"""

__all__ = [
    "admission",
    "agent_service",
    "attempts",
    "call_dispatcher",
    "claim_service",
    "request_latency",
    "request_metrics",
    "routing",
]
