"""Reads HTTP requests from a connection within limits of time and size."""

from collections.abc import Callable
import io
import socket
import time

from marigoldsill import errors

_CHUNK_LINE_LIMIT_BYTES = 100
_TRAILERS_LIMIT_COUNT = 100
_LINE_LIMIT_BYTES = 65_536


class DeadlineStream(io.RawIOBase):
    """Reads from a socket and raises if a request does not arrive in time.

    Attributes:
        is_idle: Whether no byte of the next request has arrived yet.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        idle_s: float,
        request_s: float,
        on_started: Callable[[], None],
    ):
        """Creates a stream that reads from a connection.

        Args:
            connection: The connection of the caller.
            idle_s: How long to wait for the start of a request.
            request_s: How long a request may take to arrive.
            on_started: Called when the first bytes of a request have arrived.
        """
        self._connection = connection
        self._idle_s = idle_s
        self._request_s = request_s
        self._on_started = on_started
        self._end_s = 0.0
        self.is_idle = True

    def begin_request(self) -> None:
        """Starts to wait for the next request."""
        self.is_idle = True
        self._end_s = time.monotonic() + self._idle_s

    def begin_body(self) -> None:
        """Restarts the time limit of the request for its body."""
        self._end_s = time.monotonic() + self._request_s

    def readable(self) -> bool:
        """Returns True: the stream can always be read."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """Reads the available bytes and waits for the first one.

        Raises:
            TimeoutError: The time limit of the request has expired.
        """
        remaining_s = self._end_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the request did not arrive completely in time")
        self._connection.settimeout(remaining_s)
        count = self._connection.recv_into(buffer)
        if self.is_idle:
            self.is_idle = False
            self._on_started()
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
        stream: The stream to read from.
        length_bytes: The length of the body from its headers, or None.
        chunked: Whether the body is sent in chunks.
        limit_bytes: Maximum size of the body.

    Raises:
        TooLargeError: It is larger than the limit; the rest is not read.
        SlowRequestError: It did not arrive in time.
        BadInputError: It is truncated or not a valid sequence of chunks.
    """
    try:
        if chunked:
            return _read_chunked(stream, limit_bytes)
        return _read_exactly(stream, length_bytes or 0, limit_bytes)
    except TimeoutError as error:
        raise errors.SlowRequestError(
            "the request's body did not arrive completely in time"
        ) from error


def _read_exactly(
    stream: io.BufferedReader, length_bytes: int, limit_bytes: int
) -> bytes:
    if length_bytes > limit_bytes:
        raise _too_large_error(limit_bytes)
    body = stream.read(length_bytes) if length_bytes else b""
    if len(body) < length_bytes:
        raise errors.BadInputError(
            f"the body ended after {len(body)} of {length_bytes} bytes"
        )
    return body


def _read_chunked(stream: io.BufferedReader, limit_bytes: int) -> bytes:
    body = bytearray()
    while size_bytes := _read_chunk_size(stream):
        if len(body) + size_bytes > limit_bytes:
            raise _too_large_error(limit_bytes)
        body += _read_exactly(stream, size_bytes, limit_bytes)
        if stream.readline(_CHUNK_LINE_LIMIT_BYTES).strip():
            raise errors.BadInputError("a chunk is longer than its stated size")
    for _ in range(_TRAILERS_LIMIT_COUNT):
        if not stream.readline(_LINE_LIMIT_BYTES).strip():
            return bytes(body)
    raise errors.BadInputError("too many trailers")


def _read_chunk_size(stream: io.BufferedReader) -> int:
    line = stream.readline(_CHUNK_LINE_LIMIT_BYTES)
    text = line.partition(b";")[0].strip()
    if not text or not all(c in b"0123456789abcdefABCDEF" for c in text):
        raise errors.BadInputError(
            f"invalid chunk size {line!r}: expected a hexadecimal number"
        )
    return int(text, 16)


def _too_large_error(limit_bytes: int) -> errors.TooLargeError:
    return errors.TooLargeError(
        f"the body is too large; expected at most {limit_bytes} bytes"
    )
