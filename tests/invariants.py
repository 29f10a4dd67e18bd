"""What must hold over the stand-ins' journals, whatever failed meanwhile.

All failure tests judge by these checks. A check gives one line for each
violation; `assert_hold` fails with all of them.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import math
import pathlib

from standins import journal

_AMOUNTS = ("cpu_millicores", "memory_bytes", "accelerators_count")
_ENDS = ("run_stopped", "run_completed", "run_failed")
_CLOCK_SLACK_MS = 50


@dataclasses.dataclass(slots=True)
class Run:
    """One run as a worker's journal shows it.

    Attributes:
        worker: Where it ran.
        task: Its task.
        epoch: Its epoch.
        kind: "service", "batch_job" or "watcher".
        started_ns: When it started.
        ended_ns: When it ended; infinite while it runs.
        end: Event that ended it; empty while it runs.
        detail: Why it was stopped or failed.
        resumed_from: Id of the checkpoint it went on from, or empty.
        resumed_ms: Work that it went on from.
        worked_ms: Work when it ended.
        run_time_ms: Work of the whole job.
        checkpoints: Work by id of the checkpoints it made, in order.
    """

    worker: str
    task: str
    epoch: int
    kind: str
    started_ns: int
    resumed_from: str
    resumed_ms: int
    run_time_ms: int
    ended_ns: float = math.inf
    end: str = ""
    detail: str = ""
    worked_ms: int = 0
    checkpoints: dict[str, int] = dataclasses.field(default_factory=dict)


def assert_hold(
    paths: Iterable[pathlib.Path], *, unreachable: frozenset[str] = frozenset()
) -> None:
    """Fails unless every invariant holds over some journals.

    Args:
        paths: The journals of all workers.
        unreachable: Workers that were lost or cut off: a completion there may
            have been unknown to control, so the job may have run again.
    """
    journals = [journal.read(path) for path in paths]
    assert any(journals), "there is no journal to judge"
    broken = violations(journals, unreachable=unreachable)
    assert not broken, "\n".join(broken)


def violations(
    journals: list[list[dict]], *, unreachable: frozenset[str] = frozenset()
) -> list[str]:
    """Everything that some journals show to be broken."""
    runs = [run for events in journals for run in runs_of(events)]
    by_task = _grouped(runs, lambda run: run.task)
    return [
        *itertools.chain.from_iterable(map(_over_capacity, journals)),
        *itertools.chain.from_iterable(map(_overlaps, by_task.values())),
        *itertools.chain.from_iterable(map(_started_twice, by_task.values())),
        *itertools.chain.from_iterable(map(_wrong_work, by_task.values())),
        *itertools.chain.from_iterable(
            _done_again(task_runs, unreachable)
            for task_runs in by_task.values()
        ),
        *_keys_run_twice(journals),
    ]


def runs_of(events: list[dict]) -> list[Run]:
    """The runs that one worker's journal shows, by their start."""
    runs: list[Run] = []
    live: dict[tuple[str, int], Run] = {}
    for event in events:
        key = (event.get("task"), event.get("epoch"))
        match event["event"]:
            case "run_started":
                live[key] = _begun(event)
                runs.append(live[key])
            case "run_checkpointed" if key in live:
                checkpoint_id = event["checkpoint_id"]
                live[key].checkpoints[checkpoint_id] = event["worked_ms"]
            case name if name in _ENDS and key in live:
                run = live.pop(key)
                run.end, run.detail = name, event["detail"]
                run.ended_ns, run.worked_ms = event["at_ns"], event["worked_ms"]
            case "worker_killed" | "worker_started":
                for run in live.values():
                    run.end, run.ended_ns = "worker_killed", event["at_ns"]
                live.clear()
    return runs


def _begun(event: dict) -> Run:
    return Run(
        worker=event["worker"],
        task=event["task"],
        epoch=event["epoch"],
        kind=event["kind"],
        started_ns=event["at_ns"],
        resumed_from=event["checkpoint_id"],
        resumed_ms=event["worked_ms"],
        run_time_ms=event["run_time_ms"],
    )


def _over_capacity(events: list[dict]) -> list[str]:
    """Starts that took a worker over its capacity at that moment.

    Only a start can: a capacity that falls finds its runs there already.
    """
    capacity = dict.fromkeys(_AMOUNTS, 0)
    held: dict[tuple[str, int], dict] = {}
    broken: list[str] = []
    for event in events:
        key = (event.get("task"), event.get("epoch"))
        match event["event"]:
            case "worker_started" | "worker_killed":
                held.clear()
                capacity = {n: event.get(n, 0) for n in _AMOUNTS}
            case "capacity":
                capacity = {n: event[n] for n in _AMOUNTS}
            case "run_started":
                held[key] = event
                broken += [
                    f"{event['worker']}: {key} starts with {name} {used} of "
                    f"{capacity[name]}"
                    for name in _AMOUNTS
                    if (used := sum(e[name] for e in held.values()))
                    > capacity[name]
                ]
            case name if name in _ENDS:
                held.pop(key, None)
    return broken


