"""Estimates delays and recovery from failures at the target size."""

from benchmarks.slopes import sizing


def estimate_delays(
    figures: sizing.Measurements, *, workers_count: int
) -> list[sizing.Estimate]:
    """Estimates the delays with requirements, for a group of workers."""
    change_s = (
        figures.value_at(
            "configuration change delay", workers_count + sizing.ENTRIES_COUNT
        )
        / 1000
    )
    start_delay = figures.slopes["start delay"]
    urgent_start_s = start_delay.values[0] / 1000
    starts_per_s = 1000 / figures.slope("start delay")
    return [
        sizing.Estimate(
            "configuration in force everywhere",
            f"{sizing.format_amount(figures.slope('configuration change delay'))} ms x "
            f"{sizing.format_amount(workers_count + sizing.ENTRIES_COUNT)} subscribers",
            change_s,
            "s",
            sizing.CHANGE_LIMIT_S,
        ),
        sizing.Estimate(
            "urgent start, room is free",
            f"at most that of {sizing.format_amount(start_delay.sizes[0])} at once, measured; a round "
            "does not grow with the workers",
            urgent_start_s,
            "s",
            sizing.URGENT_LIMIT_S,
        ),
        sizing.Estimate(
            "urgent start after its worker failed",
            f"{sizing.format_amount(sizing.LEASE_EXPIRY_S)} s (lease surely over) + the line above",
            sizing.LEASE_EXPIRY_S + urgent_start_s,
            "s",
            sizing.URGENT_LIMIT_S,
        ),
        sizing.Estimate(
            "time for the starts of one second of the peak",
            f"{sizing.format_amount(sizing.STARTS_PEAK_PER_S)} starts / {sizing.format_amount(starts_per_s)} starts/s",
            sizing.STARTS_PEAK_PER_S / starts_per_s,
            "s",
            1.0,
        ),
    ]


def estimate_recovery(figures: sizing.Measurements) -> list[sizing.Estimate]:
    """Estimates messages and recovery times of the required failure cases."""
    start_s = figures.slope("start delay") / 1000
    rack_tasks = sizing.WORKERS_PER_RACK * sizing.WORKER_TASKS_COUNT
    group_tasks = sizing.GROUP_TASKS_COUNT
    heartbeats_s = (
        sizing.GROUP_WORKERS_COUNT * figures.slope("heartbeat time") / 1e6
    )
    changes_per_hour = sizing.CHANGES_PER_DAY / 24
    missed_bytes = changes_per_hour * figures.slope("configuration bytes")
    daily_restarts = sizing.VM_FAILURES_PER_DAY * sizing.WORKER_TASKS_COUNT
    return [
        sizing.Estimate(
            "one VM: runs to place again",
            f"{sizing.WORKER_TASKS_COUNT:.0f} tasks; {sizing.format_amount(daily_restarts)} a day of "
            f"{sizing.format_amount(sizing.JOBS_PER_DAY)} jobs",
            sizing.WORKER_TASKS_COUNT,
            "starts",
        ),
        sizing.Estimate(
            "one VM: until all run again",
            f"{sizing.format_amount(sizing.LEASE_EXPIRY_S)} s + {sizing.WORKER_TASKS_COUNT:.0f} x "
            f"{sizing.format_amount(start_s * 1000)} ms",
            sizing.LEASE_EXPIRY_S + sizing.WORKER_TASKS_COUNT * start_s,
            "s",
        ),
        sizing.Estimate(
            "a rack: until all run again",
            f"{sizing.format_amount(sizing.LEASE_EXPIRY_S)} s + {rack_tasks:.0f} x "
            f"{sizing.format_amount(start_s * 1000)} ms",
            sizing.LEASE_EXPIRY_S + rack_tasks * start_s,
            "s",
        ),
        sizing.Estimate(
            "a data centre: until all run again, five groups sharing",
            f"{sizing.format_amount(sizing.LEASE_EXPIRY_S)} s + {sizing.format_amount(group_tasks)} / 5 x {sizing.format_amount(start_s * 1000)} ms",
            sizing.LEASE_EXPIRY_S
            + group_tasks / (sizing.DATA_CENTRES_COUNT - 1) * start_s,
            "s",
        ),
        sizing.Estimate(
            "a data centre: bytes in the logs",
            f"{sizing.format_amount(group_tasks)} x {sizing.format_amount(figures.slope('start log bytes'))} bytes",
            group_tasks * figures.slope("start log bytes") / 1e6,
            "MB",
        ),
        sizing.Estimate(
            "a group's leader: agents heard again",
            f"{sizing.format_amount(sizing.GROUP_WORKERS_COUNT)} x "
            f"{sizing.format_amount(figures.slope('heartbeat time'))} us, after the election",
            heartbeats_s,
            "s",
        ),
        sizing.Estimate(
            "a group's leader: the state taken in",
            f"{sizing.format_amount(sizing.GROUP_WORKERS_COUNT)} x "
            f"{sizing.format_amount(figures.slope('rebuild time of a new leader'))} us",
            figures.value_at(
                "rebuild time of a new leader", sizing.GROUP_WORKERS_COUNT
            )
            / 1e6,
            "s",
        ),
        sizing.Estimate(
            "a group's leader: nobody commits",
            "longest of five elections, timeout 400 ms",
            figures.rows["election, longest"],
            "s",
        ),
        sizing.Estimate(
            "a group's leader: no run is taken as lost for",
            "one full lease from the election",
            sizing.LEASE_EXPIRY_S,
            "s",
        ),
        sizing.Estimate(
            "an hour between regions: changes to catch up on",
            f"{sizing.format_amount(changes_per_hour)} changes x "
            f"{sizing.format_amount(figures.slope('configuration bytes'))} bytes, to each group",
            missed_bytes / 1e3,
            "KB",
        ),
    ]
