"""Imports go one way: transport, protocol, state, coordination, roles.

Only the command line imports what speaks to the users' platform.
"""

import ast
import importlib.util
import pathlib

import pytest

from tests.lint import sources

_ORDER = (
    "transport",
    "protocol",
    "state",
    "coordination",
    "roles",
    "platform",
    "cli",
)
_SHARED = frozenset({"errors", "settings", "setting_sources"})
_FORBIDDEN = frozenset({"subprocess", "multiprocessing", "pty", "asyncio"})
_FORBIDDEN_CALLS = frozenset(
    {"os.fork", "os.forkpty", "os.system", "os.popen", "os.posix_spawn"}
)


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.identifier
)
def test_a_layer_imports_no_layer_above_it(path: pathlib.Path) -> None:
    layer = path.relative_to(sources.PACKAGE).parts[0]
    if layer not in _ORDER:
        return
    allowed = {*_ORDER[: _ORDER.index(layer) + 1], *_SHARED}
    ours = [
        name.split(".")[1]
        for name in sources.imports(path)
        if name.startswith("marigoldsill.")
    ]
    assert set(ours) <= allowed, f"{layer} may import {sorted(allowed)}"


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.identifier
)
def test_modules_are_imported_rather_than_names(path: pathlib.Path) -> None:
    names = [
        name
        for name in sources.imports(path)
        if name.startswith(("marigoldsill.", "standins.", "thrift."))
    ]
    assert [name for name in names if not _is_module(name)] == []


@pytest.mark.parametrize(
    "path", sources.package_files(), ids=sources.identifier
)
def test_no_module_can_start_a_process(path: pathlib.Path) -> None:
    roots = {name.split(".")[0] for name in sources.imports(path)}
    used = {
        ast.unparse(node.func)
        for node in ast.walk(sources.tree(path))
        if isinstance(node, ast.Call)
    }
    assert roots & _FORBIDDEN == set()
    assert used & _FORBIDDEN_CALLS == set()
    assert not [name for name in used if name.startswith("os.exec")]


def _is_module(name: str) -> bool:
    return importlib.util.find_spec(name) is not None
