"""Data folders of control processes: initialisation, opening and recovery."""

import dataclasses
import pathlib
import time

from marigoldsill import errors
from marigoldsill.coordination.agreement import membership as membership_module
from marigoldsill.protocol import codec
from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import files as files_module
from marigoldsill.state import log as log_module
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module
from marigoldsill.state import vote as vote_module
from marigoldsill.transport import logs

_FIRST_INDEX = 1
_FIRST_TERM = 1


@dataclasses.dataclass(slots=True)
class Storage:
    """An open data folder.

    Attributes:
        tables: The tables of the snapshot, without the entries in the log.
        membership: The members according to the snapshot and the log.
        applied_index: The last entry that is applied in `tables`.
    """

    files: files_module.Files
    votes: vote_module.VoteStore
    snapshots: snapshot_module.SnapshotStore
    log: log_module.Log
    tables: tables_module.Tables
    membership: membership_module.Membership
    applied_index: int


def initialise(
    data_folder: str | pathlib.Path,
    members: list[ttypes.Member],
    *,
    own_name: str,
    planned_cluster_id: int = 0,
) -> int:
    """Initialises a cluster; run on one control VM only.

    This member is the only voter at first. The other members start with empty
    folders; the leader contacts them at their addresses, replicates the log to them
    and promotes each to voter.

    Args:
        data_folder: Folder of this member's state, without a cluster.
        members: All members, including this one.
        own_name: The name of this member.
        planned_cluster_id: The id of the cluster if the folder holds a plan to form
            it (`founding_plan`); 0 without a plan.

    Returns:
        The id of the new cluster.

    Raises:
        MembershipError: The folder already belongs to a cluster, or has another plan.
        BadInputError: The members are invalid.
        StorageError: The disk failed.
    """
    _check_members(members, own_name)
    files = files_module.Files(data_folder)
    try:
        votes = vote_module.VoteStore(files, name=own_name)
        is_planned = votes.state.cluster_id == planned_cluster_id
        if votes.state.initialised or not is_planned:
            raise errors.MembershipError(
                f"{files.folder} belongs to cluster {votes.state.cluster_id}"
                " already; a cluster is formed once, in an empty folder"
            )
        cluster_id = planned_cluster_id or vote_module.new_id()
        votes.save(cluster_id=cluster_id, term=_FIRST_TERM)
        _write_initial_state(
            files, votes, _initial_members(members, votes.state)
        )
        return cluster_id
    finally:
        files.close()


def recover(data_folder: str | pathlib.Path, *, own_name: str) -> int:
    """Initialises a new cluster from the folder of one surviving member.

    For use after the permanent loss of a majority. State that only lost members held
    is lost. The survivor becomes the only voter of the new cluster; members of the
    old one cannot join it with their old folders.

    Returns:
        The id of the new cluster.

    Raises:
        MembershipError: The folder contains no cluster.
        StorageError: The folder is damaged, or the disk failed.
    """
    storage = _open_folder(files_module.Files(data_folder), own_name)
    try:
        if not storage.votes.state.initialised:
            raise errors.MembershipError(
                f"{data_folder} contains no state to recover from"
            )
        return _recover_cluster(storage, own_name)
    finally:
        storage.files.close()


def open_storage(files: files_module.Files, *, name: str) -> Storage:
    """Opens a data folder, which may be empty.

    A damaged folder counts as lost: its files are moved to a subfolder, and the
    member starts empty with a new incarnation.

    Raises:
        MembershipError: The folder belongs to another member.
        StorageError: The disk failed.
    """
    try:
        return _open_folder(files, name)
    except errors.LogCorruptError as error:
        subfolder = f"damaged-{time.time_ns()}"
        logs.event(
            "disk_lost",
            level="ERROR",
            member=name,
            reason=error,
            kept_in=subfolder,
        )
        files.move_to_subfolder(subfolder)
        return _open_folder(files, name)
    except errors.MarigoldsillError:
        files.close()
        raise


