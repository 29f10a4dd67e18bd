"""What a leader learns of run times and of interference in one term."""

from collections.abc import Sequence

from marigoldsill.coordination.job_learning import learning_recorder
from marigoldsill.coordination.job_learning import run_time_sampler
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.learning import run_times as run_times_module
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.transport import logs


class TermLearning:
    """Learns from reports and ended runs, and records it for later leaders."""

    def __init__(
        self,
        *,
        interference: interference_model.InterferenceModel,
        run_times: run_times_module.RunTimeModel,
        remote_run_ratio: float,
    ):
        """Initializes the learning of a term.

        Args:
            interference: What was learnt of interference between tasks of one worker.
            run_times: What was learnt of run times.
            remote_run_ratio: How much longer a task takes on another rack than that of
                its data.
        """
        self._interference = interference
        self._run_times = run_times
        self._sampler = run_time_sampler.RunTimeSampler(
            remote_run_ratio=remote_run_ratio
        )
        self._recorder = learning_recorder.LearningRecorder()

    def restore(self, jobs: job_tables.JobTables, *, term: int) -> None:
        """Continues with what leaders of earlier terms have recorded."""
        learnt = jobs.learnt
        self._interference.restore(learnt.interference.values())
        self._run_times.restore(learnt.run_times.values())
        logs.event(
            "learning_restored",
            term=term,
            pairs_count=len(learnt.interference),
            queues_count=len(learnt.run_times),
        )

    def observe_command(
        self, jobs: job_tables.JobTables, command: ttypes.Command
    ) -> None:
        """Times the runs that a command grants or ends.

        Only the leader knows which runs are throttled, so only it times runs.
        """
        self._sampler.observe_command(jobs, command)

    def learn_from_reports(
        self,
        jobs: job_tables.JobTables,
        views: Sequence[agents_module.AgentView],
    ) -> None:
        """Learns interference and run times from reports and ended runs."""
        self._interference.learn(jobs, views)
        self._sampler.exclude_slowed(views)
        for sample in self._sampler.take_samples():
            self._run_times.observe(
                sample.queue,
                estimated_ms=sample.estimated_ms,
                run_ms=sample.run_ms,
            )

    def due_record(
        self, jobs: job_tables.JobTables, *, now_s: float
    ) -> ttypes.RecordLearnt | None:
        """Returns what to record for later leaders, or None if nothing is due."""
        return self._recorder.due_record(
            jobs.learnt, self._interference, self._run_times, now_s=now_s
        )
