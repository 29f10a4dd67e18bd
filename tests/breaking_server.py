"""A server that breaks a connection instead of answering its second request."""

from collections.abc import Iterator
import contextlib
import socket
import threading


@contextlib.contextmanager
def serve(refusal: str) -> Iterator[str]:
    """Serves on loopback; yields the address.

    Args:
        refusal: Status line of the answers from the third request on.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(
            target=_answer, args=(listener, refusal), daemon=True
        )
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def _answer(listener: socket.socket, refusal: str) -> None:
    statuses = iter(("200 OK", ""))
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            while connection.recv(65_536):
                status = next(statuses, refusal)
                if not status:
                    connection.close()
                    break
                connection.sendall(
                    f"HTTP/1.1 {status}\r\nContent-Length: 14\r\n\r\n".encode()
                    + b'{"clock_ms":5}'
                )
