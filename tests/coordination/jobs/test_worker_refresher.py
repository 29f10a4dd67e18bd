"""Tests of when the free capacity of workers is computed anew."""

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.jobs import worker_refresher
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders


class _EternalLeases:
    """Leases that never expire."""

    def is_live(self, agent: str) -> bool:
        return True

    def live_agents(self) -> set[str]:
        return {"a1", "a2"}


class _Refresher:
    """A refresher of the workers of a leader with ramps of 10 s."""

    def __init__(self):
        self.state = builders.State()
        self.agents = agents_module.Agents()
        health = worker_health.WorkerHealth()
        self.placement = placement_module.Placement(
            interference=interference_model.InterferenceModel(),
            health=health,
            tickets=tickets_module.Tickets(),
            locality=locality_settings.LocalitySettings(worker_ramp_up_s=10),
        )
        self.refresher = worker_refresher.WorkerRefresher(
            agents=self.agents,
            leases=_EternalLeases(),
            health=health,
            placement=self.placement,
        )

    def report(
        self, agent: str, *, now_s: float, starts_refused_ms: int = 0
    ) -> None:
        worker = ttypes.PoolWorker(
            worker_id=agent,
            pool=builders.POOL,
            data_centre="dc1",
            rack="r1",
            labels=[],
            capacity=leader_harness.resources(16),
        )
        report = ttypes.AgentReport(
            agent=agent,
            incarnation=1,
            sequence=1,
            worker=worker,
            starts_refused_ms=starts_refused_ms,
        )
        self.agents.record_report(report, now_s=now_s)
        self.refresher.mark_stale([agent])
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        self.refresher.refresh(self.state.tables, now_s=now_s)

    def starts_left(self, agent: str) -> int | None:
        return self.placement.index.workers[agent].ramp_starts_left


def test_a_ramping_worker_is_refreshed_when_it_may_take_more() -> None:
    """Guards against a ramp that goes on only when a worker reports a change."""
    refresher = _Refresher()
    refresher.report("a1", now_s=0.0)
    refresher.report("a2", now_s=60.0)
    allowed = []
    for second in range(60, 72, 2):
        refresher.refresh(float(second))
        allowed.append(refresher.starts_left("a2"))
    assert allowed == [1, 3, 7, 15, 31, None]
    assert refresher.starts_left("a1") is None


def test_a_data_centre_that_is_taken_back_is_ramped() -> None:
    refresher = _Refresher()
    refresher.report("a1", now_s=0.0)
    refresher.state.tables.evacuated_data_centres.add("dc1")
    refresher.refresh(30.0)
    assert refresher.placement.index.workers == {}
    refresher.state.tables.evacuated_data_centres.remove("dc1")
    refresher.refresh(60.0)
    assert refresher.starts_left("a1") == 1


def test_a_worker_that_refuses_all_starts_is_used_as_soon_as_it_may() -> None:
    """Guards against backoffs that outlast the time in which it has to refuse."""
    refresher = _Refresher()
    refresher.report("a1", now_s=1.0, starts_refused_ms=11_500)
    assert refresher.placement.index.workers == {}
    refresher.refresh(12.4)
    assert refresher.placement.index.workers == {}
    refresher.refresh(12.5)
    assert list(refresher.placement.index.workers) == ["a1"]
