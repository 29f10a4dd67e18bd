"""What a candidate keeps on its disk until it has formed the group, or another has.

The plan is durable before any seed votes for it, so that a candidate that restarts
continues with the votes that it had.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import pathlib

from marigoldsill import errors
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import checksummed_file
from marigoldsill.state import files as files_module
from marigoldsill.state import snapshot as snapshot_module
from marigoldsill.state import vote as vote_module


class FoundingPlan:
    """This process's plan to form the group with a certain cluster id.

    Attributes:
        cluster_id: The id of the cluster to form; 0 without a plan.
        seeds: The seeds whose votes the plan needs; empty without a plan.
    """

    def __init__(self, data_folder: str | pathlib.Path, *, name: str):
        """Has no plan; `load` finds the one on the disk.

        Args:
            data_folder: Folder of the durable state.
            name: The name of this process.
        """
        self.cluster_id = 0
        self.seeds: tuple[str, ...] = ()
        self._data_folder = pathlib.Path(data_folder)
        self._name = name

    def load(self) -> None:
        """Loads the plan from the disk, if there is one that is not carried out.

        Raises:
            StorageError: The disk failed.
        """
        # Opening the files of an empty folder would need space on the disk.
        if not (self._data_folder / vote_module.FILE_NAME).exists():
            return
        with self._open_files() as files:
            state = _read_state(files)
            if state is None or not state.founding_seeds:
                return
            # A first snapshot that is complete is opened like any other.
            if files.read(snapshot_module.FILE_NAME) is None:
                self.cluster_id = state.cluster_id
                self.seeds = tuple(state.founding_seeds)

    def begin(self, seeds: Sequence[str]) -> None:
        """Makes a plan durable, unless there is one.

        Args:
            seeds: The seeds whose votes the plan needs.

        Raises:
            MembershipError: The folder belongs to a cluster already.
            StorageError: The disk failed.
        """
        if self.cluster_id:
            return
        with self._open_files() as files:
            votes = vote_module.VoteStore(files, name=self._name)
            if votes.state.cluster_id:
                raise errors.MembershipError(
                    f"{files.folder} belongs to cluster {votes.state.cluster_id}"
                )
            votes.save(
                cluster_id=vote_module.new_id(), founding_seeds=list(seeds)
            )
            self.cluster_id = votes.state.cluster_id
            self.seeds = tuple(seeds)

    def discard(self) -> None:
        """Gives up the plan for good, because another process formed the group.

        Raises:
            StorageError: The disk failed.
        """
        if not self.cluster_id:
            return
        with self._open_files() as files:
            votes = vote_module.VoteStore(files, name=self._name)
            votes.save(cluster_id=0, founding_seeds=[])
        self.cluster_id, self.seeds = 0, ()

    @contextlib.contextmanager
    def _open_files(self) -> Iterator[files_module.Files]:
        with contextlib.closing(files_module.Files(self._data_folder)) as files:
            yield files


def _read_state(files: files_module.Files) -> ttypes.MemberState | None:
    """Returns the member's state, or None without one; a damaged one is lost."""
    content = files.read(vote_module.FILE_NAME)
    if content is None:
        return None
    try:
        data = checksummed_file.decode(vote_module.FILE_NAME, content)
        return codec.decode(ttypes.MemberState(), data)
    except errors.LogCorruptError:
        return None
