"""Tests of the run times that are learnt from runs in and outside of a rack."""

import pytest

from marigoldsill.coordination.job_learning import run_time_sampler
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders


def _sample_run_ms(
    monkeypatch: pytest.MonkeyPatch, *, rack: str, ratio: float
) -> float:
    """Returns the sampled time of a run of 3 s, which prefers rack r1."""
    now_s = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now_s[0])
    state = builders.State()
    state.submit(builders.job("j1", builders.step(preferred_rack="r1")))
    grant = builders.grant(builders.task_name())
    state.grant(grant)
    sampler = run_time_sampler.RunTimeSampler(remote_run_ratio=ratio)
    jobs = state.tables.jobs
    sampler.observe_command(
        jobs,
        commands.new(
            command_id="", grant_runs=ttypes.GrantRuns(grants=[grant])
        ),
    )
    key = (grant.task, grant.run)
    sample = ttypes.RunSample(*key, percent=50, load=1000)
    worker = ttypes.PoolWorker(worker_id=grant.worker_id, rack=rack)
    view = agents_module.AgentView("a1", worker=worker, samples={key: sample})
    sampler.exclude_slowed([view])
    now_s[0] += 3.0
    end = builders.run_end(grant.task, ttypes.RunEndKind.DONE)
    record = ttypes.RecordRunEnds(ends=[end])
    sampler.observe_command(
        jobs, commands.new(command_id="", record_run_ends=record)
    )
    (taken,) = sampler.take_samples()
    return taken.run_ms


@pytest.mark.parametrize(
    ("rack", "ratio", "run_ms"),
    [("r1", 2.0, 3000.0), ("r2", 2.0, 1500.0), ("r2", 1.0, 3000.0)],
)
def test_a_run_away_from_its_rack_counts_as_if_it_had_run_there(
    monkeypatch: pytest.MonkeyPatch, rack: str, ratio: float, run_ms: float
) -> None:
    """Guards against waits that grow as runs elsewhere make predictions longer."""
    sampled_ms = _sample_run_ms(monkeypatch, rack=rack, ratio=ratio)
    assert sampled_ms == pytest.approx(run_ms)
