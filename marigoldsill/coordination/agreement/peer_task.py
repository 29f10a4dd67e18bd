"""The task that sends vote requests, entries and snapshots to one peer."""

import dataclasses

from marigoldsill.coordination.agreement import election as election_module
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import peers as peers_module
from marigoldsill.coordination.agreement import (
    replication as replication_module,
)
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from marigoldsill.transport import logs


@dataclasses.dataclass(frozen=True, slots=True)
class RequestVote:
    """Work item: request the peer's vote."""

    request: ttypes.VoteRequest
    ballot: election_module.Ballot


@dataclasses.dataclass(frozen=True, slots=True)
class SendEntries:
    """Work item: send entries, or none as a heartbeat."""

    request: ttypes.AppendRequest
    progress: peers_module.Progress


@dataclasses.dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Work item: send the next chunk of a snapshot."""

    term: int
    progress: peers_module.Progress


class PeerTask:
    """Sends requests to one peer as long as it is a member."""

    def __init__(
        self,
        *,
        group: group_module.Group,
        peer: peers_module.Peer,
        election: election_module.Election,
        replication: replication_module.Replication,
    ):
        self._group = group
        self._peer = peer
        self._election = election
        self._replication = replication

    def run(self) -> None:
        """Performs work items until the peer is removed or the group stops."""
        try:
            while (work := self._wait_for_work()) is not None:
                self._perform(work)
            self._announce_transfer()
        finally:
            self._peer.disconnect()

    def _wait_for_work(self) -> RequestVote | SendEntries | SendSnapshot | None:
        group = self._group
        with group.lock:
            while not group.stopping and not self._peer.is_removed:
                work = self._next_work()
                if work is not None:
                    return work
                group.work_available.wait(self._wait_s())
        return None

    def _announce_transfer(self) -> None:
        """Announces the successor to the peer, if this member was the leader.

        This member no longer answers requests as the leader, so the peer may end
        the lease that it granted.
        """
        group = self._group
        with group.lock:
            if not group.successor or self._peer.is_removed:
                return
            if self._peer.progress.next_index <= group.log.base_index:
                return
            request = self._build_append_request()
        request.term = group.resigned_term
        request.successor = group.successor
        self._peer.call("append_entries", request)
        with group.lock:
            self._peer.is_transfer_announced = True
            group.notify_all()

    def _next_work(self) -> RequestVote | SendEntries | SendSnapshot | None:
        vote = self._election.next_vote_request(self._peer)
        if vote is not None:
            return RequestVote(vote, self._election.ballot)
        group, progress = self._group, self._peer.progress
        if group.role is not group_module.Role.LEADER or not self._is_due():
            return None
        progress.last_sent_s = clock.now_s()
        if progress.next_index <= group.log.base_index:
            return SendSnapshot(group.term, progress)
        progress.snapshot_transfer = None
        return SendEntries(self._build_append_request(), progress)

    def _is_due(self) -> bool:
        group, progress = self._group, self._peer.progress
        now_s = clock.now_s()
        if now_s < progress.retry_at_s:
            return False
        return (
            progress.next_index <= group.log.last_index
            or progress.last_sent_s < self._replication.read_barrier_s
            or now_s >= progress.last_sent_s + group.settings.heartbeat_s
        )

    def _wait_s(self) -> float:
        heartbeat_s = self._group.settings.heartbeat_s
        if self._group.role is not group_module.Role.LEADER:
            return heartbeat_s
        progress = self._peer.progress
        due_s = max(progress.retry_at_s, progress.last_sent_s + heartbeat_s)
        return max(0.0, min(heartbeat_s, due_s - clock.now_s()))

    def _build_append_request(self) -> ttypes.AppendRequest:
        group, progress = self._group, self._peer.progress
        settings = group.settings
        previous_index = progress.next_index - 1
        return ttypes.AppendRequest(
            term=group.term,
            leader=group.name,
            previous_index=previous_index,
            previous_term=group.log.term_at(previous_index),
            entries=group.log.entries(
                progress.next_index,
                limit_count=settings.batch_count,
                limit_bytes=settings.batch_bytes,
            ),
            commit_index=group.commit_index,
            target_incarnation=self._peer.member.incarnation,
            cluster_id=group.cluster_id,
            election_timeout_ms=settings.election_timeout_ms,
        )

    def _perform(self, work: RequestVote | SendEntries | SendSnapshot) -> None:
        match work:
            case RequestVote():
                self._request_vote(work)
            case SendEntries():
                self._send_entries(work)
            case SendSnapshot():
                self._send_snapshot(work)

    def _request_vote(self, work: RequestVote) -> None:
        requested_s = clock.now_s()
        reply = self._peer.call("request_vote", work.request)
        if reply is None:
            return
        with self._group.lock:
            won = self._election.record_reply(
                self._peer, work.ballot, reply, requested_s=requested_s
            )
            if won:
                self._replication.become_leader(work.ballot.granted_s)

    def _send_entries(self, work: SendEntries) -> None:
        sent_s, request = work.progress.last_sent_s, work.request
        reply = self._peer.call("append_entries", request)
        with self._group.lock:
            if reply is None:
                self._peer.back_off()
                return
            if not self._is_from_peer(request, reply):
                self._peer.back_off()
                return
            if not self._is_current(work.progress, reply.term, request.term):
                return
            work.progress.last_contact_s = sent_s
            if reply.success:
                self._record_match(work.progress, reply.match_index)
            else:
                work.progress.next_index = max(
                    1, min(request.previous_index, reply.match_index + 1)
                )
            self._group.progress_made.notify_all()

    def _is_from_peer(
        self, request: ttypes.AppendRequest, reply: ttypes.AppendReply
    ) -> bool:
        is_own_cluster = reply.cluster_id in (0, request.cluster_id)
        if is_own_cluster and reply.incarnation != request.target_incarnation:
            self._peer.reported_incarnation = reply.incarnation
            return False
        if not is_own_cluster and not self._peer.is_foreign:
            self._peer.is_foreign = True
            logs.event(
                "member_of_other_cluster",
                level="ERROR",
                member=self._peer.name,
                address=self._peer.member.address,
                cluster=reply.cluster_id,
                own_cluster=request.cluster_id,
            )
        return is_own_cluster

    def _is_current(
        self, progress: peers_module.Progress, term: int, sent_term: int
    ) -> bool:
        group = self._group
        if term > group.term:
            group.step_down(term=term, reason="later term")
            return False
        is_leader = group.role is group_module.Role.LEADER
        return (
            is_leader
            and group.term == sent_term
            and progress is self._peer.progress
        )

    def _record_match(
        self, progress: peers_module.Progress, match_index: int
    ) -> None:
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = progress.match_index + 1
        self._replication.advance_commit()

    def _send_snapshot(self, work: SendSnapshot) -> None:
        progress, sent_s = work.progress, work.progress.last_sent_s
        if progress.snapshot_transfer is None:
            snapshot = self._group.snapshots.load()
            progress.snapshot_transfer = peers_module.SnapshotTransfer(snapshot)
        chunk = self._build_chunk(work.term, progress.snapshot_transfer)
        reply = self._peer.call("install_snapshot", chunk)
        with self._group.lock:
            if reply is None or (not reply.accepted and not reply.term):
                progress.snapshot_transfer = None
                progress.next_index = self._group.log.last_index + 1
                self._peer.back_off()
                return
            if not self._is_current(progress, reply.term, work.term):
                return
            progress.last_contact_s = sent_s
            self._record_chunk_reply(progress, chunk, accepted=reply.accepted)
            self._group.progress_made.notify_all()

    def _record_chunk_reply(
        self,
        progress: peers_module.Progress,
        chunk: ttypes.SnapshotChunk,
        *,
        accepted: bool,
    ) -> None:
        if not accepted:
            progress.snapshot_transfer = None
            return
        progress.last_sent_s = float("-inf")
        progress.snapshot_transfer.offset_bytes += len(chunk.data)
        if chunk.done:
            progress.snapshot_transfer = None
            self._record_match(progress, chunk.last_index)

    def _build_chunk(
        self, term: int, transfer: peers_module.SnapshotTransfer
    ) -> ttypes.SnapshotChunk:
        group, snapshot = self._group, transfer.snapshot
        start = transfer.offset_bytes
        end = start + group.settings.chunk_bytes
        return ttypes.SnapshotChunk(
            term=term,
            leader=group.name,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            offset_bytes=start,
            data=snapshot.data[start:end],
            done=end >= len(snapshot.data),
            members=snapshot.members,
            target_incarnation=self._peer.member.incarnation,
            cluster_id=group.cluster_id,
            election_timeout_ms=group.settings.election_timeout_ms,
        )
