"""Simulates network partitions of this process, for failure tests.

Each line of the file named by MARIGOLDSILL_CUTS_FILE holds two process names,
"FROM TO", either of which may be "*". Messages from FROM to TO, including
responses, are dropped without an error, as in a network partition. Without the
variable no file is read.
"""

import dataclasses
import os
import pathlib

_ANY = "*"


@dataclasses.dataclass(slots=True, frozen=True)
class _FileState:
    """The content of the file and its modification time."""

    stamp_ns: int = -1
    pairs: frozenset[tuple[str, str]] = frozenset()


class NetworkPartitions:
    """The simulated partitions; the file is read again when it changes."""

    def __init__(self, *, own_name: str, path: str | None = None):
        path = path or os.environ.get("MARIGOLDSILL_CUTS_FILE")
        self._own_name = own_name
        self._path = pathlib.Path(path) if path else None
        # One value for both, so that a thread which read the file earlier and assigns
        # later only causes another read. It cannot combine the pairs of one version
        # with the time stamp of another.
        self._seen = _FileState()

    def drops_outbound(self, peer: str) -> bool:
        """Whether messages from this process to `peer` are dropped."""
        return self._path is not None and self._drops(self._own_name, peer)

    def drops_inbound(self, peer: str) -> bool:
        """Whether messages from `peer` to this process are dropped."""
        return self._path is not None and self._drops(peer, self._own_name)

    def _drops(self, source: str, target: str) -> bool:
        pairs = self._read().pairs
        return any(
            (a, b) in pairs for a in (source, _ANY) for b in (target, _ANY)
        )

    def _read(self) -> _FileState:
        seen = self._seen
        try:
            stamp_ns = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            self._seen = _FileState()
            return self._seen
        if stamp_ns == seen.stamp_ns:
            return seen
        lines = self._path.read_text().splitlines()
        pairs = (tuple(line.split()) for line in lines)
        seen = _FileState(
            stamp_ns, frozenset(pair for pair in pairs if len(pair) == 2)
        )
        self._seen = seen
        return seen
