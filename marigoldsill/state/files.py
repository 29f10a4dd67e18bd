"""Access to the files of a data folder, used for everything that is durable.

Tests simulate failing disks by overriding `write` and `sync`.
"""

import contextlib
import errno
import fcntl
import os
import pathlib

from marigoldsill import errors

# Error numbers that mean that no space is left.
FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})
_LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".new"


class Files:
    """The files of one folder, locked for exclusive use by this process.

    Methods raise DiskFullError if no space is left and StorageError if the disk
    fails in another way.

    Attributes:
        folder: The path of the folder.
    """

    def __init__(self, folder: str | pathlib.Path):
        self.folder = pathlib.Path(folder)
        self._append_file: tuple[str, int] | None = None
        with _converted_errors(f"open {self.folder}"):
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock_fd = os.open(
                self.folder / _LOCK_NAME, os.O_CREAT | os.O_RDWR, 0o600
            )
            self._lock()

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(
            path.name
            for path in self.folder.iterdir()
            if path.is_file() and path.name != _LOCK_NAME
        )

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, or None if there is no such file."""
        with _converted_errors(f"read {name}"):
            try:
                return (self.folder / name).read_bytes()
            except FileNotFoundError:
                return None

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file by `data`, atomically and durably."""
        temporary_name = name + _TEMPORARY_SUFFIX
        with _converted_errors(f"write {name}"):
            fd = os.open(
                self.folder / temporary_name,
                os.O_CREAT | os.O_TRUNC | os.O_WRONLY,
                0o600,
            )
            try:
                self.write(fd, data)
                self.sync(fd)
            finally:
                os.close(fd)
            os.replace(self.folder / temporary_name, self.folder / name)
            self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        """Appends `data` to an existing file, durably."""
        with _converted_errors(f"append to {name}"):
            fd = self._open_for_append(name)
            self.write(fd, data)
            self.sync(fd)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file, durably."""
        with _converted_errors(f"truncate {name}"):
            fd = self._open_for_append(name)
            os.ftruncate(fd, size_bytes)
            self.sync(fd)

    def remove(self, name: str) -> None:
        """Removes a file if it exists, durably."""
        with _converted_errors(f"remove {name}"):
            if self._append_file is not None and self._append_file[0] == name:
                self._close_append_file()
            (self.folder / name).unlink(missing_ok=True)
            self._sync_folder()

    def move_to_subfolder(self, subfolder: str) -> None:
        """Moves all files into a new subfolder, so that the folder is empty."""
        with _converted_errors(f"move files to {subfolder}"):
            self._close_append_file()
            target = self.folder / subfolder
            target.mkdir()
            for name in self.names():
                os.replace(self.folder / name, target / name)
            self._sync_folder()

    def close(self) -> None:
        """Releases the lock, so that another process can use the folder."""
        self._close_append_file()
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1

    def write(self, fd: int, data: bytes) -> None:
        """Writes all of `data`; may raise OSError."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, fd: int) -> None:
        """Waits until written data is on the disk; may raise OSError."""
        os.fdatasync(fd)

    def _lock(self) -> None:
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self._lock_fd)
            raise errors.MembershipError(
                f"the data folder {self.folder} is locked by another process; "
                "each control process needs a folder of its own"
            ) from error

    def _open_for_append(self, name: str) -> int:
        if self._append_file is not None and self._append_file[0] == name:
            return self._append_file[1]
        self._close_append_file()
        fd = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND)
        self._append_file = (name, fd)
        return fd

    def _close_append_file(self) -> None:
        if self._append_file is not None:
            os.close(self._append_file[1])
            self._append_file = None

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


@contextlib.contextmanager
def _converted_errors(action: str):
    """Converts OSErrors to errors of this package that name the action."""
    try:
        yield
    except OSError as error:
        if error.errno in FULL_ERRORS:
            raise errors.DiskFullError(
                f"cannot {action}: no space left ({error.strerror}); nothing "
                "was acknowledged. Free space and start the process again."
            ) from error
        raise errors.StorageError(f"cannot {action}: {error}") from error
