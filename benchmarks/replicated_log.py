"""Measures commits, elections, replay, catch-up and cut leaders of the log.

Members are separate processes on this machine, except for the cut leader, which
is observed within one process.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import pathlib
import statistics
import sys
import tempfile
import time

from benchmarks import table
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import files as files_module
from marigoldsill.state import log as log_module
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module
from tests.coordination import groups
from tests.coordination import member_group

_LOADS = ((1, 800), (16, 4000), (128, 8000))
_ELECTIONS_COUNT = 5
_REPLAY_SIZES = (2_000, 8_000, 32_000)
_MISSED_COUNTS = (10, 100, 1_000)
_SNAPSHOT_EVERY_COUNT = 300
_KEPT_LIMIT_INTERVALS = 3.5
_KEPT_LATER_LIMIT_INTERVALS = 2.5
_CUT_DURATION_S = 4.0
_PRODUCTION_SETTINGS = {"election_timeout_ms": 1000, "heartbeat_ms": 0}


def run() -> list[table.Row]:
    """Runs all measurements, in well under two minutes."""
    measurements = (
        _measure_commits,
        _measure_elections,
        _measure_replay,
        _measure_catch_up,
        _measure_leader_cut,
    )
    return [
        dataclasses.replace(row, name=f"replicated_log: {row.name}")
        for measure in measurements
        for row in measure()
    ]


def _measure_commits() -> Iterator[table.Row]:
    with _running_group(**_PRODUCTION_SETTINGS) as group:
        leader = group.running[group.leader()]
        leader.call("load 16 500")
        for proposers_count, commands_count in _LOADS:
            report = leader.call(f"load {proposers_count} {commands_count}")
            yield from _commit_rows(proposers_count, commands_count, report)
    yield from _append_size_rows()


def _commit_rows(
    proposers_count: int, commands_count: int, report: dict
) -> Iterator[table.Row]:
    name = f"{proposers_count} proposers"
    rate = commands_count / report["elapsed_s"]
    syncs_ratio = report["syncs_count"] / commands_count
    bounds = {1: 1.05, 16: 0.6, 128: 0.3}
    yield table.Row(f"commits, {name}", rate, "1/s")
    yield table.Row(
        f"syncs of the leader's log per commit, {name}",
        syncs_ratio,
        "ratio",
        bounds[proposers_count],
        "max",
    )
    command = groups.worker_command(0)
    overhead = report["log_bytes"] / commands_count - len(codec.encode(command))
    yield table.Row(
        f"log bytes per commit beyond a command of "
        f"{len(codec.encode(command))}, {name}",
        overhead,
        "bytes",
        80,
        "max",
    )


def _append_size_rows() -> Iterator[table.Row]:
    command = codec.encode(groups.worker_command(0))
    for count in (1, 64):
        entries = [
            ttypes.LogEntry(index=n, term=1, command=command)
            for n in range(count)
        ]
        request = ttypes.AppendRequest(
            term=1,
            leader="control-1",
            previous_index=1,
            previous_term=1,
            entries=entries,
            commit_index=1,
        )
        yield table.Row(
            f"bytes to a follower per commit, {count} in a request",
            len(codec.encode(request)) / count,
            "bytes",
            2 * len(command) + 120,
            "max",
        )


def _measure_elections() -> Iterator[table.Row]:
    times_s = []
    with _running_group(**_PRODUCTION_SETTINGS) as group:
        for _ in range(_ELECTIONS_COUNT):
            name = group.leader()
            start_s = time.monotonic()
            group.kill(name)
            group.leader()
            times_s.append(time.monotonic() - start_s)
            group.start(name)
            group.wait_for_voters(3)
    timeout_s = _PRODUCTION_SETTINGS["election_timeout_ms"] / 1000
    yield table.Row(
        "new leader after a kill, median",
        statistics.median(times_s) / timeout_s,
        "election timeouts",
        3,
        "max",
    )
    yield table.Row(
        "new leader after a kill, longest",
        max(times_s) / timeout_s,
        "election timeouts",
    )


def _measure_replay() -> Iterator[table.Row]:
    costs = [_measure_replay_cost(size) for size in _REPLAY_SIZES]
    for size, cost in zip(_REPLAY_SIZES, costs, strict=True):
        yield table.Row(f"replay of {size} entries", cost.replay_s, "s")
        yield table.Row(f"encode {size} workers", cost.encode_s, "s")
        yield table.Row(
            f"write a snapshot of {size} workers", cost.write_s, "s"
        )
        yield table.Row(f"load a snapshot of {size} workers", cost.load_s, "s")
        yield table.Row(
            f"snapshot bytes per worker, {size} workers",
            cost.snapshot_bytes / size,
            "bytes",
        )
    for part in ("replay_s", "encode_s", "load_s"):
        first, last = getattr(costs[0], part), getattr(costs[-1], part)
        yield table.Row(
            f"{part.removesuffix('_s')} cost per entry, largest to smallest",
            (last / _REPLAY_SIZES[-1]) / (first / _REPLAY_SIZES[0]),
            "ratio",
            4,
            "max",
        )


@dataclasses.dataclass(slots=True, frozen=True)
class _ReplayCost:
    replay_s: float
    encode_s: float
    write_s: float
    load_s: float
    snapshot_bytes: int


def _measure_replay_cost(size: int) -> _ReplayCost:
    with tempfile.TemporaryDirectory() as folder:
        _write_log(pathlib.Path(folder), size)
        files = files_module.Files(folder)
        start_s = time.monotonic()
        tables = _replay_log(files)
        replayed_s = time.monotonic()
        data = tables.to_bytes()
        encoded_s = time.monotonic()
        snapshots = snapshot_module.SnapshotStore(files)
        snapshots.save(snapshot_module.Snapshot(size, 1, [], data))
        written_s = time.monotonic()
        tables_module.Tables.from_bytes(snapshots.load().data)
        loaded_s = time.monotonic()
        files.close()
    return _ReplayCost(
        replayed_s - start_s,
        encoded_s - replayed_s,
        written_s - encoded_s,
        loaded_s - written_s,
        len(data),
    )


def _write_log(folder: pathlib.Path, size: int) -> None:
    files = files_module.Files(folder)
    log = log_module.Log(files)
    log.append(
        [
            ttypes.LogEntry(
                index=number,
                term=1,
                command=codec.encode(groups.worker_command(number)),
            )
            for number in range(1, size + 1)
        ]
    )
    log.sync()
    files.close()


def _replay_log(files: files_module.Files) -> tables_module.Tables:
    log, tables = log_module.Log(files), tables_module.Tables()
    entries = log.entries(1, limit_count=1 << 30, limit_bytes=1 << 40)
    for entry in entries:
        state_machine.apply(
            tables, codec.decode(ttypes.Command(), entry.command)
        )
    return tables


def _measure_catch_up() -> Iterator[table.Row]:
    for missed in _MISSED_COUNTS:
        with _running_group(
            snapshot_every_count=_SNAPSHOT_EVERY_COUNT
        ) as group:
            leader = group.running[group.leader()]
            leader.call("load 16 1000")
            killed_member = next(
                n for n in group.running if n != group.leader()
            )
            group.kill(killed_member)
            leader.call(f"load 16 {missed}")
            start_s = time.monotonic()
            process = group.start(killed_member)
            process.call("status")
            ready_s = time.monotonic()
            kept = _wait_for_catch_up(leader, process)
            done_s = time.monotonic()
            name = f"after missing {missed}"
            yield table.Row(f"process start {name}", ready_s - start_s, "s")
            yield table.Row(f"catch-up {name}", done_s - ready_s, "s")
            yield table.Row(
                f"peak memory {name}",
                process.peak_memory_bytes / (1 << 20),
                "MiB",
            )
            yield table.Row(
                f"log entries kept {name}, at once",
                kept,
                "snapshot intervals",
                _KEPT_LIMIT_INTERVALS + missed / _SNAPSHOT_EVERY_COUNT,
                "max",
            )
            leader.call(f"load 16 {4 * _SNAPSHOT_EVERY_COUNT}")
            yield table.Row(
                f"log entries kept {name}, four snapshot intervals later",
                _wait_for_catch_up(leader, process),
                "snapshot intervals",
                _KEPT_LATER_LIMIT_INTERVALS,
                "max",
            )


def _wait_for_catch_up(
    leader: member_group.MemberProcess, process: member_group.MemberProcess
) -> float:
    index = leader.call("status")["commit_index"]
    status = process.call("status")
    while status["applied_index"] < index:
        status = process.call("status")
    kept_count = status["applied_index"] + 1 - status["first_index"]
    return kept_count / _SNAPSHOT_EVERY_COUNT


def _measure_leader_cut() -> Iterator[table.Row]:
    for check_quorum in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            group = groups.LocalGroup(
                pathlib.Path(folder),
                settings=dataclasses.replace(
                    groups.SETTINGS, check_quorum=check_quorum
                ),
            )
            group.form()
            observations = _watch_leaders(group)
            group.close()
        name = "with CheckQuorum" if check_quorum else "without CheckQuorum"
        yield from _cut_rows(name, observations, bounded=check_quorum)


def _watch_leaders(group: groups.LocalGroup) -> list[tuple[float, bool, bool]]:
    """Cuts off the leader and watches who leads.

    Returns:
        Seconds since the cut, whether the old leader leads, and whether another
        one leads, for each observation.
    """
    old_leader = group.leader().member.name
    pairs = [(old_leader, n) for n in group.members if n != old_leader]
    group.cut(*pairs, *((b, a) for a, b in pairs))
    start_s, observations = time.monotonic(), []
    while (since_s := time.monotonic() - start_s) < _CUT_DURATION_S:
        leaders = {r.member.name for r in group.leaders()}
        observations.append(
            (since_s, old_leader in leaders, bool(leaders - {old_leader}))
        )
        time.sleep(0.001)
    return observations


def _cut_rows(
    name: str, observations: list[tuple[float, bool, bool]], *, bounded: bool
) -> Iterator[table.Row]:
    step_s = observations[-1][0] / len(observations)
    overlap_s = (
        sum(
            old_leader and new_leader
            for _, old_leader, new_leader in observations
        )
        * step_s
    )
    no_leader_s = (
        sum(
            not old_leader and not new_leader
            for _, old_leader, new_leader in observations
        )
        * step_s
    )
    old_leader_s = max(
        (at for at, old_leader, _ in observations if old_leader), default=0.0
    )
    timeout_s = groups.SETTINGS.election_timeout_s
    yield table.Row(
        f"old leader counts after a cut of {_CUT_DURATION_S:g} s, {name}",
        old_leader_s / timeout_s,
        "election timeouts",
        1.0 if bounded else None,
        "max" if bounded else None,
    )
    yield table.Row(
        f"two leaders at once, {name}",
        overlap_s,
        "s",
        0.0 if bounded else None,
        "max" if bounded else None,
    )
    yield table.Row(f"no leader, {name}", no_leader_s, "s")


@contextlib.contextmanager
def _running_group(**settings: object) -> Iterator[member_group.MemberGroup]:
    with tempfile.TemporaryDirectory() as folder:
        group = member_group.MemberGroup(pathlib.Path(folder), **settings)
        try:
            group.form()
            yield group
        finally:
            group.close()


if __name__ == "__main__":
    sys.stdout.write(table.render(run()))
