"""The tables of the replicated state, with the indexes that decisions need.

Only `marigoldsill.state.machine` changes them, one command after another, so
that every replica holds the same. Nothing here looks at a clock.
"""

import collections
import itertools

from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes

_HOLDING = frozenset(
    {
        ttypes.TaskState.ASSIGNED,
        ttypes.TaskState.RUNNING,
        ttypes.TaskState.STOPPING,
    }
)


def holds_worker(task: ttypes.Task) -> bool:
    """Whether a run of the task may be alive on its worker."""
    return task.state in _HOLDING


class Tables:
    """Every record of the state, by name.

    Attributes:
        state_version: Raised by one with each confirmed change.
        config_checksum: Over all subjects and their versions; equal for equal
            configurations whatever the order of changes.
        touched_workers: Workers whose runs changed since `take_touched`.
    """

    def __init__(self):
        self.state_version = 0
        self.config_checksum = 0
        self.next_plan_id = 1
        self.next_audit_sequence = 1
        self.next_claim_sequence = 1
        self.policy = ttypes.Policy()
        self.services: dict[str, ttypes.Service] = {}
        self.batch_jobs: dict[str, ttypes.BatchJob] = {}
        self.watchers: dict[str, ttypes.Watcher] = {}
        self.teams: dict[str, ttypes.Team] = {}
        self.versions: dict[str, ttypes.SubjectVersion] = {}
        self.tasks: dict[str, ttypes.Task] = {}
        self.workers: dict[str, ttypes.Worker] = {}
        self.plans: dict[int, ttypes.Plan] = {}
        self.audit: collections.deque[ttypes.AuditRecord] = collections.deque()
        self.claims: dict[str, ttypes.Claim] = {}
        self.results: dict[str, ttypes.CommandResult] = {}
        self.members: list[ttypes.Member] = []
        self.queued: dict[str, None] = {}
        self.tasks_by_owner: dict[str, set[str]] = {}
        self.tasks_by_worker: dict[str, set[str]] = {}
        self.touched_workers: set[str] = set()

    def take_touched(self) -> set[str]:
        """The workers whose runs changed since the last call."""
        touched, self.touched_workers = self.touched_workers, set()
        return touched

    def put_task(self, task: ttypes.Task) -> None:
        """Adds or replaces a task and mends the indexes."""
        self.remove_task(task.name)
        self.tasks[task.name] = task
        self.tasks_by_owner.setdefault(task.owner, set()).add(task.name)
        if task.state == ttypes.TaskState.QUEUED:
            self.queued[task.name] = None
        if holds_worker(task):
            self.tasks_by_worker.setdefault(task.worker, set()).add(task.name)
            self.touched_workers.add(task.worker)

    def remove_task(self, name: str) -> None:
        """Takes a task out of the table and the indexes."""
        task = self.tasks.pop(name, None)
        self.queued.pop(name, None)
        if task is None:
            return
        _discard(self.tasks_by_owner, task.owner, name)
        if name in self.tasks_by_worker.get(task.worker, ()):
            _discard(self.tasks_by_worker, task.worker, name)
            self.touched_workers.add(task.worker)

    def change_task(self, name: str, **fields: object) -> ttypes.Task:
        """Sets fields of a task and mends the indexes."""
        old = self.tasks[name]
        values = {slot: getattr(old, slot) for slot in ttypes.Task.__slots__}
        task = ttypes.Task(**(values | fields))
        self.put_task(task)
        return task

    def tasks_of(self, owner: str) -> list[ttypes.Task]:
        """The tasks of a service, batch job or watcher, by name."""
        names = sorted(self.tasks_by_owner.get(owner, ()))
        return [self.tasks[name] for name in names]

    def tasks_on(self, worker: str) -> list[ttypes.Task]:
        """The tasks that may be alive on a worker, by name."""
        names = sorted(self.tasks_by_worker.get(worker, ()))
        return [self.tasks[name] for name in names]

    def owner_record(
        self, task: ttypes.Task
    ) -> ttypes.Service | ttypes.BatchJob | ttypes.Watcher | None:
        """The declaration a task belongs to, or None once it is removed."""
        match task.kind:
            case ttypes.Kind.SERVICE:
                return self.services.get(task.owner)
            case ttypes.Kind.BATCH_JOB:
                return self.batch_jobs.get(task.owner)
            case _:
                return self.watchers.get(task.owner)

    def set_version(self, record: ttypes.SubjectVersion) -> None:
        """Notes which change last touched a subject."""
        old = self.versions.get(record.subject)
        if old is not None:
            self.config_checksum ^= subject_digest(old)
        # Put last: the newest are found from the end.
        self.versions.pop(record.subject, None)
        self.versions[record.subject] = record
        self.config_checksum ^= subject_digest(record)

    def to_bytes(self) -> bytes:
        """The whole state as a snapshot."""
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
                results=[
                    ttypes.StoredResult(command_id=key, result=value)
                    for key, value in self.results.items()
                ],
                members=self.members,
                next_claim_sequence=self.next_claim_sequence,
            )
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "Tables":
        """The state that a snapshot holds.

        Raises:
            BadInputError: The bytes are no snapshot.
        """
        snapshot = codec.decode(ttypes.TablesSnapshot(), data)
        tables = cls()
        tables.state_version = snapshot.state_version
        tables.next_plan_id = snapshot.next_plan_id
        tables.next_audit_sequence = snapshot.next_audit_sequence
        tables.policy = snapshot.policy
        tables.services = _by_name(snapshot.services)
        tables.batch_jobs = _by_name(snapshot.batch_jobs)
        tables.watchers = _by_name(snapshot.watchers)
        tables.teams = _by_name(snapshot.teams)
        tables.workers = _by_name(snapshot.workers)
        tables.plans = {plan.plan_id: plan for plan in snapshot.plans}
        tables.audit.extend(snapshot.audit)
        tables.claims = {claim.key: claim for claim in snapshot.claims}
        tables.results = {r.command_id: r.result for r in snapshot.results}
        tables.members = snapshot.members
        tables.next_claim_sequence = snapshot.next_claim_sequence
        for record in snapshot.versions:
            tables.set_version(record)
        for task in snapshot.tasks:
            tables.put_task(task)
        tables.touched_workers = set(
            itertools.chain(tables.workers, tables.tasks_by_worker)
        )
        return tables


def subject_digest(record: ttypes.SubjectVersion) -> int:
    """What one subject adds to the checksum of the configuration."""
    text = f"{record.subject}\0{record.version}\0{int(record.removed)}"
    return codec.digest(text.encode())


def _by_name(records: list) -> dict:
    return {record.name: record for record in records}


def _discard(index: dict[str, set[str]], key: str, name: str) -> None:
    names = index.get(key)
    if names is None:
        return
    names.discard(name)
    if not names:
        del index[key]
