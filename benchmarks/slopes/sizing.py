"""What each role needs at the target size, worked out from the slopes."""

from collections.abc import Mapping
import dataclasses

from benchmarks import table
from benchmarks.slopes import fit
from benchmarks.slopes import messages

WORKERS_COUNT = 5_400
TASKS_COUNT = 81_000
LATENCY_TASKS_COUNT = 17_000
TEAMS_COUNT = 450
DATA_CENTRES_COUNT = 6
STARTS_PEAK_PER_S = 740
JOBS_PER_DAY = 68_000
CHANGES_PER_DAY = 17_000
VM_FAILURES_PER_DAY = 99
VM_RESTARTS_PER_DAY = 410
WORKERS_PER_RACK = 3
CONTROL_VMS_COUNT = 22
ENTRIES_COUNT = 12
"""Assumed: two entry VMs a data centre; the letter names no number."""

PROCESSOR_LIMIT_PERCENT = 2.3
MEMORY_LIMIT_BYTES = 64e6
NETWORK_LIMIT_BYTES_PER_S = 3_000
CHANGE_LIMIT_S = 4.0
URGENT_LIMIT_S = 4.3
CORE_LIMIT_PERCENT = 100
"""One interpreter runs on one core at a time, however many threads it has."""

HEARTBEATS_PER_S = 2
MEASUREMENTS_PER_HEARTBEAT_COUNT = 2
"""An agent reads once a second and sends at most four of what changed."""

WATCH_PERIOD_S = 2
LEASE_OVER_S = 3.0 * 1.1 + 0.2
"""After this long without a heartbeat the leader takes a lease as over."""

_DAY_S = 86_400
_TOUCHES_PER_RUN_COUNT = 3  # granted, started, ended: each sends the orders
GROUP_WORKERS_COUNT = WORKERS_COUNT // DATA_CENTRES_COUNT
GROUP_TASKS_COUNT = TASKS_COUNT // DATA_CENTRES_COUNT
WORKER_TASKS_COUNT = TASKS_COUNT / WORKERS_COUNT
CHANGES_PER_S = CHANGES_PER_DAY / _DAY_S
GROUP_STARTS_PER_S = STARTS_PEAK_PER_S / DATA_CENTRES_COUNT


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a role's table.

    Attributes:
        what: What is worked out.
        working: How, with the figures used.
        value: The result.
        unit: Its unit.
        limit: What it may be at most; None where nothing is asked.
    """

    what: str
    working: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Holds, or the factor by which it misses."""
        if self.limit is None:
            return ""
        share = self.value / self.limit
        if share > 1:
            return f"misses by {table.number(share)} times"
        return f"holds, at {share:.0%}"


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """What was measured.

    Attributes:
        slopes: By name.
        rows: Single figures by name, without "capacity: ".
    """

    slopes: Mapping[str, fit.Slope]
    rows: Mapping[str, float]

    def slope(self, name: str) -> float:
        """The growth of a figure."""
        return self.slopes[name].slope

    def at(self, name: str, size: float) -> float:
        """A figure at a size."""
        return self.slopes[name].at(size)


