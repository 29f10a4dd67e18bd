"""Workers that announce their end to the agent ("Deregister")."""

from collections.abc import Iterator
import pathlib

import pytest

from tests import one_process
from tests.platform import journal_invariants
from tests.platform import system as system_module

_JOB = "00000000000000f1"
# Longer than the other worker takes to join, also on a busy machine.
_SPEC = "work 9000"
# How soon tasks of a worker that has ended as planned start elsewhere.
_RESTART_LIMIT_S = 1.0


@pytest.fixture(params=[False, True], ids=["new-ids", "same-id"])
def system(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path
) -> Iterator[system_module.System]:
    """A system with runs on one worker, and another worker for their tasks."""
    system = system_module.System(tmp_path, workers_send_born=request.param)
    system.start(workers_count=1)
    system.submit(_JOB, system_module.step(3), spec=_SPEC)
    one_process.wait_until(
        lambda: len(system.workers["side-1"].running_tasks()) == 3, what="runs"
    )
    system.start_side("side-2")
    one_process.wait_until(
        lambda: "event=worker_answers" in system.processes["side-2"].text(),
        what="the other worker",
    )
    yield system
    system.stop()
    journal_invariants.check(system.read_journal())


def test_runs_start_elsewhere_at_once_when_a_worker_ends_as_planned(
    system,
) -> None:
    """Guards against tasks that wait for the lease of a worker that has ended."""
    system.workers["side-1"].leave()
    system.wait_for_job_state(_JOB, "completed")
    lines = system.read_journal()
    ended_ns = max(e["at_ns"] for e in lines if e["event"] == "lost")
    restarted_ns = max(e["at_ns"] for e in lines if e["event"] == "started")
    assert 0 < restarted_ns - ended_ns < _RESTART_LIMIT_S * 1e9


def test_runs_continue_while_their_worker_lives_after_its_deregistration(
    system,
) -> None:
    """Guards against two runs of one task at a time.

    The acknowledgement of the deregistration is lost, so the worker ends later.
    """
    system.workers["side-1"].leave(end_delay_s=1.5)
    system.wait_for_job_state(_JOB, "completed")


def test_runs_of_a_deregistered_worker_that_does_not_answer_do_not_run_twice(
    system,
) -> None:
    """Guards against two runs of one task at a time.

    Neither the acknowledgement nor calls arrive, while the worker continues.
    """
    worker = system.workers["side-1"]
    worker.drain_and_deregister()
    worker.faults.is_unresponsive = True
    system.wait_for_job_state(_JOB, "completed")
    assert "lease has expired" in system.processes["side-1"].text()
