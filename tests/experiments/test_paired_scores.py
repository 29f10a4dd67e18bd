"""Tests of the comparison of commits by played days."""

import pathlib
import subprocess
import sys

from click import testing
import pytest

from experiments import commit_copies
from experiments import paired_scores
from marigoldsill import errors

# Stands for the program that plays a day. The copy's file `level` decides the score.
_PLAYER = """
import json, pathlib, sys
seed, report = int(sys.argv[1]), pathlib.Path(sys.argv[2])
level = float(pathlib.Path("level").read_text())
if seed == 3 and level > 0.5:
    sys.exit("no such day")
report.write_text(json.dumps({"score": level + 0.01 * seed * (1 + level)}))
"""


def _git(folder: pathlib.Path, *arguments: str) -> str:
    identity = ("-c", "user.name=t", "-c", "user.email=t@example.com")
    return subprocess.run(
        ["git", "-C", str(folder), *identity, *arguments],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()


@pytest.fixture(name="repository")
def create_repository(tmp_path: pathlib.Path) -> pathlib.Path:
    repository = tmp_path / "repository"
    repository.mkdir()
    _git(repository, "init", "--quiet")
    for name, level in (("low", "0.5"), ("high", "0.75")):
        (repository / "level").write_text(level)
        _git(repository, "add", "level")
        _git(repository, "commit", "--quiet", "--message", name)
        _git(repository, "tag", name)
    return repository


def _compare(
    repository: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    *arguments: str,
    names: tuple[str, ...] = ("low", "high"),
) -> testing.Result:
    folder = repository.parent
    player = folder / "player.py"
    player.write_text(_PLAYER)
    monkeypatch.setattr(paired_scores, "_ROOT", repository)
    return testing.CliRunner().invoke(
        paired_scores.main,
        [
            *names,
            f"--copies={folder / 'copies'}",
            f"--reports={folder / 'reports'}",
            "--day=busy",
            f"--command={sys.executable} {player} {{seed}} {{report}}",
            "--figure=score",
            *arguments,
        ],
    )


def test_differences_of_commits_are_paired_by_seed(
    repository: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = _compare(
        repository, monkeypatch, "--clone", "--seeds=2", "--jobs=2"
    )
    base, other = (
        _git(repository, "rev-parse", name)[:7] for name in ("low", "high")
    )
    assert result.exit_code == 0
    assert result.output == (
        f"| busy | {base} | {other} | 0.522 | 0.776 | +0.254, 0.001* | 2 |\n"
    )


def test_a_seed_that_fails_on_one_side_is_left_out_and_reported(
    repository: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = _compare(repository, monkeypatch, "--clone", "--seeds=4")
    assert result.exit_code == 1
    assert "| +0.256, 0.002* | 3 |" in result.output
    assert "the play of seed 3 in" in result.output


@pytest.mark.parametrize(
    ("names", "arguments", "message"),
    [
        (("low", "none"), ("--clone",), "commit 'none' does not exist"),
        (("low", "low"), ("--clone",), "two or more different ones"),
        (("low",), ("--clone",), "two or more different ones"),
        (("low", "high"), (), "is missing: clone it, or pass --clone"),
        (("low", "high"), ("--seeds=1",), "seeds is 1: expected at least 2"),
        (("low", "high"), ("--command=true {seed}",), "lacks {report}"),
        (("low", "high"), ("--clone", "--figure=worth"), "no number 'worth'"),
    ],
)
def test_bad_input_is_reported(
    repository: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    names: tuple[str, ...],
    arguments: tuple[str, ...],
    message: str,
) -> None:
    result = _compare(repository, monkeypatch, *arguments, names=names)
    assert result.exit_code == 1
    assert message in result.output


def test_a_copy_with_other_sources_is_not_played(
    repository: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    low, high = (
        _git(repository, "rev-parse", name) for name in ("low", "high")
    )
    copies = tmp_path / "copies"
    copy = commit_copies.find(repository, copies, high, clone=True)
    (copy / "added").write_text("a file of a play")
    _git(copy, "add", "added")
    assert commit_copies.find(repository, copies, high) == copy
    (copy / "level").write_text("0.9")
    with pytest.raises(commit_copies.CopyError, match="has changed files"):
        commit_copies.find(repository, copies, high)
    _git(copy, "checkout", "--quiet", "--force", "low")
    with pytest.raises(commit_copies.CopyError, match="not a clone at commit"):
        commit_copies.find(repository, copies, high)
    (copies / low[:7]).mkdir()
    with pytest.raises(commit_copies.CopyError, match="not a clone at commit"):
        commit_copies.find(repository, copies, low)


@pytest.mark.parametrize("content", ["{", "[]", '{"score": "high"}', "{}"])
def test_a_report_without_the_figure_is_reported(
    tmp_path: pathlib.Path, content: str
) -> None:
    report = tmp_path / "report.json"
    report.write_text(content)
    with pytest.raises(paired_scores.PlayError, match=r"report\.json"):
        paired_scores.read_figure(report, "score")


def test_a_command_that_is_not_there_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    one = paired_scores.Play(tmp_path, 1, tmp_path / "report.json")
    with pytest.raises(paired_scores.PlayError, match="cannot run"):
        paired_scores.play(one, f"{tmp_path}/none {{seed}} {{report}}", "score")
    assert issubclass(commit_copies.CommitError, errors.BadInputError)
