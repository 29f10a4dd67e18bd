"""Sends an agent heartbeats of unknown workers and malformed requests."""

import contextlib
import json
import random
import socket
import threading

from marigoldsill import errors
from marigoldsill.transport import http_client
from tests.platform import heartbeats

# Shorter and longer than the 0.1 s between the heartbeats of the agent's worker.
_INTERVALS_S = (0.02, 0.2)
_TIMEOUT_S = 1.0
_HEARTBEAT_PATH = "/marigoldsill/Instances.Heartbeat/"
_HEARTBEAT = heartbeats.body(address="127.0.0.1:1", clock_ms=0)
_INVALID_VALUES = (None, -1, 1e400, "x", [], {}, [[]], "\ud800", True)
# Of no field's type.
MISTYPED_VALUES = (None, -1, [[]], "\ud800", True)
_MALFORMED_BODIES = (
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe",
    b'"x"',
    b"[" * 5000,
)


class HeartbeatSender:
    """Sends heartbeats of unknown workers and malformed requests to one agent from its own thread."""

    def __init__(self, address: str, *, seed: int):
        self._address = address
        self.numbers = random.Random(seed)
        self._client = http_client.Client()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops after the current call."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(self.numbers.uniform(*_INTERVALS_S)):
            # The agent may be down or close the connection.
            with contextlib.suppress(errors.TransportError, OSError):
                self.send_random()

    def send_random(self) -> None:
        """Sends one drawn request."""
        incarnation = f"i-other-{self.numbers.randrange(3)}"
        heartbeat = _HEARTBEAT | {"sequence": self.numbers.randrange(1000)}
        match self.numbers.randrange(5):
            case 0:
                self.post(incarnation, json.dumps(heartbeat).encode())
            case 1:
                del heartbeat[self.numbers.choice(list(heartbeat))]
                self.post(incarnation, json.dumps(heartbeat).encode())
            case 2:
                field = self.numbers.choice((*heartbeat, "state", "service"))
                heartbeat[field] = self.numbers.choice(_INVALID_VALUES)
                self.post(incarnation, json.dumps(heartbeat).encode())
            case 3:
                self.post(incarnation, self.numbers.choice(_MALFORMED_BODIES))
            case _:
                self._send_bytes(self.numbers.randbytes(200))

    def post(self, incarnation: str, body: bytes) -> None:
        """Sends a heartbeat under the id of an incarnation."""
        self._client.fetch(
            self._address,
            f"{_HEARTBEAT_PATH}{incarnation}",
            method="POST",
            body=body,
            headers=(("Content-Type", "application/json"),),
            timeout_s=_TIMEOUT_S,
        )

    def _send_bytes(self, data: bytes) -> None:
        host, _, port = self._address.rpartition(":")
        address = (host, int(port))
        with socket.create_connection(address, _TIMEOUT_S) as connection:
            connection.sendall(data)
