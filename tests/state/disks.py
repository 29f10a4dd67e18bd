"""Disks that fail: they stand in for the files of a data folder."""

import errno
import os

from marigoldsill.state import files


class FailingFiles(files.Files):
    """A disk that can be full or refuse to sync.

    Attributes:
        space_bytes: What may still be written; None for no limit.
        sync_fails: Whether the next sync fails, and the ones after it.
    """

    space_bytes: int | None = None
    sync_fails = False

    def write(self, fd: int, data: bytes) -> None:
        """Writes what there is space for, as a file system does."""
        if self.space_bytes is None:
            super().write(fd, data)
            return
        part = data[: self.space_bytes]
        super().write(fd, part)
        self.space_bytes -= len(part)
        if len(part) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def sync(self, fd: int) -> None:
        """Syncs, or fails as a broken disk does."""
        if self.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(fd)
