"""Elects the process that forms the group at the first start of the system.

Exactly one process may form the group. Any process may restart before the group
is formed; it then finds an empty folder, like a process whose disk was lost, and
settings that do not name a first start. So no process may decide this alone: a
majority of the seeds has to vote for it.

Two groups never form:

- A vote is for the id of a cluster, which the candidate chose and made durable
  before (`founding_plan`). Only this candidate knows the id, and forms the cluster
  only in the folder that holds the plan.
- A seed votes for one cluster id only, for as long as it runs. A restarted seed does
  not know its earlier vote, and votes for none, whatever its disk holds. So two
  majorities of the seeds share a seed that voted once.
- A candidate that restarts counts votes for its durable plan, of the seeds that it
  was made for, though its settings may name others by then. The votes from before
  the restart are votes for the same cluster.
- A candidate gives up its plan only when it hears of a group. Its own is not formed,
  so the other one has the votes of a majority, and the plan can never get them.

A formed group is never replaced, since nobody can tell whether it has acknowledged
anything: as long as the seeds that voted for it run they vote for no other, and when
they restart they vote for none. So no group forms if the disk with a plan that has
votes, or with the only voter of a new group, is lost.

What a seed answers without a vote binds nobody and may change: a candidate that no
longer asks is replaced.
"""

from collections.abc import Callable
from collections.abc import Sequence
import threading
import time

from marigoldsill.coordination.agreement import founding_plan
from marigoldsill.coordination.discovery import formation_client
from marigoldsill.protocol.generated import ttypes

_POLL_INTERVAL_S = 0.2
# Seeds that have not answered by then are passed over. All machines start within
# 0.3 s of each other, and a process takes about a second.
_SEED_GRACE_S = 3.0
# A candidate that has not asked for this long has ended. Longer than a round of
# requests to seeds that do not answer.
_CANDIDATE_LIMIT_S = 4.0


class FounderElection:
    """This process's part in the election: as a voting seed and as a candidate."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        plan: founding_plan.FoundingPlan | None,
        first_seeds: Sequence[str],
        get_members: Callable[[], list[str]],
    ):
        """Prepares the election.

        Args:
            name: This process's own, unique.
            address: Where other processes reach it.
            plan: The plan of this process to form the group; None if it keeps no
                state and cannot form it.
            first_seeds: The seeds of the first start, the same in all processes;
                empty if this is a later start.
            get_members: Returns the addresses of the group's known members.
        """
        self._name = name
        self._address = address
        self._plan = plan
        self._seeds = tuple(first_seeds)
        self._is_voter = bool(first_seeds)
        self._get_members = get_members
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._candidate = ""
        self._candidate_asked_s = 0.0
        self._voted_for = ""
        self._voted_cluster_id = 0

    @property
    def planned_cluster_id(self) -> int:
        """The id of the cluster that this process would form; 0 without a plan."""
        return 0 if self._plan is None else self._plan.cluster_id

    def resume(self) -> bool:
        """Continues with the plan that this process had before a restart.

        Returns:
            Whether this process takes part in the election.

        Raises:
            StorageError: The disk failed.
        """
        if self._plan is not None:
            self._plan.load()
            if self._plan.cluster_id:
                self._seeds = self._plan.seeds
                self._is_voter = False
        return bool(self._seeds)

    def wait_for_result(self, stopping: threading.Event) -> bool:
        """Waits until the group is known or this process is elected.

        Returns:
            Whether this process forms the group.

        Raises:
            MembershipError: The folder of this process belongs to a group already.
            StorageError: The disk failed.
        """
        while self._seeds and not stopping.is_set():
            if self._get_members():
                self._plan.discard()
                return False
            if self._wins_election():
                return True
            stopping.wait(_POLL_INTERVAL_S)
        return False

    def handle_request(
        self, request: ttypes.FounderRequest
    ) -> ttypes.FounderReply:
        """Answers a candidate with the vote of this process, or its pre-vote.

        A pre-vote names the process that this one has voted for or would vote for.
        """
        members = self._get_members()
        if not self._is_voter or members:
            return ttypes.FounderReply(control_addresses=members)
        with self._lock:
            if request.stands and not self._voted_cluster_id:
                self._voted_for = request.name
                self._voted_cluster_id = request.cluster_id
            return ttypes.FounderReply(
                first_start=True,
                founder=self._voted_for
                or self._preferred_candidate(request.name),
                cluster_id=self._voted_cluster_id,
            )

    def _preferred_candidate(self, candidate: str) -> str:
        """Returns this process if it keeps state, else the candidate that asked first.

        One that has stopped asking is replaced.
        """
        if self._plan is not None:
            return self._name
        now_s = time.monotonic()
        is_over = now_s - self._candidate_asked_s > _CANDIDATE_LIMIT_S
        if candidate == self._candidate or not self._candidate or is_over:
            self._candidate, self._candidate_asked_s = candidate, now_s
        return self._candidate

    def _wins_election(self) -> bool:
        """Whether a majority of the seeds votes for this process."""
        replies = [
            self._request_vote(seed, is_binding=False) for seed in self._seeds
        ]
        if any(reply and reply.control_addresses for reply in replies):
            return False
        pre_votes = [reply for reply in replies if reply and reply.first_start]
        if not self._is_majority(len(pre_votes)) or self._awaits_earlier_seed(
            replies
        ):
            return False
        if not self._may_stand(pre_votes):
            return False
        self._plan.begin(self._seeds)
        votes = [
            self._request_vote(seed, is_binding=True) for seed in self._seeds
        ]
        return self._is_majority(
            sum(
                reply is not None and reply.cluster_id == self._plan.cluster_id
                for reply in votes
            )
        )

    def _may_stand(self, pre_votes: list[ttypes.FounderReply]) -> bool:
        """Whether this process is the one that requests binding votes.

        It is the one that has votes already, also from before a restart. Without
        any votes the first of the seeds that can vote decides, so that two
        candidates do not split the others' votes.
        """
        voted = {reply.cluster_id for reply in pre_votes} - {0}
        if voted:
            return self._plan.cluster_id in voted
        return pre_votes[0].founder == self._name

    def _awaits_earlier_seed(
        self, replies: list[ttypes.FounderReply | None]
    ) -> bool:
        """Whether a seed before the first one that can vote may only be late."""
        if time.monotonic() - self._started_s > _SEED_GRACE_S:
            return False
        for reply in replies:
            if reply is None:
                return True
            if reply.first_start:
                return False
        return False

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._seeds)

    def _request_vote(
        self, seed: str, *, is_binding: bool
    ) -> ttypes.FounderReply | None:
        """Requests a vote, or a pre-vote if it is not binding; None if unanswered."""
        request = ttypes.FounderRequest(
            name=self._name,
            stands=is_binding,
            cluster_id=self._plan.cluster_id if is_binding else 0,
        )
        if seed == self._address:
            return self.handle_request(request)
        return formation_client.call(seed, "founder", request)
