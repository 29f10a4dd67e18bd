"""Follower side of log replication: receives entries and snapshots."""

from marigoldsill import errors
from marigoldsill.coordination.agreement import applier as applier_module
from marigoldsill.coordination.agreement import election as election_module
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import (
    replication as replication_module,
)
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.transport import logs


class LogReceiver:
    """Handles a leader's requests; callers hold `group.lock`.

    Acknowledges data only once it is durable on this member.
    """

    def __init__(
        self,
        group: group_module.Group,
        election: election_module.Election,
        replication: replication_module.Replication,
        applier: applier_module.Applier,
    ):
        self._group = group
        self._election = election
        self._replication = replication
        self._applier = applier
        self._transfer_id: tuple[str, int, int] | None = None
        self._received_data = bytearray()

    def append_entries(
        self, request: ttypes.AppendRequest
    ) -> ttypes.AppendReply:
        """Appends a leader's entries, or replies with the index to retry after."""
        group = self._group
        is_addressed = group.is_addressed(
            cluster_id=request.cluster_id,
            incarnation=request.target_incarnation,
        )
        if not is_addressed:
            return self._build_reply(term=0)
        if request.term < group.term:
            return self._build_reply()
        self._accept_leader(request)
        entries = self._matching_entries(request)
        if entries is None:
            return self._build_reply(
                match_index=self._retry_match_index(request)
            )
        self._append(entries)
        group.log.sync()
        match_index = request.previous_index + len(request.entries)
        self._advance_commit(min(request.commit_index, match_index))
        self._record_contact(request)
        if request.successor:
            group.release_leader_lease()
        if request.successor == group.name:
            self._election.schedule_takeover()
        return self._build_reply(success=True, match_index=match_index)

    def install_snapshot(
        self, chunk: ttypes.SnapshotChunk
    ) -> ttypes.SnapshotReply:
        """Receives a chunk of a snapshot and installs the snapshot after the last."""
        group = self._group
        is_addressed = group.is_addressed(
            cluster_id=chunk.cluster_id, incarnation=chunk.target_incarnation
        )
        if not is_addressed:
            return ttypes.SnapshotReply(term=0, accepted=False)
        if chunk.term < group.term:
            return ttypes.SnapshotReply(term=group.term, accepted=False)
        self._accept_leader(chunk)
        transfer_id = (chunk.leader, chunk.term, chunk.last_index)
        if chunk.offset_bytes == 0:
            self._transfer_id, self._received_data = transfer_id, bytearray()
        elif (transfer_id, chunk.offset_bytes) != (
            self._transfer_id,
            len(self._received_data),
        ):
            return ttypes.SnapshotReply(term=group.term, accepted=False)
        self._received_data += chunk.data
        if chunk.done:
            self._install_snapshot(chunk, bytes(self._received_data))
            self._transfer_id, self._received_data = None, bytearray()
        self._record_contact(chunk)
        return ttypes.SnapshotReply(term=group.term, accepted=True)

    def _accept_leader(
        self, request: ttypes.AppendRequest | ttypes.SnapshotChunk
    ) -> None:
        self._group.join_cluster(request.cluster_id)
        self._group.follow_leader(request.term, request.leader)
        self._record_contact(request)

    def _record_contact(
        self, request: ttypes.AppendRequest | ttypes.SnapshotChunk
    ) -> None:
        self._group.renew_leader_lease(request.election_timeout_ms)
        self._election.cancel_candidacy()

    def _build_reply(
        self,
        *,
        term: int | None = None,
        success: bool = False,
        match_index: int = 0,
    ) -> ttypes.AppendReply:
        group = self._group
        return ttypes.AppendReply(
            term=group.term if term is None else term,
            success=success,
            match_index=match_index,
            incarnation=group.incarnation,
            cluster_id=group.cluster_id,
        )

    def _matching_entries(
        self, request: ttypes.AppendRequest
    ) -> list[ttypes.LogEntry] | None:
        """Returns the entries that fit this log, or None if the logs differ before."""
        log = self._group.log
        if request.previous_index < log.base_index:
            known_count = log.base_index - request.previous_index
            return request.entries[known_count:]
        own_term = log.term_at(request.previous_index)
        return request.entries if own_term == request.previous_term else None

    def _retry_match_index(self, request: ttypes.AppendRequest) -> int:
        log = self._group.log
        if request.previous_index > log.last_index:
            return log.last_index
        wrong_term = log.term_at(request.previous_index)
        index = request.previous_index
        while index > log.base_index and log.term_at(index) == wrong_term:
            index -= 1
        return max(index, self._group.commit_index)

    def _append(self, entries: list[ttypes.LogEntry]) -> None:
        group, log = self._group, self._group.log
        known_count = sum(
            log.term_at(entry.index) == entry.term for entry in entries
        )
        new_entries = entries[known_count:]
        if not new_entries:
            return
        if new_entries[0].index <= log.last_index:
            self._truncate_from(new_entries[0].index)
        log.append(new_entries)
        changes = [entry for entry in new_entries if entry.changes_members]
        for entry in changes:
            command = codec.decode(ttypes.Command(), entry.command)
            members = command.change_members.members
            group.membership.append(entry.index, members)
        if changes:
            self._replication.update_peers()

    def _truncate_from(self, index: int) -> None:
        group = self._group
        if index <= group.commit_index:
            raise errors.LogCorruptError(
                f"a leader replaces entry {index}, but entries up to "
                f"{group.commit_index} are committed here"
            )
        group.log.truncate_from(index)
        group.membership.truncate_from(index)
        self._replication.update_peers()

    def _advance_commit(self, index: int) -> None:
        group = self._group
        if index > group.commit_index:
            group.commit_index = index
            group.committed.notify_all()

    def _install_snapshot(
        self, chunk: ttypes.SnapshotChunk, data: bytes
    ) -> None:
        group = self._group
        if chunk.last_index <= group.commit_index:
            return
        snapshot = snapshot_module.Snapshot(
            chunk.last_index, chunk.last_term, chunk.members, data
        )
        group.snapshots.save(snapshot)
        if group.log.term_at(chunk.last_index) != chunk.last_term:
            group.log.reset(
                last_index=chunk.last_index, last_term=chunk.last_term
            )
            group.membership.reset(chunk.last_index, chunk.members)
        if not group.votes.state.initialised:
            group.votes.save(initialised=True)
        group.commit_index = chunk.last_index
        self._replication.update_peers()
        self._applier.install_snapshot(snapshot)
        logs.event(
            "snapshot_installed",
            last_index=chunk.last_index,
            size_bytes=len(data),
        )
