"""Restarted processes find the group through any seeds in their settings.

The tests guard against a group that nobody finds after a power loss of everything.
The seeds of all processes are then three entries without a disk, which serve
operators as members do. A restarted process knows only its seeds, and entries
without a disk neither knew the group nor passed it on. The three members knew each
other from their disks and elected a leader within 1.3 s, but no agent and no entry
found it, not even the entry in a member's own process.

As a result nearly all calls failed, every agent logged that it found no leader at the
three addresses, and these refused about 600 calls per second to a service that they
did not have. The leader recorded all 112 runs as lost once their leases had expired
and granted no others, so two long-running tasks did not restart.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import pathlib
import shutil

import pytest

from tests import one_process
from tests.platform import journal_invariants
from tests.platform import system as system_module

step = system_module.step
_JOB = "00000000000000c1"
_LONG_RUNNING_JOB = "00000000000000c2"
_LONG_RUNNING_COUNT = 4


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[system_module.System]:
    """A system with three edges with a disk, three without, and a long-running job."""
    system = system_module.System(tmp_path, stateless_edges_count=3)
    system.start()
    system.submit(
        _LONG_RUNNING_JOB,
        step(_LONG_RUNNING_COUNT, long_running=True),
        spec="last",
    )
    _wait_for_long_running_tasks(system)
    yield system
    system.stop()
    journal_invariants.check(system.read_journal())


def _wait_for_long_running_tasks(system: system_module.System) -> None:
    def are_all_running() -> bool:
        running = [
            t for w in system.workers.values() for t in w.running_tasks()
        ]
        long_running = [t for t in running if t.startswith(_LONG_RUNNING_JOB)]
        return len(long_running) == _LONG_RUNNING_COUNT

    one_process.wait_until(are_all_running, what="the long-running tasks")


def _change_seeds(
    system: system_module.System, *names: str, processes: Sequence[str] = ()
) -> None:
    """Changes the seeds and waits until the processes have read them."""
    for _, process in _running_processes(system):
        # A process that is still starting would not reload the new seeds.
        process.wait_for("event=started")
    reload_counts = {
        name: process.text().count("reloaded")
        for name, process in _running_processes(system)
        if not processes or name in processes
    }
    system.change_seeds(*names, processes=processes)
    one_process.wait_until(
        lambda: all(
            system.processes[name].text().count("reloaded") > count
            for name, count in reload_counts.items()
        ),
        what="the reload of the new seeds",
    )


def _running_processes(system: system_module.System) -> list:
    return list(system.processes.items())


def _kill_and_restart(system: system_module.System, *names: str) -> None:
    system.kill(*names)
    for name in names:
        system.restart(name)


def _wait_until_served(system: system_module.System, job_id: str) -> None:
    """Waits until each edge accepts a job and the job is completed."""
    body = {"spec": "work 50", "steps": [step()]}
    for edge in system.running_edges():
        one_process.wait_until(
            lambda edge=edge: (
                system.call("POST", f"/fast/{job_id}", body, edge=edge).status
                == 200
            ),
            what=f"a job accepted at {edge}",
        )
    system.wait_for_job_state(job_id, "completed")


def _promotions_count(system: system_module.System, member: str) -> int:
    """Returns how often leaders have given a member its vote."""
    return sum(
        "event=member_promoted" in line and f"member={member}" in line
        for line in system.read_logs().splitlines()
    )


def test_all_processes_find_the_group_after_a_power_loss_of_everything(
    system: system_module.System,
) -> None:
    _change_seeds(system, "edge-4", "edge-5", "edge-6")
    _kill_and_restart(system, *list(system.processes))
    _wait_until_served(system, _JOB)
    _wait_for_long_running_tasks(system)


def test_agents_find_the_group_through_restarted_seeds(
    system: system_module.System,
) -> None:
    _change_seeds(system, "edge-4", "edge-5", "edge-6")
    _kill_and_restart(system, "edge-4", "edge-5", "edge-6")
    _kill_and_restart(system, *system.workers)
    _wait_until_served(system, _JOB)
    _wait_for_long_running_tasks(system)


def test_a_member_that_lost_its_disk_joins_through_seeds_without_state(
    system: system_module.System,
) -> None:
    _change_seeds(system, "edge-4", "edge-5", "edge-6")
    lost = system.find_leader()
    promotions_count = _promotions_count(system, lost)
    system.kill(lost)
    shutil.rmtree(system.data_folder(lost))
    system.start_edge(lost)
    # Only with the vote of the emptied member is there a majority without another one.
    one_process.wait_until(
        lambda: _promotions_count(system, lost) > promotions_count,
        what="the vote of the emptied member",
    )
    other = next(e for e in system.running_edges()[:3] if e != lost)
    system.kill(other)
    _wait_until_served(system, _JOB)


def test_entries_of_members_find_the_group_while_all_seeds_are_down(
    system: system_module.System,
) -> None:
    _change_seeds(system, "edge-4", "edge-5", "edge-6")
    system.kill("edge-4", "edge-5", "edge-6")
    _kill_and_restart(system, "edge-1", "edge-2", "edge-3")
    _wait_until_served(system, _JOB)


def test_an_entry_without_state_finds_the_next_leader_without_seeds(
    system: system_module.System,
) -> None:
    """Guards against an entry that refuses all calls though there is a leader.

    All seeds, which store no state, lose power, and then the leader does. If the
    entry's own process, which knows the members, contacts only its seeds, its view
    names the lost leader. The entry is then referred to that one and answers 503
    although the two other members have a leader.
    """
    _change_seeds(system, "edge-4", "edge-5")
    one_process.wait_until(
        lambda: system.processes["edge-6"].text().count("group_found") >= 1,
        what="the view of the group at edge-6",
    )
    system.kill("edge-4", "edge-5", system.find_leader())
    _wait_until_served(system, _JOB)


def test_all_processes_find_the_group_if_members_have_other_seeds(
    system: system_module.System,
) -> None:
    """Guards against a group that only the members' own entries find.

    The seeds of the members are the members, those of all other processes are three
    entries without a disk. Then everything loses power. Members send the group only
    to their own seeds, which know it, and the three entries have only each other as
    seeds. They have called members before, but a member does not store its callers.
    """
    members = ("edge-1", "edge-2", "edge-3")
    others = [name for name in system.processes if name not in members]
    _change_seeds(system, "edge-4", "edge-5", "edge-6", processes=others)
    _kill_and_restart(system, *list(system.processes))
    _wait_until_served(system, _JOB)
    _wait_for_long_running_tasks(system)
