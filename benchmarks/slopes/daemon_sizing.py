"""Estimates the resources of an agent and an entry at the target size."""

from benchmarks.slopes import messages
from benchmarks.slopes import sizing

# When granted, started and ended; each time the agent receives all its orders.
_ORDER_CHANGES_PER_RUN = 3


def estimate_agent(figures: sizing.Measurements) -> list[sizing.Estimate]:
    """Estimates the agent that runs beside an endpoint."""
    heartbeat_bytes = sizing.heartbeat_bytes(figures)
    quiet_watch_bytes = messages.network_bytes(messages.watch_bytes())
    orders_bytes = messages.network_bytes(
        figures.value_at("orders bytes", sizing.WORKER_TASKS_COUNT)
    )
    change_bytes = messages.network_bytes(
        figures.value_at("configuration bytes", 1)
    )
    events_bytes_per_run = figures.slope("heartbeat event bytes") * 2
    order_changes_per_s = (
        sizing.STARTS_PEAK_PER_S * _ORDER_CHANGES_PER_RUN / sizing.WORKERS_COUNT
    )
    event_bytes_per_s = (
        sizing.STARTS_PEAK_PER_S * events_bytes_per_run / sizing.WORKERS_COUNT
    )
    steady_bytes_per_s = (
        heartbeat_bytes * sizing.HEARTBEATS_PER_S
        + quiet_watch_bytes / sizing.WATCH_PERIOD_S
        + sizing.CHANGES_PER_S * change_bytes
    )
    peak_bytes_per_s = order_changes_per_s * orders_bytes + event_bytes_per_s
    return [
        sizing.Estimate(
            "processor time",
            f"agent time at {sizing.WORKER_TASKS_COUNT:.0f} tasks, no requests",
            figures.value_at("agent time", sizing.WORKER_TASKS_COUNT) / 1e4,
            "% of a core",
            sizing.PROCESSOR_LIMIT_PERCENT,
        ),
        sizing.Estimate(
            "memory",
            f"agent memory at {sizing.WORKER_TASKS_COUNT:.0f} tasks",
            figures.value_at("agent memory", sizing.WORKER_TASKS_COUNT) / 1e6,
            "MB",
            sizing.MEMORY_LIMIT_BYTES / 1e6,
        ),
        sizing.Estimate(
            "network, steady",
            f"{sizing.HEARTBEATS_PER_S}/s x {sizing.format_amount(heartbeat_bytes)} (heartbeat) + "
            f"{1 / sizing.WATCH_PERIOD_S}/s x {sizing.format_amount(quiet_watch_bytes)} (watch) + "
            f"{sizing.CHANGES_PER_S:.2f}/s x {sizing.format_amount(change_bytes)} (change)",
            steady_bytes_per_s,
            "bytes/s",
            sizing.NETWORK_LIMIT_BYTES_PER_S,
        ),
        sizing.Estimate(
            "network, peak of starts",
            f"steady + {order_changes_per_s:.2f}/s x {sizing.format_amount(orders_bytes)} (orders) + "
            f"{sizing.format_amount(event_bytes_per_s)} (events)",
            steady_bytes_per_s + peak_bytes_per_s,
            "bytes/s",
            sizing.NETWORK_LIMIT_BYTES_PER_S,
        ),
    ]


def estimate_entry(figures: sizing.Measurements) -> list[sizing.Estimate]:
    """Estimates what an entry needs for control, besides the requests."""
    routes_bytes = messages.network_bytes(
        figures.value_at("routes bytes", sizing.LATENCY_TASKS_COUNT)
    )
    # The routes change with each start or end of a service's instance, each
    # worker that joins or leaves, and each confirmed change.
    changes_per_s = (
        sizing.CHANGES_PER_S
        + (sizing.VM_FAILURES_PER_DAY + sizing.VM_RESTARTS_PER_DAY)
        * 2
        / sizing.DAY_S
    )
    update_us = figures.value_at(
        "routes update time", sizing.LATENCY_TASKS_COUNT
    )
    return [
        sizing.Estimate(
            "memory",
            f"{sizing.format_amount(figures.rows['idle entry memory'] / 1e6)} MB + "
            f"{sizing.format_amount(sizing.LATENCY_TASKS_COUNT)} routes x "
            f"{sizing.format_amount(figures.slope('memory of a route'))} bytes",
            (
                figures.rows["idle entry memory"]
                + sizing.LATENCY_TASKS_COUNT
                * figures.slope("memory of a route")
            )
            / 1e6,
            "MB",
            sizing.MEMORY_LIMIT_BYTES / 1e6,
        ),
        sizing.Estimate(
            "network for routes",
            f"{changes_per_s:.2f} changes/s x {sizing.format_amount(routes_bytes / 1e6)} MB, the whole "
            "list each time",
            changes_per_s * routes_bytes,
            "bytes/s",
            sizing.NETWORK_LIMIT_BYTES_PER_S,
        ),
        sizing.Estimate(
            "processor time for routes",
            f"{changes_per_s:.2f}/s x {sizing.format_amount(update_us / 1e3)} ms",
            changes_per_s * update_us / 1e4,
            "% of a core",
            sizing.PROCESSOR_LIMIT_PERCENT,
        ),
        sizing.Estimate(
            "processor time of a request",
            "entry request time",
            figures.slope("entry request time"),
            "us",
        ),
        sizing.Estimate(
            "requests a core",
            f"1 s / {sizing.format_amount(figures.slope('entry request time'))} us",
            1e6 / figures.slope("entry request time"),
            "requests/s",
        ),
    ]