def agent(figures: Figures) -> list[Line]:
    """The daemon beside an endpoint."""
    beat = messages.on_the_wire(
        figures.at("heartbeat bytes", MEASUREMENTS_PER_HEARTBEAT_COUNT)
    )
    quiet = messages.on_the_wire(messages.watch_bytes())
    orders = messages.on_the_wire(
        figures.at("orders bytes", WORKER_TASKS_COUNT)
    )
    change = messages.on_the_wire(figures.at("configuration bytes", 1))
    per_run = figures.slope("heartbeat event bytes") * 2
    touches = STARTS_PEAK_PER_S * _TOUCHES_PER_RUN_COUNT / WORKERS_COUNT
    reports = STARTS_PEAK_PER_S * per_run / WORKERS_COUNT
    steady = (
        beat * HEARTBEATS_PER_S
        + quiet / WATCH_PERIOD_S
        + CHANGES_PER_S * change
    )
    peak = touches * orders + reports
    return [
        Line(
            "processor time",
            f"agent time at {WORKER_TASKS_COUNT:.0f} tasks, no requests",
            figures.at("agent time", WORKER_TASKS_COUNT) / 1e4,
            "% of a core",
            PROCESSOR_LIMIT_PERCENT,
        ),
        Line(
            "memory",
            f"agent memory at {WORKER_TASKS_COUNT:.0f} tasks",
            figures.at("agent memory", WORKER_TASKS_COUNT) / 1e6,
            "MB",
            MEMORY_LIMIT_BYTES / 1e6,
        ),
        Line(
            "network, steady",
            f"{HEARTBEATS_PER_S}/s x {_n(beat)} (heartbeat) + "
            f"{1 / WATCH_PERIOD_S}/s x {_n(quiet)} (watch) + "
            f"{CHANGES_PER_S:.2f}/s x {_n(change)} (change)",
            steady,
            "bytes/s",
            NETWORK_LIMIT_BYTES_PER_S,
        ),
        Line(
            "network, peak of starts",
            f"steady + {touches:.2f}/s x {_n(orders)} (orders) + "
            f"{_n(reports)} (events)",
            steady + peak,
            "bytes/s",
            NETWORK_LIMIT_BYTES_PER_S,
        ),
    ]


def group_leader(
    figures: Figures, *, workers_count: int, starts_per_s: float
) -> list[Line]:
    """The leader of a control group that owns some workers."""
    tasks_count = workers_count * WORKER_TASKS_COUNT
    beats = workers_count * HEARTBEATS_PER_S
    watches = workers_count / WATCH_PERIOD_S
    shares = [
        (
            "heartbeats",
            f"{_n(beats)}/s x {_n(figures.slope('heartbeat time'))} us",
            beats * figures.slope("heartbeat time"),
        ),
        (
            "quiet watches",
            f"{_n(watches)}/s x "
            f"{_n(figures.slope('configuration change time'))} us",
            watches * figures.slope("configuration change time"),
        ),
        (
            "configuration changes",
            f"{CHANGES_PER_S:.2f}/s x {_n(workers_count)} x "
            f"{_n(figures.slope('configuration change time'))} us",
            CHANGES_PER_S
            * workers_count
            * figures.slope("configuration change time"),
        ),
        (
            "starts at the peak",
            f"{_n(starts_per_s)}/s x {_n(figures.slope('start time'))} us",
            starts_per_s * figures.slope("start time"),
        ),
    ]
    lines = [
        Line(f"processor time, {what}", working, spent_us / 1e4, "% of a core")
        for what, working, spent_us in shares
    ]
    total = sum(line.value for line in lines)
    connections = workers_count * 2
    memory = (
        figures.rows["idle control memory"]
        + connections * figures.slope("connection memory")
        + tasks_count * figures.slope("memory of a task")
        + workers_count * figures.slope("memory of a worker")
        + 1_000 * figures.slope("memory of a change")
        + 20_000 * figures.slope("memory of a result")
    )
    return [
        *lines,
        Line(
            "processor time, all",
            "the sum",
            total,
            "% of a core",
            CORE_LIMIT_PERCENT,
        ),
        Line(
            "connections and threads",
            f"2 x {_n(workers_count)} agents; the limit is the setting's "
            "default (--threads-count)",
            connections,
            "threads",
            1024,
        ),
        Line(
            "memory",
            f"{_n(figures.rows['idle control memory'] / 1e6)} MB + "
            f"{_n(connections)} connections + {_n(tasks_count)} tasks + "
            f"{_n(workers_count)} workers + 1,000 changes + 20,000 results",
            memory / 1e6,
            "MB",
        ),
        Line(
            "log, peak of starts",
            f"{_n(starts_per_s)}/s x "
            f"{_n(figures.slope('start log bytes'))} bytes",
            starts_per_s * figures.slope("start log bytes"),
            "bytes/s",
        ),
        Line(
            "snapshot",
            f"{_n(tasks_count)} tasks x "
            f"{_n(figures.slope('snapshot bytes'))} bytes",
            tasks_count * figures.slope("snapshot bytes") / 1e6,
            "MB",
        ),
        Line(
            "snapshot, time to write",
            f"{_n(tasks_count)} tasks x "
            f"{_n(figures.slope('snapshot write time'))} us",
            tasks_count * figures.slope("snapshot write time") / 1e6,
            "s",
        ),
        Line(
            "network, all agents, steady",
            f"{_n(beats)}/s x {_n(_beat_bytes(figures))} bytes",
            beats * _beat_bytes(figures) / 1e6,
            "MB/s",
        ),
    ]


