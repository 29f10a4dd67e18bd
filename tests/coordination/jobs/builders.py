"""Builders of queues, jobs, grants and run ends, and a state to apply them to."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

QUEUE = "fast"
POOL = "pool"
NOW_UNIX_MS = 1_000


def queue(name: str = QUEUE, **fields: object) -> ttypes.Queue:
    """Builds a queue of the pool that all tests use."""
    values = {"host": "jobs.example", "path_prefix": f"/{name}/"} | fields
    return ttypes.Queue(name=name, pool=POOL, **values)


def routing(
    version: int = 1, queues: list[ttypes.Queue] | None = None
) -> ttypes.Routing:
    """Builds a routing with one pool."""
    return ttypes.Routing(
        version=version,
        queues=[queue()] if queues is None else queues,
        pools=[ttypes.Pool(name=POOL)],
        document=f"document {version}".encode(),
    )


def step(tasks_count: int = 1, **fields: object) -> ttypes.Step:
    """Builds a step whose tasks need one core and 1 MiB each."""
    values = {
        "resources": ttypes.Resources(
            cpu_millicores=1_000, memory_bytes=1 << 20
        ),
        "after": [],
    }
    return ttypes.Step(tasks_count=tasks_count, **(values | fields))


def job(
    job_id: str = "j1", *steps: ttypes.Step, **fields: object
) -> ttypes.Job:
    """Builds a job; of one step with one task, unless steps are given."""
    return ttypes.Job(
        job_id=job_id,
        queue=QUEUE,
        command=f"command of {job_id}",
        steps=list(steps) or [step()],
        **fields,
    )


def task_name(number: int = 0, job_id: str = "j1", step_number: int = 0) -> str:
    """Returns the name of a task of the first occurrence."""
    return f"{job_id}.0.{step_number}.{number}"


def grant(name: str, run: int = 1, agent: str = "a1") -> ttypes.RunGrant:
    """Builds a grant for the first incarnation of an agent's worker."""
    return ttypes.RunGrant(
        task=name, run=run, agent=agent, worker_id=f"{agent}-incarnation1"
    )


def run_end(
    name: str,
    kind: ttypes.RunEndKind,
    run: int = 1,
    checkpoint_id: str = "",
) -> ttypes.RunEnd:
    """Builds the record of how a run ended."""
    return ttypes.RunEnd(
        task=name, run=run, kind=kind, checkpoint_id=checkpoint_id
    )


def pool_worker(
    agent: str = "a1", *, cores: int = 4, **fields: object
) -> ttypes.PoolWorker:
    """Builds the first incarnation of an agent's worker."""
    values = {
        "pool": POOL,
        "rack": "r1",
        "labels": [],
        "capacity": ttypes.Resources(
            cpu_millicores=cores * 1_000, memory_bytes=1 << 30
        ),
    }
    return ttypes.PoolWorker(
        worker_id=f"{agent}-incarnation1", **(values | fields)
    )


def agent_report(
    agent: str,
    worker: ttypes.PoolWorker,
    *ends: ttypes.RunEnd,
    sequence: int,
    incarnation: int = 1,
    known_term: int = 0,
) -> ttypes.AgentReport:
    """Builds a report of an agent whose worker runs nothing."""
    return ttypes.AgentReport(
        agent=agent,
        incarnation=incarnation,
        sequence=sequence,
        worker=worker,
        ends=list(ends),
        running=[],
        worker_id=worker.worker_id,
        known_term=known_term,
    )


def suspected_task() -> ttypes.JobTask:
    """Builds a task that is suspected of a crash."""
    crash = ttypes.WorkerLoss(
        run=1,
        agent="a1",
        is_crash_seen=True,
        has_worker_ended=True,
        has_begun=True,
        suspects_count=1,
    )
    return ttypes.JobTask(losses=[crash])


class State:
    """Replicated tables with a routing in force, changed only by commands."""

    def __init__(self, *queues: ttypes.Queue):
        self.tables = tables_module.Tables()
        self.apply(
            replace_routing=ttypes.ReplaceRouting(
                routing=routing(queues=list(queues) or None)
            )
        )

    def apply(
        self, *, at_unix_ms: int = NOW_UNIX_MS, **body: object
    ) -> ttypes.CommandResult:
        """Applies a command with the given body."""
        command = ttypes.Command(proposed_unix_ms=at_unix_ms, **body)
        return state_machine.apply(self.tables, command)

    def submit(self, new_job: ttypes.Job) -> ttypes.CommandResult:
        """Submits a job."""
        return self.apply(submit_job=ttypes.SubmitJob(job=new_job))

    def cancel(self, job_id: str = "j1") -> ttypes.CommandResult:
        """Cancels a job."""
        return self.apply(cancel_job=ttypes.CancelJob(job_id=job_id))

    def grant(self, *grants: ttypes.RunGrant) -> int:
        """Grants runs; returns how many were applied."""
        result = self.apply(grant_runs=ttypes.GrantRuns(grants=list(grants)))
        return result.applied_count

    def end(self, *ends: ttypes.RunEnd, decided_term: int = 0) -> int:
        """Records run ends; returns how many were applied."""
        record = ttypes.RecordRunEnds(
            ends=list(ends), decided_term=decided_term
        )
        return self.apply(record_run_ends=record).applied_count

    def grant_and_end(
        self, name: str, kind: ttypes.RunEndKind, run: int = 1
    ) -> None:
        """Grants a run and records its end."""
        assert self.grant(grant(name, run)) == 1
        assert self.end(run_end(name, kind, run)) == 1

    def state_of(self, job_id: str = "j1") -> ttypes.JobState:
        """Returns the state of a job."""
        return self.tables.jobs.jobs[job_id].state

    def task(self, name: str) -> ttypes.JobTask:
        """Returns a task of an open occurrence."""
        return self.tables.jobs.find_by_name(name)
