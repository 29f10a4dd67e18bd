"""Control processes of the cluster model that share a log and change their leader."""

from collections.abc import Callable
from collections.abc import Set

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.leadership import commands
from marigoldsill.protocol import codec
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests.coordination.jobs import single_leader

# Detail of an end that a test lets the leader conclude.
CONCLUDED = "concluded early"


def is_any(_command: ttypes.Command) -> bool:
    """Whether a command is one; it always is."""
    return True


def is_loss(command: ttypes.Command) -> bool:
    """Whether a command records losses that a leader decided."""
    return bool(
        command.record_run_ends and command.record_run_ends.decided_term
    )


def is_report(command: ttypes.Command) -> bool:
    """Whether a command records ends that an agent reported."""
    return bool(command.record_run_ends) and not is_loss(command)


def is_note(command: ttypes.Command) -> bool:
    """Whether a command records that agents do not respond."""
    note = command.note_unresponsive
    return note is not None and bool(note.unresponsive)


class ModelReplica(replica_module.Replica):
    """A replica of a group's log, which applies committed commands when told to.

    Attributes:
        on_ends: Called with the runs whose recorded end a command has just applied,
            other than those that a test concluded.
    """

    def __init__(self, name: str, group: "ModelGroup"):
        super().__init__(
            member=ttypes.Member(
                name=name, address="", http_address="", data_centre="d"
            )
        )
        self.on_ends: Callable[[Set[task_names.RunKey]], None] = len
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
            command = codec.decode(ttypes.Command(), data)
            before = self._live_keys()
            result = self._state.apply(command)
            if command.record_run_ends is not None:
                named_keys = {
                    (end.task, end.run)
                    for end in command.record_run_ends.ends
                    if end.detail != CONCLUDED
                }
                self.on_ends((before - self._live_keys()) & named_keys)
        return result

    def _live_keys(self) -> set[task_names.RunKey]:
        runs = self.tables.jobs.runs_by_agent
        return {key for each in runs.values() for key in each}

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
        is_awaited: Whether `before_proposal` and `is_next_unknown` are about a command.
        is_next_unknown: Whether the outcome of the next proposal is not known in time.
    """

    def __init__(self):
        self.term = 0
        self.leader: ModelReplica | None = None
        self.committed: list[bytes] = []
        self.before_proposal: Callable[[], None] | None = None
        self.is_awaited: Callable[[ttypes.Command], bool] = is_any
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
        is_awaited = self.is_awaited(command)
        if is_awaited and self.before_proposal is not None:
            before, self.before_proposal = self.before_proposal, None
            before()
        if self.leader is not replica or term not in (None, self.term):
            raise errors.NotLeaderError("the term has ended")
        self.commit_logged()
        data = codec.encode(command)
        if is_awaited and self.is_next_unknown:
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
