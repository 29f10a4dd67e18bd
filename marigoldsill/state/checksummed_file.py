"""Encoding of small files that are replaced as a whole and have a checksum."""

import struct
import zlib

from marigoldsill import errors

_HEADER = struct.Struct(">4sIQ")
_MAGIC = b"mgs1"


def encode(data: bytes) -> bytes:
    """Returns `data` after a header with its checksum and size."""
    return _HEADER.pack(_MAGIC, zlib.crc32(data), len(data)) + data


def decode(name: str, content: bytes) -> bytes:
    """Returns the data of an encoded file.

    Args:
        name: The file's name, for error messages.
        content: The file's content.

    Raises:
        LogCorruptError: The checksum, size or header is wrong.
    """
    if len(content) >= _HEADER.size:
        magic, crc, size_bytes = _HEADER.unpack_from(content)
        data = content[_HEADER.size :]
        if (
            magic == _MAGIC
            and size_bytes == len(data)
            and crc == zlib.crc32(data)
        ):
            return data
    raise errors.LogCorruptError(
        f"{name} ({len(content)} bytes) is corrupt: its header, size or "
        "checksum is wrong; this data folder counts as lost"
    )
