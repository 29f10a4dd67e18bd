"""The agent is killed between each pair of steps of a run's life."""

import pytest

from tests import processes

FLAGS = ("--heartbeat-ms", "200", "--checkpoint-interval-s", "1")
JOB = """
[[batch_job]]
name = "rebuild-{number}"
cores = 30
memory = "2GB"
run_time = "1500ms"
"""


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
    # A job fills a worker, so each agent has one and dies at its own point.
    system.start_control()
    agents = {
        f"worker-{number}": system.start_worker(
            f"worker-{number}",
            agent_flags=FLAGS,
            environment={"MARIGOLDSILL_FAILPOINT": name},
        )
        for number, name in enumerate(failpoints)
    }
    numbers = range(len(failpoints))
    system.apply("".join(JOB.format(number=number) for number in numbers))
    for worker, agent in agents.items():
        agent.wait()
        system.start_agent(worker, flags=FLAGS)

    for number in numbers:
        system.wait_for_state(f"rebuild-{number}/0", "done")

    system.assert_invariants()
