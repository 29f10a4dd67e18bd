"""Estimates the resources of control groups' leaders at the target size."""

from benchmarks.slopes import messages
from benchmarks.slopes import sizing


def estimate_group_leader(
    figures: sizing.Measurements, *, workers_count: int, starts_per_s: float
) -> list[sizing.Estimate]:
    """Estimates the leader of a control group with a number of workers."""
    tasks_count = workers_count * sizing.WORKER_TASKS_COUNT
    heartbeats_per_s = workers_count * sizing.HEARTBEATS_PER_S
    watches_per_s = workers_count / sizing.WATCH_PERIOD_S
    cpu_parts = [
        (
            "heartbeats",
            f"{sizing.format_amount(heartbeats_per_s)}/s x {sizing.format_amount(figures.slope('heartbeat time'))} us",
            heartbeats_per_s * figures.slope("heartbeat time"),
        ),
        (
            "quiet watches",
            f"{sizing.format_amount(watches_per_s)}/s x "
            f"{sizing.format_amount(figures.slope('configuration change time'))} us",
            watches_per_s * figures.slope("configuration change time"),
        ),
        (
            "configuration changes",
            f"{sizing.CHANGES_PER_S:.2f}/s x {sizing.format_amount(workers_count)} x "
            f"{sizing.format_amount(figures.slope('configuration change time'))} us",
            sizing.CHANGES_PER_S
            * workers_count
            * figures.slope("configuration change time"),
        ),
        (
            "starts at the peak",
            f"{sizing.format_amount(starts_per_s)}/s x {sizing.format_amount(figures.slope('start time'))} us",
            starts_per_s * figures.slope("start time"),
        ),
    ]
    estimates = [
        sizing.Estimate(
            f"processor time, {name}", derivation, spent_us / 1e4, "% of a core"
        )
        for name, derivation, spent_us in cpu_parts
    ]
    total_percent = sum(estimate.value for estimate in estimates)
    connections_count = workers_count * 2
    memory_bytes = (
        figures.rows["idle control memory"]
        + connections_count * figures.slope("connection memory")
        + tasks_count * figures.slope("memory of a task")
        + workers_count * figures.slope("memory of a worker")
        + 1_000 * figures.slope("memory of a change")
        + 20_000 * figures.slope("memory of a result")
    )
    return [
        *estimates,
        sizing.Estimate(
            "processor time, all",
            "the sum",
            total_percent,
            "% of a core",
            sizing.CORE_LIMIT_PERCENT,
        ),
        sizing.Estimate(
            "connections and threads",
            f"2 x {sizing.format_amount(workers_count)} agents; the limit is the setting's "
            "default (--threads-count)",
            connections_count,
            "threads",
            1024,
        ),
        sizing.Estimate(
            "memory",
            f"{sizing.format_amount(figures.rows['idle control memory'] / 1e6)} MB + "
            f"{sizing.format_amount(connections_count)} connections + {sizing.format_amount(tasks_count)} tasks + "
            f"{sizing.format_amount(workers_count)} workers + 1,000 changes + 20,000 results",
            memory_bytes / 1e6,
            "MB",
        ),
        sizing.Estimate(
            "log, peak of starts",
            f"{sizing.format_amount(starts_per_s)}/s x "
            f"{sizing.format_amount(figures.slope('start log bytes'))} bytes",
            starts_per_s * figures.slope("start log bytes"),
            "bytes/s",
        ),
        sizing.Estimate(
            "snapshot",
            f"{sizing.format_amount(tasks_count)} tasks x "
            f"{sizing.format_amount(figures.slope('snapshot bytes'))} bytes",
            tasks_count * figures.slope("snapshot bytes") / 1e6,
            "MB",
        ),
        sizing.Estimate(
            "snapshot, time to write",
            f"{sizing.format_amount(tasks_count)} tasks x "
            f"{sizing.format_amount(figures.slope('snapshot write time'))} us",
            tasks_count * figures.slope("snapshot write time") / 1e6,
            "s",
        ),
        sizing.Estimate(
            "network, all agents, steady",
            f"{sizing.format_amount(heartbeats_per_s)}/s x {sizing.format_amount(sizing.heartbeat_bytes(figures))} bytes",
            heartbeats_per_s * sizing.heartbeat_bytes(figures) / 1e6,
            "MB/s",
        ),
    ]


def estimate_intents_leader(
    figures: sizing.Measurements,
) -> list[sizing.Estimate]:
    """Estimates the leader of the group of intents, quotas and ownership."""
    memory_bytes = (
        figures.rows["idle control memory"]
        + sizing.TASKS_COUNT * figures.slope("memory of a task")
        + (sizing.TEAMS_COUNT + 1_000) * figures.slope("memory of a change")
    )
    change_bytes = messages.network_bytes(
        figures.value_at("configuration bytes", 1)
    )
    pushes_per_s = sizing.CHANGES_PER_S * sizing.DATA_CENTRES_COUNT
    return [
        sizing.Estimate(
            "changes",
            f"{sizing.format_amount(sizing.CHANGES_PER_DAY)} a day",
            sizing.CHANGES_PER_S,
            "changes/s",
        ),
        sizing.Estimate(
            "processor time, pushing changes to groups",
            f"{pushes_per_s:.2f}/s x "
            f"{sizing.format_amount(figures.slope('configuration change time'))} us",
            pushes_per_s * figures.slope("configuration change time") / 1e4,
            "% of a core",
            sizing.CORE_LIMIT_PERCENT,
        ),
        sizing.Estimate(
            "network between regions, changes",
            f"{pushes_per_s:.2f}/s x {sizing.format_amount(change_bytes)} bytes",
            pushes_per_s * change_bytes,
            "bytes/s",
        ),
        sizing.Estimate(
            "memory",
            f"{sizing.format_amount(sizing.TASKS_COUNT)} declarations (at most a task with its job) + "
            f"{sizing.format_amount(sizing.TEAMS_COUNT)} teams + 1,000 plans",
            memory_bytes / 1e6,
            "MB",
        ),
    ]
