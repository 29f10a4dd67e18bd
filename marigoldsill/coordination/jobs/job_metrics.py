"""Metrics of queues and jobs; docs/metrics.md describes each of them."""

import prometheus_client

_SHORT_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)
_LONG_BUCKETS_S = (0.05, 0.25, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0, 300.0)

CALLS = prometheus_client.Counter(
    "marigoldsill_job_calls",
    "Callers' and operators' calls about jobs, by how they ended.",
    ("call", "outcome"),
)
CALL_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_call_seconds",
    "From a call's arrival at the entry to its answer.",
    ("call",),
    buckets=_SHORT_BUCKETS_S,
)
COMMIT_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_commit_seconds",
    "From a command's proposal to its result, on the leader.",
    buckets=_SHORT_BUCKETS_S,
)
FIRST_GRANT_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_first_grant_seconds",
    "From a job's acceptance to its first granted run, on the leader.",
    buckets=_LONG_BUCKETS_S,
)
FINISH_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_finish_seconds",
    "From a job's acceptance to its end, on the leader.",
    ("queue", "state"),
    buckets=_LONG_BUCKETS_S,
)
RUN_ENDS = prometheus_client.Counter(
    "marigoldsill_run_ends",
    "Runs of jobs by how they ended, as the leader recorded them.",
    ("kind",),
)
GRANTS = prometheus_client.Counter(
    "marigoldsill_run_grants", "Runs of jobs granted by this leader."
)
OUTDATED_GRANTS = prometheus_client.Counter(
    "marigoldsill_run_grants_overtaken",
    "Runs that this leader granted and whose task had changed meanwhile.",
)
EVICTIONS = prometheus_client.Counter(
    "marigoldsill_run_evictions",
    "Runs of jobs told to give way.",
    ("reason",),
)
WAITING = prometheus_client.Gauge(
    "marigoldsill_steps_waiting",
    "Steps of jobs with tasks that wait for a worker, on the leader.",
)
EVACUATED_DATA_CENTRES = prometheus_client.Gauge(
    "marigoldsill_evacuated_data_centres",
    "Data centres where nothing new starts by an order of an operator.",
)
ROUND_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_round_seconds",
    "Time of one round of the leader's decisions about jobs.",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5),
)
ROUND_LAG_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_round_lag_seconds",
    "How late the timer before a round of decisions fired, on the leader.",
    buckets=(0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0),
)
DECISION_SECONDS = prometheus_client.Histogram(
    "marigoldsill_job_decision_seconds",
    "From a change to the commit of the grants that it allowed.",
    buckets=_SHORT_BUCKETS_S,
)
LIVE_AGENTS = prometheus_client.Gauge(
    "marigoldsill_agents_live", "Agents whose lease is live, on the leader."
)
