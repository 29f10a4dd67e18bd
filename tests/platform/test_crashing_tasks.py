"""Tasks that crash the workers that start them."""

from tests.platform import system as system_module

step = system_module.step
_CRASHING_SPEC = "crash 10"


def test_a_task_that_crashes_each_worker_fails_its_job(
    system: system_module.System,
) -> None:
    """Guards against unlimited restarts, which crash one worker after another."""
    system.start(workers_count=3)
    system.submit("00000000000000e0", step(1), spec=_CRASHING_SPEC)
    system.wait_for_state("00000000000000e0", "failed")
    starts = _starts(system, "00000000000000e0")
    assert 2 <= len(starts) <= 3


def _starts(system: system_module.System, job_id: str) -> list[dict]:
    return [
        line
        for line in system.journal()
        if line["event"] == "started" and line["task"].startswith(job_id)
    ]
