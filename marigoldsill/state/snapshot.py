"""The file with the newest snapshot of the tables."""

import dataclasses
import struct
import threading

from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import checksummed_file
from marigoldsill.state import files as files_module

FILE_NAME = "snapshot"
_HEADER = struct.Struct(">QQI")


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The tables after a log entry was applied.

    Attributes:
        last_index: The index of that entry.
        last_term: The term of that entry.
        members: The members of the group at that time.
        data: The encoded tables.
    """

    last_index: int
    last_term: int
    members: list[ttypes.Member]
    data: bytes


class SnapshotStore:
    """Stores the newest snapshot on the disk.

    Attributes:
        written_bytes: Number of bytes written to the disk.
    """

    def __init__(self, files: files_module.Files):
        self._files = files
        self._lock = threading.Lock()
        self._last_index = -1
        self.written_bytes = 0

    def load(self) -> Snapshot | None:
        """Returns the snapshot on the disk, or None if there is none.

        Raises:
            LogCorruptError: The file is corrupt.
        """
        with self._lock:
            content = self._files.read(FILE_NAME)
            if content is None:
                return None
            snapshot = _decode(checksummed_file.decode(FILE_NAME, content))
            self._last_index = snapshot.last_index
            return snapshot

    def save(self, snapshot: Snapshot) -> None:
        """Stores a snapshot durably, unless a newer one is stored."""
        with self._lock:
            if snapshot.last_index <= self._last_index:
                return
            content = checksummed_file.encode(_encode(snapshot))
            self._files.replace(FILE_NAME, content)
            self._last_index = snapshot.last_index
            self.written_bytes += len(content)


def _encode(snapshot: Snapshot) -> bytes:
    members = codec.encode(ttypes.ChangeMembers(members=snapshot.members))
    header = _HEADER.pack(snapshot.last_index, snapshot.last_term, len(members))
    return b"".join((header, members, snapshot.data))


def _decode(content: bytes) -> Snapshot:
    last_index, last_term, members_bytes = _HEADER.unpack_from(content)
    end = _HEADER.size + members_bytes
    members = codec.decode(ttypes.ChangeMembers(), content[_HEADER.size : end])
    return Snapshot(last_index, last_term, members.members, content[end:])