def _overlaps(runs: list[Run]) -> list[str]:
    ordered = sorted(runs, key=lambda run: run.started_ns)
    return [
        f"{a.task}: epoch {a.epoch} on {a.worker} overlaps epoch {b.epoch} on "
        f"{b.worker} by {(min(a.ended_ns, b.ended_ns) - b.started_ns) / 1e6} ms"
        for a, b in itertools.combinations(ordered, 2)
        if b.started_ns < a.ended_ns
    ]


def _started_twice(runs: list[Run]) -> list[str]:
    by_epoch = _grouped(runs, lambda run: run.epoch)
    twice = [
        f"{same[0].task}: epoch {epoch} was started {len(same)} times"
        for epoch, same in by_epoch.items()
        if len(same) > 1
    ]
    ordered = sorted(runs, key=lambda run: run.started_ns)
    back = [
        f"{a.task}: epoch {b.epoch} was started after epoch {a.epoch}"
        for a, b in itertools.pairwise(ordered)
        if b.epoch < a.epoch
    ]
    return twice + back


def _wrong_work(runs: list[Run]) -> list[str]:
    """Work counted twice, lost in an orderly stop, or beyond the job."""
    batch = [run for run in runs if run.kind == "batch_job"]
    batch.sort(key=lambda run: run.started_ns)
    made: dict[str, int] = {"": 0}
    broken: list[str] = []
    for previous, run in zip([None, *batch], batch, strict=False):
        if made.get(run.resumed_from) != run.resumed_ms:
            broken.append(
                f"{run.task}: epoch {run.epoch} goes on from "
                f"{run.resumed_from!r} with {run.resumed_ms} ms, but that "
                f"checkpoint holds {made.get(run.resumed_from)}"
            )
        if previous is not None:
            broken += _not_resumed(previous, run)
        broken += _impossible_work(run)
        made |= run.checkpoints
    return broken


def _not_resumed(previous: Run, run: Run) -> list[str]:
    if run.resumed_ms < previous.resumed_ms:
        return [
            f"{run.task}: epoch {run.epoch} goes on from {run.resumed_ms} ms, "
            f"before the {previous.resumed_ms} ms of epoch {previous.epoch}"
        ]
    if previous.detail != "stopped by the agent" or not previous.checkpoints:
        return []
    last = list(previous.checkpoints)[-1]
    if run.resumed_from == last:
        return []
    return [
        f"{run.task}: epoch {run.epoch} goes on from {run.resumed_from!r}; "
        f"epoch {previous.epoch} was stopped after checkpoint {last!r}"
    ]


def _impossible_work(run: Run) -> list[str]:
    broken = []
    if run.worked_ms > run.run_time_ms:
        broken.append(
            f"{run.task}: epoch {run.epoch} counts {run.worked_ms} ms of "
            f"{run.run_time_ms}"
        )
    if run.end == "run_completed" and run.worked_ms != run.run_time_ms:
        broken.append(
            f"{run.task}: epoch {run.epoch} completed with {run.worked_ms} ms "
            f"of {run.run_time_ms}"
        )
    if run.end in _ENDS:
        lasted_ms = (run.ended_ns - run.started_ns) / 1e6
        if run.worked_ms - run.resumed_ms > lasted_ms + _CLOCK_SLACK_MS:
            broken.append(
                f"{run.task}: epoch {run.epoch} did "
                f"{run.worked_ms - run.resumed_ms} ms in {lasted_ms} ms"
            )
    return broken


def _done_again(runs: list[Run], unreachable: frozenset[str]) -> list[str]:
    done = [
        run
        for run in runs
        if run.kind == "batch_job"
        and run.end == "run_completed"
        and run.worker not in unreachable
    ]
    return [
        f"{run.task}: epoch {later.epoch} started after epoch {run.epoch} "
        f"completed on {run.worker}"
        for run in done
        for later in runs
        if later.started_ns > run.ended_ns
    ]


def _keys_run_twice(journals: list[list[dict]]) -> list[str]:
    began = (
        event
        for events in journals
        for event in events
        if event["event"] == "request_began" and event["key"]
    )
    by_key = _grouped(began, lambda event: event["key"])
    return [
        f"key {key!r} was run {len(same)} times"
        for key, same in by_key.items()
        if len(same) > 1
    ]


def _grouped(items: Iterable, key: object) -> dict:
    groups: dict = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return groups
