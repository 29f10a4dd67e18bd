"""The members of the group according to the log, and changes to them.

A change takes effect as soon as it is in this member's log, committed or not,
and is reverted if it is truncated from the log. Only one member changes at a
time, so that majorities before and after the change always overlap.
"""

from marigoldsill import errors
from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes


class Membership:
    """The history of members by log index, newest last."""

    def __init__(self, index: int, members: list[ttypes.Member]):
        self._history = [(index, members)]

    @property
    def index(self) -> int:
        """The log index of the latest change."""
        return self._history[-1][0]

    @property
    def members(self) -> list[ttypes.Member]:
        """The current members, including learners."""
        return self._history[-1][1]

    @property
    def voters(self) -> list[ttypes.Member]:
        """The members that vote."""
        return [member for member in self.members if member.voter]

    @property
    def majority_count(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, name: str) -> ttypes.Member | None:
        """Returns the member of a name, or None."""
        return next((m for m in self.members if m.name == name), None)

    def is_voter(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation of a member is a voter."""
        member = self.find(name)
        return (
            member is not None
            and member.voter
            and member.incarnation == incarnation
        )

    def append(self, index: int, members: list[ttypes.Member]) -> None:
        """Applies a change that was appended to the log."""
        self._history.append((index, members))

    def truncate_from(self, index: int) -> None:
        """Reverts changes that were truncated from the log."""
        self._history = [h for h in self._history if h[0] < index]

    def reset(self, index: int, members: list[ttypes.Member]) -> None:
        """Replaces the history by the members of a snapshot."""
        self._history = [(index, members)]

    def compact(self, through_index: int) -> None:
        """Drops members that a change at or before an index superseded."""
        while len(self._history) > 1 and self._history[1][0] <= through_index:
            del self._history[0]


def with_member(
    members: list[ttypes.Member], member: ttypes.Member
) -> list[ttypes.Member]:
    """Returns the members with one added or replaced."""
    if any(m.name == member.name for m in members):
        return [member if m.name == member.name else m for m in members]
    return [*members, member]


def with_member_addresses(
    members: list[ttypes.Member], member: ttypes.Member
) -> list[ttypes.Member]:
    """Returns the members with a learner added, or a member's addresses changed."""
    existing = next((m for m in members if m.name == member.name), None)
    record = records.replace(
        member,
        incarnation=existing.incarnation if existing else 0,
        voter=existing.voter if existing else False,
    )
    return with_member(members, record)


def without_member(
    members: list[ttypes.Member], name: str
) -> list[ttypes.Member]:
    """Returns the members without one.

    Raises:
        NotFoundError: No member has that name.
    """
    remaining = [m for m in members if m.name != name]
    if len(remaining) == len(members):
        known = ", ".join(m.name for m in members)
        raise errors.NotFoundError(
            f"member {name!r} does not exist; members are {known}"
        )
    return remaining


def rebalance_voters(
    members: list[ttypes.Member],
    *,
    target_count: int,
    leader: str,
    caught_up: set[str],
    unresponsive: set[str],
) -> list[ttypes.Member] | None:
    """Returns the members with one promoted or demoted, or None for no change.

    The group keeps the target number of voters. The other members are standby
    learners that replicate the log; one of them replaces a voter that has been
    unresponsive for a long time.

    Args:
        members: The current members.
        target_count: The target number of voters; 0 for all members.
        leader: The leader, which stays a voter.
        caught_up: Responsive learners whose logs have caught up.
        unresponsive: Members that have been unresponsive for a long time.
    """
    voters = [m for m in members if m.voter]
    ready = [m for m in members if not m.voter and m.name in caught_up]
    lost = [m for m in voters if m.name in unresponsive]
    is_short = not target_count or len(voters) < target_count
    if ready and (is_short or (lost and len(voters) == target_count)):
        return with_member(members, records.replace(ready[0], voter=True))
    if target_count and len(voters) > target_count:
        demotable = lost or [m for m in voters if m.name != leader]
        return with_member(members, records.replace(demotable[-1], voter=False))
    return None
