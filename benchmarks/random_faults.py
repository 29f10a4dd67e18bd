"""Soaks the replicated log in random faults, with its invariants as bounds.

Members run in this process on disks that lose unsynced data. Faults are
injected one after another from a fixed seed: power loss of one member or of
all, a wiped folder, and network cuts one way, both ways and between all members.
"""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import itertools
import pathlib
import random
import sys
import tempfile
import threading
import time

from benchmarks import table
from marigoldsill import errors
from tests import processes
from tests.coordination import groups
from tests.coordination import member_group
from tests.state import faulty_files

_SEEDS = ((31, 3), (32, 5))
_FAULTS_COUNT = 15
_PROPOSERS_COUNT = 4
_NUMBERS_PER_PROPOSER = 1_000_000
_PROPOSAL_TIMEOUT_S = 1.0
_PAUSE_LIMIT_S = 0.02
_WATCH_INTERVAL_S = 0.001
_FAULT_LIMIT_S = 1.0
_SETTINGS = dataclasses.replace(
    groups.SETTINGS,
    election_timeout_ms=300,
    heartbeat_ms=40,
    snapshot_every_count=97,
    chunk_bytes=20_000,
    batch_count=9,
)


def run() -> list[table.Row]:
    """Runs one soak for each seed, in about half a minute."""
    return [
        row
        for seed, members_count in _SEEDS
        for row in _run_soak(seed, members_count)
    ]


def _run_soak(seed: int, members_count: int) -> Iterator[table.Row]:
    with tempfile.TemporaryDirectory() as folder:
        group = groups.LocalGroup(
            pathlib.Path(folder),
            count=members_count,
            settings=dataclasses.replace(_SETTINGS, seed=seed),
            open_files=faulty_files.LossyFiles,
        )
        group.form()
        try:
            load = _ProposalLoad(group, seed)
            _inject_faults(group, random.Random(seed))
            load.stop()
            yield from _rows(f"{members_count} members", group, load)
        finally:
            group.close()


class _ProposalLoad:
    """Proposes commands and watches for two leaders until stopped.

    Attributes:
        acknowledged: Plan id by id of the acknowledged command.
        overlaps_count: Number of times that two leaders were seen at once.
    """

    def __init__(self, group: groups.LocalGroup, seed: int):
        self.acknowledged: dict[str, int] = {}
        self.overlaps_count = 0
        self._group = group
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(_PROPOSERS_COUNT + 1)
        self._futures = [self._pool.submit(self._watch_leaders)]
        self._futures += [
            self._pool.submit(self._propose, number, seed)
            for number in range(_PROPOSERS_COUNT)
        ]

    def stop(self) -> None:
        """Stops the load and raises any error of its threads."""
        self._stopping.set()
        for future in self._futures:
            future.result()
        self._pool.shutdown()

    def _watch_leaders(self) -> None:
        while not self._stopping.wait(_WATCH_INTERVAL_S):
            leaders = [r for r in self._replicas() if r.is_leader]
            self.overlaps_count += len(leaders) > 1

    def _propose(self, proposer: int, seed: int) -> None:
        random_source = random.Random(seed + proposer)
        for number in itertools.count(proposer * _NUMBERS_PER_PROPOSER):
            command = member_group.plan_command(number)
            while not self._try_propose(command, random_source):
                if self._stopping.wait(_PAUSE_LIMIT_S):
                    return
            if self._stopping.wait(random_source.uniform(0, _PAUSE_LIMIT_S)):
                return

    def _try_propose(self, command, random_source: random.Random) -> bool:
        replicas = self._replicas()
        random_source.shuffle(replicas)
        for replica in replicas:
            with contextlib.suppress(
                errors.NotRunError, errors.UnknownOutcomeError
            ):
                result = replica.propose(command, timeout_s=_PROPOSAL_TIMEOUT_S)
                self.acknowledged[command.command_id] = result.plan_id
                return True
        return False

    def _replicas(self) -> list:
        return list(self._group.replicas.copy().values())


def _inject_faults(
    group: groups.LocalGroup, random_source: random.Random
) -> None:
    faults = (
        _cut_member,
        _cut_member_one_way,
        _cut_all_members,
        _lose_power,
        _lose_power_of_all,
        _wipe_member,
    )
    for _ in range(_FAULTS_COUNT):
        name = random_source.choice(list(group.members))
        random_source.choice(faults)(group, name, random_source)
        time.sleep(random_source.uniform(0, _FAULT_LIMIT_S))
    group.cut()
    group.wait_for_voters(len(group.members))


def _cut_member(group, name: str, random_source: random.Random) -> None:
    group.cut((name, "*"), ("*", name))
    time.sleep(random_source.uniform(0, _FAULT_LIMIT_S))
    group.cut()


def _cut_member_one_way(group, name: str, random_source: random.Random) -> None:
    group.cut(random_source.choice([(name, "*"), ("*", name)]))
    time.sleep(random_source.uniform(0, _FAULT_LIMIT_S))
    group.cut()


def _cut_all_members(group, name: str, random_source: random.Random) -> None:
    group.cut(("*", "*"))
    time.sleep(random_source.uniform(0, _FAULT_LIMIT_S))
    group.cut()


def _lose_power(group, name: str, random_source: random.Random) -> None:
    group.disks[name].lose_power()
    group.stop(name)
    time.sleep(random_source.uniform(0, _FAULT_LIMIT_S))
    group.start(name)


def _lose_power_of_all(group, name: str, random_source: random.Random) -> None:
    names = list(group.members)
    for member in names:
        group.disks[member].lose_power()
    for member in names:
        group.stop(member)
    for member in names:
        group.start(member)


def _wipe_member(group, name: str, random_source: random.Random) -> None:
    group.disks[name].lose_power()
    group.stop(name)
    group.wipe(name)
    group.start(name)
    group.wait_for_voters(len(group.members))


def _rows(
    name: str, group: groups.LocalGroup, load: _ProposalLoad
) -> Iterator[table.Row]:
    group.propose(member_group.plan_command(-1))
    leader = group.leader()
    with leader.lock:
        results = dict(leader.tables.operator_results)
        plans_count = leader.tables.next_plan_id - 1
        leader_bytes = leader.tables.to_bytes()
    lost = [
        command_id
        for command_id, plan_id in load.acknowledged.items()
        if command_id not in results or results[command_id].plan_id != plan_id
    ]
    for replica in group.replicas.values():
        processes.wait_until(
            lambda replica=replica: _table_bytes(replica) == leader_bytes,
            what="equal tables",
        )
    prefix = f"random_faults: {name},"
    yield table.Row(
        f"{prefix} acknowledged", len(load.acknowledged), "commands"
    )
    yield table.Row(
        f"{prefix} acknowledged and lost", len(lost), "commands", 0, "max"
    )
    yield table.Row(
        f"{prefix} applied twice",
        plans_count - len(results),
        "commands",
        0,
        "max",
    )
    yield table.Row(
        f"{prefix} two leaders seen", load.overlaps_count, "count", 0, "max"
    )


def _table_bytes(replica) -> bytes:
    with replica.lock:
        return replica.tables.to_bytes()


if __name__ == "__main__":
    sys.stdout.write(table.render(run()))
