"""Logs events of jobs and runs as the leader applies commands."""

from marigoldsill.coordination.jobs import job_metrics
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import crash_attribution
from marigoldsill.transport import logs

_LOSSES = (ttypes.RunEndKind.CRASHED, ttypes.RunEndKind.LOST)


class JobEventLogger:
    """Logs what applied commands changed, and observes the metrics of jobs.

    Called after each applied command while this process leads, with the
    replica's lock held.
    """

    def __init__(self):
        self._ended_jobs: set[str] = set()
        self._waiting_jobs: set[str] = set()

    def reset(self, jobs: job_tables.JobTables) -> None:
        """Resets the state for a new leader; jobs that have ended are not logged."""
        self._waiting_jobs = set()
        self._ended_jobs = {
            job_id
            for job_id, record in jobs.jobs.items()
            if record.state in job_tables.ENDED
        }

    def log_command(
        self, tables: tables_module.Tables, command: ttypes.Command
    ) -> None:
        """Logs the effects of an applied command."""
        jobs = tables.jobs
        match state_machine.body_of(command):
            case ttypes.SubmitJob(job=job):
                self._log_accepted(jobs, job.job_id)
            case ttypes.GrantRuns(grants=grants):
                for grant in grants:
                    _log_granted(jobs, grant)
                ids = {task_names.parse(g.task).job_id for g in grants}
                self._observe_first_grants(jobs, ids, command.proposed_unix_ms)
            case ttypes.RecordRunEnds(ends=ends):
                for end in ends:
                    _log_run_ended(end)
                    _log_loss(jobs, end)
                ids = {task_names.parse(end.task).job_id for end in ends}
                self._log_ended(jobs, ids, command.proposed_unix_ms)
            case ttypes.CancelJob(job_id=job_id):
                self._log_ended(jobs, {job_id}, command.proposed_unix_ms)
            case ttypes.ReplaceRouting(routing=routing):
                logs.event(
                    "routing_in_force",
                    version=jobs.routing.version,
                    sent=routing.version,
                    queues_count=len(jobs.queues),
                )
            case ttypes.SetEvacuation() as order:
                evacuated = sorted(tables.evacuated_data_centres)
                job_metrics.EVACUATED_DATA_CENTRES.set(len(evacuated))
                logs.event(
                    "evacuation_set",
                    data_centre=order.data_centre,
                    active=order.active,
                    operator=order.operator_name,
                    evacuated=",".join(evacuated),
                )

    def _log_accepted(self, jobs: job_tables.JobTables, job_id: str) -> None:
        record = jobs.jobs.get(job_id)
        if record is None or not record.job.steps:
            return
        steps = record.job.steps
        self._waiting_jobs.add(job_id)
        logs.event(
            "job_accepted",
            job=job_id,
            queue=record.job.queue,
            tasks=",".join(str(step.tasks_count) for step in steps),
            cores=",".join(
                f"{step.resources.cpu_millicores / 1000:.1f}" for step in steps
            ),
            estimated_ms=",".join(str(step.estimated_ms) for step in steps),
            kind=_kind_of(steps[0]),
        )

        if record.queue.advised:
            logs.event(
                "job_waits",
                level="WARNING",
                job=job_id,
                queue=record.job.queue,
                reason="no ticket from the adviser yet",
            )

    def _observe_first_grants(
        self, jobs: job_tables.JobTables, job_ids: set[str], now_unix_ms: int
    ) -> None:
        for job_id in job_ids & self._waiting_jobs:
            record = jobs.jobs.get(job_id)
            if record is not None:
                age_ms = now_unix_ms - record.job.accepted_unix_ms
                job_metrics.FIRST_GRANT_SECONDS.observe(max(0, age_ms) / 1000)
        self._waiting_jobs -= job_ids

    def _log_ended(
        self, jobs: job_tables.JobTables, job_ids: set[str], now_unix_ms: int
    ) -> None:
        for job_id in job_ids - self._ended_jobs:
            record = jobs.jobs.get(job_id)
            if record is None or record.state not in job_tables.ENDED:
                continue
            self._ended_jobs.add(job_id)
            self._waiting_jobs.discard(job_id)
            state = ttypes.JobState(record.state).name.lower()
            age_ms = now_unix_ms - record.job.accepted_unix_ms
            job_metrics.FINISH_SECONDS.labels(record.job.queue, state).observe(
                max(0, age_ms) / 1000
            )
            logs.event(
                "job_ended",
                job=job_id,
                queue=record.job.queue,
                state=state,
                age_ms=age_ms,
                reason=record.reason,
            )


def _log_granted(jobs: job_tables.JobTables, grant: ttypes.RunGrant) -> None:
    job_metrics.GRANTS.inc()
    step_key = task_names.parse(grant.task).step_key
    runs = jobs.runs_by_agent.get(grant.agent, {}).values()
    logs.event(
        "run_granted",
        task=grant.task,
        run=grant.run,
        agent=grant.agent,
        worker_id=grant.worker_id,
        step_runs_count=sum(r.address.step_key == step_key for r in runs),
    )


def _log_run_ended(end: ttypes.RunEnd) -> None:
    kind = ttypes.RunEndKind(end.kind).name.lower()
    job_metrics.RUN_ENDS.labels(kind).inc()
    loss = {}
    if end.kind in _LOSSES:
        loss = {
            "suspects_count": end.suspects_count,
            "age_ms": end.age_ms,
            "has_begun": end.has_begun,
            "unseen_ms": end.unseen_ms,
            "worker_ended": end.has_worker_ended
            or end.kind == ttypes.RunEndKind.CRASHED,
        }
    logs.event(
        "run_ended",
        task=end.task,
        run=end.run,
        kind=kind,
        reason=end.detail,
        **loss,
    )


def _log_loss(jobs: job_tables.JobTables, end: ttypes.RunEnd) -> None:
    """Logs that a task may have crashed its worker."""
    task = jobs.find_by_name(end.task) if end.kind in _LOSSES else None
    if task is None:
        return
    losses = crash_attribution.early_losses(task)
    loss = next((loss for loss in task.losses if loss.run == end.run), None)
    if loss is None or not (end.suspects_count or loss in losses):
        return
    observed = {
        "agent": loss.agent,
        "worker_id": loss.worker_id,
        "recorded_by": "agent" if loss.is_from_agent else "leader",
        "since_grant_ms": loss.since_grant_ms,
    }
    if end.suspects_count:
        logs.event(
            "crash_suspected",
            level="WARNING",
            task=end.task,
            run=end.run,
            **observed,
            suspects_count=end.suspects_count,
            crashes_count=crash_attribution.crashes_count(task),
            losses_count=len(losses),
        )
    else:
        logs.event(
            "crash_possible",
            task=end.task,
            run=end.run,
            **observed,
            losses_count=len(losses),
        )


def _kind_of(step: ttypes.Step) -> str:
    """The kind of a step's tasks, for the log."""
    if step.long_running:
        return "latency_critical" if step.tail_target_ms else "long_running"
    return "best_effort" if step.best_effort else "batch"
