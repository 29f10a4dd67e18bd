"""Callers beyond the bound on waiting jobs are told when to return, and then served."""

from collections.abc import Iterator
import pathlib
import time

import pytest

from tests import one_process
from tests.platform import journal_invariants
from tests.platform import system as system_module

_LIMIT = 2
# No worker is large enough, so these jobs wait until they are cancelled.
_UNFIT = system_module.step(cpu=1_000_000)
_BODY = {"spec": "work 100", "steps": [_UNFIT]}


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[system_module.System]:
    """A started system where two jobs may wait."""
    system = system_module.System(
        tmp_path,
        edge_environment={"MARIGOLDSILL_WAITING_JOBS_LIMIT": str(_LIMIT)},
    )
    system.start(workers_count=1)
    yield system
    system.stop()
    journal_invariants.check(system.read_journal())


def test_a_rejected_job_is_unknown_and_is_accepted_when_its_caller_returns(
    system: system_module.System,
) -> None:
    for number in range(_LIMIT):
        system.submit(f"000000000000000{number}", _UNFIT)
    path = "/fast/00000000000000aa"
    rejected = system.call("POST", path, _BODY)
    told_s = time.monotonic() + rejected.retry_after_s
    assert rejected.status == 429
    assert rejected.retry_after_s >= 1
    assert rejected.value["error"] == "OverloadedError"
    for edge in system.running_edges():
        assert system.call("GET", path, edge=edge).status == 410
        assert system.call("DELETE", path, edge=edge).status == 410
    assert system.call("GET", "/fast/").value == {"pending": _LIMIT}
    known = system.call("POST", "/fast/0000000000000000", _BODY)
    assert known.status == 200, "a known job is never rejected"
    assert system.call("DELETE", "/fast/0000000000000000").status == 200
    time.sleep(max(0.0, told_s - time.monotonic()))
    one_process.wait_until(
        lambda: system.call("POST", path, _BODY).status == 200,
        what="the caller's return is accepted",
    )
    assert "job_rejected" in system.read_logs()
