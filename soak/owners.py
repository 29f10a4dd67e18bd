"""Which process opened a connection, as Linux tells."""

from collections.abc import Mapping
import contextlib
import os
import pathlib
import socket

_TABLE = pathlib.Path("/proc/net/tcp")
# Columns of that table: both addresses as hexadecimal numbers, and the inode.
_LOCAL, _REMOTE, _INODE = 1, 2, 9


def name(connection: socket.socket, pids: Mapping[str, int]) -> str:
    """Who is at the other end of a connection on this machine.

    Args:
        connection: This end of it.
        pids: Processes by name.

    Returns:
        Its name; empty if it is none of them, or has ended.
    """
    try:
        local = _column(connection.getpeername())
        remote = _column(connection.getsockname())
    except OSError:
        return ""
    rows = (line.split() for line in _TABLE.read_text().splitlines())
    inodes = [
        row[_INODE]
        for row in rows
        if row[_LOCAL] == local and row[_REMOTE] == remote
    ]
    wanted = {f"socket:[{inode}]" for inode in inodes}
    return next((n for n, pid in pids.items() if wanted & _files(pid)), "")


def _column(address: tuple[str, int]) -> str:
    host, port = address
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}"


def _files(pid: int) -> set[str]:
    """What a process has open."""
    found = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                found.add(os.readlink(entry.path))
    return found
