"""Sends raw bytes to a server, as a broken or hostile client does."""

import contextlib
import socket

TIMEOUT_S = 10.0


def exchange(address: str, data: bytes) -> bytes:
    """Sends bytes and reads until the server closes; what it answered."""
    host, _, port = address.rpartition(":")
    answer = bytearray()
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        # The server may close, or reset, before it has read everything.
        with contextlib.suppress(OSError):
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while chunk := sock.recv(65_536):
                answer += chunk
    return bytes(answer)
