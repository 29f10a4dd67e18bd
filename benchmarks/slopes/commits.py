"""Measures commits and elections of a control group of three members.

The members are separate processes with real folders, connected by loopback.

Run alone: `python -m benchmarks.slopes.commits`.
"""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import itertools
import pathlib
import tempfile
import time

from benchmarks import table
from benchmarks.slopes import compiled_modules
from benchmarks.slopes import control_load
from benchmarks.slopes import fit
from tests.coordination import groups
from tests.coordination import member_group

_COMMITS_COUNTS = (400, 800, 1_600)
_THREADS_COUNT = 16
_ELECTIONS_COUNT = 5
_MEMBERS_COUNT = 3
_NO_SNAPSHOT_COUNT = 1_000_000
_command_numbers = itertools.count()


@contextlib.contextmanager
def running_group() -> Iterator[member_group.MemberGroup]:
    """Runs a group of three member processes, all of them voters."""
    with (
        compiled_modules.compiled_packages(),
        tempfile.TemporaryDirectory() as folder,
    ):
        group = member_group.MemberGroup(
            pathlib.Path(folder),
            count=_MEMBERS_COUNT,
            snapshot_every_count=_NO_SNAPSHOT_COUNT,
        )
        try:
            group.form()
            yield group
        finally:
            group.close()


def measure_commits(group: member_group.MemberGroup) -> list[fit.Slope]:
    """Measures processor time, delay and bytes of commits by 16 proposers."""
    leader = group.leader()
    follower = next(name for name in group.running if name != leader)
    members = {"leader": leader, "follower": follower}
    cpu_us: dict[str, dict[int, float]] = {role: {} for role in members}
    elapsed_ms: dict[int, float] = {}
    stored_bytes: dict[int, int] = {}
    for count in _COMMITS_COUNTS:
        before = {r: _member_cpu_s(group, name) for r, name in members.items()}
        initial_bytes = _folder_bytes(group.data_folder(leader))
        start_s = time.monotonic()
        _propose(group.running[leader], count)
        elapsed_ms[count] = (time.monotonic() - start_s) * 1e3
        stored_bytes[count] = (
            _folder_bytes(group.data_folder(leader)) - initial_bytes
        )
        for role, name in members.items():
            used_s = _member_cpu_s(group, name) - before[role]
            cpu_us[role][count] = used_s * 1e6
    return [
        *(
            fit.fit_line(
                f"commit time of a {role}",
                points.items(),
                unit="us",
                per="commit",
            )
            for role, points in cpu_us.items()
        ),
        fit.fit_line(
            "commit delay",
            elapsed_ms.items(),
            unit="ms",
            per=f"commit, {_THREADS_COUNT} at a time",
        ),
        fit.fit_line(
            "commit bytes", stored_bytes.items(), unit="bytes", per="commit"
        ),
    ]


def measure_elections(group: member_group.MemberGroup) -> list[table.Row]:
    """Measures the time without commits after the leader is killed."""
    gaps_s = [_election_gap_s(group) for _ in range(_ELECTIONS_COUNT)]
    return [
        table.Row("capacity: election, shortest", min(gaps_s), "s"),
        table.Row("capacity: election, longest", max(gaps_s), "s"),
    ]


def measure() -> tuple[list[fit.Slope], list[table.Row]]:
    """Returns the slopes of commits and the rows of elections."""
    with running_group() as group:
        return measure_commits(group), measure_elections(group)


def _propose(process: member_group.MemberProcess, count: int) -> None:
    def propose_one(number: int) -> None:
        connection = connections[number % _THREADS_COUNT]
        connection.call(
            "propose", groups.worker_command(number), timeout_s=10.0
        )

    connections = [process.connect() for _ in range(_THREADS_COUNT)]
    with futures.ThreadPoolExecutor(_THREADS_COUNT) as pool:
        list(pool.map(propose_one, itertools.islice(_command_numbers, count)))
    for connection in connections:
        connection.close()


def _election_gap_s(group: member_group.MemberGroup) -> float:
    leader = group.leader()
    group.kill(leader)
    start_s = time.monotonic()
    group.propose(groups.worker_command(next(_command_numbers)))
    gap_s = time.monotonic() - start_s
    group.start(leader)
    group.wait_for_voters(_MEMBERS_COUNT)
    return gap_s


def _member_cpu_s(group: member_group.MemberGroup, name: str) -> float:
    return control_load.process_cpu_s(group.running[name].pid)


def _folder_bytes(folder: pathlib.Path) -> int:
    return sum(p.stat().st_size for p in folder.rglob("*") if p.is_file())


if __name__ == "__main__":
    slopes, rows = measure()
    fit.print_slopes(slopes)
    print(table.render(rows), end="")
