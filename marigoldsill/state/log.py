"""The replicated log on the disk: segments of records with checksums.

Appending an entry and making it durable are separate steps, so that one sync
covers all entries appended during the previous one (group commit). A record is a
header with its own checksum, followed by the command's bytes.
"""

import dataclasses
import struct
import threading
import zlib

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import checksummed_file
from marigoldsill.state import files as files_module
from marigoldsill.state import log_records

SEGMENT_BYTES = 8 * 1024 * 1024

_PREFIX = "log-"
_RESET_NAME = "log-reset"
_RESET_POSITION = struct.Struct(">QQ")
_MAGIC = b"mgslog01"
_SEGMENT_HEADER = struct.Struct(">8sQQI")
_SEGMENT_CHECKED_PART = struct.Struct(">8sQQ")


@dataclasses.dataclass(slots=True)
class _Segment:
    name: str
    first_index: int
    size_bytes: int


class Log:
    """The entries after `base_index`, in memory and on the disk.

    The caller must serialise appending, truncating and reading. `sync` may run
    concurrently with `append`; it covers the entries that exist when it begins.

    Attributes:
        base_index: The index before the first entry of the log.
        base_term: The term of the entry at `base_index`.
        durable_index: The index of the last entry that is on the disk.
        syncs_count: Number of syncs of appended entries.
        written_bytes: Number of bytes of entries written to the disk.
    """

    def __init__(
        self, files: files_module.Files, *, segment_bytes: int = SEGMENT_BYTES
    ):
        self._files = files
        self._segment_bytes = segment_bytes
        self._file_lock = threading.Lock()
        self._segments: list[_Segment] = []
        self._entries: list[ttypes.LogEntry] = []
        self._failure: errors.StorageError | None = None
        self.base_index = 0
        self.base_term = 0
        self.durable_index = 0
        self.syncs_count = 0
        self.written_bytes = 0
        self._load()

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def is_empty(self) -> bool:
        """Whether there is no segment on the disk."""
        return not self._segments

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entries(
        self, first_index: int, *, limit_count: int, limit_bytes: int
    ) -> list[ttypes.LogEntry]:
        """Returns entries from `first_index` on.

        Args:
            first_index: The index of the first entry.
            limit_count: Maximum number of entries.
            limit_bytes: Maximum size of their commands; the first entry is
                returned even if it is larger.
        """
        start = first_index - self.base_index - 1
        selected = self._entries[start : start + limit_count]
        total_bytes = 0
        for count, entry in enumerate(selected):
            total_bytes += len(entry.command)
            if total_bytes > limit_bytes and count:
                return selected[:count]
        return selected

    def append(self, entries: list[ttypes.LogEntry]) -> None:
        """Appends entries, which become durable with the next `sync`."""
        self._entries.extend(entries)

    def sync(self) -> None:
        """Makes all entries durable that were appended before the call.

        After an error the log accepts no further writes, since the content of
        the disk is unknown until a restart.

        Raises:
            DiskFullError: No space is left.
            StorageError: The disk failed.
        """
        with self._file_lock:
            pending = self._entries[self.durable_index - self.base_index :]
            if not pending:
                return
            self._check_usable()
            try:
                self._write(pending)
            except errors.StorageError as error:
                self._failure = error
                raise
            self.durable_index = pending[-1].index

    def truncate_from(self, index: int) -> None:
        """Removes the entry at `index` and all later ones, durably."""
        with self._file_lock:
            self._check_usable()
            while self._segments and self._segments[-1].first_index > index:
                self._files.remove(self._segments.pop().name)
            if index <= self.durable_index:
                self._truncate_segment(self._segments[-1], index)
            del self._entries[index - self.base_index - 1 :]
            self.durable_index = min(self.durable_index, index - 1)

    def compact(self, through_index: int) -> None:
        """Removes the segments that have no entries after `through_index`."""
        with self._file_lock:
            while (
                len(self._segments) > 1
                and self._segments[1].first_index <= through_index + 1
            ):
                self._remove_first_segment()

    def roll(self) -> None:
        """Begins a new segment, so that the earlier ones can be removed."""
        with self._file_lock:
            newest = self._segments[-1] if self._segments else None
            if newest and newest.first_index == self.durable_index + 1:
                return
            self._add_segment(self.durable_index + 1)

    def reset(self, *, last_index: int, last_term: int) -> None:
        """Removes all entries and continues after `last_index`.

        A reset that is interrupted by a crash is completed when the log is opened
        again.
        """
        with self._file_lock:
            position = _RESET_POSITION.pack(last_index, last_term)
            self._files.replace(_RESET_NAME, checksummed_file.encode(position))
            self._finish_reset(last_index, last_term)

    def _check_usable(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _write(self, pending: list[ttypes.LogEntry]) -> None:
        if self._needs_segment(pending[0].index):
            self._add_segment(pending[0].index)
        data = b"".join(log_records.encode(entry) for entry in pending)
        segment = self._segments[-1]
        self._files.append(segment.name, data)
        segment.size_bytes += len(data)
        self.syncs_count += 1
        self.written_bytes += len(data)

    def _needs_segment(self, next_index: int) -> bool:
        if not self._segments:
            return True
        newest = self._segments[-1]
        is_full = newest.size_bytes >= self._segment_bytes
        return is_full and newest.first_index < next_index

    def _add_segment(self, first_index: int) -> None:
        checked = _SEGMENT_CHECKED_PART.pack(
            _MAGIC, first_index, self.term_at(first_index - 1)
        )
        header = checked + struct.pack(">I", zlib.crc32(checked))
        name = f"{_PREFIX}{first_index:020d}"
        self._files.replace(name, header)
        self._segments.append(_Segment(name, first_index, len(header)))

    def _truncate_segment(self, segment: _Segment, index: int) -> None:
        first = segment.first_index - self.base_index - 1
        kept = self._entries[first : index - self.base_index - 1]
        size_bytes = _SEGMENT_HEADER.size + sum(
            log_records.size_bytes(entry) for entry in kept
        )
        self._files.truncate(segment.name, size_bytes)
        segment.size_bytes = size_bytes

    def _remove_first_segment(self) -> None:
        next_first_index = self._segments[1].first_index
        base_term = self.term_at(next_first_index - 1)
        self._files.remove(self._segments.pop(0).name)
        del self._entries[: next_first_index - self.base_index - 1]
        self.base_index, self.base_term = next_first_index - 1, base_term

    def _finish_reset(self, last_index: int, last_term: int) -> None:
        for name in self._segment_names():
            self._files.remove(name)
        self._segments, self._entries = [], []
        self.base_index = self.durable_index = last_index
        self.base_term = last_term
        self._add_segment(last_index + 1)
        self._files.remove(_RESET_NAME)

    def _segment_names(self) -> list[str]:
        names = [n for n in self._files.names() if n.startswith(_PREFIX)]
        return [name for name in names if name[len(_PREFIX) :].isdigit()]

    def _load(self) -> None:
        reset = self._files.read(_RESET_NAME)
        if reset is not None:
            position = _RESET_POSITION.unpack(
                checksummed_file.decode(_RESET_NAME, reset)
            )
            self._finish_reset(*position)
            return
        names = self._segment_names()
        for name in names:
            self._load_segment(name, is_last=name == names[-1])
        self.durable_index = self.last_index

    def _load_segment(self, name: str, *, is_last: bool) -> None:
        data = self._files.read(name)
        first_index = self._read_segment_header(name, data)
        segment = _Segment(name, first_index, len(data))
        self._segments.append(segment)
        offset = _SEGMENT_HEADER.size
        try:
            while offset < len(data):
                entry = log_records.decode(name, data, offset)
                self._check_order(name, entry)
                self._entries.append(entry)
                offset += log_records.size_bytes(entry)
        except log_records.TornRecordError as error:
            if not is_last:
                raise errors.LogCorruptError(
                    f"{name} ends within a record, but later segments exist"
                ) from error
            self._files.truncate(name, offset)
            segment.size_bytes = offset

    def _read_segment_header(self, name: str, data: bytes) -> int:
        """Checks a segment's header; returns the index of its first entry."""
        if len(data) < _SEGMENT_HEADER.size:
            raise errors.LogCorruptError(
                f"{name} has {len(data)} bytes, fewer than a segment header of "
                f"{_SEGMENT_HEADER.size} bytes"
            )
        magic, first_index, previous_term, crc = _SEGMENT_HEADER.unpack_from(
            data
        )
        checked = data[: _SEGMENT_CHECKED_PART.size]
        if magic != _MAGIC or crc != zlib.crc32(checked):
            raise errors.LogCorruptError(
                f"the header of {name} has a wrong checksum or magic number"
            )
        if not self._segments:
            self.base_index, self.base_term = first_index - 1, previous_term
        if (first_index, previous_term) != (
            self.last_index + 1,
            self.last_term,
        ):
            raise errors.LogCorruptError(
                f"{name} begins at {first_index} after term {previous_term}, "
                f"but the log before it ends at {self.last_index} in term "
                f"{self.last_term}"
            )
        return first_index

    def _check_order(self, name: str, entry: ttypes.LogEntry) -> None:
        if entry.index != self.last_index + 1 or entry.term < self.last_term:
            raise errors.LogCorruptError(
                f"{name} has entry {entry.index} of term {entry.term} after "
                f"entry {self.last_index} of term {self.last_term}; indexes must "
                "be consecutive and terms must not decrease"
            )
