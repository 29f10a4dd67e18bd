"""Metrics of guaranteed shares; docs/metrics.md describes each of them."""

import prometheus_client

USAGE_RATIO = prometheus_client.Gauge(
    "marigoldsill_share_usage_ratio",
    "Dominant share of a pool that runs of a guaranteed share reserve.",
    ("pool", "share"),
)
GUARANTEED_RATIO = prometheus_client.Gauge(
    "marigoldsill_share_guaranteed_ratio",
    "Guaranteed part of a pool, by share.",
    ("pool", "share"),
)
RECLAIMED_RUNS = prometheus_client.Counter(
    "marigoldsill_share_reclaimed_runs",
    "Runs of other queues evicted for a share below its guarantee.",
    ("pool", "share"),
)
