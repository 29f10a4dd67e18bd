"""Simulated faults of disks, for the files of a data folder."""

import errno
import os
import pathlib
import threading
import time

from marigoldsill import errors
from marigoldsill.state import files


class FailingFiles(files.Files):
    """Files on a disk that can be full or fail to sync.

    Attributes:
        space_bytes: The free space; None for no limit.
        sync_fails: Whether syncs fail.
    """

    space_bytes: int | None = None
    sync_fails = False

    def write(self, fd: int, data: bytes) -> None:
        """Writes as much as there is space for, as a file system does."""
        if self.space_bytes is None:
            super().write(fd, data)
            return
        part = data[: self.space_bytes]
        super().write(fd, part)
        self.space_bytes -= len(part)
        if len(part) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def sync(self, fd: int) -> None:
        """Syncs, or raises the error of a broken disk."""
        if self.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(fd)


class UnsyncedFiles(files.Files):
    """Files that keep what was written until the power fails, without syncs.

    For short timeouts: while a machine is busy, a sync may take longer.
    """

    def sync(self, fd: int) -> None:
        """Does nothing."""
        del fd

    def _sync_folder(self) -> None:
        pass


class CrashingFiles(files.Files):
    """Files of a process that crashes after a number of changes.

    Attributes:
        changes_left: How many more files can be replaced or removed.
    """

    changes_left = 1 << 30

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file, or fails if the process has crashed."""
        self._count_change()
        super().replace(name, data)

    def remove(self, name: str) -> None:
        """Removes a file, or fails if the process has crashed."""
        self._count_change()
        super().remove(name)

    def _count_change(self) -> None:
        if not self.changes_left:
            raise errors.StorageError("simulated crash")
        self.changes_left -= 1


class LossyFiles(files.Files):
    """Files that lose unsynced data when the power fails.

    Attributes:
        sync_s: The duration of a sync.
    """

    sync_s = 0.0

    def __init__(self, folder: pathlib.Path):
        self._synced_bytes: dict[int, int] = {}
        self._power_lock = threading.Lock()
        self._has_power = True
        super().__init__(folder)

    def write(self, fd: int, data: bytes) -> None:
        """Writes, and records the size of the file up to its last sync."""
        with self._power_lock:
            self._check_power()
            stat = os.fstat(fd)
            self._synced_bytes.setdefault(stat.st_ino, stat.st_size)
            super().write(fd, data)

    def sync(self, fd: int) -> None:
        """Syncs, after `sync_s`."""
        time.sleep(self.sync_s)
        with self._power_lock:
            self._check_power()
            super().sync(fd)
            self._synced_bytes.pop(os.fstat(fd).st_ino, None)

    def lose_power(self) -> None:
        """Truncates all files to their synced size; later writes fail."""
        with self._power_lock:
            self._has_power = False
            for path in self.folder.iterdir():
                synced_bytes = self._synced_bytes.get(path.stat().st_ino)
                if synced_bytes is not None:
                    os.truncate(path, synced_bytes)

    def _check_power(self) -> None:
        if not self._has_power:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
