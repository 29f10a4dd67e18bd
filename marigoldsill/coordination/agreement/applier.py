"""Applies committed entries to the tables and takes snapshots of the tables."""

from collections.abc import Callable
from concurrent import futures
import threading

from marigoldsill import errors
from marigoldsill.coordination.agreement import group as group_module
from marigoldsill.coordination.agreement import (
    replication as replication_module,
)
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import logs

_BATCH_COUNT = 64
_BATCH_BYTES = 1024 * 1024


class AppliedState:
    """The tables and the listeners to their changes.

    Attributes:
        lock: Guards `tables`; hold it while reading them.
        tables: The state applied by this process; installing a snapshot replaces
            them.
        applied_listeners: Called with each applied command, `lock` held.
        replaced_listeners: Called when `tables` were replaced, `lock` held.
    """

    def __init__(self, tables: tables_module.Tables):
        self.lock = threading.RLock()
        self.tables = tables
        self.applied_listeners: list[Callable[[ttypes.Command], None]] = []
        self.replaced_listeners: list[Callable[[], None]] = []

    def apply(self, command: ttypes.Command) -> ttypes.CommandResult:
        """Applies a command and notifies the listeners."""
        with self.lock:
            result = state_machine.apply(self.tables, command)
            for listener in self.applied_listeners:
                listener(command)
        return result

    def replace_tables(self, tables: tables_module.Tables) -> None:
        """Replaces the tables and notifies the listeners."""
        with self.lock:
            self.tables = tables
            for listener in self.replaced_listeners:
                listener()


class Applier:
    """The only task that changes the tables of a replica."""

    def __init__(
        self,
        group: group_module.Group,
        state: AppliedState,
        replication: replication_module.Replication,
        *,
        last_index: int,
    ):
        self._group = group
        self._state = state
        self._replication = replication
        self._snapshot_index = last_index
        self._applied_bytes = 0
        self._last_roll_index = 0
        self._received_snapshot: snapshot_module.Snapshot | None = None
        self._writer = futures.ThreadPoolExecutor(1, f"{group.name}-snapshot")

    def run(self) -> None:
        """Applies committed entries until the group stops."""
        group = self._group
        while True:
            with group.lock:
                group.committed.wait_for(self._has_work)
                if group.stopping:
                    return
                snapshot, self._received_snapshot = (
                    self._received_snapshot,
                    None,
                )
                entries = [] if snapshot else self._next_entries()
            if snapshot is not None:
                self._install(snapshot)
            else:
                self._apply_entries(entries)

    def stop(self) -> None:
        """Waits until a snapshot that is being written is complete."""
        self._writer.shutdown(wait=True)

    def install_snapshot(self, snapshot: snapshot_module.Snapshot) -> None:
        """Schedules the replacement of the tables; called with `group.lock` held."""
        self._received_snapshot = snapshot
        self._group.committed.notify_all()

    def _has_work(self) -> bool:
        group = self._group
        return (
            group.stopping
            or self._received_snapshot is not None
            or group.commit_index > group.applied_index
        )

    def _next_entries(self) -> list[ttypes.LogEntry]:
        group = self._group
        committed_count = group.commit_index - group.applied_index
        return group.log.entries(
            group.applied_index + 1,
            limit_count=min(_BATCH_COUNT, committed_count),
            limit_bytes=_BATCH_BYTES,
        )

    def _apply_entries(self, entries: list[ttypes.LogEntry]) -> None:
        with self._state.lock:
            results = [self._apply_entry(entry) for entry in entries]
        group = self._group
        with group.lock:
            group.applied_index = entries[-1].index
            for entry, result in zip(entries, results, strict=True):
                group.pending_proposals.resolve(entry, result)
            group.progress_made.notify_all()
        self._applied_bytes += sum(len(entry.command) for entry in entries)
        if self._needs_snapshot(entries[-1].index):
            self._take_snapshot(entries[-1])

    def _needs_snapshot(self, index: int) -> bool:
        settings = self._group.settings
        return (
            index - self._snapshot_index >= settings.snapshot_every_count
            or self._applied_bytes >= settings.snapshot_every_bytes
        )

    def _apply_entry(
        self, entry: ttypes.LogEntry
    ) -> ttypes.CommandResult | None:
        try:
            command = codec.decode(ttypes.Command(), entry.command)
            return self._state.apply(command)
        except Exception as error:  # must not prevent applying later entries
            logs.event(
                "apply_failed",
                level="ERROR",
                index=entry.index,
                kind=type(error).__name__,
                reason=error,
            )
            return None

    def _install(self, snapshot: snapshot_module.Snapshot) -> None:
        self._state.replace_tables(
            tables_module.Tables.from_bytes(snapshot.data)
        )
        self._snapshot_index = snapshot.last_index
        with self._group.lock:
            self._group.applied_index = snapshot.last_index
            self._group.progress_made.notify_all()

    def _take_snapshot(self, last: ttypes.LogEntry) -> None:
        self._snapshot_index = last.index
        self._applied_bytes = 0
        with self._state.lock:
            members = self._state.tables.members
            data = self._state.tables.to_bytes()
        snapshot = snapshot_module.Snapshot(
            last.index, last.term, members, data
        )
        self._writer.submit(self._write_snapshot, snapshot)

    def _write_snapshot(self, snapshot: snapshot_module.Snapshot) -> None:
        group = self._group
        try:
            group.snapshots.save(snapshot)
            with group.lock:
                self._compact_log(snapshot.last_index)
        except errors.StorageError as error:
            group.fail(error)
            return
        logs.event(
            "snapshot_taken",
            last_index=snapshot.last_index,
            size_bytes=len(snapshot.data),
        )

    def _compact_log(self, snapshot_index: int) -> None:
        """Compacts the log, but keeps entries since the previous snapshot.

        Slow followers may still need these.
        """
        log = self._group.log
        through_index = min(
            self._last_roll_index,
            snapshot_index,
            self._replication.compaction_limit_index,
        )
        log.roll()
        self._last_roll_index = log.durable_index
        log.compact(through_index)
        self._group.membership.compact(through_index)
