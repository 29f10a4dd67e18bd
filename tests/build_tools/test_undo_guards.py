"""Tests of the tool that undoes guards against a second run."""

import pathlib

import pytest

from build_tools import guards
from build_tools import undo_guards

_ROOT = pathlib.Path(undo_guards.__file__).parent.parent


@pytest.mark.parametrize("name", guards.GUARDS)
def test_the_code_of_each_guard_occurs_once(
    name: str, tmp_path: pathlib.Path
) -> None:
    guard = undo_guards.find_guard(name)
    path = tmp_path / guard.path
    path.parent.mkdir(parents=True)
    path.write_text((_ROOT / guard.path).read_text())
    undo_guards.undo(guard, tmp_path)
    compile(path.read_text(), str(path), "exec")
    with pytest.raises(undo_guards.GuardError, match="0 times|[2-9] times"):
        undo_guards.undo(guard, tmp_path)


@pytest.mark.parametrize(
    "name", [name for name, each in guards.GUARDS.items() if each.doubled_by]
)
def test_a_guard_can_be_undone_with_those_that_double_it(
    name: str, tmp_path: pathlib.Path
) -> None:
    guard = guards.GUARDS[name]
    undone = [guard, *map(undo_guards.find_guard, guard.doubled_by)]
    for path in {each.path for each in undone}:
        (tmp_path / path).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / path).write_text((_ROOT / path).read_text())
    for each in undone:
        undo_guards.undo(each, tmp_path)
        assert each.code not in (tmp_path / each.path).read_text()


def test_an_unknown_guard_is_named_with_the_known_ones(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert undo_guards.main(["--folder", str(tmp_path), "no-guard"]) == 2
    message = capsys.readouterr().err
    assert "unknown guard 'no-guard'; expected one of same-task" in message


def test_sources_without_their_environment_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(undo_guards.GuardError, match="make install"):
        undo_guards.make_copy(tmp_path / "copy", root=tmp_path)


def test_a_copy_replaces_no_folder(tmp_path: pathlib.Path) -> None:
    with pytest.raises(undo_guards.GuardError, match="expected a new folder"):
        undo_guards.make_copy(tmp_path)
