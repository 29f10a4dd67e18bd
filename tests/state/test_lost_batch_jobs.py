"""Tests of batch jobs whose workers are lost shortly after they start."""

import pytest

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests.coordination import commands
from tests.state import states

_EARLY_MS = 1_000
_LATE_MS = 120_000


def _tables(record: object) -> tables_module.Tables:
    tables = states.with_workers("worker-1")
    plan_id = states.plan(tables, states.declare(record))
    states.confirm(tables, plan_id)
    return tables


def _lose(
    tables: tables_module.Tables,
    *,
    epoch: int,
    after_ms: int = _EARLY_MS,
    decided_term: int = 0,
) -> ttypes.Task:
    """Grants a run and records the loss of its worker."""
    states.apply(
        tables, assign_runs=commands.assignment("rebuild/0", epoch=epoch)
    )
    assert tables.tasks["rebuild/0"].state == ttypes.TaskState.ASSIGNED
    granted_unix_ms = tables.tasks["rebuild/0"].started_unix_ms
    states.apply(
        tables,
        at_unix_ms=granted_unix_ms + after_ms,
        record_run_events=commands.run_event(
            ttypes.RunEventKind.LOST, epoch=epoch, decided_term=decided_term
        ),
    )
    return tables.tasks["rebuild/0"]


def test_batch_job_is_not_started_again_after_each_lost_worker() -> None:
    tables = _tables(states.batch_job("rebuild"))
    for epoch in range(1, 5):
        assert _lose(tables, epoch=epoch).state == ttypes.TaskState.QUEUED
    task = _lose(tables, epoch=5)
    assert task.state == ttypes.TaskState.FAILED
    assert task.reason == "5 workers in a row were lost as it started"


def test_batch_job_that_works_between_losses_is_not_given_up() -> None:
    tables = _tables(states.batch_job("rebuild"))
    for epoch in range(1, 13):
        after_ms = _LATE_MS if epoch % 4 == 0 else _EARLY_MS
        task = _lose(tables, epoch=epoch, after_ms=after_ms)
        assert task.state == ttypes.TaskState.QUEUED


def test_batch_job_is_not_given_up_for_expired_leases_of_its_workers() -> None:
    tables = _tables(states.batch_job("rebuild"))
    for epoch in range(1, 9):
        task = _lose(tables, epoch=epoch, decided_term=1)
        assert task.state == ttypes.TaskState.QUEUED


@pytest.mark.parametrize("declare", [states.service, states.watcher])
def test_services_and_watchers_are_never_given_up(declare) -> None:
    tables = _tables(declare("rebuild"))
    for epoch in range(1, 9):
        assert _lose(tables, epoch=epoch).state == ttypes.TaskState.QUEUED
