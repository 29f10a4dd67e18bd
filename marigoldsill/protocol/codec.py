"""Records to bytes and back, by thrift's accelerated binary protocol."""

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport
import xxhash

from marigoldsill import errors

_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()


def encode(record: object) -> bytes:
    """The bytes of a generated record."""
    buffer = TTransport.TMemoryBuffer()
    record.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode(record: object, data: bytes) -> object:
    """Fills an empty generated record from its bytes and returns it.

    Raises:
        BadInputError: The bytes are no such record.
    """
    try:
        record.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
    except Exception as error:
        raise errors.BadInputError(
            f"{len(data)} bytes are no {type(record).__name__}: {error}"
        ) from error
    return record


def digest(data: bytes) -> int:
    """The xxh64 of some bytes, as a signed 64-bit number."""
    value = xxhash.xxh64_intdigest(data)
    return value - (1 << 64) if value >> 63 else value
