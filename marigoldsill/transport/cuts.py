"""A switch that cuts the connections of this process, for failure tests.

The file named by MARIGOLDSILL_CUTS_FILE holds one cut a line: two process
names "FROM TO", or "*". Messages from FROM to TO vanish without an error, as
in a silent network partition; an answer on the way back is a message too.
Without the variable nothing is ever looked at.
"""

import os
import pathlib

_ANY = "*"


class Cuts:
    """The cuts in force, read again whenever their file changes."""

    def __init__(self, *, own_name: str, path: str | None = None):
        path = path or os.environ.get("MARIGOLDSILL_CUTS_FILE")
        self._own_name = own_name
        self._path = pathlib.Path(path) if path else None
        self._stamp_ns = -1
        self._pairs: frozenset[tuple[str, str]] = frozenset()

    def outbound(self, peer: str) -> bool:
        """Whether messages from this process to `peer` vanish."""
        return self._path is not None and self._cut(self._own_name, peer)

    def inbound(self, peer: str) -> bool:
        """Whether messages from `peer` to this process vanish."""
        return self._path is not None and self._cut(peer, self._own_name)

    def _cut(self, source: str, target: str) -> bool:
        self._refresh()
        return any(
            (a, b) in self._pairs
            for a in (source, _ANY)
            for b in (target, _ANY)
        )

    def _refresh(self) -> None:
        try:
            stamp_ns = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            self._pairs = frozenset()
            return
        if stamp_ns == self._stamp_ns:
            return
        lines = self._path.read_text().splitlines()
        pairs = (tuple(line.split()) for line in lines)
        self._pairs = frozenset(pair for pair in pairs if len(pair) == 2)
        self._stamp_ns = stamp_ns
