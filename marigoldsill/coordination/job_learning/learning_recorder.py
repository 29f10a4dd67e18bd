"""Decides what the leader has learnt to record in the replicated log, and when."""

from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.learning import run_times as run_times_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import learnt_values as learnt_values_module

# When a leader fails, at most what it learnt in this interval is lost.
_INTERVAL_S = 2.0
# Run times are recorded again when their mean has changed by about 5% (the mean is of
# logarithms), or when there are a quarter more samples.
_LOG_MEAN_CHANGE_LIMIT = 0.05
_ADDED_SAMPLES_RATIO = 0.25


class LearningRecorder:
    """Compares what this leader has learnt with what is recorded in the log."""

    def __init__(self):
        self._checked_s = 0.0

    def due_record(
        self,
        learnt: learnt_values_module.LearntValues,
        interference: interference_model.InterferenceModel,
        run_times: run_times_module.RunTimeModel,
        *,
        now_s: float,
    ) -> ttypes.RecordLearnt | None:
        """Returns the record that is due now, or None.

        Args:
            learnt: What the log holds.
            interference: What this leader has learnt of interference.
            run_times: What this leader has learnt of run times.
            now_s: The time now.
        """
        if now_s - self._checked_s < _INTERVAL_S:
            return None
        self._checked_s = now_s
        record = ttypes.RecordLearnt(
            interference=[
                pair
                for pair in interference.published_pairs()
                if learnt.interference.get(_pair_of(pair)) != pair
            ],
            run_times=[
                line
                for line in run_times.records()
                if _has_changed(learnt.run_times.get(line.queue), line)
            ],
        )
        return record if record.interference or record.run_times else None


def _pair_of(pair: ttypes.PairInterference) -> learnt_values_module.Pair:
    return pair.latency_critical_image, pair.best_effort_image


def _has_changed(
    recorded: ttypes.RunTimesLine | None, line: ttypes.RunTimesLine
) -> bool:
    """Whether a queue's run times differ enough to be recorded again."""
    if recorded is None:
        return True
    added_count = line.samples_count - recorded.samples_count
    return (
        added_count > _ADDED_SAMPLES_RATIO * recorded.samples_count
        or abs(line.run_mean - recorded.run_mean) > _LOG_MEAN_CHANGE_LIMIT
    )
