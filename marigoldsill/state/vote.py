"""The durable state of a member: its identity, term and vote."""

import secrets

from marigoldsill import errors
from marigoldsill.protocol import codec
from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import checksummed_file
from marigoldsill.state import files as files_module

FILE_NAME = "vote"
_ID_BITS = 62


def new_id() -> int:
    """Returns a random positive id for an incarnation or a cluster."""
    return secrets.randbits(_ID_BITS) | 1


class VoteStore:
    """Stores a member's durable state.

    A member is identified by its name and incarnation. An empty folder gets a
    new incarnation, so that promises of the lost one, such as its vote, are not
    made a second time.

    Attributes:
        state: The state on the disk.
    """

    def __init__(self, files: files_module.Files, *, name: str):
        self._files = files
        content = files.read(FILE_NAME)
        if content is None:
            self.state = ttypes.MemberState(name=name, incarnation=new_id())
            self._write(self.state)
            return
        data = checksummed_file.decode(FILE_NAME, content)
        self.state = codec.decode(ttypes.MemberState(), data)
        if self.state.name != name:
            raise errors.MembershipError(
                f"the data folder belongs to member {self.state.name!r}, not "
                f"to {name!r}; use the member's own name or another folder"
            )

    def save(self, **fields: object) -> None:
        """Changes fields durably.

        Raises:
            StorageError: The disk failed; the process has to stop.
        """
        state = records.replace(self.state, **fields)
        self._write(state)
        self.state = state

    def _write(self, state: ttypes.MemberState) -> None:
        self._files.replace(
            FILE_NAME, checksummed_file.encode(codec.encode(state))
        )
