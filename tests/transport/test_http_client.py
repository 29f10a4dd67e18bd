"""Tests of calls to HTTP servers with valid and invalid responses."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading
import time

import pytest

from marigoldsill import errors
from marigoldsill.transport import http_client
from marigoldsill.transport.curl import cancellation as cancellation_module

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_WAIT_S = 5.0


class _Server:
    """A server that passes the connection of each request to a function."""

    def __init__(self, respond: Callable[["_Server", socket.socket], None]):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.requests: list[bytes] = []
        self._respond = respond
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := connection.recv(65_536):
                self.requests.append(data)
                self._respond(self, connection)


@pytest.fixture
def serve() -> Iterator[Callable[..., _Server]]:
    servers: list[_Server] = []

    def start(respond: Callable) -> _Server:
        servers.append(_Server(respond))
        return servers[-1]

    yield start
    for server in servers:
        server.listener.close()


def _respond_ok(server: _Server, connection: socket.socket) -> None:
    connection.sendall(_OK)


def test_request_is_sent_unchanged(serve):
    server = serve(_respond_ok)
    http_client.Client().fetch(
        server.address,
        "/a%2Fb/../c?x=%20",
        headers=(("X-Empty", ""), ("X-Twice", "1"), ("X-Twice", "2")),
        timeout_s=_WAIT_S,
    )
    assert server.requests == [
        b"GET /a%2Fb/../c?x=%20 HTTP/1.1\r\nHost: "
        + server.address.encode()
        + b"\r\nX-Empty:\r\nX-Twice: 1\r\nX-Twice: 2\r\n\r\n"
    ]


def test_error_after_sending_is_marked_as_sent(serve):
    def close_connection(server: _Server, connection: socket.socket) -> None:
        if len(server.requests) == 1:
            connection.sendall(_OK)
            return
        # curl will try a new connection, which is refused.
        server.listener.shutdown(socket.SHUT_RDWR)
        server.listener.close()
        connection.shutdown(socket.SHUT_RDWR)

    server = serve(close_connection)
    client = http_client.Client()
    client.fetch(server.address, "/", timeout_s=_WAIT_S)
    with pytest.raises(errors.TransportError) as caught:
        client.fetch(server.address, "/", timeout_s=_WAIT_S)
    assert len(server.requests) == 2
    assert caught.value.sent
    assert caught.value.refused


def test_refused_connection_is_told_from_one_without_an_answer():
    """Guards against taking a process that cannot be reached for one that has ended."""
    with contextlib.ExitStack() as stack:
        closed = stack.enter_context(socket.socket())
        closed.bind(("127.0.0.1", 0))
        full = stack.enter_context(socket.socket())
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        # They fill the kernel's queue, so that another one is not completed.
        for _ in range(3):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(full.getsockname())
        found = {}
        for name, listener in (("closed", closed), ("full", full)):
            host, port = listener.getsockname()
            with pytest.raises(errors.TransportError) as caught:
                http_client.Client().fetch(f"{host}:{port}", "/", timeout_s=0.2)
            error = caught.value
            found[name] = (error.refused, error.timed_out, error.sent)
    assert found == {
        "closed": (True, False, False),
        "full": (False, True, False),
    }


def test_broken_connection_is_not_a_refused_one(serve):
    def close_connection(server: _Server, connection: socket.socket) -> None:
        connection.shutdown(socket.SHUT_RDWR)

    with pytest.raises(errors.TransportError) as caught:
        http_client.Client().fetch(
            serve(close_connection).address, "/", timeout_s=_WAIT_S
        )
    assert not caught.value.refused


@pytest.mark.parametrize(
    ("options", "sent_count"),
    [
        ({"new_connection": True}, 1),
        ({"single_copy": True}, 1),
        ({"single_copy": True, "body": b""}, 1),
        ({}, 2),
    ],
)
def test_request_on_a_new_connection_or_with_a_single_copy_is_sent_once(
    serve, options, sent_count
):
    def close_connection(server: _Server, connection: socket.socket) -> None:
        if b"/first" in server.requests[-1]:
            connection.sendall(_OK)
        else:
            connection.shutdown(socket.SHUT_RDWR)

    server = serve(close_connection)
    client = http_client.Client()
    client.fetch(server.address, "/first", timeout_s=_WAIT_S)
    with pytest.raises(errors.TransportError) as caught:
        client.fetch(
            server.address,
            "/second",
            method="POST",
            timeout_s=_WAIT_S,
            **{"body": b"x", **options},
        )
    assert caught.value.sent
    second_requests = [r for r in server.requests if b"/second" in r]
    assert len(second_requests) == sent_count
    assert "rewind" not in caught.value.message


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno stated end",
    ],
)
def test_response_that_may_be_truncated_is_an_error(serve, answer):
    def send_and_close(server: _Server, connection: socket.socket) -> None:
        connection.sendall(answer)
        connection.close()

    with pytest.raises(errors.TransportError) as caught:
        http_client.Client().fetch(
            serve(send_and_close).address,
            "/",
            timeout_s=_WAIT_S,
            complete_only=True,
        )
    assert caught.value.sent


def test_single_copy_on_a_new_connection_counts_as_sent(serve):
    def close_connection(server: _Server, connection: socket.socket) -> None:
        connection.shutdown(socket.SHUT_RDWR)

    with pytest.raises(errors.TransportError) as caught:
        http_client.Client().fetch(
            serve(close_connection).address,
            "/",
            method="POST",
            body=b"x",
            timeout_s=_WAIT_S,
            single_copy=True,
        )
    assert caught.value.sent


def test_single_copy_is_sent_although_the_server_closed_an_idle_connection(
    serve,
):
    """Guards against calls that fail after each pause."""
    closed = threading.Event()

    def respond_and_close(server: _Server, connection: socket.socket) -> None:
        connection.sendall(_OK)
        connection.close()
        closed.set()

    server = serve(respond_and_close)
    client = http_client.Client()
    for _ in range(2):
        closed.clear()
        client.fetch(
            server.address,
            "/",
            method="POST",
            body=b"x",
            timeout_s=_WAIT_S,
            single_copy=True,
        )
        assert closed.wait(_WAIT_S)
    assert len(server.requests) == 2


def test_extra_response_is_not_used_for_the_next_request(serve):
    def respond_twice(server: _Server, connection: socket.socket) -> None:
        number = len(server.requests)
        connection.sendall(_OK.replace(b"ok", b"%02d" % number) + _OK)

    client = http_client.Client()
    server = serve(respond_twice)
    bodies = [
        client.fetch(server.address, "/", timeout_s=_WAIT_S).body
        for _ in range(3)
    ]
    assert bodies == [b"01", b"02", b"03"]


def test_another_thread_cancels_a_call_at_once(serve):
    server = serve(lambda server, connection: None)
    cancellation = cancellation_module.Cancellation()

    def cancel() -> None:
        while not server.requests:
            time.sleep(0.005)
        cancellation.cancel()

    threading.Thread(target=cancel).start()
    start_s = time.monotonic()
    with pytest.raises(errors.TransportError) as caught:
        http_client.Client().fetch(
            server.address, "/", timeout_s=60.0, cancellation=cancellation
        )
    assert caught.value.sent
    assert time.monotonic() - start_s < 30
