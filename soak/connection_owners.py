"""Finds which process opened a connection, from Linux's /proc."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import math
import os
import pathlib
import socket
import threading
import time

_TABLE = pathlib.Path("/proc/net/tcp")
# Columns of the table: both addresses as hexadecimal numbers, and the inode.
_LOCAL, _REMOTE, _INODE = 1, 2, 9
# Reading the tables costs about 10 ms of system time, so many lookups share one.
_READ_INTERVAL_S = 0.1


class ConnectionOwners:
    """Finds the process at the other end of connections on this machine."""

    def __init__(self, pids: Callable[[], Mapping[str, int]]):
        """Creates a lookup among some processes.

        Args:
            pids: Returns the ids of the current processes by name.
        """
        self._pids = pids
        self._lock = threading.Lock()
        self._names_by_addresses: dict[tuple[str, str], str] = {}
        self._read_s = -math.inf

    def find_owner(self, connection: socket.socket) -> str:
        """Returns the name of the process that opened a connection.

        The name is empty if it is none of the processes, or if the connection has
        ended.

        Args:
            connection: The accepted end of the connection.
        """
        called_s = time.monotonic()
        try:
            addresses = _addresses(connection)
        except OSError:
            return ""
        with self._lock:
            if self._read_s < called_s:
                wait_s = self._read_s + _READ_INTERVAL_S - time.monotonic()
                time.sleep(max(0.0, wait_s))
                self._refresh()
            return self._names_by_addresses.get(addresses, "")

    def _refresh(self) -> None:
        self._read_s = time.monotonic()
        rows = [line.split() for line in _TABLE.read_text().splitlines()]
        addresses = {
            f"socket:[{row[_INODE]}]": (row[_LOCAL], row[_REMOTE])
            for row in rows
        }
        self._names_by_addresses = {
            addresses[file]: name
            for name, pid in self._pids().items()
            for file in _open_files(pid)
            if file in addresses
        }


def _addresses(connection: socket.socket) -> tuple[str, str]:
    """Returns both addresses as the table shows them for the opening process."""
    return _hex_address(connection.getpeername()), _hex_address(
        connection.getsockname()
    )


def _hex_address(address: tuple[str, int]) -> str:
    host, port = address
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}"


def _open_files(pid: int) -> set[str]:
    """Returns what the file descriptors of a process refer to."""
    files = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                files.add(os.readlink(entry.path))
    return files
