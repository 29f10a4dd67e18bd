"""Agents that are killed while their worker leaves start requests unanswered."""

import pathlib

from tests import one_process
from tests.platform import journal_invariants
from tests.platform import system as system_module

step = system_module.step
_JOB = "00000000000000f0"


def test_refused_start_of_a_killed_agent_does_not_run_beside_the_next_run(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against two runs of one task at a time."""
    system = system_module.System(tmp_path)
    try:
        system.start(workers_count=2)
        worker = system.workers["side-1"]
        worker.faults.delayed_calls = {"run-start"}
        worker.faults.call_delay_s = 2.5
        system.submit(_JOB, step(12, cpu=1000), spec="work 1500")
        one_process.wait_until(
            lambda: "event=order_failed" in system.processes["side-1"].text(),
            what="an unanswered start",
        )
        system.kill("side-1")
        worker.faults.delayed_calls = set()
        worker.is_draining = True
        system.restart("side-1")
        system.wait_for_job_state(_JOB, "completed")
    finally:
        system.stop()
    journal_invariants.check(system.read_journal())
