"""Leaders that die, freeze or are cut off while runs live and move."""

import signal

import pytest

from tests import processes
from tests.failures import control_commands

ELECTION = ("--election-timeout-ms", "400")
FLAGS = ("--heartbeat-ms", "200", "--checkpoint-interval-s", "600")
JOB = """
[[batch_job]]
name = "rebuild"
cores = 4
memory = "2GB"
run_time = "4s"

[[watcher]]
name = "parish"
cores = 1
memory = "1GB"
"""
CONTROLS = ("control-1", "control-2", "control-3")


@pytest.fixture
def running(system: processes.System) -> processes.System:
    """Three control processes, two workers, a job and a watcher that run."""
    system.start_controls(3, *ELECTION)
    system.start_workers("worker-1", "worker-2", agent_flags=FLAGS)
    system.apply(JOB)
    system.wait_for_state("rebuild/0", "running")
    system.wait_for_state("parish/0", "running")
    return system


def _leader(system: processes.System) -> str:
    return system.request("GET", "/v1/status")["leader"]


@pytest.mark.parametrize("moment", ["chosen", "checkpointed"])
def test_eviction_goes_on_when_the_leader_dies_once_it_is(
    running: processes.System, moment: str
) -> None:
    leader = _leader(running)
    worker = running.task("rebuild/0")["worker"]
    control_commands.evict(running, "rebuild/0")
    if moment == "checkpointed":
        running.wait_for_event(worker, "run_checkpointed")
    running.processes[leader].kill()
    done = running.wait_for_state("rebuild/0", "done")

    assert done["epoch"] == 2
    # A leader's death costs no run.
    assert running.task("parish/0")["epoch"] == 1
    running.assert_invariants()


@pytest.mark.parametrize("fault", ["frozen", "cut off"])
def test_stale_leader_moves_nothing_that_is(
    running: processes.System, fault: str
) -> None:
    leader = _leader(running)
    others = [name for name in CONTROLS if name != leader]
    if fault == "frozen":
        running.processes[leader].freeze()
    else:
        running.cut(
            *(f"{leader} {name}" for name in others),
            *(f"{name} {leader}" for name in others),
        )
    control_commands.evict(running, "rebuild/0")
    running.processes[leader].send(signal.SIGCONT)
    running.cut()
    done = running.wait_for_state("rebuild/0", "done")

    assert done["epoch"] == 2
    assert running.task("parish/0")["epoch"] == 1
    running.assert_invariants()
