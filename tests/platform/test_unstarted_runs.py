"""Workers that crash before they have begun a run they were asked for."""

import re

from tests import one_process
from tests.platform import system as system_module

_JOB = "00000000000000d0"
_CRASHES_COUNT = 6
_LIMIT_S = 60.0
_NEVER_S = 600.0


def test_a_job_survives_crashes_of_workers_that_never_began_its_task(
    system: system_module.System,
) -> None:
    """Guards against sound jobs given up for crashes under no run of theirs."""
    system.start(workers_count=3)
    for worker in system.workers.values():
        worker.faults.delayed_calls = {"run-start"}
        worker.faults.call_delay_s = _NEVER_S
    system.submit(_JOB, system_module.step(), spec="work 50")
    crashed: set[tuple[str, str]] = set()

    def crash_asked_workers() -> bool:
        for name, run in _unanswered_runs(system) - crashed:
            system.workers[name].crash()
            crashed.add((name, run))
        state = system.get_job_state(_JOB).value.get("state")
        return state == "failed" or len(crashed) >= _CRASHES_COUNT

    one_process.wait_until(
        crash_asked_workers, limit_s=_LIMIT_S, what=f"{_CRASHES_COUNT} crashes"
    )
    for worker in system.workers.values():
        worker.faults.delayed_calls = set()
    assert system.wait_for_job_state(_JOB, "completed", "failed") == "completed"


def _unanswered_runs(system: system_module.System) -> set[tuple[str, str]]:
    """Returns the agents and runs of which a start request got no answer."""
    pattern = re.compile(
        rf"event=order_failed .*task={_JOB}\S* run=(\d+) .*run-start: "
    )
    return {
        (name, run)
        for name in system.workers
        for run in pattern.findall(system.processes[name].text())
    }