def intents_leader(figures: Figures) -> list[Line]:
    """The leader of the group that owns intents, quotas and ownership."""
    memory = (
        figures.rows["idle control memory"]
        + TASKS_COUNT * figures.slope("memory of a task")
        + (TEAMS_COUNT + 1_000) * figures.slope("memory of a change")
    )
    pushed = messages.on_the_wire(figures.at("configuration bytes", 1))
    push_s = CHANGES_PER_S * DATA_CENTRES_COUNT
    return [
        Line(
            "changes",
            f"{_n(CHANGES_PER_DAY)} a day",
            CHANGES_PER_S,
            "changes/s",
        ),
        Line(
            "processor time, pushing changes to groups",
            f"{push_s:.2f}/s x "
            f"{_n(figures.slope('configuration change time'))} us",
            push_s * figures.slope("configuration change time") / 1e4,
            "% of a core",
            CORE_LIMIT_PERCENT,
        ),
        Line(
            "network between regions, changes",
            f"{push_s:.2f}/s x {_n(pushed)} bytes",
            push_s * pushed,
            "bytes/s",
        ),
        Line(
            "memory",
            f"{_n(TASKS_COUNT)} declarations (at most a task with its job) + "
            f"{_n(TEAMS_COUNT)} teams + 1,000 plans",
            memory / 1e6,
            "MB",
        ),
    ]


def entry(figures: Figures) -> list[Line]:
    """An entry: what control costs it, beside the requests themselves."""
    per_list = messages.on_the_wire(
        figures.at("routes bytes", LATENCY_TASKS_COUNT)
    )
    # A start or an end of a service's instance changes the routes, and so
    # does a worker's coming or going and every confirmed change.
    changes = (
        CHANGES_PER_S + (VM_FAILURES_PER_DAY + VM_RESTARTS_PER_DAY) * 2 / _DAY_S
    )
    update = figures.at("routes update time", LATENCY_TASKS_COUNT)
    return [
        Line(
            "memory",
            f"{_n(figures.rows['idle entry memory'] / 1e6)} MB + "
            f"{_n(LATENCY_TASKS_COUNT)} routes x "
            f"{_n(figures.slope('memory of a route'))} bytes",
            (
                figures.rows["idle entry memory"]
                + LATENCY_TASKS_COUNT * figures.slope("memory of a route")
            )
            / 1e6,
            "MB",
            MEMORY_LIMIT_BYTES / 1e6,
        ),
        Line(
            "network for routes",
            f"{changes:.2f} changes/s x {_n(per_list / 1e6)} MB, the whole "
            "list each time",
            changes * per_list,
            "bytes/s",
            NETWORK_LIMIT_BYTES_PER_S,
        ),
        Line(
            "processor time for routes",
            f"{changes:.2f}/s x {_n(update / 1e3)} ms",
            changes * update / 1e4,
            "% of a core",
            PROCESSOR_LIMIT_PERCENT,
        ),
        Line(
            "processor time of a request",
            "entry request time",
            figures.slope("entry request time"),
            "us",
        ),
        Line(
            "requests a core",
            f"1 s / {_n(figures.slope('entry request time'))} us",
            1e6 / figures.slope("entry request time"),
            "requests/s",
        ),
    ]


