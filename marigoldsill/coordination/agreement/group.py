"""The Raft state of one control process, shared by its tasks."""

from collections.abc import Callable
import dataclasses
import enum
import threading
import traceback

from marigoldsill import errors
from marigoldsill.coordination.agreement import membership as membership_module
from marigoldsill.coordination.agreement import pending_proposals
from marigoldsill.state import log as log_module
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.state import vote as vote_module
from marigoldsill.transport import clock
from marigoldsill.transport import logs

_HEARTBEATS_PER_TIMEOUT = 6


class Role(enum.Enum):
    """The role of a member in its term."""

    FOLLOWER = enum.auto()
    CANDIDATE = enum.auto()
    LEADER = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """Timeouts and sizes of a replica; the same on all members.

    Attributes:
        election_timeout_ms: A follower starts an election after one to two of
            these timeouts; a leader's lease is slightly shorter than one.
        heartbeat_ms: Interval of a leader's heartbeats; 0 for a sixth of the
            election timeout.
        snapshot_every_count: Number of entries applied between two snapshots.
        snapshot_every_bytes: Bytes of commands applied between two snapshots, if
            this limit is reached first.
        check_quorum: Whether a leader steps down when no majority responds. Off
            only to measure the failures that it prevents.
        seed: Seed of the random election timeouts; None for one from the OS.
        batch_count: Maximum number of entries in one request to a follower.
        batch_bytes: Maximum bytes of commands in one request, unless a single
            entry is larger.
        chunk_bytes: Size of one chunk of a snapshot sent to a follower.
        voters_count: Number of members that vote; the others are standby learners.
            0 for all members.
    """

    election_timeout_ms: int = 1000
    heartbeat_ms: int = 0
    snapshot_every_count: int = 2000
    snapshot_every_bytes: int = 32 * 1024 * 1024
    check_quorum: bool = True
    seed: int | None = None
    batch_count: int = 1024
    batch_bytes: int = 1024 * 1024
    chunk_bytes: int = 512 * 1024
    voters_count: int = 0

    @property
    def election_timeout_s(self) -> float:
        """The election timeout in seconds."""
        return self.election_timeout_ms / 1000

    @property
    def heartbeat_s(self) -> float:
        """The heartbeat interval in seconds."""
        if self.heartbeat_ms:
            return self.heartbeat_ms / 1000
        return self.election_timeout_s / _HEARTBEATS_PER_TIMEOUT


