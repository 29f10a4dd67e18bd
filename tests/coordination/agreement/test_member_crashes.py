"""Members in processes that are killed, frozen, wiped and restarted."""

from collections.abc import Iterator
import pathlib
import random
import threading
import time

import pytest

from tests import processes
from tests.coordination import member_group

_SEEDS_COUNT = 6
_COMMANDS_PER_SEED = 12
_MISSED_ENTRIES_COUNT = 60


@pytest.fixture
def group(tmp_path: pathlib.Path) -> Iterator[member_group.MemberGroup]:
    members = member_group.MemberGroup(tmp_path, snapshot_every_count=40)
    yield members
    members.close()


def test_a_kill_at_any_time_neither_loses_nor_repeats_commands(group):
    group.form()
    acknowledged = {}
    for seed in range(_SEEDS_COUNT):
        first = seed * _COMMANDS_PER_SEED
        killed = threading.Event()
        victim = f"m{seed % 3}" if seed % 2 else group.leader()
        killer = threading.Thread(
            target=_kill_after_delay, args=(group, victim, seed, killed)
        )
        killer.start()
        for number in range(first, first + _COMMANDS_PER_SEED):
            result = group.propose(member_group.plan_command(number))
            acknowledged[str(result.plan_id)] = f"desk-{number}"
        killer.join()
        group.start(victim)
        assert killed.is_set()
    assert len(acknowledged) == _SEEDS_COUNT * _COMMANDS_PER_SEED
    for name in group.members:
        group.wait_for_plans(name, acknowledged)


def _kill_after_delay(
    group, victim: str, seed: int, killed: threading.Event
) -> None:
    time.sleep(random.Random(seed).uniform(0, 0.02))
    group.kill(victim)
    killed.set()


@pytest.mark.parametrize("request_", ["read", "confirm"])
def test_a_leader_that_was_frozen_returns_no_stale_state(group, request_):
    group.form()
    group.propose(member_group.plan_command(1))
    frozen = group.leader()
    process = group.running.pop(frozen)
    process.freeze()
    group.propose(member_group.plan_command(2))
    process.send(request_)
    process.resume()
    group.running[frozen] = process
    answer = process.read_answer()
    assert "error" in answer or len(answer["plans"]) == 2


def test_consecutive_disk_losses_with_repair_in_between_lose_nothing(group):
    group.form()
    plans = {}
    lost = ["m1", "m2", "m0"]
    for number, name in enumerate(lost):
        result = group.propose(member_group.plan_command(number))
        plans[str(result.plan_id)] = f"desk-{number}"
        group.kill(name)
        group.wipe(name)
        group.start(name)
        group.wait_for_voters(3)
    for name in group.members:
        group.wait_for_plans(name, plans)


def test_there_is_no_leader_without_a_majority_of_disks(group):
    group.form()
    group.propose(member_group.plan_command(1))
    lost = ("m1", "m2")
    # Both are wiped together, and only once the survivor does not lead: a leader
    # would start at once to repair a single wiped member from the others.
    for name in lost:
        group.kill(name)
    survivor = group.running["m0"]
    processes.wait_until(
        lambda: not survivor.call("status")["is_leader"],
        what="the survivor to step down",
    )
    for name in lost:
        group.wipe(name)
        group.start(name)
    end_s = time.monotonic() + 2.5
    while time.monotonic() < end_s:
        statuses = [p.call("status") for p in group.running.values()]
        leads = [status["is_leader"] for status in statuses[1:]]
        assert not any(leads)
        assert all(s["commit_index"] == 0 for s in statuses[1:])
    assert not statuses[0]["is_leader"]
    assert group.running["m0"].propose(member_group.plan_command(2)) is None
    assert "event=no_leader" in group.log_text("m0")
    # It is logged 2 s after the start, and the start is slow on a busy machine.
    processes.wait_until(
        lambda: "event=waiting_to_join" in group.log_text("m1"),
        what="the warning of m1",
    )


def test_a_member_far_behind_catches_up_by_snapshot_and_later_entries(group):
    group.form()
    group.kill("m2")
    plans = {}
    leader = group.running[group.leader()]

    def propose_plan() -> None:
        number = len(plans)
        result = group.propose(member_group.plan_command(number))
        plans[str(result.plan_id)] = f"desk-{number}"

    while leader.call("status")["first_index"] < _MISSED_ENTRIES_COUNT:
        propose_plan()
    # The last snapshot may cover all entries so far.
    propose_plan()
    group.start("m2")
    group.wait_for_plans("m2", plans)
    assert group.log_text("m2").count("event=snapshot_installed") == 2
    status = group.running["m2"].call("status")
    assert (
        _MISSED_ENTRIES_COUNT < status["first_index"] <= status["applied_index"]
    )
