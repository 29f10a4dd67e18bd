"""Tests the resources that runs of jobs and queues reserve."""

from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders


def _refreshed(
    state: builders.State, usage: usage_module.Usage
) -> usage_module.Usage:
    jobs = state.tables.jobs
    usage.refresh(jobs, jobs.pop_changed_jobs())
    return usage


def test_granted_runs_are_counted_until_their_end_is_recorded() -> None:
    state = builders.State()
    state.submit(builders.job("j1", builders.step(2)))
    usage = _refreshed(state, usage_module.Usage())
    assert usage.by_queue == {}
    assert not usage.by_job["j1"].is_started

    first, second = builders.task_name(0), builders.task_name(1)
    state.grant(builders.grant(first), builders.grant(second))
    _refreshed(state, usage)
    assert usage.by_queue[builders.QUEUE].cpu_millicores == 2_000
    assert usage.by_job["j1"].runs_count == 2

    state.end(builders.run_end(first, ttypes.RunEndKind.DONE))
    _refreshed(state, usage)
    assert usage.by_queue[builders.QUEUE].cpu_millicores == 1_000
    assert usage.by_job["j1"].is_started


def test_runs_of_a_cancelled_job_count_while_they_may_be_alive() -> None:
    state = builders.State()
    state.submit(builders.job())
    state.grant(builders.grant(builders.task_name()))
    usage = _refreshed(state, usage_module.Usage())
    state.cancel()
    _refreshed(state, usage)
    assert usage.by_queue[builders.QUEUE].cpu_millicores == 1_000

    state.end(builders.run_end(builders.task_name(), ttypes.RunEndKind.STOPPED))
    _refreshed(state, usage)
    assert usage.by_queue == {}
