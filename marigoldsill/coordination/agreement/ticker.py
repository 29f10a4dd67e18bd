"""Periodic work of a member: elections, lease check, members and alarms."""

from marigoldsill.coordination.agreement import election as election_module
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import (
    replication as replication_module,
)
from marigoldsill.transport import clock
from marigoldsill.transport import logs

_TICKS_PER_HEARTBEAT = 3
_ALARM_INTERVAL_S = 5.0
# Election timeouts without contact after which a member or the leader is missing.
_UNRESPONSIVE_TIMEOUTS = 3


class Ticker:
    """Does the periodic work, several times per heartbeat interval."""

    def __init__(
        self,
        group: group_module.Group,
        election: election_module.Election,
        replication: replication_module.Replication,
    ):
        self._group = group
        self._election = election
        self._replication = replication
        self._last_alarm_s = 0.0
        self._leader_known_s = clock.now_s()
        self._unresponsive: set[str] = set()

    @property
    def interval_s(self) -> float:
        """The interval between two calls of `tick`."""
        return self._group.settings.heartbeat_s / _TICKS_PER_HEARTBEAT

    def tick(self) -> None:
        """Does the work that is due; acquires `group.lock`."""
        with self._group.lock:
            if self._group.stopping:
                return
            if self._group.role is group_module.Role.LEADER:
                self._tick_leader()
            elif self._election.is_due:
                self.start_election()
            self._log_missing_leader()

    def start_election(self) -> None:
        """Starts an election; called with `group.lock` held."""
        self._election.start_pre_vote()
        ballot = self._election.ballot
        if self._election.decide_single_voter():
            self._replication.become_leader(ballot.granted_s)

    def _tick_leader(self) -> None:
        group = self._group
        if group.settings.check_quorum and not self._replication.has_lease:
            logs.event(
                "quorum_lost",
                level="ERROR",
                term=group.term,
                voters=len(group.membership.voters),
            )
            group.step_down(term=group.term, reason="no majority answered")
            self._election.reset_timeout()
            return
        self._replication.maintain_membership()
        self._log_unresponsive_members()

    def _log_unresponsive_members(self) -> None:
        limit_s = (
            _UNRESPONSIVE_TIMEOUTS * self._group.settings.election_timeout_s
        )
        now_s = clock.now_s()
        unresponsive = {
            name
            for name, peer in self._replication.peers.items()
            if now_s
            - max(peer.progress.last_contact_s, self._group.leader_since_s)
            > limit_s
        }
        for name in sorted(unresponsive - self._unresponsive):
            logs.event("member_silent", level="WARNING", member=name)
        for name in sorted(self._unresponsive - unresponsive):
            logs.event("member_answers", member=name)
        self._unresponsive = unresponsive

    def _log_missing_leader(self) -> None:
        group, now_s = self._group, clock.now_s()
        if group.leader_name:
            self._leader_known_s = now_s
        limit_s = _UNRESPONSIVE_TIMEOUTS * group.settings.election_timeout_s
        if now_s - self._leader_known_s < limit_s:
            return
        if now_s - self._last_alarm_s < _ALARM_INTERVAL_S:
            return
        self._last_alarm_s = now_s
        if not group.membership.members:
            logs.event(
                "waiting_to_join",
                level="WARNING",
                member=group.name,
                incarnation=group.incarnation,
                reason="the data folder is empty and no leader has made contact",
            )
            return
        logs.event(
            "no_leader",
            level="ERROR",
            member=group.name,
            term=group.term,
            silent_s=round(now_s - group.last_contact_s, 1),
            voters=",".join(m.name for m in group.membership.voters),
            needed=group.membership.majority_count,
        )
