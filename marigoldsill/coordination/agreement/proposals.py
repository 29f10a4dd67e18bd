"""Proposals and read barriers of the leader."""

from collections.abc import Callable
from concurrent import futures

from marigoldsill import errors
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import (
    replication as replication_module,
)
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock

PENDING_LIMIT = 10_000
COMMAND_LIMIT_BYTES = 8 * 1024 * 1024
_RETRY_MS = 500


class Proposals:
    """Serves proposals and read barriers; methods acquire `group.lock`."""

    def __init__(
        self,
        group: group_module.Group,
        replication: replication_module.Replication,
    ):
        self._group = group
        self._replication = replication

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, has applied earlier terms and has a lease."""
        group = self._group
        return (
            group.role is group_module.Role.LEADER
            and group.applied_index >= group.term_start_index
            and self._has_lease
        )

    def propose(
        self,
        command: ttypes.Command,
        *,
        timeout_s: float,
        term: int | None = None,
    ) -> ttypes.CommandResult:
        """Appends a command to the log and waits for its result.

        Args:
            command: The command.
            timeout_s: How long to wait for the result.
            term: The only term in which it may be appended; None for any term.
        """
        if command.change_members is not None:
            raise errors.MembershipError(
                "members cannot be changed by a proposal; use put_member or "
                "remove_member, for one member at a time"
            )
        data = codec.encode(command)
        if len(data) > COMMAND_LIMIT_BYTES:
            raise errors.TooLargeError(
                f"the command has {len(data)} bytes; the limit is "
                f"{COMMAND_LIMIT_BYTES}"
            )
        group = self._group
        with group.lock:
            self.check_is_leader()
            if term not in {None, group.term}:
                raise errors.NotLeaderError(
                    f"the command was decided in term {term}; the current term "
                    f"is {group.term}"
                )
            if group.pending_proposals.count >= PENDING_LIMIT:
                raise errors.OverloadedError(
                    f"{PENDING_LIMIT} commands are already waiting to be committed",
                    retry_after_ms=_RETRY_MS,
                )
            index = self._replication.append(data)
            future = group.pending_proposals.add(index, group.term)
        return _wait_for_result(future, timeout_s)

    def change_members(
        self,
        change: Callable[[list[ttypes.Member]], list[ttypes.Member]],
        *,
        timeout_s: float,
    ) -> None:
        """Appends a change of the members and waits until it is applied.

        Args:
            change: Returns the new members for the current ones; called with the
                lock held, so that no other change is made concurrently.
            timeout_s: How long to wait.
        """
        group = self._group
        with group.lock:
            self.check_is_leader()
            if not self._replication.can_change_members:
                raise errors.ConflictError(
                    "another change of the members is in progress",
                    retry_after_ms=_RETRY_MS,
                )
            members = change(group.membership.members)
            index = self._replication.change_members(members)
            future = group.pending_proposals.add(index, group.term)
        _wait_for_result(future, timeout_s)

    def confirm_leadership(self, *, timeout_s: float) -> None:
        """Waits until a majority answers requests sent after the call."""
        group = self._group
        with group.lock:
            self.check_is_leader()
            term, requested_s = group.term, clock.now_s()
            read_index = max(group.commit_index, group.term_start_index)
            self._replication.read_barrier_s = requested_s
            group.work_available.notify_all()

            def is_decided() -> bool:
                return not self._is_leader_in_term(term) or (
                    self._replication.quorum_contact_s >= requested_s
                    and group.applied_index >= read_index
                )

            decided = group.progress_made.wait_for(is_decided, timeout_s)
            if not self._is_leader_in_term(term):
                self.check_is_leader()
                raise errors.NotLeaderError("the term ended while waiting")
            if not decided:
                raise errors.NoQuorumError(
                    f"no majority answered within {timeout_s} s",
                    retry_after_ms=_RETRY_MS,
                )

    def check_is_leader(self) -> None:
        """Raises an error unless this member leads; called with the lock held.

        Raises:
            NotLeaderError: Another member leads.
            NoQuorumError: No leader is known or no majority responds.
        """
        group = self._group
        if group.role is group_module.Role.LEADER and not group.stopping:
            if self._has_lease:
                return
            raise errors.NoQuorumError(
                f"no majority of {len(group.membership.voters)} voters "
                "responds to this leader; nothing was done",
                retry_after_ms=_RETRY_MS,
            )
        leader = group.membership.find(group.leader_name)
        if leader is None or group.stopping:
            raise errors.NoQuorumError(
                f"{group.name} knows of no leader in term {group.term}; nothing "
                "was done",
                retry_after_ms=_RETRY_MS,
            )
        raise errors.NotLeaderError(
            f"{group.name} is not the leader; the leader is {leader.name} "
            f"at {leader.address}; nothing was done",
            leader_address=leader.address,
            leader_http=leader.http_address,
        )

    @property
    def _has_lease(self) -> bool:
        if not self._group.settings.check_quorum:
            return True
        return self._replication.has_lease

    def _is_leader_in_term(self, term: int) -> bool:
        group = self._group
        is_leader = group.role is group_module.Role.LEADER
        return is_leader and group.term == term and not group.stopping


def _wait_for_result(
    future: futures.Future, timeout_s: float
) -> ttypes.CommandResult:
    try:
        return future.result(timeout_s)
    except futures.TimeoutError:
        raise errors.UnknownOutcomeError(
            f"the command was logged but is not known to be committed after "
            f"{timeout_s} s; propose it again with the same command id",
            retry_after_ms=_RETRY_MS,
        ) from None
