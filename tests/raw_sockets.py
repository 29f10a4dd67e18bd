"""Exchanges raw bytes, like a faulty or malicious client or a faulty server."""

from collections.abc import Iterator
import contextlib
import re
import socket
import threading

TIMEOUT_S = 10.0


def exchange(address: str, data: bytes) -> bytes:
    """Sends bytes and returns all that the server sends until it closes."""
    host, _, port = address.rpartition(":")
    received = bytearray()
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        # The server may close or reset the connection before it reads all.
        with contextlib.suppress(OSError):
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while chunk := sock.recv(65_536):
                received += chunk
    return bytes(received)


@contextlib.contextmanager
def breaking_server(body: bytes) -> Iterator[str]:
    """Serves a request, breaks the connection off at the next, and refuses the rest.

    Args:
        body: The body of all its answers.

    Yields:
        The server's address.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(
            target=_answer_break_refuse, args=(listener, body), daemon=True
        ).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def _answer_break_refuse(listener: socket.socket, body: bytes) -> None:
    statuses = iter((b"200 OK", b""))
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            while _receive_request(connection):
                status = next(statuses, b"503 Unwell")
                if not status:
                    connection.close()
                    break
                connection.sendall(
                    b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, len(body), body)
                )


def _receive_request(connection: socket.socket) -> bytes:
    """Returns a whole request with its body; empty at the end of the connection."""
    received = b""
    while chunk := connection.recv(65_536):
        received += chunk
        head, end, body = received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if end and len(body) >= int(length[1] if length else 0):
            return received
    return b""
