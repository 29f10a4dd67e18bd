"""Control processes of the cluster model that share a log and change their leader."""

from collections.abc import Callable

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests.coordination.jobs import single_leader


class ModelReplica(replica_module.Replica):
    """A replica of a group's log, which applies committed commands when told to."""

    def __init__(self, name: str, group: "ModelGroup"):
        super().__init__(
            member=ttypes.Member(
                name=name, address="", http_address="", data_centre="d"
            )
        )
        self._group = group
        self._applied_count = 0

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its group."""
        return self._group.leader is self

    @property
    def term(self) -> int:
        """The term of the group."""
        return self._group.term

    @property
    def leader(self) -> ttypes.Member | None:
        """The leader of the group."""
        leader = self._group.leader
        return None if leader is None else leader.member

    def propose(
        self,
        command: ttypes.Command,
        *,
        timeout_s: float,
        term: int | None = None,
    ) -> ttypes.CommandResult:
        """Proposes a command to the group; `timeout_s` has no effect."""
        return self._group.propose(self, command, term)

    def catch_up(self) -> ttypes.CommandResult | None:
        """Applies all committed commands; returns the result of the last one."""
        result = None
        for data in self._group.committed[self._applied_count :]:
            self._applied_count += 1
            result = self._state.apply(codec.decode(ttypes.Command(), data))
        return result

    def restore(self, other: "ModelReplica") -> None:
        """Replaces the tables by those in a snapshot of another replica."""
        data = other.tables.to_bytes()
        self._state.replace_tables(tables_module.Tables.from_bytes(data))
        self._applied_count = other._applied_count


class ModelGroup:
    """A log, and who leads.

    Attributes:
        term: The current term.
        leader: The replica that leads, or None before the first election.
        committed: The committed commands.
        before_proposal: Called once before the next proposal, if not None.
        is_next_unknown: Whether the outcome of the next proposal is not known in time.
    """

    def __init__(self):
        self.term = 0
        self.leader: ModelReplica | None = None
        self.committed: list[bytes] = []
        self.before_proposal: Callable[[], None] | None = None
        self.is_next_unknown = False
        # Logged by the leader of this term, and not known to be committed.
        self._logged: list[bytes] = []

    def elect(self, replica: ModelReplica, *, keeps_logged: bool) -> None:
        """Begins a term of a replica.

        Args:
            replica: The replica, which applies what is committed.
            keeps_logged: Whether it has what the last leader has only logged.
        """
        if keeps_logged:
            self.commit_logged()
        self._logged = []
        self.term += 1
        self.leader = replica
        operation = ttypes.NoOperation(term=self.term)
        self.committed.append(
            codec.encode(commands.new(command_id="", no_operation=operation))
        )
        replica.catch_up()

    def commit_logged(self) -> None:
        """Commits what the leader has logged."""
        self.committed += self._logged
        self._logged = []
        if self.leader is not None:
            self.leader.catch_up()

    def propose(
        self, replica: ModelReplica, command: ttypes.Command, term: int | None
    ) -> ttypes.CommandResult:
        """Commits a command of the leader, unless its outcome is to be unknown."""
        before, self.before_proposal = self.before_proposal, None
        if before is not None:
            before()
        if self.leader is not replica or term not in (None, self.term):
            raise errors.NotLeaderError("the term has ended")
        self.commit_logged()
        data = codec.encode(command)
        if self.is_next_unknown:
            self.is_next_unknown = False
            self._logged.append(data)
            raise errors.UnknownOutcomeError("not known to be committed")
        self.committed.append(data)
        return replica.catch_up()


class Control:
    """A control process.

    Attributes:
        replica: Its replica.
        jobs: Its scheduler and service.
    """

    def __init__(
        self, name: str, group: ModelGroup, *, source: ModelReplica | None
    ):
        """Starts the process.

        Args:
            name: The name of the process.
            group: Its group.
            source: A replica whose snapshot it has, or None.
        """
        self.replica = ModelReplica(name, group)
        self.jobs = single_leader.Leader(replica=self.replica)
        self.jobs.scheduler._loop = lambda: None
        self.jobs.scheduler.start(self.jobs.service)
        if source is not None:
            self.replica.restore(source)
        self._is_in_round = False

    def run_round(self) -> None:
        """Runs a round of the scheduler, as its loop does."""
        if not self.replica.is_leader or self._is_in_round:
            return
        self._is_in_round = True
        try:
            self.jobs.scheduler._run_round()
        except (errors.MarigoldsillError, ttypes.NotLeader, ttypes.NoQuorum):
            return
        finally:
            self._is_in_round = False

    def stop(self) -> None:
        """Stops the threads of the process."""
        self.jobs.scheduler.stop()