class Group:
    """Term, role, log and members of this process.

    `lock` guards every field; the conditions share it. Code that holds
    `Replica.lock` may acquire `lock`, but not the reverse.

    Attributes:
        work_available: Notified when there may be something to send or to write.
        committed: Notified when there may be something to apply.
        progress_made: Notified when a peer replied, entries were applied or the role
            changed.
        leader_name: The known leader of this term, or "".
        last_contact_s: When a leader last made contact or a vote was last granted.
        leader_lease_until_s: Until when no other member gets this member's vote.
        has_granted_lease: Whether a leader made contact, or a vote was granted, since
            this process started.
        leader_since_s: When this member last became leader.
        commit_index: The last entry known to be committed.
        applied_index: The last entry that was applied to the tables.
        term_start_index: The first entry of this leader's term.
        pending_proposals: Proposals of this leader that wait for their result.
        resigned_term: The term that this member led when it was stopped, or 0.
        successor: The member it then named as the next leader, or "".
        failure: The error that ended this member's participation, or None.
    """

    def __init__(
        self,
        *,
        name: str,
        settings: ReplicaSettings,
        log: log_module.Log,
        votes: vote_module.VoteStore,
        snapshots: snapshot_module.SnapshotStore,
        membership: membership_module.Membership,
        applied_index: int,
        on_fatal: Callable[[errors.StorageError], None],
    ):
        self.name = name
        self.settings = settings
        self.log = log
        self.votes = votes
        self.snapshots = snapshots
        self.membership = membership
        self.lock = threading.Lock()
        self.work_available = threading.Condition(self.lock)
        self.committed = threading.Condition(self.lock)
        self.progress_made = threading.Condition(self.lock)
        self.role = Role.FOLLOWER
        self.leader_name = ""
        self.last_contact_s = self.leader_lease_until_s = 0.0
        self.renew_leader_lease(settings.election_timeout_ms)
        self.has_granted_lease = False
        self.leader_since_s = 0.0
        self.commit_index = applied_index
        self.applied_index = applied_index
        self.term_start_index = 0
        self.pending_proposals = pending_proposals.PendingProposals()
        self.stopping = False
        self.resigned_term = 0
        self.successor = ""
        self.failure: errors.StorageError | None = None
        self._on_fatal = on_fatal

    @property
    def term(self) -> int:
        """The current term."""
        return self.votes.state.term

    @property
    def incarnation(self) -> int:
        """The incarnation of this member's data folder."""
        return self.votes.state.incarnation

    @property
    def cluster_id(self) -> int:
        """The id of this member's cluster, or 0."""
        return self.votes.state.cluster_id

    @property
    def is_voter(self) -> bool:
        """Whether this member may vote and be elected."""
        return self.membership.is_voter(self.name, self.incarnation)

    def is_addressed(self, *, cluster_id: int, incarnation: int) -> bool:
        """Whether a request is addressed to this member's cluster and incarnation."""
        if incarnation != self.incarnation or not cluster_id:
            return False
        return self.cluster_id in (0, cluster_id)

    def renew_leader_lease(self, election_timeout_ms: int) -> None:
        """Records contact with a leader, or a granted vote, and renews the lease.

        Until the lease expires, this member votes for no other member. If the
        members' settings differ, the longer timeout applies. A restarted member,
        which may have granted a lease before, starts with one.
        """
        timeout_ms = max(election_timeout_ms, self.settings.election_timeout_ms)
        self.last_contact_s = clock.now_s()
        self.has_granted_lease = True
        self.leader_lease_until_s = self.last_contact_s + timeout_ms / 1000

    def release_leader_lease(self) -> None:
        """Ends the lease of a leader that has announced its resignation."""
        self.leader_lease_until_s = 0.0
        self.leader_name = ""

    def join_cluster(self, cluster_id: int) -> None:
        """Joins the cluster of a leader, unless this member already has a cluster."""
        if not self.cluster_id:
            self.votes.save(cluster_id=cluster_id)
            logs.event("cluster_joined", cluster=cluster_id, member=self.name)

    def follow_leader(self, term: int, leader_name: str) -> None:
        """Becomes a follower of the leader of this term or a later one.

        The leader is saved as voted for, so that this member still knows after a
        restart to whom it granted the lease.
        """
        if term > self.term or self.votes.state.voted_for != leader_name:
            self.votes.save(term=term, voted_for=leader_name)
        if self.role is not Role.FOLLOWER or self.leader_name != leader_name:
            logs.event("following", term=term, leader=leader_name)
        self._become_follower(leader_name)

    def step_down(self, *, term: int, reason: str) -> None:
        """Becomes a follower without a known leader."""
        if term > self.term:
            self.votes.save(term=term, voted_for="")
        if self.role is Role.LEADER:
            level = "INFO" if self.stopping else "WARNING"
            logs.event("leadership_lost", level=level, term=term, reason=reason)
        self._become_follower("")

    def fail(self, error: errors.StorageError) -> None:
        """Ends this member's participation after an error; acquires `lock`."""
        with self.lock:
            if self.failure is not None or self.stopping:
                return
            self.failure = error
            self._become_follower("")
            self.stopping = True
            self.notify_all()
        logs.event(
            "storage_failed",
            level="CRITICAL",
            kind=type(error).__name__,
            reason=error,
        )
        self._on_fatal(error)

    def run_task(self, task: Callable[[], None]) -> None:
        """Runs a task; if it fails, this member's participation ends."""
        try:
            task()
        except errors.StorageError as error:
            self.fail(error)
        except Exception as error:
            logs.event(
                "task_failed", level="CRITICAL", trace=traceback.format_exc()
            )
            self.fail(
                errors.StorageError(
                    f"a task of the replica failed with "
                    f"{type(error).__name__}: {error}"
                )
            )

    def notify_all(self) -> None:
        """Wakes all tasks."""
        self.work_available.notify_all()
        self.committed.notify_all()
        self.progress_made.notify_all()

    def _become_follower(self, leader_name: str) -> None:
        self.role = Role.FOLLOWER
        self.leader_name = leader_name
        self.pending_proposals.fail_all("this process is no longer the leader")
        self.progress_made.notify_all()
        self.work_available.notify_all()
