"""Tables of queues, jobs and the runs of their tasks, with indexes.

As with all tables, only `marigoldsill.state.state_machine` changes them. Job
records are changed in place, while the replica's lock is held.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import early_cancellations
from marigoldsill.state import learnt_values as learnt_values_module

ENDED = frozenset(
    {
        ttypes.JobState.COMPLETED,
        ttypes.JobState.FAILED,
        ttypes.JobState.CANCELLED,
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class LiveRun:
    """An entry of the index by agent: a run that may be alive.

    Attributes:
        task: The task's name.
        run: The number of the run among all runs of the task.
        worker_id: The incarnation of the agent's worker that it was granted to.
        address: The task's address, parsed from its name.
    """

    task: str
    run: int
    worker_id: str
    address: task_names.TaskAddress


class JobTables:
    """Queues and jobs of the replicated state.

    Attributes:
        routing: The operators' routing with the highest version.
        queues: Its queues by name.
        pools: Its pools by name.
        used_pools: Names of its pools, and of those of the jobs' queues.
        jobs: All jobs that have not been removed, by id.
        runs_by_agent: Runs that may be alive, by agent, then (task, run).
        changed_agents: Agents whose runs changed since `pop_changed_agents`.
        changed_jobs: Jobs that changed since `pop_changed_jobs`.
        learnt: What leaders have learnt of run times and interference.
        early_cancellations: Cancellations of jobs that were not known.
        unresponsive_agents: Agents with runs whose lease a leader renews only
            after it has recorded that they respond again.
    """

    def __init__(self):
        self.routing = ttypes.Routing()
        self.queues: dict[str, ttypes.Queue] = {}
        self.pools: dict[str, ttypes.Pool] = {}
        self.used_pools: set[str] = set()
        self.jobs: dict[str, ttypes.JobRecord] = {}
        self.runs_by_agent: dict[str, dict[tuple[str, int], LiveRun]] = {}
        self.changed_agents: set[str] = set()
        self.changed_jobs: set[str] = set()
        self.early_cancellations = early_cancellations.EarlyCancellations()
        self.learnt = learnt_values_module.LearntValues()
        self.unresponsive_agents: set[str] = set()

    def set_routing(self, routing: ttypes.Routing) -> None:
        """Replaces the routing."""
        self.routing = routing
        self.queues = {queue.name: queue for queue in routing.queues}
        self.pools = {pool.name: pool for pool in routing.pools}
        # Jobs that were accepted before continue in a pool that is no longer routed to.
        self.used_pools = {*self.pools} | {
            record.queue.pool for record in self.jobs.values()
        }

    def add_job(self, record: ttypes.JobRecord) -> None:
        """Adds a job and indexes its runs that may be alive."""
        job_id = record.job.job_id
        self.jobs[job_id] = record
        self.used_pools.add(record.queue.pool)
        self.changed_jobs.add(job_id)
        for name, _, task in tasks_of(record):
            for run in task.runs:
                self.index_run(name, run)

    def remove_job(self, job_id: str) -> None:
        """Removes a job that has no runs that may be alive."""
        self.jobs.pop(job_id, None)
        self.changed_jobs.add(job_id)

    def queue_of(self, record: ttypes.JobRecord) -> ttypes.Queue:
        """Returns a job's queue, or its last known state if it was removed."""
        return self.queues.get(record.job.queue, record.queue)

    def find_by_name(self, name: str) -> ttypes.JobTask | None:
        """Returns the task with a name, or None if it is not open."""
        address = task_names.parse(name)
        record = self.jobs.get(address.job_id)
        if record is None:
            return None
        return find_task(record, address)

    def step_of(self, task: str) -> ttypes.Step | None:
        """Returns the step of a task, or None if its job is over."""
        return self.step_at(task_names.parse(task))

    def step_at(self, address: task_names.TaskAddress) -> ttypes.Step | None:
        """Returns the step of a task address, or None if its job is over."""
        record = self.jobs.get(address.job_id)
        if record is None or address.step >= len(record.job.steps):
            return None
        return record.job.steps[address.step]

    def address_of(
        self, agent: str, key: task_names.RunKey
    ) -> task_names.TaskAddress:
        """Returns the task address of a run that an agent lists."""
        live = self.runs_by_agent.get(agent, {}).get(key)
        return task_names.parse(key[0]) if live is None else live.address

    def index_run(self, task: str, run: ttypes.JobRun) -> None:
        """Adds a run that may be alive to the index."""
        address = task_names.parse(task)
        live = LiveRun(task, run.run, run.worker_id, address)
        runs = self.runs_by_agent.setdefault(run.agent, {})
        runs[task, run.run] = live
        self.changed_agents.add(run.agent)

    def unindex_run(self, task: str, run: ttypes.JobRun) -> None:
        """Removes a run that is certainly over from the index."""
        runs = self.runs_by_agent.get(run.agent, {})
        runs.pop((task, run.run), None)
        if not runs:
            self.runs_by_agent.pop(run.agent, None)
            self.unresponsive_agents.discard(run.agent)
        self.changed_agents.add(run.agent)

    def record_unresponsive(
        self, unresponsive: Iterable[str], responsive: Iterable[str]
    ) -> None:
        """Records agents that stopped renewing their lease, or renew it again.

        Agents without runs are ignored, as their lease does not matter.
        """
        self.unresponsive_agents.update(
            agent for agent in unresponsive if agent in self.runs_by_agent
        )
        self.unresponsive_agents.difference_update(responsive)

    def pop_changed_agents(self) -> set[str]:
        """Returns the agents whose runs changed since the last call."""
        changed, self.changed_agents = self.changed_agents, set()
        return changed

    def pop_changed_jobs(self) -> set[str]:
        """Returns the jobs that changed since the last call."""
        changed, self.changed_jobs = self.changed_jobs, set()
        return changed


def find_task(
    record: ttypes.JobRecord, address: task_names.TaskAddress
) -> ttypes.JobTask | None:
    """Returns the task at an address of a job, or None if it is not open."""
    occurrence = find_occurrence(record, address.occurrence)
    if occurrence is None or address.step >= len(occurrence.steps):
        return None
    tasks = occurrence.steps[address.step].tasks
    return tasks[address.index] if address.index < len(tasks) else None


def find_occurrence(
    record: ttypes.JobRecord, number: int
) -> ttypes.Occurrence | None:
    """Returns an open occurrence of a job, or None."""
    return next((o for o in record.open if o.number == number), None)


def tasks_of(
    record: ttypes.JobRecord,
) -> Iterator[tuple[str, ttypes.Step, ttypes.JobTask]]:
    """Yields the open tasks of a job, each with its name and step."""
    for occurrence in record.open:
        for step_index, step_tasks in enumerate(occurrence.steps):
            step = record.job.steps[step_index]
            for index, task in enumerate(step_tasks.tasks):
                name = task_names.name_of(
                    record.job.job_id, occurrence.number, step_index, index
                )
                yield name, step, task


def occurrences_count(job: ttypes.Job) -> int:
    """Returns how many times a job's steps run."""
    return max(1, job.repeat_count)
