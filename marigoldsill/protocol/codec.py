"""Encodes and decodes records with thrift's accelerated binary protocol."""

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport
import xxhash

from marigoldsill import errors

_PROTOCOL_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()


def encode(record: object) -> bytes:
    """Returns the encoded bytes of a generated record."""
    buffer = TTransport.TMemoryBuffer()
    record.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode(record: object, data: bytes) -> object:
    """Decodes bytes into an empty generated record and returns it.

    Raises:
        BadInputError: The bytes are not an encoded record of this class.
    """
    try:
        record.read(
            _PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(data))
        )
    except Exception as error:
        raise errors.BadInputError(
            f"cannot decode {len(data)} bytes as {type(record).__name__}: {error}"
        ) from error
    return record


def digest(data: bytes) -> int:
    """Returns the xxh64 hash of bytes as a signed 64-bit integer."""
    value = xxhash.xxh64_intdigest(data)
    return value - (1 << 64) if value >> 63 else value
