"""The agent is killed between each pair of steps of a run's life."""

from concurrent import futures

import pytest

from tests import processes
from tests.failures import control_commands

# Longer than an agent takes to come back on a slow machine: a worker without an
# agent for a whole lease counts as lost, and its job may run again.
LEASE_MS = 6000
JOB = """
[[batch_job]]
name = "rebuild-{number}"
cores = 30
memory = "2GB"
run_time = "{run_time}"
"""


def _flags(*, checkpoint_interval_s: int) -> tuple[str, ...]:
    interval = str(checkpoint_interval_s)
    return ("--heartbeat-ms", "200", "--checkpoint-interval-s", interval)


def _start(
    system: processes.System, failpoints: tuple[str, ...], flags: tuple
) -> dict[str, processes.Process]:
    """One agent for each failpoint, by worker."""
    system.start_control()
    control_commands.set_lease(system, lease_ms=LEASE_MS)
    by_worker = {f"worker-{n}": name for n, name in enumerate(failpoints)}
    with futures.ThreadPoolExecutor(len(failpoints)) as pool:
        started = {
            worker: pool.submit(
                system.start_worker,
                worker,
                agent_flags=flags,
                environment={"MARIGOLDSILL_FAILPOINT": name},
            )
            for worker, name in by_worker.items()
        }
    return {worker: future.result() for worker, future in started.items()}


def _restart_dead(
    system: processes.System,
    agents: dict[str, processes.Process],
    flags: tuple,
) -> None:
    def restart(worker: str) -> None:
        agents[worker].wait()
        system.start_agent(worker, flags=flags)

    with futures.ThreadPoolExecutor(len(agents)) as pool:
        list(pool.map(restart, agents))


def _apply(system: processes.System, *, count: int, run_time: str) -> list[str]:
    """Declares best-effort jobs a worker each; their tasks."""
    system.apply(
        "".join(
            JOB.format(number=number, run_time=run_time)
            for number in range(count)
        )
    )
    return [f"rebuild-{number}/0" for number in range(count)]


@pytest.mark.parametrize(
    "failpoints",
    [
        ("start.before", "start.done", "start.reported"),
        ("checkpoint.before", "checkpoint.done", "checkpoint.reported"),
        ("end.before", "end.reported", "end.acknowledged"),
    ],
    ids=lambda names: names[0].partition(".")[0],
)
def test_each_job_is_done_once_though_agents_die_at(
    system: processes.System, failpoints: tuple[str, ...]
) -> None:
    flags = _flags(checkpoint_interval_s=1)
    agents = _start(system, failpoints, flags)
    tasks = _apply(system, count=len(agents), run_time="1500ms")
    _restart_dead(system, agents, flags)

    for task in tasks:
        system.wait_for_state(task, "done")

    system.assert_invariants()


@pytest.mark.parametrize(
    "failpoints",
    [
        ("checkpoint.before", "checkpoint.done", "checkpoint.reported"),
        ("stop.before", "stop.done", "end.reported"),
    ],
    ids=lambda names: names[0].partition(".")[0],
)
def test_each_evicted_job_goes_on_once_though_agents_die_at(
    system: processes.System, failpoints: tuple[str, ...]
) -> None:
    flags = _flags(checkpoint_interval_s=600)
    agents = _start(system, failpoints, flags)
    tasks = _apply(system, count=len(agents), run_time="10s")
    for task in tasks:
        system.wait_for_state(task, "running")
    for task in tasks:
        control_commands.evict(system, task)
    _restart_dead(system, agents, flags)

    for task in tasks:
        assert system.wait_for_state(task, "done")["epoch"] > 1

    system.assert_invariants()