def delays(figures: Figures, *, workers_count: int) -> list[Line]:
    """Times that the letter bounds, for a group of some workers."""
    change = (
        figures.at("configuration change delay", workers_count + ENTRIES_COUNT)
        / 1000
    )
    first = figures.slopes["start delay"]
    urgent = first.values[0] / 1000
    starts = 1000 / figures.slope("start delay")
    return [
        Line(
            "configuration in force everywhere",
            f"{_n(figures.slope('configuration change delay'))} ms x "
            f"{_n(workers_count + ENTRIES_COUNT)} subscribers",
            change,
            "s",
            CHANGE_LIMIT_S,
        ),
        Line(
            "urgent start, room is free",
            f"at most that of {_n(first.sizes[0])} at once, measured; a round "
            "does not grow with the workers",
            urgent,
            "s",
            URGENT_LIMIT_S,
        ),
        Line(
            "urgent start after its worker failed",
            f"{_n(LEASE_OVER_S)} s (lease surely over) + the line above",
            LEASE_OVER_S + urgent,
            "s",
            URGENT_LIMIT_S,
        ),
        Line(
            "time for the starts of one second of the peak",
            f"{_n(STARTS_PEAK_PER_S)} starts / {_n(starts)} starts/s",
            STARTS_PEAK_PER_S / starts,
            "s",
            1.0,
        ),
    ]


def failures(figures: Figures) -> list[Line]:
    """Messages and recovery of the failures that the letter names."""
    start_s = figures.slope("start delay") / 1000
    rack_tasks = WORKERS_PER_RACK * WORKER_TASKS_COUNT
    group = GROUP_TASKS_COUNT
    register = GROUP_WORKERS_COUNT * figures.slope("heartbeat time") / 1e6
    hour = CHANGES_PER_DAY / 24
    missed = hour * figures.slope("configuration bytes")
    daily = VM_FAILURES_PER_DAY * WORKER_TASKS_COUNT
    return [
        Line(
            "one VM: runs to place again",
            f"{WORKER_TASKS_COUNT:.0f} tasks; {_n(daily)} a day of "
            f"{_n(JOBS_PER_DAY)} jobs",
            WORKER_TASKS_COUNT,
            "starts",
        ),
        Line(
            "one VM: until all run again",
            f"{_n(LEASE_OVER_S)} s + {WORKER_TASKS_COUNT:.0f} x "
            f"{_n(start_s * 1000)} ms",
            LEASE_OVER_S + WORKER_TASKS_COUNT * start_s,
            "s",
        ),
        Line(
            "a rack: until all run again",
            f"{_n(LEASE_OVER_S)} s + {rack_tasks:.0f} x "
            f"{_n(start_s * 1000)} ms",
            LEASE_OVER_S + rack_tasks * start_s,
            "s",
        ),
        Line(
            "a data centre: until all run again, five groups sharing",
            f"{_n(LEASE_OVER_S)} s + {_n(group)} / 5 x {_n(start_s * 1000)} ms",
            LEASE_OVER_S + group / (DATA_CENTRES_COUNT - 1) * start_s,
            "s",
        ),
        Line(
            "a data centre: bytes in the logs",
            f"{_n(group)} x {_n(figures.slope('start log bytes'))} bytes",
            group * figures.slope("start log bytes") / 1e6,
            "MB",
        ),
        Line(
            "a group's leader: agents heard again",
            f"{_n(GROUP_WORKERS_COUNT)} x "
            f"{_n(figures.slope('heartbeat time'))} us, after the election",
            register,
            "s",
        ),
        Line(
            "a group's leader: the state taken in",
            f"{_n(GROUP_WORKERS_COUNT)} x "
            f"{_n(figures.slope('rebuild time of a new leader'))} us",
            figures.at("rebuild time of a new leader", GROUP_WORKERS_COUNT)
            / 1e6,
            "s",
        ),
        Line(
            "a group's leader: nobody commits",
            "longest of five elections, timeout 400 ms",
            figures.rows["election, longest"],
            "s",
        ),
        Line(
            "a group's leader: no run is taken as lost for",
            "one full lease from the election",
            LEASE_OVER_S,
            "s",
        ),
        Line(
            "an hour between regions: changes to catch up on",
            f"{_n(hour)} changes x "
            f"{_n(figures.slope('configuration bytes'))} bytes, to each group",
            missed / 1e3,
            "KB",
        ),
    ]


def _beat_bytes(figures: Figures) -> float:
    return messages.on_the_wire(
        figures.at("heartbeat bytes", MEASUREMENTS_PER_HEARTBEAT_COUNT)
    )


def _n(value: float) -> str:
    return table.number(value) if value < 100 else f"{value:,.0f}"
