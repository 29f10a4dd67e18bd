"""Leader elections: election timeouts, pre-votes, votes and leader leases."""

import dataclasses
import math
import random

from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import peers as peers_module
from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs

# The last leader, if it has just restarted, requests pre-votes at intervals of this
# ratio of its election timeout, for this number of timeouts, in case a majority has
# restarted with it. In a simulated loss of all power, with a timeout of 0.7 s and
# processes started within 0.4 s of each other, the group had a leader 0.02 s after a
# majority was up; without these pre-votes it took 0.87 s. They do not change the
# member's regular election timeout.
_RETURNING_INTERVAL_RATIO = 0.15
_RETURNING_WINDOW_TIMEOUTS = 4.0
# The successor that a stopping leader has named starts its election after this
# delay. By then the other members have received the notice too and grant their
# votes; one way takes some milliseconds.
_TAKEOVER_DELAY_S = 0.03


@dataclasses.dataclass(slots=True, eq=False)
class Ballot:
    """One round of vote requests.

    Attributes:
        request: The request to each voter, without the target's incarnation.
        granted_s: When the vote was requested from each voter that granted it, by
            name.
    """

    request: ttypes.VoteRequest
    granted_s: dict[str, float]


class Election:
    """Requests and grants votes for this member; callers hold `group.lock`."""

    def __init__(self, group: group_module.Group):
        self._group = group
        self._random = _create_random(group)
        self.ballot: Ballot | None = None
        self._deadline_s = 0.0
        self._returning_until_s = 0.0
        if group.votes.state.voted_for == group.name:
            window_s = (
                _RETURNING_WINDOW_TIMEOUTS * group.settings.election_timeout_s
            )
            self._returning_until_s = clock.now_s() + window_s
        self._next_returning_s = 0.0
        self._schedule_returning_ballot()
        self.reset_timeout()

    def reset_timeout(self) -> None:
        """Starts a new random election timeout."""
        timeout_s = self._group.settings.election_timeout_s
        wait_s = timeout_s * (1 + self._random.random())
        self._deadline_s = clock.now_s() + wait_s

    def schedule_takeover(self) -> None:
        """Starts an election soon, because a stopping leader named this member."""
        self._deadline_s = clock.now_s() + _TAKEOVER_DELAY_S

    def cancel_candidacy(self) -> None:
        """Ends the candidacy, because there is a leader."""
        self.ballot = None
        self._returning_until_s = 0.0
        self.reset_timeout()

    @property
    def is_due(self) -> bool:
        """Whether this member should start an election now."""
        group = self._group
        if group.role is group_module.Role.LEADER or not group.is_voter:
            return False
        now_s = clock.now_s()
        is_returning = self._next_returning_s <= now_s < self._returning_until_s
        return is_returning or now_s >= self._deadline_s

    def start_pre_vote(self) -> None:
        """Starts an election with a pre-vote, which increments no member's term.

        Before its election timeout, only the last leader requests pre-votes, after
        it has restarted.
        """
        returning = clock.now_s() < self._deadline_s
        if returning:
            self._schedule_returning_ballot()
        else:
            self._returning_until_s = 0.0
            self.reset_timeout()
        self._group.leader_name = ""
        self._start_ballot(pre_vote=True, returning=returning)

    def handle_vote_request(
        self, request: ttypes.VoteRequest
    ) -> ttypes.VoteReply:
        """Grants or denies a vote that another member requests.

        A member with recent contact to a leader denies even a real vote in a later
        term, because the leader's lease depends on it.
        """
        group = self._group
        if not self._can_grant(request):
            return ttypes.VoteReply(term=group.term, granted=False)
        if request.pre_vote:
            return ttypes.VoteReply(term=group.term, granted=True)
        if request.term > group.term:
            group.step_down(term=request.term, reason="later term")
        granted = group.votes.state.voted_for in ("", request.candidate)
        if granted:
            group.votes.save(voted_for=request.candidate)
            group.renew_leader_lease(request.election_timeout_ms)
            self._returning_until_s = 0.0
            self.reset_timeout()
        return ttypes.VoteReply(term=group.term, granted=granted)

    def next_vote_request(
        self, peer: peers_module.Peer
    ) -> ttypes.VoteRequest | None:
        """Returns the vote request for a peer, once for each ballot, or None."""
        ballot = self.ballot
        if ballot is None or peer.requested_ballot is ballot:
            return None
        if not peer.member.voter:
            return None
        peer.requested_ballot = ballot
        return records.replace(
            ballot.request, target_incarnation=peer.member.incarnation
        )

    def record_reply(
        self,
        peer: peers_module.Peer,
        ballot: Ballot,
        reply: ttypes.VoteReply,
        *,
        requested_s: float,
    ) -> bool:
        """Records a peer's reply and returns whether the election is won.

        Args:
            peer: The peer that replied.
            ballot: The ballot that the vote was requested in.
            reply: The reply.
            requested_s: When the vote was requested.
        """
        group = self._group
        if reply.term > group.term and not reply.granted:
            self.ballot = None
            group.step_down(term=reply.term, reason="later term")
            return False
        if not reply.granted or not self._is_current_ballot(ballot):
            return False
        ballot.granted_s[peer.name] = requested_s
        return self._decide_ballot()

    def _schedule_returning_ballot(self) -> None:
        timeout_s = self._group.settings.election_timeout_s
        wait_s = (
            _RETURNING_INTERVAL_RATIO * timeout_s * (1 + self._random.random())
        )
        self._next_returning_s = clock.now_s() + wait_s

    def _start_ballot(self, *, pre_vote: bool, returning: bool = False) -> None:
        group = self._group
        if not pre_vote:
            group.votes.save(term=group.term + 1, voted_for=group.name)
            group.role = group_module.Role.CANDIDATE
            group.leader_name = ""
        request = ttypes.VoteRequest(
            term=group.term + (1 if pre_vote else 0),
            candidate=group.name,
            last_index=group.log.last_index,
            last_term=group.log.last_term,
            pre_vote=pre_vote,
            incarnation=group.incarnation,
            cluster_id=group.cluster_id,
            election_timeout_ms=group.settings.election_timeout_ms,
            returning=returning,
        )
        self.ballot = Ballot(request, {group.name: math.inf})
        logs.event(
            "election_begun",
            level="DEBUG" if pre_vote else "INFO",
            term=request.term,
            pre_vote=pre_vote,
        )
        group.work_available.notify_all()

    def decide_single_voter(self) -> bool:
        """Decides a ballot in which this member is the only voter."""
        return self.ballot is not None and self._decide_ballot()

    def _decide_ballot(self) -> bool:
        group, ballot = self._group, self.ballot
        voters = {member.name for member in group.membership.voters}
        granted = voters & ballot.granted_s.keys()
        if len(granted) < group.membership.majority_count:
            return False
        if ballot.request.pre_vote:
            # A further returning pre-vote would end the ballot that starts here.
            self._returning_until_s = 0.0
            self._start_ballot(
                pre_vote=False, returning=ballot.request.returning
            )
            return self._decide_ballot()
        self.ballot = None
        group.role = group_module.Role.LEADER
        group.leader_name = group.name
        return True

    def _is_current_ballot(self, ballot: Ballot) -> bool:
        """Whether votes of a ballot still count: it is the latest, in this term."""
        request = ballot.request
        own_term = request.term - (1 if request.pre_vote else 0)
        return ballot is self.ballot and own_term == self._group.term

    def _can_grant(self, request: ttypes.VoteRequest) -> bool:
        group = self._group
        if request.cluster_id != group.cluster_id or not group.cluster_id:
            return False
        if request.target_incarnation != group.incarnation:
            return False
        if request.term < group.term:
            return False
        if self._is_bound_by_lease(request):
            return False
        own_position = (group.log.last_term, group.log.last_index)
        return (request.last_term, request.last_index) >= own_position

    def _is_bound_by_lease(self, request: ttypes.VoteRequest) -> bool:
        """Whether a leader's lease forbids this member to grant the vote.

        A lease that was granted before a restart was granted to the member that
        this one voted for or followed. If that member requests the vote after its
        own restart, it no longer leads. A member that did not restart denies its
        vote to a returning one, because it knows since when agents have been
        unresponsive, which the restarted member has lost.
        """
        group = self._group
        if group.role is group_module.Role.LEADER:
            return True
        if request.returning:
            followed = group.votes.state.voted_for
            return group.has_granted_lease or followed != request.candidate
        return clock.now_s() < group.leader_lease_until_s


def _create_random(group: group_module.Group) -> random.Random:
    if group.settings.seed is None:
        return random.Random()
    return random.Random(f"{group.settings.seed} {group.name}")