def _open_folder(files: files_module.Files, name: str) -> Storage:
    votes = vote_module.VoteStore(files, name=name)
    snapshots = snapshot_module.SnapshotStore(files)
    snapshot = snapshots.load()
    log = log_module.Log(files)
    if snapshot is None:
        _check_empty(votes, log)
        membership = membership_module.Membership(0, [])
        tables = tables_module.Tables()
        return Storage(files, votes, snapshots, log, tables, membership, 0)
    _align_log(log, snapshot, initialised=votes.state.initialised)
    if not votes.state.initialised:
        votes.save(initialised=True, founding_seeds=[])
    return Storage(
        files,
        votes,
        snapshots,
        log,
        tables_module.Tables.from_bytes(snapshot.data),
        _load_membership(log, snapshot),
        snapshot.last_index,
    )


def _check_empty(votes: vote_module.VoteStore, log: log_module.Log) -> None:
    if votes.state.initialised or not log.is_empty:
        raise errors.LogCorruptError("the snapshot is missing")


def _align_log(
    log: log_module.Log,
    snapshot: snapshot_module.Snapshot,
    *,
    initialised: bool,
) -> None:
    """Resets the log if it does not contain the last entry of the snapshot.

    Raises:
        LogCorruptError: The log's files, or entries between the snapshot and the
            log, are missing.
    """
    if initialised and log.is_empty:
        raise errors.LogCorruptError("the log's files are missing")
    if log.base_index > snapshot.last_index:
        raise errors.LogCorruptError(
            f"the snapshot ends at entry {snapshot.last_index}, but the log "
            f"begins after entry {log.base_index}"
        )
    if log.term_at(snapshot.last_index) != snapshot.last_term:
        log.reset(last_index=snapshot.last_index, last_term=snapshot.last_term)


def _load_membership(
    log: log_module.Log, snapshot: snapshot_module.Snapshot
) -> membership_module.Membership:
    membership = membership_module.Membership(
        snapshot.last_index, snapshot.members
    )
    for entry in _entries_after(log, snapshot.last_index):
        if entry.changes_members:
            command = codec.decode(ttypes.Command(), entry.command)
            members = command.change_members.members
            membership.append(entry.index, members)
    return membership


def _entries_after(log: log_module.Log, index: int) -> list[ttypes.LogEntry]:
    count = log.last_index - index
    total_bytes = 1 << 62
    return log.entries(index + 1, limit_count=count, limit_bytes=total_bytes)


def _check_members(members: list[ttypes.Member], own_name: str) -> None:
    names = [member.name for member in members]
    if own_name not in names:
        raise errors.BadInputError(
            f"own name {own_name!r} is not among the members {', '.join(names)}"
        )
    if len(set(names)) != len(names):
        raise errors.BadInputError(
            f"member names must be unique: {', '.join(names)}"
        )


def _initial_members(
    members: list[ttypes.Member], state: ttypes.MemberState
) -> list[ttypes.Member]:
    return [
        records.replace(
            member,
            voter=member.name == state.name,
            incarnation=state.incarnation if member.name == state.name else 0,
        )
        for member in members
    ]


def _write_initial_state(
    files: files_module.Files,
    votes: vote_module.VoteStore,
    members: list[ttypes.Member],
) -> None:
    tables = tables_module.Tables()
    tables.members = members
    snapshot = snapshot_module.Snapshot(
        _FIRST_INDEX, _FIRST_TERM, members, tables.to_bytes()
    )
    snapshot_module.SnapshotStore(files).save(snapshot)
    log = log_module.Log(files)
    log.reset(last_index=_FIRST_INDEX, last_term=_FIRST_TERM)
    votes.save(initialised=True, founding_seeds=[])


def _recover_cluster(storage: Storage, own_name: str) -> int:
    for entry in _entries_after(storage.log, storage.applied_index):
        state_machine.apply(
            storage.tables, codec.decode(ttypes.Command(), entry.command)
        )
    cluster_id = vote_module.new_id()
    state = storage.votes.state
    members = _initial_members(storage.membership.members, state)
    storage.tables.members = members
    last_index, term = storage.log.last_index + 1, state.term + 1
    storage.votes.save(
        cluster_id=cluster_id,
        incarnation=state.incarnation,
        term=term,
        voted_for="",
    )
    storage.snapshots.save(
        snapshot_module.Snapshot(
            last_index, term, members, storage.tables.to_bytes()
        )
    )
    storage.log.reset(last_index=last_index, last_term=term)
    return cluster_id
