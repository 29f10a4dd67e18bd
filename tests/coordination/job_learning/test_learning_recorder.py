"""Tests that a new leader continues from what the last one learnt."""

import pytest

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_learning import learning_recorder
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.learning import run_times as run_times_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import learnt_values as learnt_values_module
from tests import one_process

_INTERFERENCE = ttypes.PairInterference(
    latency_critical_image="desk", best_effort_image="pack", added=0.25
)


class _Leader:
    """What a leader has learnt, and what the log holds."""

    def __init__(self):
        self.learnt = learnt_values_module.LearntValues()
        self.interference = interference_model.InterferenceModel()
        self.run_times = run_times_module.RunTimeModel()
        self.recorder = learning_recorder.LearningRecorder()
        self.now_s = 100.0

    def record(self) -> ttypes.RecordLearnt | None:
        """Applies the record that is due 10 s later, if any."""
        self.now_s += 10.0
        record = self.recorder.due_record(
            self.learnt, self.interference, self.run_times, now_s=self.now_s
        )
        if record is not None:
            self.learnt.update(record)
        return record

    def observe_runs(self, *runs_ms: float) -> None:
        for run_ms in runs_ms:
            self.run_times.observe("fast", estimated_ms=1_000, run_ms=run_ms)


@pytest.fixture
def leader() -> _Leader:
    return _Leader()


def test_learnt_values_are_recorded_once(leader: _Leader) -> None:
    leader.interference.restore([_INTERFERENCE])
    leader.observe_runs(2_000)
    record = leader.record()
    assert record.interference == [_INTERFERENCE]
    assert [line.queue for line in record.run_times] == ["fast"]
    assert leader.record() is None


def test_run_times_are_recorded_again_when_they_change(leader: _Leader) -> None:
    leader.observe_runs(*[2_000] * 20)
    leader.record()
    leader.observe_runs(2_000)
    assert leader.record() is None
    leader.observe_runs(*[9_000] * 4)
    assert leader.record() is not None


def test_records_are_due_at_intervals(leader: _Leader) -> None:
    leader.observe_runs(2_000)
    leader.record()
    leader.observe_runs(9_000, 9_000)
    leader.now_s -= 9.9
    assert leader.record() is None


def test_run_times_are_the_same_after_restoring(leader: _Leader) -> None:
    leader.observe_runs(2_000, 3_000, 4_000)
    leader.record()
    restored = run_times_module.RunTimeModel()
    restored.restore(leader.learnt.run_times.values())
    assert restored.predict_ms("fast", 500) == leader.run_times.predict_ms(
        "fast", 500
    )


def test_a_new_leader_restores_interference_from_the_log() -> None:
    replica = replica_module.Replica(member=ttypes.Member(name="c1"))
    record = ttypes.RecordLearnt(interference=[_INTERFERENCE])
    replica.propose(
        commands.new(command_id="", record_learnt=record), timeout_s=1.0
    )
    service = service_module.JobService(replica=replica, lease_ms=1_000)
    scheduler = scheduler_module.JobScheduler(
        replica=replica, job_retention_s=60.0
    )
    scheduler.start(service)
    try:
        one_process.wait_until(
            lambda: service.interference.published_pairs() == [_INTERFERENCE],
            what="the restored interference",
        )
        assert (
            service.interference.added_utilization("desk", "pack", 1.0)
            == _INTERFERENCE.added
        )
    finally:
        scheduler.stop()
