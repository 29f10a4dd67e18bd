"""Encoding of log entries: a header with its own checksum, then the command."""

import struct
import zlib

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes

_HEADER = struct.Struct(">IIQQBI")
_CHECKED_PART = struct.Struct(">IIQQB")


class TornRecordError(Exception):
    """The rest of a file is an incomplete write, interrupted by a crash."""


def size_bytes(entry: ttypes.LogEntry) -> int:
    """Returns the size of an entry's record."""
    return _HEADER.size + len(entry.command)


def encode(entry: ttypes.LogEntry) -> bytes:
    """Encodes an entry as a record."""
    checked = _CHECKED_PART.pack(
        len(entry.command),
        zlib.crc32(entry.command),
        entry.index,
        entry.term,
        bool(entry.changes_members),
    )
    return checked + struct.pack(">I", zlib.crc32(checked)) + entry.command


def decode(name: str, data: bytes, offset: int) -> ttypes.LogEntry:
    """Decodes the entry whose record begins at `offset`.

    A crash during a write leaves the beginning of the data, or zeros if the file
    size grew before the data was written. A record with any other checksum error
    was once complete, and may have been acknowledged.

    Args:
        name: The file's name, for error messages.
        data: The content of the file.
        offset: Where the record begins, in bytes.

    Raises:
        TornRecordError: The record's write was interrupted by a crash.
        LogCorruptError: The record was damaged after it was written.
    """
    available_bytes = len(data) - offset - _HEADER.size
    if available_bytes < 0:
        raise TornRecordError
    fields = _HEADER.unpack_from(data, offset)
    size_bytes, command_crc, index, term, changes_members, header_crc = fields
    checked = data[offset : offset + _CHECKED_PART.size]
    if header_crc != zlib.crc32(checked):
        if not any(data[offset:]):
            raise TornRecordError
        raise errors.LogCorruptError(
            f"{name}: the record header at byte {offset} has a wrong checksum"
        )
    if available_bytes < size_bytes:
        raise TornRecordError
    start = offset + _HEADER.size
    command = data[start : start + size_bytes]
    if command_crc != zlib.crc32(command):
        raise errors.LogCorruptError(
            f"{name}: entry {index} at byte {offset} has a wrong checksum"
        )
    return ttypes.LogEntry(
        index=index,
        term=term,
        command=command,
        changes_members=bool(changes_members),
    )
