"""Metrics of an agent's jobs, described in docs/metrics.md."""

import prometheus_client

_BUCKETS_S = (0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 2.0)

WORKER_CALLS = prometheus_client.Counter(
    "marigoldsill_worker_calls",
    "An agent's calls to its worker, by what came of them.",
    ("call", "outcome"),
)
WORKER_START_SECONDS = prometheus_client.Histogram(
    "marigoldsill_worker_start_seconds",
    "Time of a start's call to the worker.",
    buckets=_BUCKETS_S,
)
REPORT_SECONDS = prometheus_client.Histogram(
    "marigoldsill_agent_report_seconds",
    "From a report's sending to the leader's answer.",
    buckets=_BUCKETS_S,
)
WORKER_RUNS = prometheus_client.Gauge(
    "marigoldsill_worker_runs", "Runs that the worker listed last."
)
WORKER_LOSSES = prometheus_client.Counter(
    "marigoldsill_worker_losses",
    "Incarnations of the worker that ended, planned (it was draining) or not.",
    ("kind",),
)
