"""The tables of the replicated state, with indexes for decisions.

Only `marigoldsill.state.state_machine` changes them, one command after another, so
that they are the same on every replica. No function here reads a clock.
"""

import collections
from collections.abc import Iterable
import itertools

from marigoldsill.protocol import codec
from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

TOMBSTONES_LIMIT = 2_000
# Several times the number of entries of the largest site, as addresses of removed
# machines are kept until newer ones displace them.
ENTRIES_LIMIT = 512

_CONFIGURATION_PREFIXES = ("service/", "worker/", "policy")
_SIMULATED_TABLES = (
    "services",
    "batch_jobs",
    "watchers",
    "teams",
    "tasks",
    "workers",
    "queued",
)
_OCCUPYING = frozenset(
    {
        ttypes.TaskState.ASSIGNED,
        ttypes.TaskState.RUNNING,
        ttypes.TaskState.STOPPING,
    }
)


def occupies_worker(task: ttypes.Task) -> bool:
    """Whether a run of the task may be alive on its worker."""
    return task.state in _OCCUPYING


class Tables:
    """All records of the state, by name.

    Attributes:
        state_version: Incremented by each confirmed plan.
        config_version: The state version of the last change to the
            configuration of entries and agents: services, policy, drained
            workers.
        config_checksum: A checksum of these subjects and their versions; equal
            for equal configurations, independent of the order of changes.
        forgotten_version: Tombstones up to this version may have been dropped.
        epoch_floor: The highest epoch of all removed tasks. A new task of the
            same name starts from it, so that it cannot have the epoch of an old
            run.
        changed_workers: Workers whose runs changed since `pop_changed_workers`.
        leader_term: The term of the last leader recorded in the log.
        longest_lease_ms: The longest lease that any policy allowed. A new leader
            waits for it, since a lease may have been granted under an older
            policy.
        changed_tasks: Tasks that changed since `pop_changed_tasks`.
        jobs: Queues, their jobs and the runs of these.
        entry_addresses: Addresses of entries (processes without state) that sent
            requests to a leader, the most recently recorded last.
        evacuated_data_centres: Data centres on whose workers nothing new starts;
            a name may be that of a data centre without known workers.
    """

    def __init__(self):
        self.state_version = 0
        self.config_version = 0
        self.config_checksum = 0
        self.forgotten_version = 0
        self.epoch_floor = 0
        self.next_plan_id = 1
        self.next_audit_sequence = 1
        self.next_claim_sequence = 1
        self.policy = ttypes.Policy()
        self.leader_term = 0
        self.longest_lease_ms = self.policy.lease_ms
        self.services: dict[str, ttypes.Service] = {}
        self.batch_jobs: dict[str, ttypes.BatchJob] = {}
        self.watchers: dict[str, ttypes.Watcher] = {}
        self.teams: dict[str, ttypes.Team] = {}
        self.versions: dict[str, ttypes.SubjectVersion] = {}
        self.config_versions: dict[str, ttypes.SubjectVersion] = {}
        self.tombstones: dict[str, None] = {}
        self.tasks: dict[str, ttypes.Task] = {}
        self.workers: dict[str, ttypes.Worker] = {}
        self.plans: dict[int, ttypes.Plan] = {}
        self.audit: collections.deque[ttypes.AuditRecord] = collections.deque()
        self.claims: dict[str, ttypes.Claim] = {}
        self.results: dict[str, ttypes.CommandResult] = {}
        self.operator_results: dict[str, ttypes.CommandResult] = {}
        self.members: list[ttypes.Member] = []
        self.queued: dict[str, None] = {}
        self.tasks_by_owner: dict[str, set[str]] = {}
        self.tasks_by_worker: dict[str, set[str]] = {}
        self.changed_workers: set[str] = set()
        self.changed_tasks: set[str] = set()
        self.jobs = job_tables.JobTables()
        self.entry_addresses: dict[str, None] = {}
        self.evacuated_data_centres: set[str] = set()

    def pop_changed_tasks(self) -> set[str]:
        """Returns the tasks that changed since the last call."""
        changed, self.changed_tasks = self.changed_tasks, set()
        return changed

    def pop_changed_workers(self) -> set[str]:
        """Returns the workers whose runs changed since the last call."""
        changed, self.changed_workers = self.changed_workers, set()
        return changed

    def set_policy(self, policy: ttypes.Policy) -> None:
        """Replaces the operators' policy."""
        self.policy = policy
        self.longest_lease_ms = max(self.longest_lease_ms, policy.lease_ms)

    def put_task(self, task: ttypes.Task) -> None:
        """Adds or replaces a task and updates the indexes."""
        self._unlink_task(task.name)
        self.tasks[task.name] = task
        self.changed_tasks.add(task.name)
        self.tasks_by_owner.setdefault(task.owner, set()).add(task.name)
        if task.state == ttypes.TaskState.QUEUED:
            self.queued[task.name] = None
        if occupies_worker(task):
            self.tasks_by_worker.setdefault(task.worker, set()).add(task.name)
            self.changed_workers.add(task.worker)

    def remove_task(self, name: str) -> None:
        """Removes a task from the table and the indexes."""
        task = self._unlink_task(name)
        if task is not None:
            self.epoch_floor = max(self.epoch_floor, task.epoch)

    def _unlink_task(self, name: str) -> ttypes.Task | None:
        task = self.tasks.pop(name, None)
        self.queued.pop(name, None)
        if task is None:
            return None
        self.changed_tasks.add(name)
        _discard(self.tasks_by_owner, task.owner, name)
        if name in self.tasks_by_worker.get(task.worker, ()):
            _discard(self.tasks_by_worker, task.worker, name)
            self.changed_workers.add(task.worker)
        return task

    def change_task(self, name: str, **fields: object) -> ttypes.Task:
        """Sets fields of a task and updates the indexes."""
        task = records.replace(self.tasks[name], **fields)
        self.put_task(task)
        return task

    def tasks_of(self, owner: str) -> list[ttypes.Task]:
        """Returns the tasks of a service, batch job or watcher, by name."""
        names = sorted(self.tasks_by_owner.get(owner, ()))
        return [self.tasks[name] for name in names]

    def tasks_on(self, worker: str) -> list[ttypes.Task]:
        """Returns the tasks that may be alive on a worker, by name."""
        names = sorted(self.tasks_by_worker.get(worker, ()))
        return [self.tasks[name] for name in names]

    def owner_record(
        self, task: ttypes.Task
    ) -> ttypes.Service | ttypes.BatchJob | ttypes.Watcher | None:
        """Returns the declaration of a task's owner, or None if it was removed."""
        match task.kind:
            case ttypes.Kind.SERVICE:
                return self.services.get(task.owner)
            case ttypes.Kind.BATCH_JOB:
                return self.batch_jobs.get(task.owner)
            case _:
                return self.watchers.get(task.owner)

    def set_version(self, record: ttypes.SubjectVersion) -> None:
        """Records the last change of a subject."""
        self._drop_version(record.subject)
        # Inserted last, so that the newest are at the end.
        self.versions[record.subject] = record
        if record.removed:
            self.tombstones[record.subject] = None
        if is_configuration(record.subject):
            self.config_versions[record.subject] = record
            self.config_version = max(self.config_version, record.version)
            self.config_checksum ^= subject_digest(record)
        if len(self.tombstones) > TOMBSTONES_LIMIT:
            oldest = next(iter(self.tombstones))
            dropped = self._drop_version(oldest)
            self.forgotten_version = max(
                self.forgotten_version, dropped.version
            )

    def _drop_version(self, subject: str) -> ttypes.SubjectVersion | None:
        old = self.versions.pop(subject, None)
        self.tombstones.pop(subject, None)
        if self.config_versions.pop(subject, None) is not None:
            self.config_checksum ^= subject_digest(old)
        return old

    def copy_for_simulation(self) -> "Tables":
        """Returns a copy on which changes can be simulated.

        The records are shared with this state and not changed. Plans, the audit
        trail, claims and results are left out.
        """
        copy = Tables()
        copy.state_version = self.state_version
        copy.epoch_floor = self.epoch_floor
        copy.policy = self.policy
        copy.evacuated_data_centres = set(self.evacuated_data_centres)
        for name in _SIMULATED_TABLES:
            setattr(copy, name, dict(getattr(self, name)))
        copy.tasks_by_owner = {
            k: set(v) for k, v in self.tasks_by_owner.items()
        }
        copy.tasks_by_worker = {
            k: set(v) for k, v in self.tasks_by_worker.items()
        }
        return copy

    def is_draining(self, worker: ttypes.Worker) -> bool:
        """Whether a worker gets no new tasks by an order of an operator."""
        return (
            worker.draining or worker.data_centre in self.evacuated_data_centres
        )

    def record_entries(self, addresses: Iterable[str]) -> None:
        """Records addresses of entries; the oldest over the limit are dropped."""
        for address in addresses:
            self.entry_addresses.pop(address, None)
            self.entry_addresses[address] = None
        while len(self.entry_addresses) > ENTRIES_LIMIT:
            del self.entry_addresses[next(iter(self.entry_addresses))]

    def to_bytes(self) -> bytes:
        """Encodes the whole state as a snapshot."""
        return codec.encode(
            ttypes.TablesSnapshot(
                state_version=self.state_version,
                next_plan_id=self.next_plan_id,
                next_audit_sequence=self.next_audit_sequence,
                policy=self.policy,
                services=list(self.services.values()),
                batch_jobs=list(self.batch_jobs.values()),
                watchers=list(self.watchers.values()),
                teams=list(self.teams.values()),
                versions=list(self.versions.values()),
                tasks=list(self.tasks.values()),
                workers=list(self.workers.values()),
                plans=list(self.plans.values()),
                audit=list(self.audit),
                claims=list(self.claims.values()),
                results=_to_stored(self.results),
                members=self.members,
                next_claim_sequence=self.next_claim_sequence,
                leader_term=self.leader_term,
                longest_lease_ms=self.longest_lease_ms,
                epoch_floor=self.epoch_floor,
                forgotten_version=self.forgotten_version,
                config_version=self.config_version,
                operator_results=_to_stored(self.operator_results),
                routing=self.jobs.routing,
                jobs=list(self.jobs.jobs.values()),
                learnt=self.jobs.learnt.to_record(),
                unresponsive_agents=sorted(self.jobs.unresponsive_agents),
                entry_addresses=list(self.entry_addresses),
                evacuated_data_centres=sorted(self.evacuated_data_centres),
                early_cancellations=self.jobs.early_cancellations.to_records(),
            )
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "Tables":
        """Decodes the state of a snapshot.

        Raises:
            BadInputError: The bytes are not a snapshot.
        """
        snapshot = codec.decode(ttypes.TablesSnapshot(), data)
        tables = cls()
        tables.state_version = snapshot.state_version
        tables.next_plan_id = snapshot.next_plan_id
        tables.next_audit_sequence = snapshot.next_audit_sequence
        tables.policy = snapshot.policy
        tables.leader_term = snapshot.leader_term
        tables.longest_lease_ms = max(
            snapshot.longest_lease_ms, snapshot.policy.lease_ms
        )
        tables.services = _by_name(snapshot.services)
        tables.batch_jobs = _by_name(snapshot.batch_jobs)
        tables.watchers = _by_name(snapshot.watchers)
        tables.teams = _by_name(snapshot.teams)
        tables.workers = _by_name(snapshot.workers)
        tables.plans = {plan.plan_id: plan for plan in snapshot.plans}
        tables.audit.extend(snapshot.audit)
        tables.claims = {claim.key: claim for claim in snapshot.claims}
        tables.results = {r.command_id: r.result for r in snapshot.results}
        tables.operator_results = {
            r.command_id: r.result for r in snapshot.operator_results
        }
        tables.members = snapshot.members
        tables.next_claim_sequence = snapshot.next_claim_sequence
        tables.epoch_floor = snapshot.epoch_floor
        tables.forgotten_version = snapshot.forgotten_version
        for record in snapshot.versions:
            tables.set_version(record)
        # The last change may have been a removal whose tombstone was dropped.
        tables.config_version = snapshot.config_version
        for task in snapshot.tasks:
            tables.put_task(task)
        if snapshot.routing is not None:
            tables.jobs.set_routing(snapshot.routing)
        for job in snapshot.jobs:
            tables.jobs.add_job(job)
        if snapshot.learnt is not None:
            tables.jobs.learnt.update(snapshot.learnt)
        tables.jobs.early_cancellations.restore(snapshot.early_cancellations)
        tables.jobs.record_unresponsive(snapshot.unresponsive_agents, ())
        tables.record_entries(snapshot.entry_addresses)
        tables.evacuated_data_centres = set(snapshot.evacuated_data_centres)
        tables.changed_workers = set(
            itertools.chain(tables.workers, tables.tasks_by_worker)
        )
        return tables


def subject_digest(
    record: ttypes.SubjectVersion | ttypes.ItemVersion,
) -> int:
    """Returns a subject's part of the checksum; 0 for a removed one."""
    if record.removed:
        return 0
    return codec.digest(f"{record.subject}\0{record.version}".encode())


def is_configuration(subject: str) -> bool:
    """Whether a subject is part of the configuration of entries and agents."""
    return subject.startswith(_CONFIGURATION_PREFIXES)


def _to_stored(
    results: dict[str, ttypes.CommandResult],
) -> list[ttypes.StoredResult]:
    return [
        ttypes.StoredResult(command_id=key, result=value)
        for key, value in results.items()
    ]


def _by_name(named: list) -> dict:
    return {record.name: record for record in named}


def _discard(index: dict[str, set[str]], key: str, name: str) -> None:
    names = index.get(key)
    if names is None:
        return
    names.discard(name)
    if not names:
        del index[key]
