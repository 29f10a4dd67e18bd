"""Tests of which slow runs are evicted to run on another worker."""

import pytest

from marigoldsill.coordination.job_placing import relocation
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_THROTTLED_PERCENT = 10


def _evictions_of_slow_run(spread_limit: int) -> list:
    """Throttles one of two runs of a step on two workers for some time."""
    harness = leader_harness.LeaderHarness()
    for agent in ("a1", "a2"):
        harness.set_worker(agent)
    fields = leader_harness.best_effort_fields()
    harness.submit("j1", builders.step(2, spread_limit=spread_limit, **fields))
    agents = harness.run_round()
    task, agent = next(iter(agents.items()))
    slow_runs = relocation.Relocation()
    for _ in range(2):
        sample = ttypes.RunSample(
            task=task,
            run=1,
            percent=1,
            load=0,
            quota_percent=_THROTTLED_PERCENT,
        )
        harness.report_samples(agent, sample, after_s=2.0)
        slow_runs.observe(harness.state.tables.jobs, harness.views[agent])
    return slow_runs.choose_evictions(
        harness.placement, now_s=harness.now_s, is_evicted=lambda _: False
    )


@pytest.mark.parametrize(("spread_limit", "count"), [(0, 1), (1, 0), (2, 1)])
def test_slow_run_is_evicted_only_for_a_worker_that_its_step_may_use(
    spread_limit: int, count: int
) -> None:
    assert len(_evictions_of_slow_run(spread_limit)) == count
