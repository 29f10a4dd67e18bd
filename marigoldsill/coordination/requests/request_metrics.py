"""Metrics of callers' requests; docs/REQUESTS.md describes each of them."""

import prometheus_client

_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)

REQUESTS = prometheus_client.Counter(
    "marigoldsill_requests",
    "Callers' requests by how they ended.",
    ("service", "outcome"),
)
LATENCY = prometheus_client.Histogram(
    "marigoldsill_request_seconds",
    "From a request's arrival at the entry to its answer.",
    ("service",),
    buckets=_BUCKETS_S,
)
IN_FLIGHT = prometheus_client.Gauge(
    "marigoldsill_requests_in_flight",
    "Requests that the entry works on now.",
    ("service",),
)
RETRIES = prometheus_client.Counter(
    "marigoldsill_retries",
    "Further attempts of requests, by why the one before failed.",
    ("service", "reason"),
)
RETRIES_DENIED = prometheus_client.Counter(
    "marigoldsill_retries_denied",
    "Further attempts that the retry budget did not allow.",
    ("service",),
)
ABANDONED_ATTEMPTS = prometheus_client.Counter(
    "marigoldsill_abandoned_attempts",
    "Attempts that the entry gave up; what still comes of them is dropped.",
)
LATE_ANSWERS = prometheus_client.Counter(
    "marigoldsill_late_answers",
    "Answers dropped since nobody waited for them any more.",
)
WRONG_ANSWERS = prometheus_client.Counter(
    "marigoldsill_wrong_answers",
    "Answers dropped since they were damaged or another request's.",
)
EJECTIONS = prometheus_client.Counter(
    "marigoldsill_ejections",
    "Agents taken out of the choice after failures.",
    ("service",),
)
CLAIMS = prometheus_client.Counter(
    "marigoldsill_claims",
    "Claims asked for, by what came of it.",
    ("result",),
)
CLAIM_LINK_WAIT = prometheus_client.Histogram(
    "marigoldsill_claim_link_wait_seconds",
    "Wait of a claim or its end for a free connection to control.",
    buckets=_BUCKETS_S,
)
CLAIM_LATENCY = prometheus_client.Histogram(
    "marigoldsill_claim_seconds",
    "Time of a claim's or its end's call to control.",
    ("call",),
    buckets=_BUCKETS_S,
)
CLAIM_ENDS_PENDING = prometheus_client.Gauge(
    "marigoldsill_claim_ends_pending",
    "Ends of claims not recorded yet.",
)
AGENT_REFUSALS = prometheus_client.Counter(
    "marigoldsill_agent_refusals",
    "Requests that the agent refused, by reason.",
    ("reason",),
)
AGENT_CANCELS = prometheus_client.Counter(
    "marigoldsill_agent_cancels",
    "Requests that entries gave up here.",
)
