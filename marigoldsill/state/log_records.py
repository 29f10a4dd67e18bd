"""Log entries as records: a head with its own checksum, then the command."""

import struct
import zlib

from marigoldsill import errors
from marigoldsill.protocol.generated import ttypes

_HEAD = struct.Struct(">IIQQBI")
_CHECKED = struct.Struct(">IIQQB")


class TornError(Exception):
    """The rest of a file is a write that a crash cut short."""


def size_bytes(entry: ttypes.LogEntry) -> int:
    """The size of an entry's record."""
    return _HEAD.size + len(entry.command)


def encode(entry: ttypes.LogEntry) -> bytes:
    """An entry as a record."""
    checked = _CHECKED.pack(
        len(entry.command),
        zlib.crc32(entry.command),
        entry.index,
        entry.term,
        bool(entry.changes_members),
    )
    return checked + struct.pack(">I", zlib.crc32(checked)) + entry.command


def decode(name: str, data: bytes, offset: int) -> ttypes.LogEntry:
    """The entry whose record begins at `offset`.

    A crash leaves a beginning of what was written, or zeros where the size
    grew before the data came. Anything else that fails its check was once
    whole, and perhaps acknowledged.

    Raises:
        TornError: A crash cut the write of it short.
        LogCorruptError: It was damaged later.
    """
    rest_bytes = len(data) - offset - _HEAD.size
    if rest_bytes < 0:
        raise TornError
    fields = _HEAD.unpack_from(data, offset)
    size_bytes, command_crc, index, term, changes_members, head_crc = fields
    checked = data[offset : offset + _CHECKED.size]
    if head_crc != zlib.crc32(checked):
        if not any(data[offset:]):
            raise TornError
        raise errors.LogCorruptError(
            f"{name}: the record head at byte {offset} fails its check"
        )
    if rest_bytes < size_bytes:
        raise TornError
    start = offset + _HEAD.size
    command = data[start : start + size_bytes]
    if command_crc != zlib.crc32(command):
        raise errors.LogCorruptError(
            f"{name}: entry {index} at byte {offset} fails its check"
        )
    return ttypes.LogEntry(
        index=index,
        term=term,
        command=command,
        changes_members=bool(changes_members),
    )
