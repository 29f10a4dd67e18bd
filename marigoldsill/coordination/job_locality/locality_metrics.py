"""Metrics of where tasks go; docs/metrics.md describes each of them."""

import prometheus_client

TASKS_WAITING_FOR_RACK = prometheus_client.Gauge(
    "marigoldsill_tasks_waiting_for_rack",
    "Tasks that wait for a worker in their preferred rack, on the leader.",
)
RUNS_AWAY_FROM_RACK = prometheus_client.Counter(
    "marigoldsill_runs_away_from_rack",
    "Runs granted outside of the preferred rack of their task, by reason.",
    ("reason",),
)
WORKERS_RAMPING = prometheus_client.Gauge(
    "marigoldsill_workers_ramping",
    "Workers that are being filled step by step, on the leader.",
)
