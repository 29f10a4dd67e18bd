"""Reads requests from a caller's connection, bounded in time and size."""

from collections.abc import Callable
import io
import socket
import time

from marigoldsill import errors

_CHUNK_LINE_LIMIT_BYTES = 100
_TRAILERS_LIMIT_COUNT = 100
_LINE_LIMIT_BYTES = 65_536


class DeadlineStream(io.RawIOBase):
    """A socket's bytes, where each request has to arrive whole in time.

    Attributes:
        idle: Whether nothing of the next request has come yet.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        idle_s: float,
        request_s: float,
        on_begun: Callable[[], None],
    ):
        """Reads from a connection.

        Args:
            connection: The caller's.
            idle_s: How long to wait for a request.
            request_s: How long a request may take to arrive.
            on_begun: Called when the first bytes of a request have come.
        """
        self._connection = connection
        self._idle_s = idle_s
        self._request_s = request_s
        self._on_begun = on_begun
        self._end_s = 0.0
        self.idle = True

    def begin(self) -> None:
        """Waits for a next request from now on."""
        self.idle = True
        self._end_s = time.monotonic() + self._idle_s

    def expect_body(self) -> None:
        """Gives the rest of a request, its body, a time of its own."""
        self._end_s = time.monotonic() + self._request_s

    def readable(self) -> bool:
        """Always."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """Reads what there is, waiting for the first byte.

        Raises:
            TimeoutError: The time for the request is over.
        """
        left_s = self._end_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the request did not arrive whole in time")
        self._connection.settimeout(left_s)
        count = self._connection.recv_into(buffer)
        if self.idle:
            self.idle = False
            self._on_begun()
            self._end_s = time.monotonic() + self._request_s
        return count


def read_body(
    stream: io.BufferedReader,
    *,
    length_bytes: int | None,
    chunked: bool,
    limit_bytes: int,
) -> bytes:
    """Reads a request's body.

    Args:
        stream: Where it comes from.
        length_bytes: Its stated length, or None.
        chunked: Whether it comes in chunks.
        limit_bytes: The most that is accepted.

    Raises:
        TooLargeError: It is larger than the limit; the rest is not read.
        SlowRequestError: It did not arrive in time.
        BadInputError: It breaks off, or is no valid sequence of chunks.
    """
    try:
        if chunked:
            return _read_chunks(stream, limit_bytes)
        return _read_length(stream, length_bytes or 0, limit_bytes)
    except TimeoutError as error:
        raise errors.SlowRequestError(
            "the request's body did not arrive whole in time"
        ) from error


def _read_length(
    stream: io.BufferedReader, length_bytes: int, limit_bytes: int
) -> bytes:
    if length_bytes > limit_bytes:
        raise _too_large(limit_bytes)
    body = stream.read(length_bytes) if length_bytes else b""
    if len(body) < length_bytes:
        raise errors.BadInputError(
            f"the body ended after {len(body)} of {length_bytes} bytes"
        )
    return body


def _read_chunks(stream: io.BufferedReader, limit_bytes: int) -> bytes:
    body = bytearray()
    while size_bytes := _chunk_size(stream):
        if len(body) + size_bytes > limit_bytes:
            raise _too_large(limit_bytes)
        body += _read_length(stream, size_bytes, limit_bytes)
        if stream.readline(_CHUNK_LINE_LIMIT_BYTES).strip():
            raise errors.BadInputError("a chunk is longer than it says")
    for _ in range(_TRAILERS_LIMIT_COUNT):
        if not stream.readline(_LINE_LIMIT_BYTES).strip():
            return bytes(body)
    raise errors.BadInputError("too many trailers")


def _chunk_size(stream: io.BufferedReader) -> int:
    line = stream.readline(_CHUNK_LINE_LIMIT_BYTES)
    text = line.partition(b";")[0].strip()
    if not text or not all(c in b"0123456789abcdefABCDEF" for c in text):
        raise errors.BadInputError(f"{line!r} is no size of a chunk")
    return int(text, 16)


def _too_large(limit_bytes: int) -> errors.TooLargeError:
    return errors.TooLargeError(
        f"the body is larger than {limit_bytes} bytes, the most accepted"
    )
