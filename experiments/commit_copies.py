"""Copies of the repository at a commit, to play days on."""

from collections.abc import Sequence
import pathlib
import subprocess

from marigoldsill import errors

_ABBREVIATION_LENGTH = 7


class CommitError(errors.BadInputError):
    """A commit does not exist in the repository, or is named twice."""


class CopyError(errors.BadInputError):
    """A copy of a commit is missing or has other sources."""


def resolve(repository: pathlib.Path, names: Sequence[str]) -> list[str]:
    """Returns the full ids of commits.

    Raises:
        CommitError: There is no such commit, or fewer than two different ones.
    """
    commits = [_resolve_commit(repository, name) for name in names]
    if len(commits) < 2 or len(set(commits)) < len(commits):
        raise CommitError(
            f"commits are {', '.join(names)}: expected two or more different ones"
        )
    return commits


def _resolve_commit(repository: pathlib.Path, name: str) -> str:
    result = _run_git(
        repository, "rev-parse", "--verify", "--quiet", f"{name}^{{commit}}"
    )
    if result.returncode:
        raise CommitError(
            f"commit {name!r} does not exist in {repository}: expected a commit id, "
            "branch or tag"
        )
    return result.stdout.strip()


def find(
    repository: pathlib.Path,
    copies: pathlib.Path,
    commit: str,
    *,
    clone: bool = False,
) -> pathlib.Path:
    """Returns the folder with the copy of a commit.

    Args:
        repository: The repository to clone from.
        copies: The folder with the copies.
        commit: The full id of the commit.
        clone: Whether to clone a copy that is missing.

    Raises:
        CopyError: The copy is missing or has other sources.
    """
    folder = copies.resolve() / commit[:_ABBREVIATION_LENGTH]
    if not folder.exists() and clone:
        _clone(repository, folder, commit)
    if not folder.is_dir():
        raise CopyError(f"copy {folder} is missing: clone it, or pass --clone")
    if _resolve_head(folder) != commit:
        raise CopyError(f"copy {folder} is not a clone at commit {commit}")
    # Programs that play a day may add files of their own, staged or not.
    changed = _run_git(folder, "diff", "--quiet", "--diff-filter=a", "HEAD")
    if changed.returncode:
        raise CopyError(f"copy {folder} has changed files: expected {commit}")
    return folder


def _resolve_head(folder: pathlib.Path) -> str:
    # Inside a folder that is no clone, git would find a repository above it.
    if not (folder / ".git").exists():
        return ""
    return _run_git(folder, "rev-parse", "HEAD").stdout.strip()


def _clone(repository: pathlib.Path, folder: pathlib.Path, commit: str) -> None:
    folder.parent.mkdir(parents=True, exist_ok=True)
    for result in (
        _run_git(
            repository, "clone", "--quiet", "--no-checkout", ".", str(folder)
        ),
        _run_git(folder, "checkout", "--quiet", "--detach", commit),
    ):
        if result.returncode:
            raise CopyError(f"cannot clone {folder}: {result.stderr.strip()}")


def _run_git(
    folder: pathlib.Path, *arguments: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        ["git", "-C", str(folder), *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
