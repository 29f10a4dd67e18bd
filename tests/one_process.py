"""Starts one process of the project on loopback and waits for conditions."""

import collections
from collections.abc import Callable
import contextlib
import fcntl
import functools
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

WAIT_LIMIT_S = 30.0
_POLL_S = 0.05
_LISTENING_PORT_RANGE = (15_000, 32_000)
# More than any test has at a time; a session draws thousands.
_RESERVED_PORTS_LIMIT = 500
_ADDRESS = re.compile(r"(http|thrift)=(\S+)")
_STARTED = r"event=started.*\n"
_PORT_TAKEN = re.compile(r"cannot listen at \S+: Address already in use")


def wait_until(
    condition: Callable[[], object],
    *,
    limit_s: float = WAIT_LIMIT_S,
    what: str = "the condition",
    poll_s: float = _POLL_S,
) -> object:
    """Calls a condition until it returns a true value, and returns that value.

    Args:
        condition: Called again and again.
        limit_s: Time in seconds after which the wait fails.
        what: Names the condition in the failure.
        poll_s: Time in seconds between two calls.

    Raises:
        AssertionError: The time limit has passed.
    """
    end_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < end_s, f"{what} did not hold in {limit_s} s"
        time.sleep(poll_s)


def free_address() -> str:
    """Returns a loopback address whose port is currently free.

    The port is below the range that the system uses for outgoing connections:
    one of those could take the port before a process starts or restarts. No other
    process of this user draws it among the next `_RESERVED_PORTS_LIMIT` draws.
    """
    while True:
        port = random.SystemRandom().randrange(*_LISTENING_PORT_RANGE)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            if _port_reservations().reserve(port):
                return f"127.0.0.1:{port}"


class _PortReservations:
    """The ports that this process drew last; other test processes skip them.

    Each is a lock on one byte of a file that all test processes open, so that the
    reservations of a process end with it.
    """

    def __init__(self, path: pathlib.Path | None = None):
        path = path or pathlib.Path(
            tempfile.gettempdir(), f"marigoldsill-test-ports-{os.getuid()}"
        )
        # Opened once: closing it elsewhere would release the locks of this process.
        self._file = path.open("ab")
        self._ports: collections.deque[int] = collections.deque()
        self._lock = threading.Lock()

    def reserve(self, port: int) -> bool:
        """Reserves a port unless it is reserved; may release the oldest one."""
        with self._lock:
            # A lock never conflicts with another one of the same process.
            if port in self._ports:
                return False
            try:
                fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
            except BlockingIOError:
                return False
            self._ports.append(port)
            if len(self._ports) > _RESERVED_PORTS_LIMIT:
                oldest = self._ports.popleft()
                fcntl.lockf(self._file, fcntl.LOCK_UN, 1, oldest)
            return True


# Opened by the process that draws, since a fork does not inherit locks.
_port_reservations = functools.cache(_PortReservations)


class Process:
    """A process of the project that writes its log to a file."""

    def __init__(
        self,
        arguments: list[str],
        *,
        log: pathlib.Path,
        environment: dict[str, str] | None = None,
        binary: pathlib.Path | None = None,
    ):
        self.log = log
        # A restarted process appends to the log of the one before it.
        self._log_start = log.stat().st_size if log.exists() else 0
        command = [sys.executable, "-m", *arguments]
        if binary is not None and arguments[0] == "marigoldsill":
            command = [str(binary), *arguments[1:]]
        with log.open("ab") as output:
            self._popen = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                env=os.environ | (environment or {}),
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    def text(self) -> str:
        """Returns the log that the process has written so far."""
        data = self.log.read_bytes()[self._log_start :]
        return data.decode(errors="replace")

    def wait_for(self, pattern: str) -> re.Match:
        """Waits until the log matches a pattern, and returns the match."""

        def find_match() -> re.Match | None:
            status = self._popen.poll()
            assert status is None, (
                f"{self.log.name} ended with status {status} before it wrote "
                f"{pattern!r}; it wrote: {self.text() or 'nothing'}"
            )
            return re.search(pattern, self.text())

        return wait_until(find_match, what=f"{pattern!r} in {self.log.name}")

    def has_port_conflict(self) -> bool:
        """Returns whether the process exited because an address was in use."""
        return self._popen.poll() is not None and bool(
            _PORT_TAKEN.search(self.text())
        )

    def addresses(self) -> dict[str, str]:
        """Returns the addresses in the "started" event, by protocol."""
        line = self.wait_for(_STARTED)[0]
        return dict(_ADDRESS.findall(line))

    def known_addresses(self) -> dict[str, str]:
        """Returns the same as `addresses` without a wait; may be empty."""
        started = re.search(_STARTED, self.text())
        return dict(_ADDRESS.findall(started[0])) if started else {}

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self._popen.poll() is not None

    def status(self) -> str:
        """Returns "running", "stopped", or with which status it ended."""
        status = self._popen.poll()
        if status is not None:
            return f"ended with status {status}"
        return "stopped" if "T" in self._thread_states() else "running"

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        self._popen.send_signal(number)

    def freeze(self) -> None:
        """Sends SIGSTOP and waits until every thread is stopped.

        The signal takes effect some time after it is sent: on a busy machine,
        the process can still answer complete requests in between.
        """
        self.send(signal.SIGSTOP)
        wait_until(
            lambda: set(self._thread_states()) == {"T"},
            what=f"stop of each thread of {self.pid}",
        )

    def _thread_states(self) -> list[str]:
        """Returns the state of each thread, a letter defined in proc(5)."""
        tasks = pathlib.Path(f"/proc/{self.pid}/task")
        return [
            (task / "stat").read_text().rpartition(")")[2].split()[0]
            for task in tasks.iterdir()
        ]

    def kill(self) -> None:
        """Sends SIGKILL and waits for the exit of the process."""
        self._popen.kill()
        self._popen.wait()

    def stop(self) -> int:
        """Sends SIGTERM and returns the exit status."""
        self._popen.terminate()
        return self.wait()

    def wait(self) -> int:
        """Waits for the exit of the process and returns its exit status.

        A process that does not exit within the time limit is killed.
        """
        try:
            return self._popen.wait(WAIT_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def end(self) -> None:
        """Kills the process if it still runs, even if it is stopped."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()
